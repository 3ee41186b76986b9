package directory

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// callTimeout is how long a listing, or a watch beyond its wait, may take.
	callTimeout = 900 * time.Millisecond
	// watchMargin is what a watch leaves of the time in which a change has to be
	// in force.
	watchMargin = 500 * time.Millisecond
	// shortestWatch bounds the wait of a watch from below.
	shortestWatch = 500 * time.Millisecond
	// firstRetryDelay is the delay after a failed call. It doubles with each
	// further failure up to longestRetryDelay.
	firstRetryDelay   = 60 * time.Millisecond
	longestRetryDelay = 500 * time.Millisecond
	// changeBurst is the number of answers with changes that may come in quick
	// succession. Changes come in bursts, as when all endpoints start, and a later
	// answer carries all that have come meanwhile.
	changeBurst = 3
)

// Timing tells how much time the directory has. Calls of the store cost
// something, so that it asks no more often than is needed.
type Timing struct {
	// ApplyTimeout is the time in which a change has to be in force.
	ApplyTimeout time.Duration
}

// watchWait is how long one watch waits for changes. An answer of any kind
// confirms the directory, so it also bounds how old a confirmation is and how
// long a call that hangs goes unnoticed.
func (t Timing) watchWait() time.Duration { return max(t.ApplyTimeout-watchMargin, shortestWatch) }

// changeInterval is the time between two watches while changes go on and on.
func (t Timing) changeInterval() time.Duration { return t.ApplyTimeout / 5 }

// patience is how long a process that is behind waits for the store to tell it,
// before it asks a peer. It is longer than the time between watches.
func (t Timing) patience() time.Duration { return t.ApplyTimeout / 3 }

// Call is the next call of the store.
type Call struct {
	// Listing is set for a page of a listing, otherwise the call is a watch.
	Listing bool
	// After is the key that the page comes after.
	After string
	// AfterRevision is the revision whose changes are watched for, and Wait how
	// long.
	AfterRevision Revision
	Wait          time.Duration
	// Delay is the time to wait before the call.
	Delay time.Duration
	// Timeout bounds the call.
	Timeout time.Duration
}

// Follower decides which calls keep a directory current: a listing, page by
// page, and then watches from the revision at which the listing began, since
// the pages are no snapshot. It is deterministic.
type Follower struct {
	machine  *Machine
	timing   Timing
	begun    Revision
	items    []Item
	next     string
	watching bool
	failures int
	// spacing is the time to leave after changes, so that all balancers together
	// keep to the store's rate; changed is set if the last answer had some.
	spacing time.Duration
	changed bool
	// changes bounds how often answers with changes are asked for, and owed is
	// how long the next watch waits for that.
	changes pacer
	owed    time.Duration
}

// NewFollower returns a follower that keeps the machine current.
func NewFollower(machine *Machine, timing Timing) *Follower {
	changes := pacer{interval: timing.changeInterval(), tokens: changeBurst}
	return &Follower{machine: machine, timing: timing, changes: changes}
}

// rateShare is the part of the store's rate that watches may take while changes
// come in quick succession.
const rateShare = 0.5

// Share tells how many balancers watch the store, which answers rate calls a
// second of all of them together.
func (f *Follower) Share(balancers int, rate float64) {
	f.spacing = secondsOf(float64(balancers) / (rate * rateShare))
}

// Next returns the next call; random, from 0 to below 1, spreads the calls of
// many processes.
func (f *Follower) Next(random float64) Call {
	delay := f.delay(random)
	if !f.watching {
		return Call{Listing: true, After: f.next, Delay: delay, Timeout: callTimeout}
	}
	return Call{
		AfterRevision: f.machine.Complete(),
		Wait:          f.timing.watchWait(),
		Delay:         delay,
		Timeout:       f.timing.watchWait() + callTimeout,
	}
}

func (f *Follower) delay(random float64) time.Duration {
	if f.failures == 0 {
		return f.spacingAfterChanges(random)
	}
	delay := firstRetryDelay
	for range f.failures - 1 {
		delay = min(2*delay, longestRetryDelay)
	}
	return delay - time.Duration(random*float64(delay)/2)
}

// spacingAfterChanges keeps a burst of changes from being told to each balancer
// one by one; an answer carries all that have come meanwhile.
func (f *Follower) spacingAfterChanges(random float64) time.Duration {
	if !f.changed {
		return 0
	}
	return max(f.owed, f.spacing/2+time.Duration(random*float64(f.spacing)))
}

// Listed handles a page of a listing. It reports whether the snapshot changed.
func (f *Follower) Listed(now time.Duration, page Page) bool {
	f.failures = 0
	f.changed = false
	if f.next == "" {
		f.begun = page.At
		f.items = f.items[:0]
	}
	f.items = append(f.items, page.Items...)
	if page.More && page.Last != f.next {
		f.next = page.Last
		return false
	}
	f.next = ""
	f.watching = true
	changed := f.machine.Listing(now, f.items, f.begun)
	f.items = nil
	return changed
}

// Watched handles the answer to a watch. It reports whether the snapshot
// changed.
func (f *Follower) Watched(now time.Duration, changes Changes) bool {
	f.failures = 0
	f.changed = len(changes.Items) > 0
	if f.changed {
		f.owed = f.changes.spend(now)
	}
	return f.machine.Changes(now, changes.Items, changes.Through)
}

// Failed handles a failed call. Lost history takes a new listing.
func (f *Follower) Failed(err error) {
	var failed *StoreError
	if errors.As(err, &failed) && failed.Failure == StoreCompacted {
		f.Relist()
		return
	}
	f.failures++
}

// Relist makes the next call a new listing, as when the store is reached under
// another address.
func (f *Follower) Relist() {
	f.watching = false
	f.next = ""
	f.failures = 0
	f.changed = false
}

// Following reports whether the last call succeeded and the directory is
// watched.
func (f *Follower) Following() bool { return f.watching && f.failures == 0 }

// pacer is a token bucket that earns a token in each interval.
type pacer struct {
	interval time.Duration
	tokens   float64
	earned   time.Duration
}

// spend takes a token and returns how long it takes until there is another one.
func (p *pacer) spend(now time.Duration) time.Duration {
	gained := float64(now-p.earned) / float64(p.interval)
	p.earned = now
	p.tokens = min(p.tokens+gained, changeBurst) - 1
	return time.Duration(max(1-p.tokens, 0) * float64(p.interval))
}
