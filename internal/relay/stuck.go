package relay

import (
	"slices"
	"time"
)

const (
	// The endpoint counts as stuck if the last data of an unanswered request is older than
	// stuckFactor times the mean response time, and older than minStuckTime.
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
	threshold := max(time.Duration(stuckFactor*meanResponseTime*float64(time.Second)), minStuckTime)
	return slices.ContainsFunc(u.flows, func(flow *agentFlow) bool { return now-flow.request.lastDataAt > threshold })
}
