package directory

import "time"

// Question is one of another balancer for a confirmation of the directory.
type Question struct {
	From   Peer
	Update Update
	at     time.Duration
}

// Questions are those that wait for a confirmation.
type Questions struct{ waiting []Question }

// Add notes a question that comes now.
func (q *Questions) Add(now time.Duration, from Peer, update Update) {
	q.waiting = append(q.waiting, Question{From: from, Update: update, at: now})
}

// Any reports whether there are any.
func (q *Questions) Any() bool { return len(q.waiting) > 0 }

// TakeThrough removes and returns the questions that came until a time, for which the
// directory is confirmed, or for which it could not be.
func (q *Questions) TakeThrough(through time.Duration) []Question {
	var taken, later []Question
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
