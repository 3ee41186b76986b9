package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/requestqueue"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// queueCheckInterval is the time between checks for stuck requests.
	queueCheckInterval = 100 * time.Millisecond
	// maxWorkTime is the maximum time that a request without an answer occupies a slot.
	maxWorkTime = 4 * time.Second
	// maxHeldPackets limits the packets held of one request. The client repeats the others.
	maxHeldPackets = 4
)

// requestState is the progress of the latest request of a flow.
type requestState struct {
	parameters FlowParameters
	// id is the identifier of the request, if its first packet contained one.
	id string
	// askedAt is when the client began with the request, as far as known: when it began to open the
	// flow or, in a persistent flow, when the request arrived.
	askedAt time.Duration
	// admittedAt is when the request was admitted. lastDataAt is when the endpoint was last given
	// new data of it.
	admittedAt time.Duration
	lastDataAt time.Duration
	// sentEnd is the sequence number after the last data that the endpoint was given.
	sentEnd uint32
	// occupiesSlot is set from the admission of a request until the endpoint begins to answer.
	occupiesSlot bool
	// everAdmitted is set once a request of the flow was admitted.
	everAdmitted bool
	// givenBeforeOwned is set if the endpoint was given a request before it was known to hold the
	// flow.
	givenBeforeOwned bool
	// answerUnread is set until the outcome of the current request has been read from its answer.
	// The answer begins at answerSequence or, if answerSequenceKnown is not set, with the next
	// packet.
	answerUnread        bool
	answerSequence      uint32
	answerSequenceKnown bool
	// firstPacket is the first packet of the latest request. It may be given to the endpoint again
	// to find out whether the endpoint still holds the flow.
	firstPacket []byte
	// held are the packets of a waiting request.
	held [][]byte
}

// setParameters sets the parameters of a flow if they are unknown because the flow was opened
// before this agent was started.
func (r *requestState) setParameters(parameters FlowParameters) {
	if r.parameters == (FlowParameters{}) {
		r.parameters = parameters
	}
}

// queuedRequest is a flow with a waiting request.
type queuedRequest struct {
	key  segment.FlowKey
	flow *agentFlow
}

func milliseconds(count uint32) time.Duration { return time.Duration(count) * time.Millisecond }

// queueEntry returns the request in the form that the scheduler uses.
func (r *requestState) queueEntry() requestqueue.Request {
	return requestqueue.Request{
		Priority: r.parameters.Priority, StartedAt: r.askedAt,
		Objective: milliseconds(r.parameters.LatencyTarget), Timeout: milliseconds(r.parameters.Timeout),
	}
}

// requestQueue holds the flows whose requests wait for the endpoint.
type requestQueue struct {
	scheduler requestqueue.Scheduler
	waiting   []queuedRequest
	entries   []requestqueue.Request
}

func newRequestQueue(policy requestqueue.Policy) requestQueue {
	return requestQueue{scheduler: policy.NewScheduler()}
}

// expire removes and returns the requests whose clients have given up.
func (q *requestQueue) expire(now, processingTime time.Duration) []queuedRequest {
	var expired []queuedRequest
	q.waiting = slices.DeleteFunc(q.waiting, func(w queuedRequest) bool {
		if w.flow.request.queueEntry().Timeliness(now, processingTime) != requestqueue.Expired {
			return false
		}
		w.flow.request.held = nil
		expired = append(expired, w)
		return true
	})
	return expired
}

// countInTime returns how many of the waiting requests can still meet their objective.
func (q *requestQueue) countInTime(now, processingTime time.Duration) uint32 {
	count := uint32(0)
	for _, w := range q.waiting {
		if w.flow.request.queueEntry().Timeliness(now, processingTime) == requestqueue.InTime {
			count++
		}
	}
	return count
}

// next removes and returns the request to serve next, and the reason for the choice. It returns
// false if the queue is empty.
func (q *requestQueue) next(now time.Duration, capacity requestqueue.Capacity) (queuedRequest, requestqueue.Reason, bool) {
	if len(q.waiting) == 0 {
		return queuedRequest{}, 0, false
	}
	q.entries = q.entries[:0]
	for _, w := range q.waiting {
		q.entries = append(q.entries, w.flow.request.queueEntry())
	}
	choice := q.scheduler.Next(now, capacity, q.entries)
	chosen := q.waiting[choice.Index]
	q.waiting = slices.Delete(q.waiting, choice.Index, choice.Index+1)
	return chosen, choice.Reason, true
}

func (q *requestQueue) remove(flow *agentFlow) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w queuedRequest) bool { return w.flow == flow })
}

// queueCapacity returns what is known of the capacity of the endpoint.
func (a *Agent) queueCapacity() requestqueue.Capacity {
	return requestqueue.Capacity{Concurrency: a.usage.limit(), ProcessingTime: time.Duration(a.usage.meanResponseTime * float64(time.Second))}
}

