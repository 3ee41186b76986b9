package flownet

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// heldFlow is a flow at its endpoint.
type heldFlow struct {
	key      segment.FlowKey
	sequence uint32
	answer   uint32
	open     bool
	request  uint64
	pieces   map[byte]bool
	answered bool
	acked    bool
	ended    bool
}

// endpoint stands in for an application: it takes flows, works on a bounded
// number of requests and answers each. It bounces packets of flows that it does
// not hold.
type endpoint struct {
	side *side
	id   simnet.NodeID
	// coldUntil is until when it is slow after a start, and carries little.
	coldUntil time.Duration
	// taken are the times of the flows that it took in the last second.
	taken   []time.Duration
	flows   map[segment.FlowKey]*heldFlow
	working int
	waiting []*heldFlow
	// life counts the processes; work of earlier ones is void.
	life int
	slow float64
}

func newEndpoint(s *side) *endpoint {
	created := &endpoint{side: s, flows: make(map[segment.FlowKey]*heldFlow), slow: 1}
	created.id = s.world.net.AddNode(simnet.ZoneID(s.zone), created)
	return created
}

// crash ends the process; another begins after a time.
func (e *endpoint) crash(away time.Duration) {
	w := e.side.world
	w.net.Stop(e.id)
	e.life++
	e.flows = make(map[segment.FlowKey]*heldFlow)
	e.working = 0
	e.waiting = nil
	w.net.At(w.net.Now()+away, func() {
		w.net.Restart(e.id, e)
		e.chill()
	})
}

// announceDelay is how long after a start an endpoint has announced that it is cold.
const announceDelay = 400 * time.Millisecond

// chill makes the endpoint cold, as after a start.
func (e *endpoint) chill() {
	w := e.side.world
	e.coldUntil = w.net.Now() + coldTime
	e.taken = nil
	w.net.At(w.net.Now()+announceDelay, func() {
		if !e.side.gone && !w.net.Stopped(e.id) {
			w.store.announce(e.side)
		}
	})
}

// The bounds of what a cold endpoint gets in a second beyond its rate, and how long it is
// away if it gets more.
const (
	coldOverrun = 1.5
	coldSlack   = 5
	fallTime    = 3 * time.Second
)

// takes notes a flow that the endpoint takes. It reports whether that is too much for it.
func (e *endpoint) takes() bool {
	w := e.side.world
	now := w.net.Now()
	e.taken = append(slices.DeleteFunc(e.taken, func(at time.Duration) bool { return now-at > time.Second }), now)
	rate := w.options.ColdRate
	if rate == 0 || now >= e.coldUntil || float64(len(e.taken)) <= rate*coldOverrun+coldSlack {
		return false
	}
	w.ledger.overrun++
	e.crash(fallTime)
	return true
}

// HandleTimer implements simnet.Handler.
func (e *endpoint) HandleTimer(time.Duration, uint32) {}

