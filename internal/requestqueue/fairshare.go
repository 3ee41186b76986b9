package requestqueue

import (
	"slices"
	"time"
)

// FairShare guarantees the less urgent priorities a share of the slots while their requests
// wait beside more urgent ones. The share is divided equally among the waiting priorities. All
// other slots are left to the wrapped scheduler (deficit round robin: Shreedhar and Varghese,
// 1995).
type FairShare struct {
	scheduler Scheduler
	share     float64
	// credit is the deficit counter of each priority, in slots. Only priorities that wait
	// beside a more urgent one have an entry.
	credit map[uint8]float64
}

// NewFairShare adds a fair share, from 0 to MaxFairShare of the slots, to a scheduler. That
// scheduler must be stateless, since some of its choices are not used.
func NewFairShare(scheduler Scheduler, share float64) *FairShare {
	return &FairShare{scheduler: scheduler, share: share, credit: make(map[uint8]float64)}
}

// Next implements Scheduler.
func (f *FairShare) Next(now time.Duration, capacity Capacity, waiting []Request) Choice {
	lessUrgent := prioritiesOf(waiting)[1:]
	f.grant(lessUrgent)
	choice := f.choose(now, capacity, waiting, lessUrgent)
	f.charge(waiting[choice.Index].Priority)
	return choice
}

// choose prefers a priority with a credit of at least one slot to the choice of the wrapped
// scheduler.
func (f *FairShare) choose(now time.Duration, capacity Capacity, waiting []Request, lessUrgent []uint8) Choice {
	choice := f.scheduler.Next(now, capacity, waiting)
	for _, priority := range lessUrgent {
		if f.credit[priority] < 1 {
			continue
		}
		index := nextAmong(f.scheduler, now, capacity, waiting, indicesOf(waiting, priority)).Index
		if index == choice.Index {
			return choice
		}
		return Choice{index, ReasonFairShare}
	}
	return choice
}

// grant adds credit to the less urgent priorities that wait and drops that of all others.
func (f *FairShare) grant(lessUrgent []uint8) {
	for priority := range f.credit {
		if !slices.Contains(lessUrgent, priority) {
			delete(f.credit, priority)
		}
	}
	for _, priority := range lessUrgent {
		f.credit[priority] += f.share / float64(len(lessUrgent))
	}
}

// charge deducts one slot from the credit of a priority, if it has any.
func (f *FairShare) charge(priority uint8) {
	if credit, exists := f.credit[priority]; exists {
		f.credit[priority] = max(credit-1, 0)
	}
}

// indicesOf returns the indices of the requests with a priority.
func indicesOf(waiting []Request, priority uint8) []int {
	var indices []int
	for index, request := range waiting {
		if request.Priority == priority {
			indices = append(indices, index)
		}
	}
	return indices
}

// prioritiesOf returns the distinct priorities of requests, the most urgent first.
func prioritiesOf(waiting []Request) []uint8 {
	var priorities []uint8
	for _, request := range waiting {
		if !slices.Contains(priorities, request.Priority) {
			priorities = append(priorities, request.Priority)
		}
	}
	slices.Sort(priorities)
	return priorities
}

// nextAmong returns the choice of a scheduler among the requests with the given indices.
func nextAmong(scheduler Scheduler, now time.Duration, capacity Capacity, waiting []Request, indices []int) Choice {
	requests := make([]Request, len(indices))
	for position, index := range indices {
		requests[position] = waiting[index]
	}
	choice := scheduler.Next(now, capacity, requests)
	return Choice{indices[choice.Index], choice.Reason}
}
