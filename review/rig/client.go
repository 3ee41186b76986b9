//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// resetWindow is how far the sequence number of a reset may be from the client's last
// acknowledgment on an open flow.
const resetWindow = 76_800

// kept is a flow of a client.
type kept struct {
	client *client
	key    segment.FlowKey
	isn    uint32
	// sent is the sequence number after the client's data, received the one after the endpoint's.
	sent, received uint32
	established    bool
	closed         bool
	// resetAt is when a reset reached the client on the established flow, 0 if none has.
	resetAt time.Duration
	request string
	data    []byte
	answers map[string]string
}

// client stands in for a machine of clients with one address.
type client struct {
	d        *deployment
	socket   *net.UDPConn
	mutex    sync.Mutex
	nextPort uint16
	flows    map[uint16]*kept
	lastID   uint64
}

func newClient(ctx context.Context, d *deployment) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(d.at(kindClient, 0, d.ports.datagram)))
	if err != nil {
		return nil, err
	}
	created := &client{d: d, socket: socket, nextPort: uint16(30000 + rand.IntN(10000)), flows: make(map[uint16]*kept), lastID: rand.Uint64() >> 8}
	context.AfterFunc(ctx, func() { _ = socket.Close() })
	go created.run()
	return created, nil
}

func (c *client) run() {
	buffer := make([]byte, 4096)
	for {
		count, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		c.receive(bytes.Clone(buffer[:count]))
	}
}

// open opens a flow to a route and sends a request in it.
func (c *client) open(route int) *kept {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nextPort++
	flow := &kept{
		client: c, isn: rand.Uint32(), answers: make(map[string]string),
		key: segment.FlowKey{Client: segment.Address{IP: c.d.ip(kindClient, 0), Port: c.nextPort}, Service: c.d.routeAddress(route)},
	}
	flow.sent = flow.isn + 1
	flow.prepare()
	c.flows[c.nextPort] = flow
	for number, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		time.AfterFunc(after, func() {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			if !flow.established && !flow.closed {
				flow.transmit(segment.Synchronize, flow.isn, uint32(number), nil)
			}
		})
	}
	time.AfterFunc(1400*time.Millisecond, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		flow.closed = flow.closed || !flow.established
	})
	return flow
}

// prepare writes the next request of the flow.
func (f *kept) prepare() {
	f.client.lastID++
	f.request = fmt.Sprintf("%016x", f.client.lastID)
	f.data = fmt.Appendf(nil, "POST /clips HTTP/1.1\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", f.request)
}

// again sends another request in an open flow.
func (f *kept) again() string {
	f.client.mutex.Lock()
	defer f.client.mutex.Unlock()
	if f.closed {
		return ""
	}
	f.prepare()
	f.sendRequest(f.request, f.sent, f.data, 200*time.Millisecond)
	f.sent += uint32(len(f.data))
	return f.request
}

// sendRequest sends a request until it is answered. The client's mutex must be held.
func (f *kept) sendRequest(id string, sequence uint32, data []byte, wait time.Duration) {
	if f.closed || f.answers[id] != "" {
		return
	}
	f.transmit(segment.Acknowledge, sequence, f.received, data)
	time.AfterFunc(wait, func() {
		f.client.mutex.Lock()
		defer f.client.mutex.Unlock()
		f.sendRequest(id, sequence, data, min(2*wait, 1600*time.Millisecond))
	})
}

func (f *kept) transmit(flags segment.Flags, sequence, acknowledgment uint32, data []byte) {
	to, _ := f.client.d.router.route(f.key)
	f.transmitTo(to, flags, sequence, acknowledgment, data)
}

func (f *kept) transmitTo(to netip.AddrPort, flags segment.Flags, sequence, acknowledgment uint32, data []byte) {
	packet := f.client.d.codec.Encode(segment.Header{
		Source: f.key.Client, Destination: f.key.Service, Flags: flags, Sequence: sequence, Acknowledgment: acknowledgment,
	}, data)
	_, _ = f.client.socket.WriteToUDPAddrPort(packet, to)
}

func (c *client) receive(packet []byte) {
	header, outcome := c.d.codec.Decode(packet)
	if outcome != segment.Decoded {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	flow, exists := c.flows[header.Destination.Port]
	if !exists || flow.closed || header.Source != flow.key.Service {
		return
	}
	switch {
	case header.Flags.Has(segment.Reset):
		flow.receiveReset(header)
	case !c.d.codec.ChecksumValid(packet):
		c.d.record.write("a client gets a packet that nobody wrote")
	case header.Flags.Has(segment.Synchronize):
		if !flow.established {
			flow.established, flow.received = true, header.Sequence+1
			flow.sendRequest(flow.request, flow.sent, flow.data, 200*time.Millisecond)
			flow.sent += uint32(len(flow.data))
		}
	case header.Length > 0 && header.Sequence == flow.received:
		flow.received += uint32(header.Length)
		flow.receiveAnswer(string(c.d.codec.Data(packet)))
	}
}

func (f *kept) receiveReset(header segment.Header) {
	if f.established {
		difference := int32(header.Sequence - f.received)
		if difference > resetWindow || difference < -resetWindow {
			return
		}
		f.resetAt = f.client.d.record.now()
	}
	f.closed = true
}

func (f *kept) receiveAnswer(answer string) {
	_, body, _ := strings.Cut(answer, "\r\n\r\n")
	by, id, _ := strings.Cut(body, " ")
	f.answers[id] = by
	f.transmit(segment.Acknowledge, f.sent, f.received, nil)
}

// finish closes the flow.
func (f *kept) finish() {
	f.client.mutex.Lock()
	defer f.client.mutex.Unlock()
	if f.established && !f.closed {
		f.transmit(segment.Acknowledge|segment.Finish, f.sent, f.received, nil)
	}
	f.closed = true
}

// answeredBy returns the endpoint that answered a request of the flow, and when a reset came.
func (f *kept) answeredBy(request string) (by string, resetAt time.Duration) {
	f.client.mutex.Lock()
	defer f.client.mutex.Unlock()
	return f.answers[request], f.resetAt
}

// requestIn returns the latest request of a flow, and whether it was answered.
func (c *client) requestIn(key segment.FlowKey) (id string, answered bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	flow, exists := c.flows[key.Client.Port]
	if !exists {
		return "", false
	}
	return flow.request, flow.answers[flow.request] != ""
}
