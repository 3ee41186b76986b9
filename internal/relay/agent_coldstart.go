package relay

import (
	"time"
)

const (
	// restartSilence is how long an endpoint must be silent while opening packets await its answer,
	// to count as restarted when it answers again. A running endpoint answers them within a few
	// milliseconds.
	restartSilence = 300 * time.Millisecond
	// coldBurstShare is the share of the headroom above the rate that one burst may use. A restarted
	// agent has no record of what its predecessor let through, so two bursts may come within a
	// second.
	coldBurstShare = 0.25
	// maxLowPriorityWait is the maximum time that requests of lower priority wait for one of them
	// to be admitted, so that they do not starve. urgentRetention is how long a request determines
	// the most urgent priority.
	maxLowPriorityWait = time.Second
	urgentRetention    = time.Second
	// maxColdWait limits the time for which balancers are asked to avoid an endpoint. Its permitted
	// rate may grow in the meantime.
	maxColdWait = 250 * time.Millisecond
)

// ColdStartLimit is how far the requests for a cold endpoint may exceed its rate in any second.
type ColdStartLimit struct {
	// Overrun is a factor on the rate, at least 1. Slack is a number of requests on top of it.
	Overrun float64
	Slack   float64
}

// coldStartLimiter limits the opening packets for an endpoint that is cold or that has failed soon
// after its start. It is part of the agent because all requests of the endpoint pass there. It is a
// token bucket: in any second it admits at most the rate and one burst.
//
// Without it, 51 endpoints that serve 12 requests a second each while cold failed 255 times in the
// 18 s after a power loss under 1,555 requests a second, and a quarter of all requests of the run
// failed with them. With it none failed (89 emulated machines).
type coldStartLimiter struct {
	limit ColdStartLimit
	// rate, in requests a second, and warmupTime are the latest values from balancers. A rate of 0
	// means no limit.
	rate       float64
	warmupTime time.Duration
	// coldUntil is the time until which the endpoint counts as cold. revision is the store revision
	// of the entry that it is from, 0 if the agent inferred it.
	coldUntil time.Duration
	revision  uint64
	// restartColdUntil is the end of the cold phase after the latest restart that the agent inferred.
	// The entry may be that of an earlier start until the endpoint's next write arrives.
	restartColdUntil time.Duration
	crashLoop        crashLoopLimiter
	// down is set from a failure of the endpoint until it accepts a flow again.
	down bool
	// tokens is the fill level of the bucket at refilledAt.
	tokens     float64
	refilledAt time.Duration
	// unansweredSince is when the first opening packet arrived that the endpoint has not answered,
	// never if there is none.
	unansweredSince time.Duration
	// urgentPriority is the most urgent recent priority, last seen at urgentSeenAt.
	// lowPriorityWaitingSince is since when a request of lower priority has been waiting, never if
	// none has.
	urgentPriority          uint8
	urgentSeenAt            time.Duration
	lowPriorityWaitingSince time.Duration
}

func newColdStartLimiter(limit ColdStartLimit) coldStartLimiter {
	return coldStartLimiter{limit: limit, crashLoop: newCrashLoopLimiter(), unansweredSince: never, lowPriorityWaitingSince: never, urgentSeenAt: -2 * urgentRetention}
}

// update records the values from a balancer. A later revision replaces the end of the cold phase.
// For the same revision the earliest end is right, because messages take time to arrive.
func (c *coldStartLimiter) update(now time.Duration, coldStart ColdStart) {
	c.rate = float64(coldStart.Rate) / 1000
	c.warmupTime = milliseconds(coldStart.WarmupTime)
	coldUntil := now + milliseconds(coldStart.Remaining)
	switch {
	case coldStart.Remaining == 0:
	case coldStart.Revision > c.revision:
		c.coldUntil, c.revision = coldUntil, coldStart.Revision
	case coldStart.Revision == c.revision:
		c.coldUntil = min(c.coldUntil, coldUntil)
	}
}

// recordAgentStart records the start of the agent, which may be that of its endpoint too.
func (c *coldStartLimiter) recordAgentStart(now time.Duration) { c.crashLoop.lastStart = now }

// recordFailure records a failure of the endpoint, unless it is known to be down. It reports whether
// the failure came soon after a start.
func (c *coldStartLimiter) recordFailure(at time.Duration) bool {
	if c.down {
		return false
	}
	c.down = true
	return c.crashLoop.recordFailure(at)
}

