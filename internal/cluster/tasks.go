// This file implements the queue of what is to be put in force.

package cluster

import (
	"context"
	"sync"

	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// task is one step towards a newer table. Exactly one of the pointers is set.
type task struct {
	delta   *dissemination.Delta
	install *installTask
	fetch   *fetchTask
}

// installTask takes over the state of the log of this process.
type installTask struct {
	version table.Version
	state   []byte
}

// fetchTask fetches what leads from a version to the newest one.
type fetchTask struct {
	from    membership.Address
	version table.Version
}

// taskQueue holds tasks in order. Adding one never waits, so that it may be
// done under a lock. It is safe for concurrent use.
type taskQueue struct {
	added chan struct{}

	mutex sync.Mutex
	tasks []task
}

func newTaskQueue() *taskQueue { return &taskQueue{added: make(chan struct{}, 1)} }

func (q *taskQueue) add(added task) {
	q.mutex.Lock()
	q.tasks = append(q.tasks, added)
	q.mutex.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// next waits for a task. It returns false when ctx ends.
func (q *taskQueue) next(ctx context.Context) (task, bool) {
	for {
		if first, exists := q.take(); exists {
			return first, ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return task{}, false
		case <-q.added:
		}
	}
}

func (q *taskQueue) take() (task, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.tasks) == 0 {
		return task{}, false
	}
	first := q.tasks[0]
	q.tasks = q.tasks[1:]
	return first, true
}
