package relay

import (
	"math"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// responseTimeWeight is the weight of a new measurement in the moving average.
	responseTimeWeight = 0.1
	// spareSlots is the number of requests beyond its slots that an endpoint is given, so that it
	// is never idle.
	spareSlots = 1
	// firstRequestWindow is how long an opened flow without a request is expected to get its first
	// request. Clients that open flows in advance leave them idle for longer.
	firstRequestWindow = time.Second
)

// slotUsage is the use of the endpoint's slots as measured by its agent.
type slotUsage struct {
	slots uint32
	// occupied is the number of requests that the endpoint was given and has not answered.
	occupied uint32
	// meanResponseTime is the mean time from a request to its answer, in seconds.
	meanResponseTime float64
}

// limit returns how many requests the endpoint is given at a time. It keeps all slots busy while no
// request waits long at the endpoint.
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

// overloaded reports whether the endpoint needs more time for the waiting requests than a client
// waits for an answer. A new flow is then better offered to another endpoint, or refused while no
// request of it has run.
func (a *Agent) overloaded(parameters FlowParameters) bool {
	a.usage.slots = parameters.Slots
	if parameters.Slots == 0 || parameters.Timeout == 0 {
		return false
	}
	backlog := float64(len(a.queue.waiting)) * a.usage.meanResponseTime / float64(parameters.Slots)
	return backlog > float64(parameters.Timeout)/1000
}

// busy reports whether a new request would have to wait. The flow may then go to an endpoint that
// is not busy. Its balancer cannot determine which endpoints are busy, because it tracks only the
// flows that it has placed itself, which are very few of all flows if there are hundreds of
// balancers.
func (a *Agent) busy(parameters FlowParameters) bool {
	return parameters.Slots > 0 && a.pending() >= a.usage.limit()
}

// pending returns the number of requests that the endpoint works on, that wait and can still meet
// their objective, or that are expected in flows being opened. Late waiting requests do not count,
// because a new request goes before them.
func (a *Agent) pending() uint32 {
	a.awaitingFirstRequest = slices.DeleteFunc(a.awaitingFirstRequest, func(flow *agentFlow) bool {
		expired := a.now-flow.openedAt >= firstRequestWindow
		return !flow.active() || flow.request.everAdmitted || len(flow.request.held) > 0 || expired
	})
	return a.usage.occupied + a.queue.countInTime(a.now, a.queueCapacity().ProcessingTime) + uint32(len(a.awaitingFirstRequest))
}

// markWorkStarted records which requests the endpoint has begun to work on. An endpoint takes its
// requests in the order in which it was given them, as many at a time as it has slots.
func (a *Agent) markWorkStarted(now time.Duration) {
	inProgress := min(len(a.unanswered.flows), int(a.usage.slots))
	for _, flow := range a.unanswered.flows[:inProgress] {
		if flow.workStarted < flow.request.admittedAt {
			flow.workStarted = now
		}
	}
}

// measureProcessingTime records how long the endpoint worked on a request that it begins to answer,
// without the time that the request waited at the endpoint.
func (a *Agent) measureProcessingTime(now time.Duration, key segment.FlowKey, flow *agentFlow) {
	if flow.request.occupiesSlot && flow.workStarted >= flow.request.admittedAt {
		a.processingTimes.Observe(key.Service, now-flow.workStarted)
	}
}
