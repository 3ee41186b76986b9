package soak

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
	"github.com/vanetiller/vanetiller/platform/platformtest"
)

const (
	// answerParts is the number of packets of an answer.
	answerParts = 3
	// partSize is how many bytes each of them has.
	partSize = 400
	// shortestWork and longestWork bound how long the fastest endpoints work on a request.
	shortestWork = 10 * time.Millisecond
	longestWork  = 40 * time.Millisecond
	// queueLength is how many requests wait at an endpoint; more are refused.
	queueLength = 16
	// firstRepeat is the wait before a packet is sent again; it doubles up to
	// longestRepeat.
	firstRepeat   = 200 * time.Millisecond
	longestRepeat = 1600 * time.Millisecond
)

// slownesses are how many times as long as the fastest endpoints take for a request, by the
// number of the machine: those of a service differ.
var slownesses = []time.Duration{1, 2, 1, 4}

func slownessOf(machine int) time.Duration { return slownesses[machine%len(slownesses)] }

// The kinds of answers, which are the first byte of their data.
const (
	answerServed byte = iota + 1
	answerRefused
	answerFailed
)

// The offsets in the data of each packet of an answer, behind its head.
const (
	offsetKind = platformtest.ResponseHeadSize + iota
	offsetPart
	offsetRequest
	answerSize = offsetRequest + 8
)

// illness is what is wrong with an endpoint that looks well from outside.
type illness uint8

// The illnesses.
const (
	illnessNone illness = iota
	// illnessFails: it answers every request with a failure.
	illnessFails
	// illnessHangs: it takes requests and answers none.
	illnessHangs
	// illnessReturns: it takes no new flow.
	illnessReturns
)

// requestSize is the encoded size of a request: its number and whether it may be
// repeated.
const requestSize = 9

// heldFlow is a flow at its endpoint.
type heldFlow struct {
	key      segment.FlowKey
	sequence uint32
	answer   uint32
	open     bool
	asked    bool
	answered bool
	refused  bool
	failed   bool
	ended    bool
	request  uint64
	// repeatable is set if the request may run again.
	repeatable bool
}

// endpoint stands in for an application beside an agent. It takes packets at its
// address and writes all of its own to the agent.
type endpoint struct {
	world   *world
	id      directory.EndpointID
	service int
	zone    string
	socket  *net.UDPConn
	agent   *net.UDPAddr
	living  atomic.Bool
	// slowness multiplies the time that a request takes.
	slowness time.Duration

	mutex   sync.Mutex
	flows   map[segment.FlowKey]*heldFlow
	working int
	waiting []*heldFlow
	ill     illness
}

func newEndpoint(w *world, id directory.EndpointID, service int, ip [4]byte) (*endpoint, error) {
	at := segment.Address{IP: ip, Port: appPort}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at.AddrPort()))
	if err != nil {
		return nil, errors.Wrapf(err, "endpoint %s", id)
	}
	created := &endpoint{
		world: w, id: id, service: service, socket: socket,
		agent: net.UDPAddrFromAddrPort(at.WithPort(emittedPort).AddrPort()), flows: make(map[segment.FlowKey]*heldFlow),
	}
	created.living.Store(true)
	return created, nil
}

// alive reports whether the endpoint runs. It may be called with any lock held.
func (e *endpoint) alive() bool { return e.living.Load() }

// end closes the endpoint; it forgets its flows.
func (e *endpoint) end() {
	e.living.Store(false)
	_ = e.socket.Close()
}

// run handles packets until the endpoint ends.
func (e *endpoint) run() {
	buffer := make([]byte, 2048)
	for {
		count, _, err := e.socket.ReadFromUDP(buffer)
		if err != nil {
			if !e.alive() {
				return
			}
			continue
		}
		e.receive(buffer[:count])
	}
}

func (e *endpoint) receive(packet []byte) {
	codec := e.world.codec
	header, outcome := codec.Decode(packet)
	foreign := header.Flags.Has(segment.Returned) || header.Flags.Has(segment.Synchronize|segment.Acknowledge)
	if outcome != segment.Decoded || foreign || !codec.ChecksumValid(packet) {
		e.world.ledger.forged(e.id.String())
		return
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	if header.OpensFlow() {
		e.world.ledger.openedAt(e.id, e.zone)
		e.receiveOpening(key, header, packet)
		return
	}
	e.receiveSegment(key, header, packet)
}

// setIllness makes the endpoint ill, or well again.
func (e *endpoint) setIllness(ill illness) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ill = ill
}

