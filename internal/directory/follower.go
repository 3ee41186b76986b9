package directory

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// callTimeout limits a listing call, and the time that a watch takes beyond its wait.
	callTimeout = 900 * time.Millisecond
	// watchMargin is the part of ApplyTimeout that the watch of a sole balancer leaves unused.
	watchMargin = 500 * time.Millisecond
	// minWatchWait is the shortest wait of a watch.
	minWatchWait = 500 * time.Millisecond
	// pollWait is the wait of a watch that returns only existing changes.
	pollWait = time.Millisecond
	// firstRetryDelay is the delay after a failed call. It doubles with each further failure up
	// to maxRetryDelay.
	firstRetryDelay = 60 * time.Millisecond
	maxRetryDelay   = 500 * time.Millisecond
	// verifyDelay is the delay of a watch that verifies a revision which peers announced and
	// the store has not reported. It limits the calls if such announcements repeat.
	verifyDelay = 200 * time.Millisecond
	// changeBurst is the number of responses with changes that may follow each other quickly.
	// Changes arrive in bursts, for example when all endpoints start, and a later response
	// contains all changes since the previous one.
	changeBurst = 3
)

// Timing holds the time limits of the directory. Calls to the store have a cost, so the
// schedule makes only those that the limits require.
type Timing struct {
	// ApplyTimeout is the time within which a change must take effect.
	ApplyTimeout time.Duration
	// ListingDelay is how long a starting process waits for a snapshot of a peer before it
	// lists the store.
	ListingDelay time.Duration
	// ContactTimeout is the time within which balancers must be in contact after connections
	// were lost, or 0 for no limit.
	ContactTimeout time.Duration
}

// silentWatchShare is the part of ContactTimeout that a watch on a silent connection may take.
// Until its wait ends, it cannot be distinguished from a watch without changes.
const silentWatchShare = 0.5

// boundWait shortens the wait of a watch so that a silent connection is abandoned in time.
func (t Timing) boundWait(wait time.Duration) time.Duration {
	if t.ContactTimeout > 0 {
		wait = min(wait, time.Duration(silentWatchShare*float64(t.ContactTimeout))-callTimeout)
	}
	return max(wait, minWatchWait)
}

// watchWait returns how long a watch waits for changes. Any response confirms the directory for
// all balancers, so this also bounds the interval between confirmations.
func (t Timing) watchWait() time.Duration { return t.boundWait(t.ApplyTimeout * 2 / 5) }

// soleWatchWait returns the wait of a watch that confirms the directory for no other balancer.
// It bounds how long a hanging call goes unnoticed.
func (t Timing) soleWatchWait() time.Duration { return t.boundWait(t.ApplyTimeout - watchMargin) }

// pollDelay returns the age of the directory at which a balancer that does not watch polls the
// store. pollSpread returns the period over which all such balancers spread their polls.
// Together with one unanswered call and its retry they stay below ApplyTimeout.
func (t Timing) pollDelay() time.Duration  { return t.ApplyTimeout / 2 }
func (t Timing) pollSpread() time.Duration { return t.ApplyTimeout / 6 }

// pollRetryDelay returns the delay of such a balancer after a failed call. Hundreds of
// balancers retry while the store is unavailable.
func (t Timing) pollRetryDelay() time.Duration { return t.ApplyTimeout / 6 }

// changeInterval returns the interval between watches while changes keep arriving.
func (t Timing) changeInterval() time.Duration { return t.ApplyTimeout / 5 }

// fetchDelay returns how long a process that is behind waits for updates before it fetches from
// a peer. It exceeds changeInterval.
func (t Timing) fetchDelay() time.Duration { return t.ApplyTimeout / 3 }

// Call describes one call to the store.
type Call struct {
	// Listing is set for a page of a listing. Otherwise the call is a watch.
	Listing bool
	// AfterKey is the key that the page starts after.
	AfterKey string
	// AfterRevision is the revision after which a watch returns changes. Wait is how long it
	// waits for them.
	AfterRevision Revision
	Wait          time.Duration
	// Timeout limits the whole call.
	Timeout time.Duration
}

// IsPoll reports whether the call is a watch that returns only existing changes.
func (c Call) IsPoll() bool { return !c.Listing && c.Wait == pollWait }

// WatchPolicy decides whether a process watches the store and, if not, when it polls.
type WatchPolicy interface {
	Watching() bool
	Alone() bool
	PollAt() time.Duration
	// SnapshotDeadline returns until when a process without a directory may expect a snapshot
	// of another process.
	SnapshotDeadline() time.Duration
}

