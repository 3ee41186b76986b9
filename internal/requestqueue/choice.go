package requestqueue

import "github.com/vanetiller/vanetiller/internal/label"

// Choice is the decision of a scheduler about the request to serve next.
type Choice struct {
	// Index is the position of the request in the list of waiting requests.
	Index  int
	Reason Reason
}

// Reason is the scheduling rule that selected a request.
type Reason uint8

// The reasons are in the order of reasonNames.
const (
	// ReasonNewest: the request is the newest of its priority that can be in time.
	ReasonNewest Reason = iota
	// ReasonEarliestDue: the request has the earliest due time of the requests of its priority
	// that can be in time, and all of these can be in time if they are served in the order of
	// their due times.
	ReasonEarliestDue
	// ReasonLastChance: the request is late and its client is about to give up.
	ReasonLastChance
	// ReasonLate: the request is late.
	ReasonLate
	// ReasonFairShare: FairShare selected the request because its priority had credit for a
	// slot. The scheduler that FairShare wraps would have selected another request.
	ReasonFairShare
	reasonCount
)

var reasonNames = []string{"newest", "earliest_due", "last_chance", "late", "fair_share"}

// String returns the reason as a metric label.
func (r Reason) String() string { return label.Of(reasonNames, r) }

// Reasons returns all reasons, for counters by reason.
func Reasons() []Reason { return label.All(reasonCount) }
