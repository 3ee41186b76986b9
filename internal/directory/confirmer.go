package directory

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// minServingInterval is the shortest interval between two confirmations on behalf of other
	// balancers. Each costs a call to the store. A client whose flow is dead is notified only
	// after a confirmation, and that wait is part of a latency objective of several hundred
	// milliseconds.
	minServingInterval = 25 * time.Millisecond
	// minOwnInterval is the shortest interval between two confirmations that serve only flow
	// lookups of this balancer.
	minOwnInterval = 75 * time.Millisecond
	// confirmRate is the sustained number of confirmations per second. confirmBurst is the
	// number that may exceed it, enough for the seconds after the whole deployment has
	// returned, when endpoints have no capacity for clients that reconnect late.
	confirmRate  = 12
	confirmBurst = 100
	// watcherRequestRate limits the requests per second that one watcher receives, a small part
	// of a slow machine's CPU.
	watcherRequestRate = 1000
	// confirmRateShare is the part of the store's rate limit that the confirmations of all
	// balancers may use. Half of it is for confirmations on behalf of others.
	confirmRateShare = 0.25
	// confirmWait is the wait of a watch for missing changes. The store already has them.
	confirmWait = time.Millisecond
	// keyAfterAll sorts after every key. A listing after it returns only the revision of the
	// store.
	keyAfterAll = "~"
)

// Confirmer decides which calls prove that the directory has all changes that the store
// accepted before a given time. The response to a watch proves that only for the time at which
// the store sent it, and the next response may be seconds away. It is deterministic.
type Confirmer struct {
	replica *Replica
	// servingInterval is the shortest interval between confirmations on behalf of other
	// balancers, and ownInterval between those that serve this balancer alone.
	servingInterval time.Duration
	ownInterval     time.Duration
	// servesOthers is set while other balancers wait for a confirmation.
	servesOthers bool
	limiter      *rate.Limiter
	requested    bool
	busy         bool
	// hasBegun is set once a confirmation has begun.
	hasBegun bool
	// watcherRequestInterval is the shortest interval between two requests to watchers.
	// nextWatcherRequest is when the next one may be sent.
	watcherRequestInterval time.Duration
	nextWatcherRequest     time.Duration
	// begun is when the latest confirmation began, that is when its first call was made.
	begun time.Duration
	// startRevision is the revision of the directory when the current listing began.
	startRevision Revision
	// targetRevision is the revision that the directory must reach, or 0 until the store has
	// reported it.
	targetRevision Revision
}

// NewConfirmer returns a confirmer of a replica.
func NewConfirmer(replica *Replica) *Confirmer {
	return &Confirmer{
		replica: replica, servingInterval: minServingInterval, ownInterval: minOwnInterval,
		limiter: rate.NewLimiter(confirmRate, confirmBurst),
	}
}

// SetStoreRate sets the number of balancers and the calls per second that the store accepts
// from all of them together.
func (c *Confirmer) SetStoreRate(balancers int, storeRate float64) {
	rateShare := storeRate * confirmRateShare / 2
	c.servingInterval = max(minServingInterval, secondsToDuration(float64(confirmerCount(balancers))/rateShare))
	c.ownInterval = max(minOwnInterval, secondsToDuration(float64(balancers)/rateShare))
	c.watcherRequestInterval = secondsToDuration(float64(balancers) / float64(confirmerCount(balancers)*watcherRequestRate))
}

// confirmerCount returns how many watchers confirm the directory on behalf of a number of
// balancers.
func confirmerCount(balancers int) int {
	return min(watcherCount(balancers), 1+balancers/balancersPerConfirmer)
}

func secondsToDuration(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

// Request asks for a confirmation that begins from now on.
func (c *Confirmer) Request() { c.requested = true }

// Requested reports whether a requested confirmation has not begun.
func (c *Confirmer) Requested() bool { return c.requested }

// Next returns the call to make now, or false if there is none. HandlePage, HandleChanges or
// HandleFailure must follow.
func (c *Confirmer) Next(now time.Duration) (Call, bool) {
	if c.busy {
		return Call{}, false
	}
	if c.targetRevision > 0 {
		c.busy = true
		return Call{AfterRevision: c.replica.AppliedRevision(), Wait: confirmWait, Timeout: callTimeout}, true
	}
	if c.replica.AppliedRevision() == 0 || !c.BeginWithStore(now) {
		return Call{}, false
	}
	c.busy = true
	c.startRevision = c.replica.AppliedRevision()
	return Call{Listing: true, AfterKey: keyAfterAll, Timeout: callTimeout}, true
}

// SetServesOthers sets whether other balancers wait for a confirmation by this one.
func (c *Confirmer) SetServesOthers(servesOthers bool) { c.servesOthers = servesOthers }

// interval returns the shortest interval that applies between two confirmations now.
func (c *Confirmer) interval() time.Duration {
	if c.servesOthers {
		return c.servingInterval
	}
	return c.ownInterval
}

// BeginWithStore begins a confirmation by the store, subject to the limits on calls. It reports
// whether one is requested and may begin.
func (c *Confirmer) BeginWithStore(now time.Duration) bool {
	if c.busy || !c.requested || c.hasBegun && now < c.begun+c.interval() || !c.limiter.AllowN(time.Unix(0, int64(now)), 1) {
		return false
	}
	c.requested = false
	c.begun = now
	c.hasBegun = true
	return true
}

// BeginWithWatcher begins a confirmation by a watcher, which limits the calls on behalf of
// everyone that asks it. It reports whether one is requested and may begin.
func (c *Confirmer) BeginWithWatcher(now time.Duration) bool {
	if c.busy || !c.requested || now < c.nextWatcherRequest {
		return false
	}
	c.requested = false
	c.nextWatcherRequest = now + c.watcherRequestInterval
	return true
}

// WatcherTimedOut records that a watcher did not reply. The confirmation is requested again.
func (c *Confirmer) WatcherTimedOut() { c.requested = true }

// HandlePage handles the reported revision of the store. It returns the time for which the
// directory is confirmed. It returns false if changes are missing, or if the directory is ahead
// of the store because a peer announced a false revision.
func (c *Confirmer) HandlePage(page Page) (time.Duration, bool) {
	c.busy = false
	if page.Revision < c.startRevision {
		return 0, false
	}
	if page.Revision > c.replica.AppliedRevision() {
		c.targetRevision = page.Revision
		return 0, false
	}
	return c.begun, true
}

// HandleChanges applies the missing changes. It reports whether the snapshot changed, the time
// for which the directory is confirmed, and whether it is confirmed.
func (c *Confirmer) HandleChanges(now time.Duration, changes Changes) (changed bool, confirmedAt time.Duration, complete bool) {
	changed = c.replica.ApplyChanges(now, changes.Items, changes.Through)
	complete = c.replica.AppliedRevision() >= c.targetRevision
	c.busy = false
	c.targetRevision = 0
	return changed, c.begun, complete
}

// HandleFailure abandons the confirmation after a failed call. Whoever needs it must request it
// again.
func (c *Confirmer) HandleFailure() {
	c.busy = false
	c.targetRevision = 0
}
