// This file implements the priority queue of events, ordered by virtual time.

package simnet

import "time"

// queueArity is the number of children of a heap node. With hundreds of thousands of events,
// four children touch fewer cache lines than two.
const queueArity = 4

// entry is the position of an event in the queue. Events of the same time are handled in the
// order in which they were added, so that a run is reproducible.
type entry struct {
	at    time.Duration
	order uint64
	slot  int32
}

func (e entry) before(other entry) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

// queue is a heap of entries.
type queue struct {
	entries []entry
	order   uint64
}

func (q *queue) empty() bool { return len(q.entries) == 0 }

func (q *queue) first() entry { return q.entries[0] }

func (q *queue) push(at time.Duration, slot int32) {
	q.order++
	added := entry{at: at, order: q.order, slot: slot}
	q.entries = append(q.entries, added)
	position := len(q.entries) - 1
	for position > 0 {
		parent := (position - 1) / queueArity
		if !added.before(q.entries[parent]) {
			break
		}
		q.entries[position] = q.entries[parent]
		position = parent
	}
	q.entries[position] = added
}

func (q *queue) pop() entry {
	removed := q.entries[0]
	last := len(q.entries) - 1
	moved := q.entries[last]
	q.entries = q.entries[:last]
	if last > 0 {
		q.siftDown(moved)
	}
	return removed
}

// siftDown places an entry in the heap, starting at the root.
func (q *queue) siftDown(moved entry) {
	position := 0
	for {
		child := q.earliestChild(position)
		if child < 0 || !q.entries[child].before(moved) {
			break
		}
		q.entries[position] = q.entries[child]
		position = child
	}
	q.entries[position] = moved
}

// earliestChild returns the index of the earliest child of a position, or -1 if it has none.
func (q *queue) earliestChild(position int) int {
	begin := position*queueArity + 1
	if begin >= len(q.entries) {
		return -1
	}
	end := min(begin+queueArity, len(q.entries))
	least := begin
	for child := begin + 1; child < end; child++ {
		if q.entries[child].before(q.entries[least]) {
			least = child
		}
	}
	return least
}
