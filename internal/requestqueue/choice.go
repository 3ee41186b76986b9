package requestqueue

import "github.com/vanetiller/vanetiller/internal/label"

// Choice is the request that is served next.
type Choice struct {
	// Index is the position of the request among the waiting ones.
	Index  int
	Reason Reason
}

// Reason is the rule by which a request is served next.
type Reason uint8

// The reasons.
const (
	// ReasonNewest: the request is the newest of its priority that can be in time.
	ReasonNewest Reason = iota
	// ReasonEarliestDue: the request is due first among those of its priority that can be in
	// time, and the others can still be in time after it.
	ReasonEarliestDue
	// ReasonLastChance: the request is late and its client is about to give up.
	ReasonLastChance
	// ReasonLate: the request is late.
	ReasonLate
	// ReasonFairShare: the priority of the request is owed a slot of its fair share, and the
	// wrapped scheduler would have chosen another request.
	ReasonFairShare
	reasonCount
)

var reasonNames = []string{"newest", "earliest_due", "last_chance", "late", "fair_share"}

// String returns the reason as a metric label.
func (r Reason) String() string { return label.Of(reasonNames, r) }

// Reasons returns all reasons, for counters by reason.
func Reasons() []Reason { return label.All(reasonCount) }