// recordLostFlow records that the endpoint no longer holds a flow that it held before. That is a
// failure unless the flow was opened before a known start. It reports whether the failure came soon
// after a start.
func (c *coldStartLimiter) recordLostFlow(now, openedAt time.Duration) (crashLooping bool) {
	if c.crashLoop.lastStart != never && openedAt <= c.crashLoop.lastStart {
		return false
	}
	return c.recordFailure(now)
}

// recordOpening records that the endpoint was given an opening packet.
func (c *coldStartLimiter) recordOpening(now time.Duration) {
	c.crashLoop.recordRequest(now)
	c.unansweredSince = min(c.unansweredSince, now)
}

// recordOutput records that the endpoint wrote a packet. A long silence before it counts as a
// failure. recordOutput reports whether the failure came soon after a start.
func (c *coldStartLimiter) recordOutput(now time.Duration) (crashLooping bool) {
	if c.unansweredSince != never && now-c.unansweredSince >= restartSilence {
		crashLooping = c.recordFailure(c.unansweredSince)
	}
	c.unansweredSince = never
	return crashLooping
}

// recordAccepted records that the endpoint accepted a flow. It reports whether the endpoint has
// restarted, which its entry in the store may not show yet.
func (c *coldStartLimiter) recordAccepted(now time.Duration) bool {
	if !c.down {
		return false
	}
	c.down = false
	c.restartColdUntil = now + c.warmupTime
	c.crashLoop.recordRestart(now)
	return true
}

// isCold reports whether the endpoint is limited to its rate. That includes a failed endpoint,
// which is cold as soon as it is back.
func (c *coldStartLimiter) isCold(now time.Duration) bool {
	return c.rate > 0 && (c.down || now < max(c.coldUntil, c.restartColdUntil))
}

// limited reports whether the requests for the endpoint are limited.
func (c *coldStartLimiter) limited(now time.Duration) bool {
	return c.isCold(now) || c.crashLoop.limited(now)
}

// burst returns the capacity of the token bucket.
func (c *coldStartLimiter) burst(now time.Duration) float64 {
	if !c.isCold(now) || c.crashLoop.limited(now) {
		return 1
	}
	headroom := (c.limit.Overrun-1)*c.rate + c.limit.Slack
	return max(1, coldBurstShare*headroom)
}

// sustainedRate returns the refill rate of the bucket in requests a second. It is the rate of the
// endpoint, or less if that rate and two bursts would exceed the limit.
func (c *coldStartLimiter) sustainedRate(now time.Duration) float64 {
	if !c.isCold(now) {
		return c.crashLoop.rate(now)
	}
	maxRate := c.limit.Overrun*c.rate + c.limit.Slack
	rate := max(min(c.rate, maxRate-2*c.burst(now)), c.rate/2)
	if c.crashLoop.limited(now) {
		return min(rate, c.crashLoop.rate(now))
	}
	return rate
}

func (c *coldStartLimiter) refill(now time.Duration) {
	c.tokens = min(c.tokens+(now-c.refilledAt).Seconds()*c.sustainedRate(now), c.burst(now))
	c.refilledAt = now
}

// admit reports whether the endpoint may get a request now, and takes a token if so.
func (c *coldStartLimiter) admit(now time.Duration, priority uint8) bool {
	if !c.limited(now) {
		return true
	}
	c.refill(now)
	if c.tokens < c.requiredTokens(now, priority) {
		return false
	}
	c.tokens--
	if priority > c.urgentPriority {
		c.lowPriorityWaitingSince = never
	}
	return true
}

// requiredTokens returns how many tokens a request of a priority needs to be admitted. While tokens
// are scarce the most urgent requests go first: others need a full bucket.
func (c *coldStartLimiter) requiredTokens(now time.Duration, priority uint8) float64 {
	if priority <= c.urgentPriority || now-c.urgentSeenAt > urgentRetention {
		c.urgentPriority, c.urgentSeenAt = priority, now
		return 1
	}
	c.lowPriorityWaitingSince = min(c.lowPriorityWaitingSince, now)
	if now-c.lowPriorityWaitingSince >= maxLowPriorityWait {
		return 1
	}
	return c.burst(now)
}

// waitTime returns the time until the endpoint may get another request.
func (c *coldStartLimiter) waitTime(now time.Duration) time.Duration {
	if !c.limited(now) {
		return 0
	}
	c.refill(now)
	missing := max(1-c.tokens, 0) / c.sustainedRate(now)
	return min(time.Duration(missing*float64(time.Second)), maxColdWait)
}
