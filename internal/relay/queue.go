package relay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// queueInterval is the time between looks at requests that are stuck.
	queueInterval = 100 * time.Millisecond
	// longestWork bounds how long a request counts as being worked on without
	// an answer.
	longestWork = 4 * time.Second
	// heldPackets bounds the packets that are held of one request; the client
	// repeats the others.
	heldPackets = 4
	// paceWeight is the weight of a new measurement in a moving average.
	paceWeight = 0.1
	// spareSlots is how many requests more than it works on an endpoint is
	// given, so that it is never idle.
	spareSlots = 1
)

// work is the progress of the request of a flow.
type work struct {
	priority uint8
	// since is when the flow was offered and, once the request was admitted,
	// when that was.
	since time.Duration
	// sent is the sequence number after all data that the endpoint was given.
	sent uint32
	// occupies is set from the admission of a request until the endpoint
	// answers.
	occupies bool
	// held are the packets of a request that waits.
	held [][]byte
}

// pace is what an agent measures of its endpoint.
type pace struct {
	slots uint32
	// occupied is the number of requests that the endpoint was given and has
	// not answered.
	occupied uint32
	// working is the mean time from request to answer, in seconds.
	working float64
}

// limit returns how many requests the endpoint is given at once: all its slots
// are busy then, and none of the requests waits for long.
func (p *pace) limit() uint32 {
	if p.slots == 0 {
		return math.MaxUint32
	}
	return p.slots + spareSlots
}

func (p *pace) full() bool { return p.occupied >= p.limit() }

func (p *pace) measure(took time.Duration) {
	if p.working == 0 {
		p.working = took.Seconds()
		return
	}
	p.working += paceWeight * (took.Seconds() - p.working)
}

// waiting is a flow whose request waits.
type waiting struct {
	key  segment.FlowKey
	flow *agentFlow
}

// queue holds the flows whose requests wait for the endpoint. Under overload the
// newest is served first: it is the one that can still be answered in time, and
// serving the oldest first would make all late (as adaptive LIFO: Maurer, "Fail
// at Scale", ACM Queue 2015).
type queue struct{ waiting []waiting }

// next removes and returns what shall be served next.
func (q *queue) next() waiting {
	best := slices.MinFunc(q.waiting, func(a, b waiting) int {
		return cmp.Or(cmp.Compare(a.flow.work.priority, b.flow.work.priority), cmp.Compare(b.flow.work.since, a.flow.work.since))
	})
	q.remove(best.flow)
	return best
}

func (q *queue) remove(flow *agentFlow) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiting) bool { return w.flow == flow })
}

// overloaded reports whether the endpoint would take longer for the requests
// that wait than a client waits for an answer, so that a new flow is better
// offered to another or refused before anything of it has run.
func (a *Agent) overloaded(terms Terms) bool {
	a.pace.slots = terms.Slots
	if terms.Slots == 0 || terms.Timeout == 0 {
		return false
	}
	backlog := float64(len(a.queue.waiting)) * a.pace.working / float64(terms.Slots)
	return backlog > float64(terms.Timeout)/1000
}

// passes reports whether a client's packet with data can be given to the
// endpoint now. If it begins a request that has to wait, it is held.
func (a *Agent) passes(now time.Duration, key segment.FlowKey, known *agentFlow, header segment.Header, packet []byte) bool {
	end := header.Sequence + uint32(header.Length)
	repeated := int32(end-known.work.sent) <= 0
	switch {
	case len(known.work.held) > 0:
		a.holdMore(known, packet)
		return false
	case repeated || known.state != stateOpen:
		return true
	case known.work.occupies:
	case a.pace.full():
		a.hold(now, key, known, packet)
		return false
	default:
		a.occupy(now, known)
	}
	known.work.sent = end
	return true
}

func (a *Agent) hold(_ time.Duration, key segment.FlowKey, known *agentFlow, packet []byte) {
	known.work.held = [][]byte{slices.Clone(packet)}
	a.queue.waiting = append(a.queue.waiting, waiting{key, known})
	a.event(Event{Kind: EventHeld, Flow: key, Peer: known.balancer})
}

// holdMore keeps a further packet of a request that waits, unless it is a copy.
func (a *Agent) holdMore(known *agentFlow, packet []byte) {
	copied := slices.ContainsFunc(known.work.held, func(held []byte) bool { return slices.Equal(held, packet) })
	if !copied && len(known.work.held) < heldPackets {
		known.work.held = append(known.work.held, slices.Clone(packet))
	}
}

// occupy notes that the endpoint gets a request.
func (a *Agent) occupy(now time.Duration, known *agentFlow) {
	known.work.occupies = true
	known.work.since = now
	a.pace.occupied++
}

// responded notes that the endpoint has begun to answer.
func (a *Agent) responded(now time.Duration, key segment.FlowKey, known *agentFlow) {
	if known.work.occupies {
		a.pace.measure(now - known.work.since)
		a.event(Event{Kind: EventAnswered, Flow: key, Elapsed: now - known.work.since})
	}
	a.release(now, known)
}

// release frees what a flow occupies of the endpoint and admits requests that
// wait.
func (a *Agent) release(now time.Duration, known *agentFlow) {
	if len(known.work.held) > 0 && !known.running() {
		known.work.held = nil
		a.queue.remove(known)
	}
	if known.work.occupies {
		known.work.occupies = false
		a.pace.occupied--
	}
	a.admitWaiting(now)
}

func (a *Agent) admitWaiting(now time.Duration) {
	for len(a.queue.waiting) > 0 && !a.pace.full() {
		next := a.queue.next()
		work := &next.flow.work
		a.event(Event{Kind: EventAdmitted, Flow: next.key, Peer: next.flow.balancer, Elapsed: now - work.since})
		held := work.held
		work.held = nil
		a.occupy(now, next.flow)
		for _, packet := range held {
			a.giveHeld(work, packet)
		}
	}
}

func (a *Agent) giveHeld(work *work, packet []byte) {
	header, _ := a.config.Codec.Decode(packet)
	work.sent = header.Sequence + uint32(header.Length)
	a.deliver(packet)
}

// expire frees slots of requests that are never answered, as after a crash of
// the endpoint.
func (a *Agent) expire(now time.Duration) {
	if len(a.queue.waiting) == 0 {
		return
	}
	for _, known := range a.flows {
		if known.work.occupies && now-known.work.since > longestWork {
			a.release(now, known)
		}
	}
}
