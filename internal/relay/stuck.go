package relay

import (
	"slices"
	"time"
)

const (
	// stuckFactor is the ratio of the time since the last data of a request to the mean response
	// time from which the endpoint counts as stuck. minStuckTime is the minimum time for that.
	stuckFactor  = 12
	minStuckTime = 300 * time.Millisecond
)

// unansweredRequests holds the flows whose requests the endpoint has not begun to answer.
type unansweredRequests struct{ flows []*agentFlow }

// add records that the endpoint was given the request of a flow.
func (u *unansweredRequests) add(flow *agentFlow) { u.flows = append(u.flows, flow) }

// remove records that the endpoint no longer works on the request of a flow.
func (u *unansweredRequests) remove(flow *agentFlow) {
	u.flows = slices.DeleteFunc(u.flows, func(each *agentFlow) bool { return each == flow })
}

// stuck reports whether a request takes far longer than the mean response time in seconds.
func (u *unansweredRequests) stuck(now time.Duration, meanResponseTime float64) bool {
	if meanResponseTime == 0 {
		return false
	}
	patience := max(time.Duration(stuckFactor*meanResponseTime*float64(time.Second)), minStuckTime)
	return slices.ContainsFunc(u.flows, func(flow *agentFlow) bool { return now-flow.request.lastDataAt > patience })
}
