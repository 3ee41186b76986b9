package requestqueue

import (
	"cmp"
	"slices"
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
	// lastChanceWork is how many times the expected work a late request may need at the most
	// to be lost if it is not begun now: at least one other answer comes while it waits on.
	lastChanceWork = 2
	// reservedPlaces is how many requests are expected to come and go before those that
	// wait, so that these stay in time although others follow.
	reservedPlaces = 2
)

// EarliestDue serves requests by priority. Of one priority, those that can be in time go by
// when their objective ends while all of them can be (earliest due date: Jackson, 1955), so
// that none becomes late for one that could have waited, and the newest first once they
// cannot. Late ones whose clients are about to give up follow. Other late requests, whatever
// their priority, wait for all of these.
type EarliestDue struct{}

// Next implements Order.
func (EarliestDue) Next(now time.Duration, capacity Capacity, waiting []Request) int {
	inTime, lastChance := mostUrgent(now, capacity, waiting)
	switch {
	case len(inTime) > 0:
		return nextInTime(now, capacity, waiting, inTime)
	case len(lastChance) > 0:
		return slices.MinFunc(lastChance, func(a, b int) int {
			return cmp.Compare(waiting[a].deadline(), waiting[b].deadline())
		})
	}
	return NewestFirst{}.Next(now, capacity, waiting)
}

// mostUrgent returns the indices of the requests that can be in time, and of the late ones
// whose clients are about to give up, of the most urgent priority that has any.
func mostUrgent(now time.Duration, capacity Capacity, waiting []Request) (inTime, lastChance []int) {
	urgent := -1
	for index, request := range waiting {
		isInTime := request.Outlook(now, capacity.Work) == InTime
		if !isInTime && request.Outlook(now, lastChanceWork*capacity.Work) != Expired {
			continue
		}
		if urgent < 0 || int(request.Priority) < urgent {
			urgent = int(request.Priority)
			inTime, lastChance = nil, nil
		}
		switch {
		case int(request.Priority) > urgent:
		case isInTime:
			inTime = append(inTime, index)
		default:
			lastChance = append(lastChance, index)
		}
	}
	return inTime, lastChance
}

// nextInTime chooses among requests of one priority that can be in time.
func nextInTime(now time.Duration, capacity Capacity, waiting []Request, inTime []int) int {
	slices.SortStableFunc(inTime, func(a, b int) int { return cmp.Compare(waiting[a].due(), waiting[b].due()) })
	for position, index := range inTime {
		begun := now + time.Duration(position+reservedPlaces)*capacity.interval()
		if waiting[index].Outlook(begun, capacity.Work) != InTime {
			return slices.MaxFunc(inTime, func(a, b int) int { return cmp.Compare(waiting[a].Began, waiting[b].Began) })
		}
	}
	return inTime[0]
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
