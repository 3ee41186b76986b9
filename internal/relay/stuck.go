package relay

import (
	"slices"
	"time"
)

const (
	// stuckFactor is how many times as long as others a request may take, after its
	// last packet, before its endpoint counts as stuck, and shortestStuck the least
	// time for that.
	stuckFactor   = 12
	shortestStuck = 300 * time.Millisecond
)

// unanswered are the flows whose requests the endpoint has and has not begun to answer.
type unanswered struct{ flows []*agentFlow }

// took notes that the endpoint was given the request of a flow.
func (u *unanswered) took(flow *agentFlow) { u.flows = append(u.flows, flow) }

// released notes that the endpoint does not work on the request of a flow any more.
func (u *unanswered) released(flow *agentFlow) {
	u.flows = slices.DeleteFunc(u.flows, func(each *agentFlow) bool { return each == flow })
}

// stuck reports whether a request takes far longer than the mean, in seconds.
func (u *unanswered) stuck(now time.Duration, mean float64) bool {
	if mean == 0 {
		return false
	}
	patience := max(time.Duration(stuckFactor*mean*float64(time.Second)), shortestStuck)
	return slices.ContainsFunc(u.flows, func(flow *agentFlow) bool { return now-flow.work.fed > patience })
}
