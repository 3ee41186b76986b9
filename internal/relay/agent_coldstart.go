package relay

import (
	"time"
)

const (
	// restartSilence is how long an endpoint says nothing, while opening packets wait for
	// it, before it is taken for restarted when it answers again. One that works answers
	// them within a few milliseconds.
	restartSilence = 300 * time.Millisecond
	// coldBurstShare is the part of what the bound leaves above the rate that a burst may
	// take. An agent that is restarted does not know what the one before it let through, so
	// that two bursts may come within a second.
	coldBurstShare = 0.25
	// maxLowPriorityWait is how long requests that are less urgent than others wait for one at the
	// most, so that they do not starve, and urgentMemory how long a request counts in what
	// is the most urgent.
	maxLowPriorityWait = time.Second
	urgentRetention    = time.Second
	// maxColdWait bounds for how long balancers are told to leave an endpoint out: what it
	// gets may grow meanwhile.
	maxColdWait = 250 * time.Millisecond
)

// ColdStartLimit is how much of the rate of a cold endpoint a fleet may exceed in any second.
type ColdStartLimit struct {
	// Overrun is the factor, at least 1, and Slack the number of requests beside it.
	Overrun float64
	Slack   float64
}

// coldStartLimiter bounds what an endpoint gets that is cold, or that has failed soon after its
// start, in the one place through which all of its requests pass. It is a token bucket: in
// any second it lets no more through than the rate and one burst.
//
// Without it, 51 endpoints that carry 12 requests a second each while they are cold failed
// 255 times in the 18 s after a loss of power under 1,555 requests a second, and a quarter
// of all requests of the run with them; with it none fails (89 emulated machines).
type coldStartLimiter struct {
	limit ColdStartLimit
	// rate, in requests a second, and lasts are as told last; rate is 0 if there is no limit.
	rate       float64
	warmupTime time.Duration
	// coldUntil is until when the endpoint is believed to be cold, and told the revision at
	// which that was announced, 0 if the agent has concluded it.
	coldUntil time.Duration
	revision  uint64
	crashLoop crashLoopLimiter
	// down is set from when the endpoint has failed until it takes a flow again.
	down bool
	// tokens are what the bucket held at the time filled.
	tokens     float64
	refilledAt time.Duration
	// unansweredSince is when the first opening packet came that the endpoint has not answered,
	// never if there is none.
	unansweredSince time.Duration
	// urgentPriority is the most urgentPriority priority of late and seen when that was; neglected is since
	// when another has been waiting, never if none has.
	urgentPriority          uint8
	urgentSeenAt            time.Duration
	lowPriorityWaitingSince time.Duration
}

func newColdStartLimiter(bound ColdStartLimit) coldStartLimiter {
	return coldStartLimiter{limit: bound, crashLoop: newCrashLoopLimiter(), unansweredSince: never, lowPriorityWaitingSince: never, urgentSeenAt: -2 * urgentRetention}
}

// update takes what a balancer tells. A later revision replaces what was known; of the same
// one the least is right, since it takes time to be told.
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

// noteAgentStart notes that the agent was noteAgentStart, perhaps together with its endpoint.
func (c *coldStartLimiter) noteAgentStart(now time.Duration) { c.crashLoop.lastStart = now }

// noteFailure notes that the endpoint has failed, at a time, unless that is known. It reports
// whether that was soon after its start.
func (c *coldStartLimiter) noteFailure(at time.Duration) bool {
	if c.down {
		return false
	}
	c.down = true
	return c.crashLoop.noteFailure(at)
}

// noteLostFlow notes that the endpoint does not know a flow that it held: it has failed, unless
// that flow was opened before a start that is known.
func (c *coldStartLimiter) noteLostFlow(now, openedAt time.Duration) (crashLooping bool) {
	if c.crashLoop.lastStart != never && openedAt <= c.crashLoop.lastStart {
		return false
	}
	return c.noteFailure(now)
}

// noteOpening notes that the endpoint is given an opening packet.
func (c *coldStartLimiter) noteOpening(now time.Duration) {
	c.crashLoop.noteRequest(now)
	c.unansweredSince = min(c.unansweredSince, now)
}

// noteOutput notes that the endpoint says something. One that was silent for long has failed.
// It reports whether that was soon after its start.
func (c *coldStartLimiter) noteOutput(now time.Duration) (crashLooping bool) {
	if c.unansweredSince != never && now-c.unansweredSince >= restartSilence {
		crashLooping = c.noteFailure(c.unansweredSince)
	}
	c.unansweredSince = never
	return crashLooping
}

// noteAccepted notes that the endpoint noteAccepted a flow. It reports whether it has been started again,
// which may not have been announced yet.
func (c *coldStartLimiter) noteAccepted(now time.Duration) bool {
	if !c.down {
		return false
	}
	c.down = false
	c.coldUntil = max(c.coldUntil, now+c.warmupTime)
	c.crashLoop.noteRestart(now)
	return true
}

// isCold reports whether the endpoint gets no more than its rate now. One that has failed
// does, too, since it is isCold as soon as it is back.
func (c *coldStartLimiter) isCold(now time.Duration) bool {
	return c.rate > 0 && (c.down || now < c.coldUntil)
}

// limited reports whether what the endpoint gets is bounded now.
func (c *coldStartLimiter) limited(now time.Duration) bool {
	return c.isCold(now) || c.crashLoop.limited(now)
}

// burst is how many requests may come at once.
func (c *coldStartLimiter) burst(now time.Duration) float64 {
	if !c.isCold(now) || c.crashLoop.limited(now) {
		return 1
	}
	headroom := (c.limit.Overrun-1)*c.rate + c.limit.Slack
	return max(1, coldBurstShare*headroom)
}

// sustainedRate is how many requests a second are let through in the long run: the rate, unless
// that and two bursts are more than the bound.
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

// admit reports whether the endpoint may get a request now, and takes account of it.
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

// requiredTokens returns how many tokens there must be for a request of a priority. The most
// urgent go first while there is less than all ask for: others need a full bucket.
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

// waitTime returns how long it takes until the endpoint may get another request.
func (c *coldStartLimiter) waitTime(now time.Duration) time.Duration {
	if !c.limited(now) {
		return 0
	}
	c.refill(now)
	missing := max(1-c.tokens, 0) / c.sustainedRate(now)
	return min(time.Duration(missing*float64(time.Second)), maxColdWait)
}
