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
	// firstEjection is how long a stuck endpoint gets no new flows at first; the time
	// doubles up to longestEjection while its trials fail.
	firstEjection   = time.Second
	longestEjection = 8 * time.Second
	// trialInterval is the time between two new flows of an endpoint on probation,
	// which ends after provenAnswers.
	trialInterval = 200 * time.Millisecond
	provenAnswers = 5
)

// outlier tells whether an endpoint leaves requests without an answer while it looks
// well otherwise, so that new flows are better off elsewhere (outlier detection as in
// Envoy's load balancing, with the agent in the place of the balancers, each of which
// would have to find out for itself).
type outlier struct {
	// given are the flows whose requests the endpoint has and has not begun to
	// answer.
	given []*agentFlow
	// ejection is how long the endpoint was left out last; it is zero if it is
	// trusted.
	ejection  time.Duration
	ends      time.Duration
	nextTrial time.Duration
	answers   int
}

// took notes that the endpoint was given the request of a flow.
func (o *outlier) took(flow *agentFlow) { o.given = append(o.given, flow) }

// released notes that the endpoint does not work on the request of a flow any more.
func (o *outlier) released(flow *agentFlow) {
	o.given = slices.DeleteFunc(o.given, func(each *agentFlow) bool { return each == flow })
}

// answered notes that the endpoint has begun to answer a request.
func (o *outlier) answered() {
	if o.ejection == 0 {
		return
	}
	o.answers++
	if o.answers >= provenAnswers {
		o.ejection = 0
	}
}

// stuck reports whether a request takes far longer than others.
func (o *outlier) stuck(now time.Duration, working float64) bool {
	if working == 0 {
		return false
	}
	patience := max(time.Duration(stuckFactor*working*float64(time.Second)), shortestStuck)
	return slices.ContainsFunc(o.given, func(flow *agentFlow) bool { return now-flow.work.fed > patience })
}

// ejected reports whether the endpoint is left out.
func (o *outlier) ejected(now time.Duration) bool { return o.ejection > 0 && now < o.ends }

// admits reports whether a new flow may go to the endpoint, and notes the trial that
// it is on probation.
func (o *outlier) admits(now time.Duration, working float64) bool {
	if o.stuck(now, working) {
		o.eject(now)
		return false
	}
	if o.ejection == 0 {
		return true
	}
	if now < o.ends || now < o.nextTrial {
		return false
	}
	o.nextTrial = now + trialInterval
	return true
}

// eject leaves the endpoint out from now on, longer each time. While it stays stuck,
// the end moves along.
func (o *outlier) eject(now time.Duration) {
	if !o.ejected(now) {
		o.ejection = min(max(2*o.ejection, firstEjection), longestEjection)
	}
	o.ends = now + o.ejection
	o.answers = 0
}
