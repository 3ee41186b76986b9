package directory

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// shortestServing is the least time between two confirmations that others wait for, each of
	// which costs a call. A client whose flow is dead waits for one before it is told, out of a
	// latency objective of some hundreds of milliseconds.
	shortestServing = 25 * time.Millisecond
	// shortestOwn is that between two which serve only the searches of one balancer.
	shortestOwn = 75 * time.Millisecond
	// confirmRate is how many confirmations a second begin in the long run, and confirmBurst
	// how many may begin faster: as many as in the seconds after everything has returned, in
	// which endpoints have no room for clients that come back late.
	confirmRate  = 12
	confirmBurst = 100
	// askRate is how many questions a second a watcher gets at the most of those who ask it: a
	// small part of a slow machine's processor.
	askRate = 1000
	// confirmRateShare is the part of the store's rate that the confirmations of all
	// balancers together may take, half of it those that others wait for.
	confirmRateShare = 0.25
	// confirmWait is how long a watch for what is missing waits. The store has it.
	confirmWait = time.Millisecond
	// keyAfterAll comes after every key, so that a listing after it has nothing but
	// the revision of the store.
	keyAfterAll = "~"
)

// Confirmer decides which calls prove that the directory has all changes that the
// store accepted before a time. An answer to a watch proves that only for the time at
// which the store gave it, and the next may be seconds away. It is deterministic.
type Confirmer struct {
	machine *Replica
	// servingInterval and ownInterval are the least times between two confirmations that others
	// wait for, and between two that serve this balancer alone.
	servingInterval time.Duration
	ownInterval     time.Duration
	// serves is set if other balancers wait for a confirmation.
	serves bool
	rush   *rate.Limiter
	wanted bool
	busy   bool
	// made is set once one has begun.
	made bool
	// askInterval is the least time between two questions to watchers, and nextAsk when the
	// next may be sent.
	askInterval time.Duration
	nextAsk     time.Duration
	// begun is when the latest confirmation began: its call, or the first of two.
	begun time.Duration
	// known is the revision that the directory had when the present listing began.
	known Revision
	// target is the revision that the directory has to reach; it is zero until the
	// store has told it.
	target Revision
}

// NewConfirmer returns a confirmer of what a machine knows.
func NewConfirmer(machine *Replica) *Confirmer {
	return &Confirmer{
		machine: machine, servingInterval: shortestServing, ownInterval: shortestOwn,
		rush: rate.NewLimiter(confirmRate, confirmBurst),
	}
}

// Share tells how many balancers there are and how many calls a second the store
// answers of all of them together.
func (c *Confirmer) SetStoreRate(balancers int, storeRate float64) {
	half := storeRate * confirmRateShare / 2
	c.servingInterval = max(shortestServing, secondsOf(float64(askedAmong(balancers))/half))
	c.ownInterval = max(shortestOwn, secondsOf(float64(balancers)/half))
	c.askInterval = secondsOf(float64(balancers) / float64(askedAmong(balancers)*askRate))
}

// askedAmong returns how many watchers a number of balancers ask.
func askedAmong(balancers int) int {
	return min(watchersAmong(balancers), 1+balancers/askersOfWatcher)
}

func secondsOf(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

// Want asks for a confirmation that is begun from now on.
func (c *Confirmer) Request() { c.wanted = true }

// Wanted reports whether a confirmation was asked for that has not begun.
func (c *Confirmer) Requested() bool { return c.wanted }

// Next returns the call to make now, false if there is none. An answer or Failed must
// follow.
func (c *Confirmer) Next(now time.Duration) (Call, bool) {
	if c.busy {
		return Call{}, false
	}
	if c.target > 0 {
		c.busy = true
		return Call{AfterRevision: c.machine.AppliedRevision(), Wait: confirmWait, Timeout: callTimeout}, true
	}
	if c.machine.AppliedRevision() == 0 || !c.BeginWithStore(now) {
		return Call{}, false
	}
	c.busy = true
	c.known = c.machine.AppliedRevision()
	return Call{Listing: true, AfterKey: keyAfterAll, Timeout: callTimeout}, true
}

// Serves tells whether other balancers wait for a confirmation by this one.
func (c *Confirmer) SetServesOthers(others bool) { c.serves = others }

// interval is the least time between two confirmations now.
func (c *Confirmer) interval() time.Duration {
	if c.serves {
		return c.servingInterval
	}
	return c.ownInterval
}

// Begin begins a confirmation by the store, within the bounds on calls. It reports whether one
// is wanted and may begin.
func (c *Confirmer) BeginWithStore(now time.Duration) bool {
	if c.busy || !c.wanted || c.made && now < c.begun+c.interval() || !c.rush.AllowN(time.Unix(0, int64(now)), 1) {
		return false
	}
	c.wanted = false
	c.begun = now
	c.made = true
	return true
}

// Ask begins a confirmation that a watcher shall make, which bounds the calls for all who
// ask it. It reports whether one is wanted and may begin.
func (c *Confirmer) BeginWithWatcher(now time.Duration) bool {
	if c.busy || !c.wanted || now < c.nextAsk {
		return false
	}
	c.wanted = false
	c.nextAsk = now + c.askInterval
	return true
}

// Unanswered notes that a watcher which was asked has not answered: a confirmation is wanted
// again.
func (c *Confirmer) WatcherTimedOut() { c.wanted = true }

// Listed handles the revision of the store. It returns the time for which the
// directory is confirmed, false if changes are missing or if the directory is ahead of the
// store, since a peer announced a false revision.
func (c *Confirmer) HandlePage(page Page) (time.Duration, bool) {
	c.busy = false
	if page.Revision < c.known {
		return 0, false
	}
	if page.Revision > c.machine.AppliedRevision() {
		c.target = page.Revision
		return 0, false
	}
	return c.begun, true
}

// Watched handles the changes that were missing. It reports whether the snapshot
// changed, and returns the time for which the directory is confirmed, false if it is
// not.
func (c *Confirmer) HandleChanges(now time.Duration, changes Changes) (changed bool, confirmed time.Duration, current bool) {
	changed = c.machine.ApplyChanges(now, changes.Items, changes.Through)
	current = c.machine.AppliedRevision() >= c.target
	c.busy = false
	c.target = 0
	return changed, c.begun, current
}

// Failed handles a failed call. The confirmation is given up; who needs it asks again.
func (c *Confirmer) HandleFailure() {
	c.busy = false
	c.target = 0
}