func (e *endpoint) receiveOpening(key segment.FlowKey, header segment.Header, packet []byte) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known, exists := e.flows[key]
	if !exists && e.ill == illnessReturns {
		e.bounce(packet)
		return
	}
	if !exists || known.sequence != header.Sequence {
		known = &heldFlow{key: key, sequence: header.Sequence, answer: rand.Uint32()}
		e.flows[key] = known
	}
	e.emit(known, segment.Synchronize|segment.Acknowledge, known.answer, nil)
}

func (e *endpoint) receiveSegment(key segment.FlowKey, header segment.Header, packet []byte) {
	e.mutex.Lock()
	known, exists := e.flows[key]
	holds := exists && header.Acknowledgment-known.answer-1 < 1<<20
	newlyOpen := holds && !known.open
	if newlyOpen {
		known.open = true
	}
	e.mutex.Unlock()
	if newlyOpen {
		e.world.ledger.opened(key, e)
	}
	e.world.ledger.arrived(key, e)
	if !holds {
		e.bounce(packet)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if header.Length >= requestSize {
		e.receiveRequest(known, e.world.codec.Data(packet))
	}
	if header.Flags.Has(segment.Finish) {
		known.ended = true
		e.emit(known, segment.Acknowledge|segment.Finish, known.answer+1, nil)
	}
}

// bounce returns a packet of a flow that this endpoint does not hold.
func (e *endpoint) bounce(packet []byte) {
	returned := append([]byte(nil), packet...)
	e.world.codec.MarkReturned(returned)
	_, _ = e.socket.WriteToUDP(returned, e.agent)
}

// receiveRequest handles a request, or a copy of it. The mutex must be held.
func (e *endpoint) receiveRequest(known *heldFlow, data []byte) {
	if known.answered {
		e.respond(known)
	}
	if known.asked {
		return
	}
	known.asked = true
	known.request = binary.BigEndian.Uint64(data)
	known.repeatable = data[8] != 0
	switch {
	case e.ill == illnessHangs:
	case e.working < int(services[e.service].slots):
		e.work(known)
	case len(e.waiting) < queueLength:
		e.waiting = append(e.waiting, known)
	default:
		known.refused = true
		known.answered = true
		e.respond(known)
	}
}

// work begins with a request. The mutex must be held.
func (e *endpoint) work(known *heldFlow) {
	e.working++
	e.world.ledger.ran(known.request, known.repeatable)
	takes := shortestWork + time.Duration(rand.Int64N(int64(longestWork-shortestWork)))
	time.AfterFunc(e.slowness*takes, func() { e.finish(known) })
}

func (e *endpoint) finish(known *heldFlow) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.working--
	known.answered = true
	known.failed = e.ill == illnessFails
	e.respond(known)
	e.repeat(known, firstRepeat)
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.work(next)
	}
}

// respond sends the answer. The mutex must be held.
func (e *endpoint) respond(known *heldFlow) {
	kind, head := answerServed, platformtest.ResponseHead(segment.AnswerSuccess)
	switch {
	case known.refused:
		kind, head = answerRefused, platformtest.ResponseHead(segment.AnswerRefusal)
	case known.failed:
		kind, head = answerFailed, platformtest.ResponseHead(segment.AnswerFailure)
	}
	for part := range answerParts {
		data := make([]byte, partSize)
		copy(data, head)
		data[offsetKind], data[offsetPart] = kind, byte(part)
		binary.BigEndian.PutUint64(data[offsetRequest:], known.request)
		e.emit(known, segment.Acknowledge, known.answer+1+uint32(part*partSize), data)
	}
}

// repeat sends an answer again until the client has closed the flow.
func (e *endpoint) repeat(known *heldFlow, after time.Duration) {
	time.AfterFunc(after, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if known.ended || !e.alive() || after > longestRepeat {
			return
		}
		e.respond(known)
		e.repeat(known, 2*after)
	})
}

func (e *endpoint) emit(known *heldFlow, flags segment.Flags, sequence uint32, data []byte) {
	packet := e.world.codec.Encode(segment.Header{
		Source: known.key.Service, Destination: known.key.Client,
		Flags: flags, Sequence: sequence, Acknowledgment: known.sequence + 1 + requestSize,
	}, data)
	_, _ = e.socket.WriteToUDP(packet, e.agent)
}
