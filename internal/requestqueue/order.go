package requestqueue

import (
	"cmp"
	"time"
)

// Capacity is what the endpoint can do.
type Capacity struct {
	// Slots is how many requests it works on at the same time; 0 means that this is not
	// known.
	Slots uint32
	// Work is the mean time from a request to its answer.
	Work time.Duration
}

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
