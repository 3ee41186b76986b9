package requestqueue

import (
	"cmp"
	"slices"
	"time"
)

// Capacity describes how fast an endpoint processes requests.
type Capacity struct {
	// Concurrency is the number of requests that the endpoint is given at a time, at least
	// one.
	Concurrency uint32
	// ProcessingTime is the mean time from giving it a request to the answer.
	ProcessingTime time.Duration
}

// answerInterval is the mean time between two answers while all slots are busy.
func (c Capacity) answerInterval() time.Duration {
	return c.ProcessingTime / time.Duration(c.Concurrency)
}

// Scheduler decides which waiting request is served next.
type Scheduler interface {
	// Next chooses the request that gets a slot now. waiting must not be empty.
	Next(now time.Duration, capacity Capacity, waiting []Request) Choice
}

// NewestFirst serves requests that can be in time before all others, by priority and then the
// newest first. Serving the oldest first would make all requests late under overload (adaptive
// LIFO: Maurer, "Fail at Scale", ACM Queue 2015). The other requests are served after them, by
// priority and then by the deadline of the client.
type NewestFirst struct{}

// Next implements Scheduler.
func (NewestFirst) Next(now time.Duration, capacity Capacity, waiting []Request) Choice {
	index := minIndex(waiting, func(a, b Request) int {
		timeliness := a.Timeliness(now, capacity.ProcessingTime)
		order := cmp.Or(cmp.Compare(timeliness, b.Timeliness(now, capacity.ProcessingTime)), cmp.Compare(a.Priority, b.Priority))
		if timeliness == InTime {
			return cmp.Or(order, cmp.Compare(b.StartedAt, a.StartedAt))
		}
		return cmp.Or(order, cmp.Compare(a.deadline(), b.deadline()))
	})
	if waiting[index].Timeliness(now, capacity.ProcessingTime) == InTime {
		return Choice{index, ReasonNewest}
	}
	return Choice{index, ReasonLate}
}

// The thresholds of EarliestDue, as multiples of the processing time.
const (
	// lastChanceFactor: a late request that would expire with this multiple of the processing
	// time counts as about to expire and may be started early. The next slot usually becomes
	// free in time, but processing times and waits vary.
	lastChanceFactor = 2
	// safeSlackFactor is the slack that every in-time request must have. With less, the newest
	// request is served first instead of the one with the earliest due date. The slack covers
	// requests that are yet to arrive and varying processing times.
	safeSlackFactor = 0.5
	// ampleSlackFactor is the slack that every in-time request must have before a late request
	// is served first, so that the in-time requests are still in time after it.
	ampleSlackFactor = 2
)

// EarliestDue serves requests by priority, and within one priority as follows:
//
// While all requests that can be in time can be served before they are due, they are served by
// due date (earliest due date: Jackson, 1955), so that no request becomes late because one
// that is due later was served before it. Otherwise the newest is served first.
//
// Late requests whose clients are about to give up are served before those that can be in time
// if all requests in time have ample slack (slack stealing: Lehoczky and Ramos-Thuel, 1992),
// and otherwise after them.
//
// All other late requests are served last, regardless of their priority.
type EarliestDue struct{}

// Next implements Scheduler.
func (EarliestDue) Next(now time.Duration, capacity Capacity, waiting []Request) Choice {
	inTime, givingUp := mostUrgent(now, capacity, waiting)
	slices.SortStableFunc(inTime, func(a, b int) int { return cmp.Compare(waiting[a].due(), waiting[b].due()) })
	switch {
	case len(givingUp) > 0 && allInTime(now+ampleSlackFactor*capacity.ProcessingTime, capacity, waiting, inTime):
		index := slices.MinFunc(givingUp, func(a, b int) int { return cmp.Compare(waiting[a].deadline(), waiting[b].deadline()) })
		return Choice{index, ReasonLastChance}
	case len(inTime) == 0:
		return NewestFirst{}.Next(now, capacity, waiting)
	case allInTime(now+scale(capacity.ProcessingTime, safeSlackFactor), capacity, waiting, inTime):
		return Choice{inTime[0], ReasonEarliestDue}
	}
	newest := slices.MaxFunc(inTime, func(a, b int) int { return cmp.Compare(waiting[a].StartedAt, waiting[b].StartedAt) })
	return Choice{newest, ReasonNewest}
}

func scale(processingTime time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(processingTime))
}

// allInTime reports whether the requests with the given indices are in time if they are
// started in this order, the first at start.
func allInTime(start time.Duration, capacity Capacity, waiting []Request, indices []int) bool {
	for _, index := range indices {
		if waiting[index].Timeliness(start, capacity.ProcessingTime) != InTime {
			return false
		}
		start += capacity.answerInterval()
	}
	return true
}

// mostUrgent considers the requests that can be in time and the late ones whose clients are
// about to give up. It returns the indices of both kinds for the most urgent priority among
// them.
func mostUrgent(now time.Duration, capacity Capacity, waiting []Request) (inTime, givingUp []int) {
	urgent := -1
	for index, request := range waiting {
		isInTime := request.Timeliness(now, capacity.ProcessingTime) == InTime
		if !isInTime && request.Timeliness(now, lastChanceFactor*capacity.ProcessingTime) != Expired {
			continue
		}
		if urgent < 0 || int(request.Priority) < urgent {
			urgent = int(request.Priority)
			inTime, givingUp = nil, nil
		}
		switch {
		case int(request.Priority) > urgent:
			// A request of a less urgent priority is skipped.
		case isInTime:
			inTime = append(inTime, index)
		default:
			givingUp = append(givingUp, index)
		}
	}
	return inTime, givingUp
}

// minIndex returns the index of the smallest request. Of equal requests it returns the first.
func minIndex(waiting []Request, compare func(a, b Request) int) int {
	least := 0
	for index := range waiting {
		if compare(waiting[index], waiting[least]) < 0 {
			least = index
		}
	}
	return least
}
