package requestqueue

import (
	"slices"
	"time"
)

// FairShare gives less urgent priorities a share of the slots, at least, while requests of
// them wait beside more urgent ones. The share is divided equally among them; what one does not
// need is left to the order (deficit round robin: Shreedhar and Varghese, 1995).
type FairShare struct {
	order Scheduler
	share float64
	// credit is, by priority, what part of a slot is owed. Only priorities that wait and
	// are less urgent than another have one.
	credit map[uint8]float64
}

// NewFairShare returns a fair share of the slots, from 0 to MaxFairShare, below an order that
// keeps no state.
func NewFairShare(order Scheduler, share float64) *FairShare {
	return &FairShare{order: order, share: share, credit: make(map[uint8]float64)}
}

// Next implements Order.
func (f *FairShare) Next(now time.Duration, capacity Capacity, waiting []Request) Choice {
	lessUrgent := prioritiesOf(waiting)[1:]
	f.grant(lessUrgent)
	choice := f.choose(now, capacity, waiting, lessUrgent)
	f.charge(waiting[choice.Index].Priority)
	return choice
}

// choose prefers a priority that is owed a slot to what the order alone would choose.
func (f *FairShare) choose(now time.Duration, capacity Capacity, waiting []Request, lessUrgent []uint8) Choice {
	choice := f.order.Next(now, capacity, waiting)
	for _, priority := range lessUrgent {
		if f.credit[priority] < 1 {
			continue
		}
		owed := among(f.order, now, capacity, waiting, indicesOf(waiting, priority)).Index
		if owed == choice.Index {
			return choice
		}
		return Choice{owed, ReasonFairShare}
	}
	return choice
}

// grant adds to what is owed to the less urgent priorities that wait, and forgets the others.
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

// charge takes a slot from what is owed to a priority, if anything is.
func (f *FairShare) charge(priority uint8) {
	if owed, exists := f.credit[priority]; exists {
		f.credit[priority] = max(owed-1, 0)
	}
}

// indicesOf returns the indices of the requests of a priority.
func indicesOf(waiting []Request, priority uint8) []int {
	var indices []int
	for index, request := range waiting {
		if request.Priority == priority {
			indices = append(indices, index)
		}
	}
	return indices
}

// prioritiesOf returns the priorities of requests, the most urgent first.
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

// among lets an order choose among some of the requests, given by their indices.
func among(order Scheduler, now time.Duration, capacity Capacity, waiting []Request, indices []int) Choice {
	requests := make([]Request, len(indices))
	for position, index := range indices {
		requests[position] = waiting[index]
	}
	choice := order.Next(now, capacity, requests)
	return Choice{indices[choice.Index], choice.Reason}
}
