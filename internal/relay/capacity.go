package relay

import (
	"math"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// responseTimeWeight is the weight of a new measurement in a moving average.
	responseTimeWeight = 0.1
	// spareSlots is how many requests more than it works on an endpoint is
	// given, so that it is never idle.
	spareSlots = 1
	// firstRequestWindow is for how long a flow counts as one whose first request is about to come.
	// Clients that open flows ahead of need let them rest for longer.
	firstRequestWindow = time.Second
)

// slotUsage is what an agent measures of its endpoint.
type slotUsage struct {
	slots uint32
	// occupied is the number of requests that the endpoint was given and has
	// not answered.
	occupied uint32
	// meanResponseTime is the mean time from request to answer, in seconds.
	meanResponseTime float64
}

// limit returns how many requests the endpoint is given at once: all its slots
// are busy then, and none of the requests waits for long.
func (u *slotUsage) limit() uint32 {
	if u.slots == 0 {
		return math.MaxUint32
	}
	return u.slots + spareSlots
}

func (u *slotUsage) full() bool { return u.occupied >= u.limit() }

func (u *slotUsage) addResponse(responseTime time.Duration) {
	if u.meanResponseTime == 0 {
		u.meanResponseTime = responseTime.Seconds()
		return
	}
	u.meanResponseTime += responseTimeWeight * (responseTime.Seconds() - u.meanResponseTime)
}

// overloaded reports whether the endpoint would take longer for the requests
// that wait than a client waits for an answer, so that a new flow is better
// offered to another or refused before anything of it has run.
func (a *Agent) overloaded(parameters FlowParameters) bool {
	a.usage.slots = parameters.Slots
	if parameters.Slots == 0 || parameters.Timeout == 0 {
		return false
	}
	backlog := float64(len(a.queue.waiting)) * a.usage.meanResponseTime / float64(parameters.Slots)
	return backlog > float64(parameters.Timeout)/1000
}

// busy reports whether a new request would have to wait. A balancer knows only the flows
// that it has placed itself, among hundreds next to nothing, so that it may find one that is
// not.
func (a *Agent) busy(parameters FlowParameters) bool {
	return parameters.Slots > 0 && a.pending() >= a.usage.limit()
}

// pending is the number of requests that the endpoint works on or that wait and can be in
// time, with those that are about to come in flows which are just being opened. Late ones that
// wait keep no new request waiting, which goes first.
func (a *Agent) pending() uint32 {
	a.awaitingFirstRequest = slices.DeleteFunc(a.awaitingFirstRequest, func(flow *agentFlow) bool {
		expired := a.now-flow.openedAt >= firstRequestWindow
		return !flow.active() || flow.request.everAdmitted || len(flow.request.held) > 0 || expired
	})
	return a.usage.occupied + a.queue.countInTime(a.now, a.queueCapacity().Work) + uint32(len(a.awaitingFirstRequest))
}

// markWorkStarted notes which requests the endpoint has begun to work on: it takes them in the
// order in which it was given them, as many at a time as it has slots.
func (a *Agent) markWorkStarted(now time.Duration) {
	inProgress := min(len(a.unanswered.flows), int(a.usage.slots))
	for _, flow := range a.unanswered.flows[:inProgress] {
		if flow.workStarted < flow.request.admittedAt {
			flow.workStarted = now
		}
	}
}

// measureServiceTime takes account of how long the endpoint has worked on a request that it begins to
// answer, without the time for which the request has waited there.
func (a *Agent) measureServiceTime(now time.Duration, key segment.FlowKey, flow *agentFlow) {
	if flow.request.occupiesSlot && flow.workStarted >= flow.request.admittedAt {
		a.serviceTimeMeter.Answered(key.Service, now-flow.workStarted)
	}
}
