package directory

import "time"

// Question is one of another balancer for a confirmation of the directory.
type ConfirmationRequest struct {
	From   Peer
	Update Update
	at     time.Duration
}

// Questions are those that wait for a confirmation.
type ConfirmationQueue struct{ waiting []ConfirmationRequest }

// Add notes a question that comes now.
func (q *ConfirmationQueue) Add(now time.Duration, from Peer, update Update) {
	q.waiting = append(q.waiting, ConfirmationRequest{From: from, Update: update, at: now})
}

// Any reports whether there are any.
func (q *ConfirmationQueue) Pending() bool { return len(q.waiting) > 0 }

// TakeThrough removes and returns the questions that came until a time, for which the
// directory is confirmed, or for which it could not be.
func (q *ConfirmationQueue) TakeThrough(through time.Duration) []ConfirmationRequest {
	var taken, later []ConfirmationRequest
	for _, each := range q.waiting {
		if each.at <= through {
			taken = append(taken, each)
			continue
		}
		later = append(later, each)
	}
	q.waiting = later
	return taken
}
