package directory

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// callTimeout is how long a listing, or a watch beyond its wait, may take.
	callTimeout = 900 * time.Millisecond
	// watchMargin is what a watch of a balancer that is alone leaves of the time in
	// which a change has to be in force.
	watchMargin = 500 * time.Millisecond
	// shortestWatch bounds the wait of a watch from below.
	shortestWatch = 500 * time.Millisecond
	// pollWait is the wait of a watch that only asks what there is.
	pollWait = time.Millisecond
	// firstRetryDelay is the delay after a failed call. It doubles with each
	// further failure up to longestRetryDelay.
	firstRetryDelay   = 60 * time.Millisecond
	longestRetryDelay = 500 * time.Millisecond
	// verifyDelay is the delay of a watch that verifies a revision which peers have announced
	// and the store has not. It bounds the calls under repeated announcements.
	verifyDelay = 200 * time.Millisecond
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
	// ListingDelay is how long a process that starts waits for a snapshot of a peer, before it
	// lists the store.
	ListingDelay time.Duration
	// ContactTimeout is the time in which balancers have to be in touch after connections
	// were lost, 0 if there is no bound.
	ContactTimeout time.Duration
}

// silenceShare is the part of ContactTimeout that a watch may take whose connection has
// gone silent. A watch without news looks alike until it is over.
const silenceShare = 0.5

// unlessSilent shortens the wait of a watch so that a silent connection is given up in time.
func (t Timing) unlessSilent(wait time.Duration) time.Duration {
	if t.ContactTimeout > 0 {
		wait = min(wait, time.Duration(silenceShare*float64(t.ContactTimeout))-callTimeout)
	}
	return max(wait, shortestWatch)
}

// watchWait is how long one watch waits for changes. An answer of any kind confirms the
// directory for all balancers, so it also bounds the time between confirmations.
func (t Timing) watchWait() time.Duration { return t.unlessSilent(t.ApplyTimeout * 2 / 5) }

// lonelyWait is how long a watch waits that confirms the directory for nobody else. It
// bounds how long a call that hangs goes unnoticed.
func (t Timing) lonelyWait() time.Duration { return t.unlessSilent(t.ApplyTimeout - watchMargin) }

// pollPatience is how old the directory of a balancer that does not watch the store may
// be before it asks the store itself, and pollSpread the time in which all that have
// waited so long do. With a call that is not answered and another, they add up to less
// than ApplyTimeout.
func (t Timing) pollPatience() time.Duration { return t.ApplyTimeout / 2 }
func (t Timing) pollSpread() time.Duration   { return t.ApplyTimeout / 6 }

// pollRetry is how long such a balancer waits after a call that failed. Hundreds do so
// while the store is away.
func (t Timing) pollRetry() time.Duration { return t.ApplyTimeout / 6 }

// changeInterval is the time between two watches while changes go on and on.
func (t Timing) changeInterval() time.Duration { return t.ApplyTimeout / 5 }

// patience is how long a process that is behind waits for updates, before it fetches from a
// peer. It is longer than the time between watches.
func (t Timing) patience() time.Duration { return t.ApplyTimeout / 3 }

// Call is a call of the store.
type Call struct {
	// Listing is set for a page of a listing, otherwise the call is a watch.
	Listing bool
	// After is the key that the page comes after.
	AfterKey string
	// AfterRevision is the revision whose changes are watched for, and Wait how
	// long.
	AfterRevision Revision
	Wait          time.Duration
	// Timeout bounds the call.
	Timeout time.Duration
}

// Polls reports whether the call only asks what there is.
func (c Call) IsPoll() bool { return !c.Listing && c.Wait == pollWait }

// Duty decides whether a process watches the store, or else when it polls it.
type WatchPolicy interface {
	Watching() bool
	Alone() bool
	PollAt() time.Duration
	// SnapshotDue returns until when a process without a directory may expect a snapshot of
	// another.
	SnapshotDeadline() time.Duration
}

// Follower decides which calls keep a directory current: a listing, page by page, if no
// snapshot of a peer has come, and then watches from the revision at which the listing began,
// since the pages are no snapshot. It is deterministic.
type Follower struct {
	machine *Replica
	timing  Timing
	duty    WatchPolicy
	begun   Revision
	items   []Item
	next    string
	// relist is set if a listing is needed though the directory is known.
	relist   bool
	failures int
	// asked is the latest revision known when the last call was decided on.
	asked Revision
	// verify is set while peers have announced more than the store: the next call polls.
	verify bool
	// started is when the first call was considered.
	started    time.Duration
	hasStarted bool
	// earliest is when the next call may be made.
	earliest time.Duration
	// changes bounds how often answers with changes are asked for.
	changes pacer
	// spacing is the least time between two of them, so that all balancers together keep
	// to the store's rate.
	spacing time.Duration
}

// NewFollower returns a follower that keeps the machine current.
func NewFollower(machine *Replica, timing Timing, duty WatchPolicy) *Follower {
	// All that start together have one answer each at first.
	changes := pacer{interval: timing.changeInterval(), tokens: 1}
	return &Follower{machine: machine, timing: timing, duty: duty, changes: changes}
}