// Follower decides which calls keep the directory current. Unless a snapshot of a peer arrives
// first, it lists the store page by page. It then watches from the revision at which the
// listing began, because the pages are not one consistent snapshot. It is deterministic.
type Follower struct {
	replica         *Replica
	timing          Timing
	policy          WatchPolicy
	listingRevision Revision
	listedItems     []Item
	// call is the last call that was due, made at calledAt. listingBegan is when the first page of
	// the listing was requested.
	call         Call
	calledAt     time.Duration
	listingBegan time.Duration
	// currentAt is the time up to which the last response proves that the directory has all
	// changes, or longAgo before the first response.
	currentAt time.Duration
	nextKey   string
	// relist is set if a listing is needed although the directory is loaded.
	relist   bool
	failures int
	// askedRevision is the latest known revision when the last call was chosen.
	askedRevision Revision
	// verifying is set while peers have announced a higher revision than the store. The next
	// call is a poll.
	verifying bool
	// started is when the first call was considered.
	started    time.Duration
	hasStarted bool
	// earliestCall is when the next call may be made.
	earliestCall time.Duration
	// changeBucket limits how often the follower asks for more changes after a response with
	// changes.
	changeBucket tokenBucket
	// spacing is the shortest interval between such calls, so that all balancers together stay
	// within the store's rate limit.
	spacing time.Duration
}

// NewFollower returns a follower that keeps the replica current.
func NewFollower(replica *Replica, timing Timing, policy WatchPolicy) *Follower {
	// Each process of a starting fleet may receive one response with changes at first.
	changeBucket := tokenBucket{interval: timing.changeInterval(), tokens: 1}
	return &Follower{replica: replica, timing: timing, policy: policy, changeBucket: changeBucket, currentAt: longAgo}
}

// watchRateShare is the part of the store's rate limit that watches may use while changes
// arrive quickly.
const watchRateShare = 0.5

// SetStoreRate sets the number of balancers that call the store and the calls per second that
// it accepts from all of them together.
func (f *Follower) SetStoreRate(balancers int, rate float64) {
	f.spacing = secondsToDuration(float64(balancers) / (rate * watchRateShare))
}

// Next returns the next call and when to make it. A call that is due must be made at once, and Next
// must not be called during a call. The caller must ask again once the directory or the watch policy
// has changed.
func (f *Follower) Next(now time.Duration) (Call, time.Duration) {
	call, due := f.next(now)
	if due <= now {
		f.call, f.calledAt = call, now
	}
	return call, due
}

func (f *Follower) next(now time.Duration) (Call, time.Duration) {
	if !f.hasStarted {
		f.hasStarted = true
		f.started = now
	}
	f.askedRevision = f.replica.latestSeen
	if f.replica.AppliedRevision() == 0 {
		return f.page(), max(f.earliestCall, f.started+f.timing.ListingDelay, f.policy.SnapshotDeadline())
	}
	if f.relist {
		return f.page(), f.earliestCall
	}
	poll := Call{AfterRevision: f.replica.AppliedRevision(), Wait: pollWait, Timeout: pollWait + callTimeout}
	switch {
	case f.verifying:
		return poll, f.earliestCall
	case f.policy.Watching():
		return f.watch(now), f.earliestCall
	}
	return poll, max(f.earliestCall, f.policy.PollAt())
}

func (f *Follower) page() Call { return Call{Listing: true, AfterKey: f.nextKey, Timeout: callTimeout} }

// watch returns a watch that ends when the next confirmation is due. A response with changes comes
// earlier, and it confirms the directory only for the time at which the watch began.
func (f *Follower) watch(now time.Duration) Call {
	wait := f.timing.watchWait()
	if f.policy.Alone() {
		wait = f.timing.soleWatchWait()
	}
	if f.currentAt > longAgo {
		wait = min(max(f.currentAt+wait-now, pollWait), wait)
	}
	return Call{AfterRevision: f.replica.AppliedRevision(), Wait: wait, Timeout: wait + callTimeout}
}

// HandlePage handles a page of a listing. It reports whether the snapshot changed.
func (f *Follower) HandlePage(now time.Duration, page Page) bool {
	f.failures = 0
	f.earliestCall = 0
	if f.nextKey == "" {
		f.detectInvalidRevision(page.Revision)
		f.listingRevision = page.Revision
		f.listingBegan = f.calledAt
		f.listedItems = f.listedItems[:0]
	}
	f.listedItems = append(f.listedItems, page.Items...)
	if page.More && page.LastKey != f.nextKey {
		f.nextKey = page.LastKey
		f.abandonListing()
		return false
	}
	f.nextKey = ""
	f.relist = false
	f.currentAt = f.listingBegan
	changed := f.replica.ApplyListing(now, f.listedItems, f.listingRevision)
	f.listedItems = nil
	return changed
}

