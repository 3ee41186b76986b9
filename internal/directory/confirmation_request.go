package directory

import "time"

// ConfirmationRequest is a request of another balancer to confirm the directory against the
// store.
type ConfirmationRequest struct {
	From       Peer
	Update     Update
	receivedAt time.Duration
}

// ConfirmationQueue holds the requests that wait for the next confirmation.
type ConfirmationQueue struct{ waiting []ConfirmationRequest }

// Add queues a request received at now.
func (q *ConfirmationQueue) Add(now time.Duration, from Peer, update Update) {
	q.waiting = append(q.waiting, ConfirmationRequest{From: from, Update: update, receivedAt: now})
}

// Pending reports whether any request is queued.
func (q *ConfirmationQueue) Pending() bool { return len(q.waiting) > 0 }

// TakeThrough removes and returns the requests received at or before a time. The caller has
// confirmed the directory for that time, or has failed to.
func (q *ConfirmationQueue) TakeThrough(through time.Duration) []ConfirmationRequest {
	var taken, later []ConfirmationRequest
	for _, request := range q.waiting {
		if request.receivedAt <= through {
			taken = append(taken, request)
			continue
		}
		later = append(later, request)
	}
	q.waiting = later
	return taken
}
