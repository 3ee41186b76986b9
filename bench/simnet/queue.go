// This file implements the queue of events, ordered by virtual time.

package simnet

import "time"

// queueArity is the number of children of a heap node. Four touch fewer cache
// lines than two in queues of hundreds of thousands of events.
const queueArity = 4

// entry is the place of an event in time. Events of the same time keep the
// order in which they were added, so that a run can be repeated.
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
		q.sink(moved)
	}
	return removed
}

// sink places an entry, starting at the root.
func (q *queue) sink(moved entry) {
	position := 0
	for {
		child := q.leastChild(position)
		if child < 0 || !q.entries[child].before(moved) {
			break
		}
		q.entries[position] = q.entries[child]
		position = child
	}
	q.entries[position] = moved
}

// leastChild returns the earliest child of a position, or -1.
func (q *queue) leastChild(position int) int {
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