// rateShare is the part of the store's rate that watches may take while changes
// come in quick succession.
const rateShare = 0.5

// Share sets how many balancers may call the store, which answers rate calls a second of all
// of them together.
func (f *Follower) SetStoreRate(balancers int, rate float64) {
	f.spacing = secondsOf(float64(balancers) / (rate * rateShare))
}

// Next returns the next call and when to make it. It must not be called while a call is under
// way. Whoever waits for that asks again once
// the directory or the duty has changed.
func (f *Follower) Next(now time.Duration) (Call, time.Duration) {
	if !f.hasStarted {
		f.hasStarted = true
		f.started = now
	}
	f.asked = f.machine.latest
	if f.machine.AppliedRevision() == 0 {
		return f.page(), max(f.earliest, f.started+f.timing.ListingDelay, f.duty.SnapshotDeadline())
	}
	if f.relist {
		return f.page(), f.earliest
	}
	poll := Call{AfterRevision: f.machine.AppliedRevision(), Wait: pollWait, Timeout: pollWait + callTimeout}
	switch {
	case f.verify:
		return poll, f.earliest
	case f.duty.Watching():
		return f.watch(), f.earliest
	}
	return poll, max(f.earliest, f.duty.PollAt())
}

func (f *Follower) page() Call { return Call{Listing: true, AfterKey: f.next, Timeout: callTimeout} }

func (f *Follower) watch() Call {
	wait := f.timing.watchWait()
	if f.duty.Alone() {
		wait = f.timing.lonelyWait()
	}
	return Call{AfterRevision: f.machine.AppliedRevision(), Wait: wait, Timeout: wait + callTimeout}
}

// Listed handles a page of a listing. It reports whether the snapshot changed.
func (f *Follower) HandlePage(now time.Duration, page Page) bool {
	f.failures = 0
	f.earliest = 0
	if f.next == "" {
		f.checkRevision(page.Revision)
		f.begun = page.Revision
		f.items = f.items[:0]
	}
	f.items = append(f.items, page.Items...)
	if page.More && page.LastKey != f.next {
		f.next = page.LastKey
		f.dropIfReceived()
		return false
	}
	f.next = ""
	f.relist = false
	changed := f.machine.ApplyListing(now, f.items, f.begun)
	f.items = nil
	return changed
}

// dropIfReceived gives up a listing that is needed no more, since a snapshot of a peer has
// come meanwhile.
func (f *Follower) dropIfReceived() {
	if f.machine.AppliedRevision() > 0 && !f.relist {
		f.next = ""
		f.items = nil
	}
}

// Watched handles the answer to a watch; random, from 0 to below 1, spreads the calls of
// many processes. It reports whether the snapshot changed.
func (f *Follower) HandleChanges(now time.Duration, changes Changes, random float64) bool {
	f.failures = 0
	f.earliest = 0
	f.dropIfReceived()
	if f.checkRevision(changes.Through) {
		f.earliest = now + f.correctionDelay(random)
		return false
	}
	if len(changes.Items) > 0 {
		spacing := f.spacing/2 + time.Duration(random*float64(f.spacing))
		f.earliest = now + max(f.changes.spend(now), spacing)
	}
	changed := f.machine.ApplyChanges(now, changes.Items, changes.Through)
	if changes.Through < f.machine.latest {
		f.verify = true
		f.earliest = max(f.earliest, now+verifyDelay)
	}
	return changed
}

// checkRevision refutes the directory if the store is behind what was known when it was asked.
// It reports whether that is so.
func (f *Follower) checkRevision(at Revision) bool {
	f.verify = false
	if at >= f.asked {
		return false
	}
	f.machine.Invalidate(f.asked, at)
	return true
}

// correctionDelay is how long a process whose directory was refuted leaves it to others to
// give it a right one, before it lists the store. Hundreds are refuted at once; a watcher
// lists without delay, so that they can ask it.
func (f *Follower) correctionDelay(random float64) time.Duration {
	if f.duty.Watching() {
		return 0
	}
	return ListingDelay(random)
}

// Failed handles a failed call. Lost history takes a new listing.
func (f *Follower) HandleFailure(now time.Duration, err error, random float64) {
	var failed *StoreError
	if errors.As(err, &failed) && failed.Failure == StoreCompacted {
		f.Relist()
		return
	}
	f.failures++
	delay, longest := firstRetryDelay, longestRetryDelay
	if f.machine.AppliedRevision() > 0 && !f.duty.Watching() {
		delay, longest = f.timing.pollRetry(), 2*f.timing.pollRetry()
	}
	for range f.failures - 1 {
		delay = min(2*delay, longest)
	}
	f.earliest = now + delay - time.Duration(random*float64(delay)/2)
}

// Relist makes the next call a new listing, as when the store is reached under
// another address.
func (f *Follower) Relist() {
	f.relist = true
	f.next = ""
	f.failures = 0
	f.earliest = 0
}

// Following reports whether the last call succeeded and the directory is known.
func (f *Follower) InSync() bool {
	return f.machine.AppliedRevision() > 0 && !f.relist && !f.verify && f.failures == 0
}

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
