// This file implements a queue from code that holds a lock to code that may block.

package cluster

import (
	"context"
	"sync"
)

// queue is a first-in, first-out queue. Adding an item never blocks, so that it can be done
// while a lock is held. It is safe for concurrent use.
type queue[Item any] struct {
	added chan struct{}

	mutex sync.Mutex
	items []Item
}

func newQueue[Item any]() *queue[Item] {
	return &queue[Item]{added: make(chan struct{}, 1)}
}

func (q *queue[Item]) add(items ...Item) {
	q.mutex.Lock()
	q.items = append(q.items, items...)
	q.mutex.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// next waits for an item. It returns false once ctx has ended.
func (q *queue[Item]) next(ctx context.Context) (Item, bool) {
	var none Item
	for {
		if first, exists := q.take(); exists {
			return first, ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return none, false
		case <-q.added:
		}
	}
}

func (q *queue[Item]) take() (Item, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.items) == 0 {
		var none Item
		return none, false
	}
	first := q.items[0]
	q.items = q.items[1:]
	return first, true
}
