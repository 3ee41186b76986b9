package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/requestqueue"
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
)

// work is the progress of the request of a flow.
type work struct {
	terms FlowParameters
	// request is the identifier of the request, if its first packet showed one.
	request string
	// asked is when the client began with the request, as far as is known: when it
	// began to open the flow or, in a flow that is kept, the request came.
	asked time.Duration
	// since is when the request was admitted, and fed when the endpoint was given
	// the last new data of it.
	since time.Duration
	fed   time.Duration
	// sent is the sequence number after all data that the endpoint was given.
	sent uint32
	// occupies is set from the admission of a request until the endpoint
	// answers.
	occupies bool
	// served is set once a request of the flow was admitted.
	served bool
	// given is set if the endpoint was given a request before it was known to hold
	// the flow.
	given bool
	// unread is set until the answer to the request that the endpoint has is read. It
	// begins at the sequence number begins or, if follows is not set, with the next packet.
	unread  bool
	begins  uint32
	follows bool
	// latest is the first packet of the latest request, which may be given to the endpoint
	// again to learn whether it still holds the flow.
	latest []byte
	// held are the packets of a request that waits.
	held [][]byte
}

// learn takes terms for a flow that was opened before this agent was started.
func (w *work) learn(terms FlowParameters) {
	if w.terms == (FlowParameters{}) {
		w.terms = terms
	}
}

// waiting is a flow whose request waits.
type waiting struct {
	key  segment.FlowKey
	flow *agentFlow
}

func milliseconds(count uint32) time.Duration { return time.Duration(count) * time.Millisecond }

// wanted is the request as the queue sees it.
func (w *work) wanted() requestqueue.Request {
	return requestqueue.Request{
		Priority: w.terms.Priority, StartedAt: w.asked,
		Objective: milliseconds(w.terms.LatencyTarget), Timeout: milliseconds(w.terms.Timeout),
	}
}

// queue holds the flows whose requests wait for the endpoint.
type queue struct {
	order    requestqueue.Scheduler
	waiting  []waiting
	requests []requestqueue.Request
}

func newQueue(policy requestqueue.Policy) queue {
	return queue{order: policy.NewScheduler()}
}

// expire removes and returns the requests whose clients have given up.
func (q *queue) expire(now, working time.Duration) []waiting {
	var expired []waiting
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiting) bool {
		if w.flow.work.wanted().Timeliness(now, working) != requestqueue.Expired {
			return false
		}
		w.flow.work.held = nil
		expired = append(expired, w)
		return true
	})
	return expired
}

// inTime returns how many of the requests that wait can be answered within their objective.
func (q *queue) inTime(now, working time.Duration) uint32 {
	count := uint32(0)
	for _, w := range q.waiting {
		if w.flow.work.wanted().Timeliness(now, working) == requestqueue.InTime {
			count++
		}
	}
	return count
}

// next removes and returns what shall be served next, and why. It returns false if there is
// nothing to serve.
func (q *queue) next(now time.Duration, capacity requestqueue.Capacity) (waiting, requestqueue.Reason, bool) {
	if len(q.waiting) == 0 {
		return waiting{}, 0, false
	}
	q.requests = q.requests[:0]
	for _, w := range q.waiting {
		q.requests = append(q.requests, w.flow.work.wanted())
	}
	choice := q.order.Next(now, capacity, q.requests)
	chosen := q.waiting[choice.Index]
	q.waiting = slices.Delete(q.waiting, choice.Index, choice.Index+1)
	return chosen, choice.Reason, true
}

func (q *queue) remove(flow *agentFlow) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiting) bool { return w.flow == flow })
}

// capacity is what the endpoint can do, as far as it is known.
func (a *Agent) capacity() requestqueue.Capacity {
	return requestqueue.Capacity{Concurrency: a.pace.limit(), ProcessingTime: time.Duration(a.pace.working * float64(time.Second))}
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
		known.work.request = a.config.Codec.RequestID(packet)
		a.hold(now, key, known, packet)
		return false
	default:
		known.work.request = a.config.Codec.RequestID(packet)
		known.work.latest = append(known.work.latest[:0], packet...)
		a.occupy(now, known)
		a.event(Event{Kind: EventGiven, Flow: key, Request: known.work.request, Peer: known.balancer})
	}
	known.work.sent = end
	known.work.fed = now
	return true
}

func (a *Agent) hold(now time.Duration, key segment.FlowKey, known *agentFlow, packet []byte) {
	if known.work.served {
		known.work.asked = now
	}
	known.work.held = [][]byte{slices.Clone(packet)}
	a.queue.waiting = append(a.queue.waiting, waiting{key, known})
	a.event(Event{Kind: EventHeld, Flow: key, Request: known.work.request, Peer: known.balancer})
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
	known.work.served = true
	known.work.since = now
	known.work.unread = true
	known.work.begins, known.work.follows = known.written, known.wrote
	a.pace.occupied++
	if a.pace.slots > 0 {
		a.unanswered.took(known)
	}
}

// responded notes that the endpoint has begun to answer.
func (a *Agent) responded(now time.Duration, key segment.FlowKey, known *agentFlow) {
	if known.work.occupies {
		a.pace.measure(now - known.work.since)
		a.event(Event{Kind: EventAnswered, Flow: key, Request: known.work.request, Elapsed: now - known.work.since})
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
		a.unanswered.released(known)
	}
	a.admitWaiting(now)
}

func (a *Agent) admitWaiting(now time.Duration) {
	for _, expired := range a.queue.expire(now, a.capacity().ProcessingTime) {
		request := &expired.flow.work
		a.event(Event{Kind: EventExpired, Flow: expired.key, Request: request.request, Elapsed: now - request.asked})
	}
	for !a.pace.full() {
		next, reason, exists := a.queue.next(now, a.capacity())
		if !exists {
			return
		}
		work := &next.flow.work
		a.event(Event{
			Kind: EventAdmitted, Flow: next.key, Request: work.request, Peer: next.flow.balancer, Elapsed: now - work.asked,
			Reason: reason.String(),
		})
		held := work.held
		work.held, work.latest = nil, held[0]
		a.occupy(now, next.flow)
		work.fed = now
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
// the endpoint: its agent would return all new flows as busy.
func (a *Agent) expire(now time.Duration) {
	for _, known := range a.flows {
		if known.work.occupies && now-known.work.since > longestWork {
			a.release(now, known)
		}
	}
}
