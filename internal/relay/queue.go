package relay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// queueInterval is the time between looks at opening packets that wait.
	queueInterval = 25 * time.Millisecond
	// longestHold bounds how long an opening packet waits. It is what a client
	// waits at most for the answer to one.
	longestHold = 1300 * time.Millisecond
	// queueLimit bounds the opening packets that wait.
	queueLimit = 1024
	// handshakeTimeout is how long a client may take from the endpoint's answer
	// to its request before its slot counts as free.
	handshakeTimeout = 300 * time.Millisecond
	// paceWeight is the weight of a new measurement in a moving average.
	paceWeight = 0.1
	// spareSlots is how many requests more than it works on an endpoint is
	// given, so that it is never idle for the time of a handshake.
	spareSlots = 1
)

// work is the progress of the request of a flow.
type work struct {
	// occupies is set from the admission until the endpoint answers.
	occupies bool
	// requested is set once the client's request has reached the endpoint.
	requested bool
	// since is when the flow was admitted or, later, requested.
	since time.Duration
}

// pace is what an agent measures of its endpoint.
type pace struct {
	slots uint32
	// occupied is the number of flows that were admitted and whose request is
	// not answered.
	occupied uint32
	// handshake is the mean time from admission to request, working from
	// request to answer, in seconds.
	handshake float64
	working   float64
}

// limit returns how many flows the endpoint can be given at once so that all
// its slots are busy and none of the flows waits for long: a slot is idle while
// its next flow shakes hands.
func (p *pace) limit() uint32 {
	if p.slots == 0 {
		return math.MaxUint32
	}
	spare := uint32(spareSlots)
	if p.working > 0 {
		spare += uint32(math.Ceil(float64(p.slots) * min(p.handshake/p.working, 1)))
	}
	return p.slots + spare
}

func (p *pace) full() bool { return p.occupied >= p.limit() }

func average(mean *float64, measured time.Duration) {
	if *mean == 0 {
		*mean = measured.Seconds()
		return
	}
	*mean += paceWeight * (measured.Seconds() - *mean)
}

// waiting is an opening packet that waits.
type waiting struct {
	key    segment.FlowKey
	flow   *agentFlow
	packet []byte
	terms  Terms
	since  time.Duration
}

// queue holds the opening packets that wait for their endpoint. Under overload
// the newest is served first: it is the one that can still be answered in time,
// and serving the oldest first would make all late (as adaptive LIFO: Maurer,
// "Fail at Scale", ACM Queue 2015).
type queue struct{ waiting []*waiting }

// next removes and returns what shall be served next.
func (q *queue) next() *waiting {
	best := slices.MinFunc(q.waiting, func(a, b *waiting) int {
		return cmp.Or(cmp.Compare(a.terms.Priority, b.terms.Priority), cmp.Compare(b.since, a.since))
	})
	q.remove(best.flow)
	return best
}

func (q *queue) remove(flow *agentFlow) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiting) bool { return w.flow == flow })
}

// hold makes an opening packet wait.
func (a *Agent) hold(now time.Duration, key segment.FlowKey, opened *agentFlow, message Message) {
	a.queue.waiting = append(a.queue.waiting, &waiting{
		key: key, flow: opened, packet: slices.Clone(message.Packet), terms: message.Terms, since: now,
	})
	a.sendHeld(key, opened)
	a.event(Event{Kind: EventHeld, Flow: key, Peer: opened.balancer})
	if len(a.queue.waiting) > queueLimit {
		a.refuse(now, a.queue.waiting[0], "queue_limit")
	}
}

func (a *Agent) sendHeld(key segment.FlowKey, known *agentFlow) {
	a.send(known.balancer, Message{Kind: KindHeld, Service: a.config.Service, Flow: FlowOf(key), Sequence: known.sequence})
}

// admit gives an opening packet to the endpoint.
func (a *Agent) admit(now time.Duration, opened *agentFlow, packet []byte) {
	opened.state = stateOffered
	opened.touched = now
	opened.work = work{occupies: true, since: now}
	a.running++
	a.pace.occupied++
	a.deliver(packet)
}

// requested notes that the client's request reached the endpoint.
func (a *Agent) requested(now time.Duration, known *agentFlow) {
	if !known.work.occupies || known.work.requested {
		return
	}
	average(&a.pace.handshake, now-known.work.since)
	known.work.requested = true
	known.work.since = now
}

// responded notes that the endpoint has begun to answer.
func (a *Agent) responded(now time.Duration, key segment.FlowKey, known *agentFlow) {
	if known.work.occupies && known.work.requested {
		average(&a.pace.working, now-known.work.since)
		a.event(Event{Kind: EventAnswered, Flow: key, Elapsed: now - known.work.since})
	}
	a.release(now, known)
}

// release frees what a flow occupies of the endpoint and admits those that
// wait.
func (a *Agent) release(now time.Duration, known *agentFlow) {
	if known.state == stateHeld {
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
		a.event(Event{Kind: EventAdmitted, Flow: next.key, Peer: next.flow.balancer, Elapsed: now - next.since})
		a.admit(now, next.flow, next.packet)
	}
}

// expire refuses opening packets that have waited for too long, and frees slots
// whose clients have not sent a request.
func (a *Agent) expire(now time.Duration) {
	if len(a.queue.waiting) == 0 {
		return
	}
	for _, held := range slices.Clone(a.queue.waiting) {
		if now-held.since > holdTime(held.terms) {
			a.refuse(now, held, "overload")
		}
	}
	for _, known := range a.flows {
		if known.work.occupies && !known.work.requested && now-known.work.since > handshakeTimeout {
			a.release(now, known)
		}
	}
}

// holdTime returns how long an opening packet may wait.
func holdTime(terms Terms) time.Duration {
	return min(longestHold, time.Duration(terms.Timeout)*time.Millisecond/2)
}

// refuse resets a flow whose opening packet waited in vain; nothing of it has
// run.
func (a *Agent) refuse(now time.Duration, held *waiting, reason string) {
	a.queue.remove(held.flow)
	delete(a.flows, held.key)
	a.event(Event{Kind: EventRefused, Flow: held.key, Reason: reason, Elapsed: now - held.since})
	a.effects = append(a.effects, Effect{
		Kind: EffectClient, To: held.key.Client, Packet: a.config.Codec.AppendReset(nil, held.key, 0),
	})
}