// Receive implements simnet.Handler.
func (e *endpoint) Receive(_ time.Duration, _ simnet.NodeID, received datagram) {
	w := e.side.world
	header, outcome := w.codec.Decode(received.packet)
	answer := header.Flags.Has(segment.Synchronize | segment.Acknowledge)
	if outcome != segment.Decoded || !w.codec.Sealed(received.packet) || header.Flags.Has(segment.Returned) || answer {
		w.ledger.forged(e)
		return
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	if header.OpensFlow() {
		e.receiveOpening(key, header)
		return
	}
	e.receiveSegment(key, header, received.packet)
}

func (e *endpoint) receiveOpening(key segment.FlowKey, header segment.Header) {
	w := e.side.world
	known, exists := e.flows[key]
	if !exists || known.sequence != header.Sequence {
		if e.takes() {
			return
		}
		known = &heldFlow{key: key, sequence: header.Sequence, answer: w.random.Uint32()}
		e.flows[key] = known
	}
	e.emit(known, segment.Synchronize|segment.Acknowledge, known.answer, nil)
}

func (e *endpoint) receiveSegment(key segment.FlowKey, header segment.Header, packet []byte) {
	w := e.side.world
	known, exists := e.flows[key]
	holds := exists && header.Acknowledgment-known.answer-1 < 1<<24
	w.ledger.arrived(e, key, holds)
	if !holds {
		copied := append([]byte(nil), packet...)
		w.codec.MarkReturned(copied)
		w.net.Send(e.id, e.side.agent.id, simnet.Payload, len(copied), datagram{packet: copied})
		return
	}
	if !known.open {
		known.open = true
		w.ledger.opened(e, known)
	}
	if header.Length > 0 {
		e.receiveRequest(known, w.codec.Data(packet))
	}
	if header.Flags.Has(segment.Finish) {
		known.ended = true
		known.acked = true
		e.emit(known, segment.Acknowledge, known.answer+1, nil)
	}
}

// receiveRequest handles a piece of a request and begins to work when it has
// all of them.
func (e *endpoint) receiveRequest(known *heldFlow, data []byte) {
	piece := pieceOf(data)
	if known.pieces[piece.number] {
		e.acknowledge(known, piece)
		if known.answered {
			e.respond(known)
		}
		return
	}
	if known.pieces == nil {
		known.pieces = make(map[byte]bool)
	}
	known.pieces[piece.number] = true
	e.acknowledge(known, piece)
	if len(known.pieces) < int(piece.count) {
		return
	}
	known.request = piece.request
	if e.working < e.side.service.Slots {
		e.work(known)
		return
	}
	if len(e.waiting) >= e.side.service.QueueLimit {
		known.answered = true
		e.respondRefused(known)
		return
	}
	e.waiting = append(e.waiting, known)
}

// acknowledge tells the client that a piece of its request has arrived.
func (e *endpoint) acknowledge(known *heldFlow, received piece) {
	data := binary.BigEndian.AppendUint64([]byte{answerPiece, received.number, received.count}, received.request)
	if received.count > 1 {
		e.emit(known, segment.Acknowledge, known.answer+1, data)
	}
}

// piece is one packet of a request.
type piece struct {
	request uint64
	number  byte
	count   byte
}

func (p piece) encode() []byte {
	return append(binary.BigEndian.AppendUint64(nil, p.request), p.number, p.count)
}

func pieceOf(data []byte) piece {
	return piece{request: binary.BigEndian.Uint64(data), number: data[8], count: data[9]}
}

// coldTime is how long an endpoint is slow after its start, by coldFactor.
const (
	coldTime   = 2 * time.Second
	coldFactor = 1.6
)

func (e *endpoint) work(known *heldFlow) {
	w := e.side.world
	e.working++
	w.ledger.ran(e, known)
	class := w.ledger.class(known.request)
	duration := time.Duration(float64(class.MeanServiceTime) * (0.5 + w.random.Float64()) * e.slow)
	if w.net.Now() < e.coldUntil {
		duration = time.Duration(float64(duration) * coldFactor)
	}
	life := e.life
	w.net.At(w.net.Now()+duration, func() {
		if e.life == life {
			e.finish(known)
		}
	})
}

func (e *endpoint) finish(known *heldFlow) {
	e.working--
	known.answered = true
	e.respond(known)
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.work(next)
	}
}

// The first byte of an answer.
const (
	answerServed  = 1
	answerRefused = 2
	answerPiece   = 3
)

func (e *endpoint) respond(known *heldFlow) {
	class := e.side.world.ledger.class(known.request)
	for part := range class.ResponsePackets {
		data := binary.BigEndian.AppendUint64([]byte{answerServed, byte(part), byte(class.ResponsePackets)}, known.request)
		e.emit(known, segment.Acknowledge, known.answer+1+uint32(part), data)
	}
	e.repeat(known, 200*time.Millisecond)
}

func (e *endpoint) respondRefused(known *heldFlow) {
	data := binary.BigEndian.AppendUint64([]byte{answerRefused, 0, 1}, known.request)
	e.emit(known, segment.Acknowledge, known.answer+1, data)
}

// longestRepeat bounds the wait between repetitions of an answer.
const longestRepeat = 1600 * time.Millisecond

// repeat sends an answer again until the client has acknowledged it.
func (e *endpoint) repeat(known *heldFlow, after time.Duration) {
	w := e.side.world
	life := e.life
	if after > longestRepeat {
		return
	}
	w.net.At(w.net.Now()+after, func() {
		if e.life != life || known.acked {
			return
		}
		class := w.ledger.class(known.request)
		for part := range class.ResponsePackets {
			data := binary.BigEndian.AppendUint64([]byte{answerServed, byte(part), byte(class.ResponsePackets)}, known.request)
			e.emit(known, segment.Acknowledge, known.answer+1+uint32(part), data)
		}
		e.repeat(known, 2*after)
	})
}

func (e *endpoint) emit(known *heldFlow, flags segment.Flags, sequence uint32, data []byte) {
	w := e.side.world
	packet := w.codec.Encode(segment.Header{
		Source: known.key.Service, Destination: known.key.Client,
		Flags: flags, Sequence: sequence, Acknowledgment: known.sequence + 1,
	}, data)
	w.net.Send(e.id, e.side.agent.id, simnet.Payload, len(packet), datagram{packet: packet})
}
