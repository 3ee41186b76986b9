package requestqueue

import (
	"cmp"
	"slices"
	"time"
)

// Capacity is what the endpoint can do.
type Capacity struct {
	// Concurrency is how many requests it is given at the same time, at least one.
	Concurrency uint32
	// ProcessingTime is the mean time from a request to its answer.
	ProcessingTime time.Duration
}

// interval is the mean time between two answers of an endpoint all of whose slots are busy.
func (c Capacity) interval() time.Duration { return c.ProcessingTime / time.Duration(c.Concurrency) }

// Scheduler decides which request is served first.
type Scheduler interface {
	// Next chooses the request that gets a slot now. There is at least one.
	Next(now time.Duration, capacity Capacity, waiting []Request) Choice
}

// NewestFirst serves requests that can be in time before others, by priority and then the
// newest first: serving the oldest first makes all late under overload (adaptive LIFO:
// Maurer, "Fail at Scale", ACM Queue 2015). The others follow by priority and then in the
// order in which their clients give up.
type NewestFirst struct{}

// Next implements Order.
func (NewestFirst) Next(now time.Duration, capacity Capacity, waiting []Request) Choice {
	index := first(waiting, func(a, b Request) int {
		outlook := a.Timeliness(now, capacity.ProcessingTime)
		order := cmp.Or(cmp.Compare(outlook, b.Timeliness(now, capacity.ProcessingTime)), cmp.Compare(a.Priority, b.Priority))
		if outlook == InTime {
			return cmp.Or(order, cmp.Compare(b.StartedAt, a.StartedAt))
		}
		return cmp.Or(order, cmp.Compare(a.deadline(), b.deadline()))
	})
	if waiting[index].Timeliness(now, capacity.ProcessingTime) == InTime {
		return Choice{index, ReasonNewest}
	}
	return Choice{index, ReasonLate}
}

// The times by which EarliestDue decides, as multiples of the expected work.
const (
	// lastChance: a late request whose client gives up in less may be lost if it is not begun
	// now. The next slot is free sooner than that, but work varies, and so does the wait.
	lastChance = 2
	// safeSlack is what requests in time must have left for all to count as in time: others
	// follow, and work varies.
	safeSlack = 0.5
	// ampleSlack is the same for a late request to go before them: what follows must still
	// be in time.
	ampleSlack = 2
)

// EarliestDue serves requests by priority. Of one priority, those that can be in time go by
// when their objective ends while all of them can be (earliest due date: Jackson, 1955), so
// that none becomes late for one that could have waited, and the newest first once they
// cannot. Late ones whose clients are about to give up go before them while they have ample
// slack (slack stealing: Lehoczky and Ramos-Thuel, 1992), else after them. Other late
// requests, whatever their priority, wait for all of these.
type EarliestDue struct{}

// Next implements Order.
func (EarliestDue) Next(now time.Duration, capacity Capacity, waiting []Request) Choice {
	inTime, giveUp := mostUrgent(now, capacity, waiting)
	slices.SortStableFunc(inTime, func(a, b int) int { return cmp.Compare(waiting[a].due(), waiting[b].due()) })
	switch {
	case len(giveUp) > 0 && allInTime(now+ampleSlack*capacity.ProcessingTime, capacity, waiting, inTime):
		index := slices.MinFunc(giveUp, func(a, b int) int { return cmp.Compare(waiting[a].deadline(), waiting[b].deadline()) })
		return Choice{index, ReasonLastChance}
	case len(inTime) == 0:
		return NewestFirst{}.Next(now, capacity, waiting)
	case allInTime(now+scaled(capacity.ProcessingTime, safeSlack), capacity, waiting, inTime):
		return Choice{inTime[0], ReasonEarliestDue}
	}
	newest := slices.MaxFunc(inTime, func(a, b int) int { return cmp.Compare(waiting[a].StartedAt, waiting[b].StartedAt) })
	return Choice{newest, ReasonNewest}
}

func scaled(work time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(work))
}

// allInTime reports whether requests, by their indices, are in time if they are begun in
// this order from a time on.
func allInTime(begun time.Duration, capacity Capacity, waiting []Request, indices []int) bool {
	for _, index := range indices {
		if waiting[index].Timeliness(begun, capacity.ProcessingTime) != InTime {
			return false
		}
		begun += capacity.interval()
	}
	return true
}

// mostUrgent returns the indices of the requests that can be in time, and of the late ones
// whose clients are about to give up, of the most urgent priority that has any.
func mostUrgent(now time.Duration, capacity Capacity, waiting []Request) (inTime, giveUp []int) {
	urgent := -1
	for index, request := range waiting {
		isInTime := request.Timeliness(now, capacity.ProcessingTime) == InTime
		if !isInTime && request.Timeliness(now, lastChance*capacity.ProcessingTime) != Expired {
			continue
		}
		if urgent < 0 || int(request.Priority) < urgent {
			urgent = int(request.Priority)
			inTime, giveUp = nil, nil
		}
		switch {
		case int(request.Priority) > urgent:
		case isInTime:
			inTime = append(inTime, index)
		default:
			giveUp = append(giveUp, index)
		}
	}
	return inTime, giveUp
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
