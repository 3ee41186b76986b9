package relay

import (
	"slices"
	"time"
)

const (
	// stuckFactor is how many times as long as others a request may take, after its
	// last packet, before its endpoint counts as stuck, and shortestStuck the least
	// time for that.
	stuckFactor  = 12
	minStuckTime = 300 * time.Millisecond
)

// unansweredRequests are the flows whose requests the endpoint has and has not begun to answer.
type unansweredRequests struct{ flows []*agentFlow }

// add notes that the endpoint was given the request of a flow.
func (u *unansweredRequests) add(flow *agentFlow) { u.flows = append(u.flows, flow) }

// remove notes that the endpoint does not work on the request of a flow any more.
func (u *unansweredRequests) remove(flow *agentFlow) {
	u.flows = slices.DeleteFunc(u.flows, func(each *agentFlow) bool { return each == flow })
}

// stuck reports whether a request takes far longer than the mean, in seconds.
func (u *unansweredRequests) stuck(now time.Duration, meanResponseTime float64) bool {
	if meanResponseTime == 0 {
		return false
	}
	patience := max(time.Duration(stuckFactor*meanResponseTime*float64(time.Second)), minStuckTime)
	return slices.ContainsFunc(u.flows, func(flow *agentFlow) bool { return now-flow.request.lastDataAt > patience })
}
