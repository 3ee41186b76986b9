package directory

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// watchWait is how long one watch waits for changes. An answer of any kind
	// confirms the directory, so it also bounds how old a confirmation is.
	watchWait = 2500 * time.Millisecond
	// callTimeout is how long a listing, or a watch beyond its wait, may take.
	callTimeout = 900 * time.Millisecond
	// firstRetryDelay is the delay after a failed call. It doubles with each
	// further failure up to longestRetryDelay.
	firstRetryDelay   = 60 * time.Millisecond
	longestRetryDelay = 500 * time.Millisecond
)

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
	begun    Revision
	items    []Item
	next     string
	watching bool
	failures int
	// spacing is the time to leave after changes, so that all balancers together
	// keep to the store's rate; changed is set if the last answer had some.
	spacing time.Duration
	changed bool
}

// NewFollower returns a follower that keeps the machine current.
func NewFollower(machine *Machine) *Follower { return &Follower{machine: machine} }

// rateShare is the part of the store's rate that watches may take while changes
// come in quick succession.
const rateShare = 0.5

// Share tells how many balancers watch the store, which answers rate calls a
// second of all of them together.
func (f *Follower) Share(balancers int, rate float64) {
	f.spacing = time.Duration(float64(balancers) / (rate * rateShare) * float64(time.Second))
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
		Wait:          watchWait,
		Delay:         delay,
		Timeout:       watchWait + callTimeout,
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
	return f.spacing/2 + time.Duration(random*float64(f.spacing))
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
