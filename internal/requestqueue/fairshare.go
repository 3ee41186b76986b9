package requestqueue

import (
	"slices"
	"time"
)

// FairShare gives less urgent priorities a least part of the slots while requests of them
// wait beside more urgent ones. The part is divided equally among them; what one does not
// need is left to the order (deficit round robin: Shreedhar and Varghese, 1995).
type FairShare struct {
	order Order
	share float64
	// credit is, by priority, what part of a slot is owed. Only priorities that wait and
	// are less urgent than another have one.
	credit map[uint8]float64
}

// NewFairShare returns a floor, as a share of the slots, below an order.
func NewFairShare(order Order, share float64) *FairShare {
	return &FairShare{order: order, share: share, credit: make(map[uint8]float64)}
}

// Next implements Order.
func (f *FairShare) Next(now time.Duration, capacity Capacity, waiting []Request) Choice {
	lessUrgent := prioritiesOf(waiting)[1:]
	f.grant(lessUrgent)
	next := f.order.Next(now, capacity, waiting)
	for _, priority := range lessUrgent {
		if f.credit[priority] >= 1 {
			next = f.nextOf(priority, now, capacity, waiting)
			break
		}
	}
	f.charge(waiting[next.Index].Priority)
	return next
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

// nextOf chooses among the requests of a priority.
func (f *FairShare) nextOf(priority uint8, now time.Duration, capacity Capacity, waiting []Request) Choice {
	var indices []int
	var requests []Request
	for index, request := range waiting {
		if request.Priority == priority {
			indices = append(indices, index)
			requests = append(requests, request)
		}
	}
	return Choice{indices[f.order.Next(now, capacity, requests).Index], ReasonFairShare}
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
