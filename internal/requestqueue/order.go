package requestqueue

import (
	"cmp"
	"time"
)

// Capacity is what the endpoint can do.
type Capacity struct {
	// Limit is how many requests it is given at the same time, at least one.
	Limit uint32
	// Work is the mean time from a request to its answer.
	Work time.Duration
}

// interval is the mean time between two answers of an endpoint all of whose slots are busy.
func (c Capacity) interval() time.Duration { return c.Work / time.Duration(c.Limit) }

// Order decides which request is served first.
type Order interface {
	// Next returns the index of the request that gets a slot now. There is at least one.
	Next(now time.Duration, capacity Capacity, waiting []Request) int
}

// NewestFirst serves requests that can be in time before others, by priority and then the
// newest first: serving the oldest first makes all late under overload (adaptive LIFO:
// Maurer, "Fail at Scale", ACM Queue 2015). The others follow by priority and then in the
// order in which their clients give up.
type NewestFirst struct{}

// Next implements Order.
func (NewestFirst) Next(now time.Duration, capacity Capacity, waiting []Request) int {
	return first(waiting, func(a, b Request) int {
		outlook := a.Outlook(now, capacity.Work)
		order := cmp.Or(cmp.Compare(outlook, b.Outlook(now, capacity.Work)), cmp.Compare(a.Priority, b.Priority))
		if outlook == InTime {
			return cmp.Or(order, cmp.Compare(b.Began, a.Began))
		}
		return cmp.Or(order, cmp.Compare(a.deadline(), b.deadline()))
	})
}

const (
	// safeWork is how many times the expected work a request is expected to need at the
	// most: one that has as long is in time although work varies.
	safeWork = 1.5
	// lastChanceWork is the same for a late request, which is lost if it is not begun before:
	// at least one other answer comes while it waits on.
	lastChanceWork = 2
)

// rank orders requests of one priority under EarliestDue.
type rank uint8

const (
	// rankSafe: the request will be in time.
	rankSafe rank = iota
	// rankTight: it is in time unless its work takes longer than the mean.
	rankTight
	// rankLastChance: it is late and its client is about to give up.
	rankLastChance
	// rankLate: it is late and can wait.
	rankLate
)

// rankOf returns the rank of a request that is begun now.
func rankOf(now, work time.Duration, request Request) rank {
	switch {
	case request.Outlook(now, scaled(work, safeWork)) == InTime:
		return rankSafe
	case request.Outlook(now, work) == InTime:
		return rankTight
	case request.Outlook(now, scaled(work, lastChanceWork)) == Expired:
		return rankLastChance
	}
	return rankLate
}

func scaled(work time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(work))
}

// EarliestDue serves requests by priority. Of one priority, those that are safely in time go
// by when their objective ends, so that none becomes late for one that could have waited
// (earliest due date: Jackson, 1955); then come those that are just in time, the newest
// first, and then the late ones whose clients are about to give up. Other late requests,
// whatever their priority, wait for all of these.
type EarliestDue struct{}

// Next implements Order.
func (EarliestDue) Next(now time.Duration, capacity Capacity, waiting []Request) int {
	return first(waiting, func(a, b Request) int {
		rankA, rankB := rankOf(now, capacity.Work, a), rankOf(now, capacity.Work, b)
		canWait := cmp.Compare(rankA/rankLate, rankB/rankLate)
		order := cmp.Or(canWait, cmp.Compare(a.Priority, b.Priority), cmp.Compare(rankA, rankB))
		switch rankA {
		case rankSafe:
			return cmp.Or(order, cmp.Compare(a.due(), b.due()))
		case rankTight:
			return cmp.Or(order, cmp.Compare(b.Began, a.Began))
		}
		return cmp.Or(order, cmp.Compare(a.deadline(), b.deadline()))
	})
}

// first returns the index of the least request, the first of equal ones.
func first(waiting []Request, compare func(a, b Request) int) int {
	least := 0
	for index := range waiting {
		if compare(waiting[index], waiting[least]) < 0 {
			least = index
		}
	}
	return least
}
