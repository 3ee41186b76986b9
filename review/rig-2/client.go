//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// outcome is how a client's attempt ended.
type outcome string

const (
	answered outcome = "answered"
	refused  outcome = "reset before it was open"
	reset    outcome = "reset while open"
	unopened outcome = "no answer to the opening packet"
	silent   outcome = "no answer to the request"
)

// flow is a flow at its client.
type flow struct {
	client   *client
	key      segment.FlowKey
	sequence uint32
	next     uint32
	peer     uint32
	packets  chan []byte
	// sent is the number of opening packets sent.
	sent int
	// via chooses the balancer that the router picks, by number.
	via func() int
}

// client is a client host with one address.
type client struct {
	rig    *rig
	ip     netip.Addr
	socket *net.UDPConn
	mutex  sync.Mutex
	flows  map[uint16]*flow
	port   uint16
	count  int
}

func (r *rig) startClient(number int) *client {
	ip := r.ip(kindClient, number)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.at(ip, portDatagram)))
	r.must(err)
	started := &client{rig: r, ip: ip, socket: socket, flows: make(map[uint16]*flow), port: 20000 + uint16(rand.IntN(20000))}
	go started.run()
	return started
}

func (c *client) run() {
	buffer := make([]byte, 4096)
	for {
		count, err := c.socket.Read(buffer)
		if err != nil {
			return
		}
		header, outcome := c.rig.codec.Decode(buffer[:count])
		if outcome != segment.Decoded {
			continue
		}
		c.mutex.Lock()
		if f := c.flows[header.Destination.Port]; f != nil {
			select {
			case f.packets <- append([]byte(nil), buffer[:count]...):
			default:
			}
		}
		c.mutex.Unlock()
	}
}

// open opens a flow to a route. It sends the opening packet as the pages say. created, if given, gets the
// flow before its first packet is sent.
func (c *client) open(route segment.Address, via func() int, created ...func(*flow)) (*flow, outcome) {
	c.mutex.Lock()
	c.port++
	f := &flow{
		client: c, key: segment.FlowKey{Client: segment.Address{IP: c.ip.As4(), Port: c.port}, Service: route},
		sequence: rand.Uint32(), packets: make(chan []byte, 64), via: via,
	}
	c.flows[c.port] = f
	c.mutex.Unlock()
	f.next = f.sequence + 1
	for _, call := range created {
		call(f)
	}
	began := time.Now()
	for number, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		if header, _, got := f.await(time.Until(began.Add(after))); got {
			return f.conclude(header)
		}
		f.sent++
		f.transmit(segment.Header{Flags: segment.Synchronize, Sequence: f.sequence, Acknowledgment: uint32(number)}, nil)
	}
	if header, _, got := f.await(time.Until(began.Add(1400 * time.Millisecond))); got {
		return f.conclude(header)
	}
	return f, unopened
}

func (f *flow) conclude(header segment.Header) (*flow, outcome) {
	if header.Flags.Has(segment.Reset) {
		return f, refused
	}
	f.peer = header.Sequence + 1
	f.transmit(segment.Header{Flags: segment.Acknowledge, Sequence: f.next, Acknowledgment: f.peer}, nil)
	return f, answered
}

// await returns the next packet of the flow that a client acts on.
func (f *flow) await(wait time.Duration) (segment.Header, []byte, bool) {
	end := time.NewTimer(max(wait, 0))
	defer end.Stop()
	for {
		select {
		case packet := <-f.packets:
			header, _ := f.client.rig.codec.Decode(packet)
			if !header.Flags.Has(segment.Reset) && !f.client.rig.codec.ChecksumValid(packet) {
				f.client.rig.log("client: a packet that is not as its sender wrote it")
				continue
			}
			return header, f.client.rig.codec.Data(packet), true
		case <-end.C:
			return segment.Header{}, nil, false
		}
	}
}

// request sends a request in an open flow and waits for the answer until the deadline.
func (f *flow) request(deadline time.Duration) (id, body string, result outcome) {
	f.client.mutex.Lock()
	f.client.count++
	id = fmt.Sprintf("%s-%d", f.client.ip, f.client.count)
	f.client.mutex.Unlock()
	data := fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n\r\n", id)
	began, wait := time.Now(), 200*time.Millisecond
	due := began
	acknowledged := false
	for time.Since(began) < deadline {
		if !acknowledged && !time.Now().Before(due) {
			f.transmit(segment.Header{Flags: segment.Acknowledge, Sequence: f.next, Acknowledgment: f.peer}, data)
			due = time.Now().Add(wait)
			wait = min(2*wait, 1600*time.Millisecond)
		}
		header, answer, got := f.await(min(time.Until(due), time.Until(began.Add(deadline))))
		switch {
		case !got:
		case header.Flags.Has(segment.Reset):
			if distance := int32(header.Sequence - f.peer); distance < 76800 && distance > -76800 {
				return id, "", reset
			}
			f.client.rig.log("client %s: a reset that it ignores", f.key.Client)
		case header.Flags.Has(segment.Synchronize):
		default:
			acknowledged = acknowledged || header.Acknowledgment == f.next+uint32(len(data))
			if header.Length > 0 && header.Sequence == f.peer {
				f.next += uint32(len(data))
				f.peer += uint32(header.Length)
				f.transmit(segment.Header{Flags: segment.Acknowledge, Sequence: f.next, Acknowledgment: f.peer}, nil)
				return id, string(answer), answered
			}
		}
		if acknowledged {
			due = began.Add(deadline)
		}
	}
	return id, "", silent
}

// close ends the flow.
func (f *flow) close() {
	f.transmit(segment.Header{Flags: segment.Finish | segment.Acknowledge, Sequence: f.next, Acknowledgment: f.peer}, nil)
	f.client.mutex.Lock()
	delete(f.client.flows, f.key.Client.Port)
	f.client.mutex.Unlock()
}

func (f *flow) transmit(header segment.Header, data []byte) {
	header.Source, header.Destination = f.key.Client, f.key.Service
	r := f.client.rig
	to := r.at(r.balancerIP(f.via()), portDatagram)
	_, _ = f.client.socket.WriteToUDPAddrPort(r.codec.Encode(header, data), to)
}

// get opens a flow, sends one request in it and closes it.
func (c *client) get(route segment.Address, via func() int) (id string, service string, result outcome) {
	f, opened := c.open(route, via)
	defer f.close()
	if opened != answered {
		return "", "", opened
	}
	return f.request(2500 * time.Millisecond)
}
