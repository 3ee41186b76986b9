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

// workTime is how long an endpoint works on a request.
const workTime = 70 * time.Millisecond

// served is a flow at its endpoint.
type served struct {
	clientISN, isn uint32
	open           bool
	// received is the sequence number after the client's data, sent the one after the endpoint's.
	received, sent uint32
	answer         []byte
	answerAt       uint32
	ended          bool
}

// opening is an opening packet that an endpoint took.
type opening struct {
	at  time.Duration
	key segment.FlowKey
}

// endpoint stands in for an endpoint. It takes packets at its address and sends all of its own to
// the agent beside it.
type endpoint struct {
	ctx     context.Context
	d       *deployment
	id      string
	service string
	ip      [4]byte
	socket  *net.UDPConn
	agent   netip.AddrPort
	mutex   sync.Mutex
	flows   map[segment.FlowKey]*served
	// openings are the opening packets that the endpoint took, and when they arrived.
	openings []opening
	// runs counts how often each request was run.
	runs map[string]int
	// opened has each flow that was opened here.
	opened map[segment.FlowKey]time.Duration
}

func newEndpoint(ctx context.Context, d *deployment, id, service string, ip [4]byte) (*endpoint, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(d.ports.app))))
	if err != nil {
		return nil, err
	}
	created := &endpoint{
		ctx: ctx, d: d, id: id, service: service, ip: ip, socket: socket, agent: netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(d.ports.outbound)),
		flows: make(map[segment.FlowKey]*served), runs: make(map[string]int), opened: make(map[segment.FlowKey]time.Duration),
	}
	context.AfterFunc(ctx, func() { _ = socket.Close() })
	go created.run(socket)
	return created, nil
}

func (e *endpoint) run(socket *net.UDPConn) {
	buffer := make([]byte, 4096)
	for {
		count, _, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		e.receive(bytes.Clone(buffer[:count]))
	}
}

func (e *endpoint) receive(packet []byte) {
	header, outcome := e.d.codec.Decode(packet)
	if outcome != segment.Decoded || !e.d.codec.ChecksumValid(packet) {
		e.d.record.write("endpoint %s gets a packet that nobody wrote", e.id)
		return
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	flow, exists := e.flows[key]
	if header.OpensFlow() {
		if !exists || flow.clientISN != header.Sequence {
			flow = &served{clientISN: header.Sequence, isn: rand.Uint32(), received: header.Sequence + 1}
			flow.sent = flow.isn + 1
			e.flows[key] = flow
			e.openings = append(e.openings, opening{e.d.record.now(), key})
		}
		e.send(key, segment.Synchronize|segment.Acknowledge, flow.isn, flow.received, nil)
		return
	}
	acknowledged := exists && header.Acknowledgment-flow.isn-1 <= flow.sent-flow.isn-1
	if !exists || !acknowledged {
		e.d.codec.MarkReturned(packet)
		_, _ = e.socket.WriteToUDPAddrPort(packet, e.agent)
		return
	}
	if !flow.open {
		flow.open = true
		e.opened[key] = e.d.record.now()
	}
	if flow.ended {
		return
	}
	if header.Length > 0 {
		e.receiveRequest(key, flow, header, e.d.codec.Data(packet))
	}
	if header.Flags.Has(segment.Finish) {
		flow.ended = true
		e.send(key, segment.Acknowledge|segment.Finish, flow.sent, flow.received+1, nil)
	}
}

// end ends the endpoint, which forgets its flows.
func (e *endpoint) end(how string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_ = e.socket.Close()
	e.flows = make(map[segment.FlowKey]*served)
	e.d.record.write("endpoint %s %s", e.id, how)
}

// startAgain starts the endpoint again at its address.
func (e *endpoint) startAgain() error {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(e.ip), uint16(e.d.ports.app))))
	if err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.socket = socket
	context.AfterFunc(e.ctx, func() { _ = socket.Close() })
	go e.run(socket)
	e.d.record.write("endpoint %s starts again", e.id)
	return nil
}

// receiveRequest takes a request of one packet. It acknowledges a copy and answers it again.
func (e *endpoint) receiveRequest(key segment.FlowKey, flow *served, header segment.Header, data []byte) {
	if header.Sequence != flow.received {
		e.send(key, segment.Acknowledge, flow.answerAt, flow.received, flow.answer)
		return
	}
	flow.received += uint32(len(data))
	flow.answer, flow.answerAt = nil, flow.sent
	e.send(key, segment.Acknowledge, flow.sent, flow.received, nil)
	id := requestID(data)
	e.runs[id]++
	e.d.record.write("endpoint %s (%s) runs request %s", e.id, e.service, id)
	time.AfterFunc(workTime, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if e.flows[key] != flow {
			return
		}
		body := e.id + " " + id
		flow.answer = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Response-Signature: %x\r\nContent-Length: %d\r\n\r\n%s", e.d.codec.Key, len(body), body)
		e.send(key, segment.Acknowledge, flow.sent, flow.received, flow.answer)
		flow.sent += uint32(len(flow.answer))
	})
}

func requestID(data []byte) string {
	_, after, _ := strings.Cut(string(data), "X-Request-Id: ")
	id, _, _ := strings.Cut(after, "\r\n")
	return id
}

func (e *endpoint) send(key segment.FlowKey, flags segment.Flags, sequence, acknowledgment uint32, data []byte) {
	packet := e.d.codec.Encode(segment.Header{
		Source: key.Service, Destination: key.Client, Flags: flags, Sequence: sequence, Acknowledgment: acknowledgment,
	}, data)
	_, _ = e.socket.WriteToUDPAddrPort(packet, e.agent)
}

// openingsAfter returns the flows that the endpoint took later than a time.
func (e *endpoint) openingsAfter(at time.Duration) []opening {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var later []opening
	for _, each := range e.openings {
		if each.at > at {
			later = append(later, each)
		}
	}
	return later
}

// runsOf returns how often the endpoint has run a request.
func (e *endpoint) runsOf(request string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runs[request]
}

func (e *endpoint) owns(key segment.FlowKey) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_, opened := e.opened[key]
	return opened
}