// abandonListing ends a listing if a snapshot of a peer has arrived and made it unnecessary.
func (f *Follower) abandonListing() {
	if f.replica.AppliedRevision() > 0 && !f.relist {
		f.nextKey = ""
		f.listedItems = nil
	}
}

// HandleChanges handles the response to a watch. random, in [0, 1), spreads the calls of many
// processes. It reports whether the snapshot changed.
func (f *Follower) HandleChanges(now time.Duration, changes Changes, random float64) bool {
	f.failures = 0
	f.earliestCall = 0
	f.abandonListing()
	if f.detectInvalidRevision(changes.Through) {
		f.earliestCall = now + f.correctionDelay(random)
		return false
	}
	if len(changes.Items) > 0 {
		spacing := f.spacing/2 + time.Duration(random*float64(f.spacing))
		f.earliestCall = now + max(f.changeBucket.take(now), spacing)
	}
	f.currentAt = f.provenAt(now, changes)
	changed := f.replica.ApplyChanges(now, changes.Items, changes.Through)
	if changes.Through < f.replica.latestSeen {
		f.verifying = true
		f.earliestCall = max(f.earliestCall, now+verifyDelay)
	}
	return changed
}

// provenAt returns the time up to which a response to the last watch, received at now, proves that
// the directory has all changes. The store sent the response at an unknown time between the call
// and now: the response may have been delayed on its way or in this process. It responds without
// changes only at the end of the wait.
func (f *Follower) provenAt(now time.Duration, changes Changes) time.Duration {
	if len(changes.Items) == 0 && now-f.calledAt >= f.call.Wait {
		return f.calledAt + f.call.Wait
	}
	return f.calledAt
}

// CurrentAt returns the time up to which the last response of the store proves that the directory
// has all changes that the store had accepted.
func (f *Follower) CurrentAt() time.Duration { return f.currentAt }

// detectInvalidRevision invalidates the directory if the store is behind the revision that was
// known when the call began. It reports whether it did.
func (f *Follower) detectInvalidRevision(storeRevision Revision) bool {
	f.verifying = false
	if storeRevision >= f.askedRevision {
		return false
	}
	f.replica.Invalidate(f.askedRevision, storeRevision)
	return true
}

// correctionDelay returns how long a process with an invalidated directory waits for a correct
// one from others before it lists the store. Hundreds of processes are invalidated at once. A
// watcher lists without delay, so that the others can fetch from it.
func (f *Follower) correctionDelay(random float64) time.Duration {
	if f.policy.Watching() {
		return 0
	}
	return ListingDelay(random)
}

// HandleFailure handles a failed call. If the store has compacted its history, a new listing
// follows.
func (f *Follower) HandleFailure(now time.Duration, err error, random float64) {
	var storeError *StoreError
	if errors.As(err, &storeError) && storeError.Failure == StoreCompacted {
		f.Relist()
		return
	}
	if storeError == nil || storeError.Failure.outage() {
		f.replica.MarkStoreFailed(f.calledAt)
	}
	f.failures++
	delay, longest := firstRetryDelay, maxRetryDelay
	if f.replica.AppliedRevision() > 0 && !f.policy.Watching() {
		delay, longest = f.timing.pollRetryDelay(), 2*f.timing.pollRetryDelay()
	}
	for range f.failures - 1 {
		delay = min(2*delay, longest)
	}
	f.earliestCall = now + delay - time.Duration(random*float64(delay)/2)
}

// Relist makes the next call a new listing, for example after the address of the store changed.
func (f *Follower) Relist() {
	f.relist = true
	f.nextKey = ""
	f.failures = 0
	f.earliestCall = 0
}

// InSync reports whether the directory is loaded and the last call succeeded without a pending
// listing or verification.
func (f *Follower) InSync() bool {
	return f.replica.AppliedRevision() > 0 && !f.relist && !f.verifying && f.failures == 0
}

// tokenBucket is a token bucket that gains one token per interval.
type tokenBucket struct {
	interval   time.Duration
	tokens     float64
	refilledAt time.Duration
}

// take removes a token and returns the time until another one is available.
func (b *tokenBucket) take(now time.Duration) time.Duration {
	gained := float64(now-b.refilledAt) / float64(b.interval)
	b.refilledAt = now
	b.tokens = min(b.tokens+gained, changeBurst) - 1
	return time.Duration(max(1-b.tokens, 0) * float64(b.interval))
}
