// This file decides when a new log of changes is begun.

package cluster

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/membership"
)

// settleTime is how long a founder listens after it has caught up, so that a
// daemon that knows of a log can still be heard.
const settleTime = time.Second

// founding decides whether this process begins the log. There is one founder,
// the first of the seeds; the others wait for it. It founds only after most
// seeds, itself included, have said that they know of no log, and never after
// any daemon has said that it knows of one. It is deterministic.
type founding struct {
	self  membership.Address
	seeds []membership.Address
	// logless are the seeds that have said that they know of no log.
	logless  []membership.Address
	logKnown bool
	done     bool
	caughtUp bool
	since    time.Duration
}

func newFounding(self membership.Address, seeds []membership.Address) *founding {
	return &founding{self: self, seeds: slices.Clone(seeds), logless: []membership.Address{self}}
}

// hear notes whether a daemon knows of a log.
func (f *founding) hear(from membership.Address, knowsLog bool) {
	if knowsLog {
		f.logKnown = true
		return
	}
	if slices.Contains(f.seeds, from) && !slices.Contains(f.logless, from) {
		f.logless = append(f.logless, from)
	}
}

// due reports, once, that this process shall begin the log.
func (f *founding) due(now time.Duration, catchingUp bool) bool {
	if f.done || f.logKnown || len(f.seeds) == 0 || f.seeds[0] != f.self {
		return false
	}
	if catchingUp {
		f.caughtUp = false
		return false
	}
	if !f.caughtUp {
		f.caughtUp = true
		f.since = now
	}
	if now < f.since+settleTime || len(f.logless) <= len(f.seeds)/2 {
		return false
	}
	f.done = true
	return true
}
