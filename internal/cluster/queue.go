// This file implements a queue between parts that hold a lock and parts that
// wait.

package cluster

import (
	"context"
	"sync"
)

// queue holds items in order. Adding one never waits, so that it may be done
// under a lock. It is safe for concurrent use.
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

// next waits for an item. It returns false when ctx ends.
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