// admitPacket reports whether the endpoint can be given a packet with data now. It holds a packet of
// a request that has to wait.
func (a *Agent) admitPacket(now time.Duration, key segment.FlowKey, flow *agentFlow, header segment.Header, packet []byte) bool {
	end := header.Sequence + uint32(header.Length)
	retransmission := int32(end-flow.request.sentEnd) <= 0
	switch {
	case len(flow.request.held) > 0:
		a.holdPacket(flow, packet)
		return false
	case retransmission || flow.state != stateOpen:
		return true
	case flow.request.occupiesSlot:
	case a.usage.full():
		flow.request.id = a.config.Codec.RequestID(packet)
		a.holdRequest(now, key, flow, packet)
		return false
	default:
		flow.request.id = a.config.Codec.RequestID(packet)
		flow.request.firstPacket = append(flow.request.firstPacket[:0], packet...)
		a.occupySlot(now, flow)
		a.recordEvent(Event{Kind: EventGiven, Flow: key, Request: flow.request.id, Peer: flow.balancer})
	}
	flow.request.sentEnd = end
	flow.request.lastDataAt = now
	return true
}

func (a *Agent) holdRequest(now time.Duration, key segment.FlowKey, flow *agentFlow, packet []byte) {
	if flow.request.everAdmitted {
		flow.request.askedAt = now
	}
	flow.request.held = [][]byte{slices.Clone(packet)}
	a.queue.waiting = append(a.queue.waiting, queuedRequest{key, flow})
	a.recordEvent(Event{Kind: EventHeld, Flow: key, Request: flow.request.id, Peer: flow.balancer})
}

// holdPacket holds a further packet of a waiting request, unless the same packet is held already.
func (a *Agent) holdPacket(flow *agentFlow, packet []byte) {
	duplicate := slices.ContainsFunc(flow.request.held, func(held []byte) bool { return slices.Equal(held, packet) })
	if !duplicate && len(flow.request.held) < maxHeldPackets {
		flow.request.held = append(flow.request.held, slices.Clone(packet))
	}
}

// occupySlot records that the endpoint is given a request.
func (a *Agent) occupySlot(now time.Duration, flow *agentFlow) {
	flow.request.occupiesSlot = true
	flow.request.everAdmitted = true
	flow.request.admittedAt = now
	flow.request.answerUnread = true
	flow.request.answerSequence, flow.request.answerSequenceKnown = flow.writtenEnd, flow.writtenKnown
	a.usage.occupied++
	if a.usage.slots > 0 {
		a.unanswered.add(flow)
	}
}

// recordResponse records that the endpoint has begun to answer.
func (a *Agent) recordResponse(now time.Duration, key segment.FlowKey, flow *agentFlow) {
	if flow.request.occupiesSlot {
		a.usage.addResponse(now - flow.request.admittedAt)
		a.recordEvent(Event{Kind: EventAnswered, Flow: key, Request: flow.request.id, Elapsed: now - flow.request.admittedAt})
	}
	a.releaseSlot(now, flow)
}

// releaseSlot frees the slot that a flow occupies and admits waiting requests.
func (a *Agent) releaseSlot(now time.Duration, flow *agentFlow) {
	if len(flow.request.held) > 0 && !flow.active() {
		flow.request.held = nil
		a.queue.remove(flow)
	}
	if flow.request.occupiesSlot {
		flow.request.occupiesSlot = false
		a.usage.occupied--
		a.unanswered.remove(flow)
	}
	a.admitWaiting(now)
}

func (a *Agent) admitWaiting(now time.Duration) {
	for _, expired := range a.queue.expire(now, a.queueCapacity().ProcessingTime) {
		request := &expired.flow.request
		a.recordEvent(Event{Kind: EventExpired, Flow: expired.key, Request: request.id, Elapsed: now - request.askedAt})
	}
	for !a.usage.full() {
		admitted, reason, exists := a.queue.next(now, a.queueCapacity())
		if !exists {
			return
		}
		request := &admitted.flow.request
		a.recordEvent(Event{
			Kind: EventAdmitted, Flow: admitted.key, Request: request.id, Peer: admitted.flow.balancer, Elapsed: now - request.askedAt,
			Reason: reason.String(),
		})
		held := request.held
		request.held, request.firstPacket = nil, held[0]
		a.occupySlot(now, admitted.flow)
		request.lastDataAt = now
		for _, packet := range held {
			a.deliverHeld(request, packet)
		}
	}
}

func (a *Agent) deliverHeld(request *requestState, packet []byte) {
	header, _ := a.config.Codec.Decode(packet)
	request.sentEnd = header.Sequence + uint32(header.Length)
	a.deliver(packet)
}

// releaseStuckSlots frees the slots of requests that are never answered, as after a crash of the
// endpoint. Otherwise the agent would return all new flows because the endpoint seems busy.
func (a *Agent) releaseStuckSlots(now time.Duration) {
	for _, flow := range a.flows {
		if flow.request.occupiesSlot && now-flow.request.admittedAt > maxWorkTime {
			a.releaseSlot(now, flow)
		}
	}
}
