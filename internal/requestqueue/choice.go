package requestqueue

import "github.com/vanetiller/vanetiller/internal/label"

// Choice is the request that is served next.
type Choice struct {
	// Index is that of the request among those that wait.
	Index  int
	Reason Reason
}

// Reason tells why a request is served next.
type Reason uint8

// The reasons.
const (
	// ReasonNewest: it is the newest of its priority that can be in time.
	ReasonNewest Reason = iota
	// ReasonEarliestDue: of those of its priority that can be in time its objective ends
	// first, and all others of them can be in time after it.
	ReasonEarliestDue
	// ReasonLastChance: it is late and its client is about to give up.
	ReasonLastChance
	// ReasonLate: it is late.
	ReasonLate
	// ReasonFairShare: its priority is owed a slot of its fair share, and the order alone
	// would have chosen another request.
	ReasonFairShare
	reasonCount
)

var reasonNames = []string{"newest", "earliest_due", "last_chance", "late", "fair_share"}

// String returns the reason in the form used as a metric label.
func (r Reason) String() string { return label.Of(reasonNames, r) }

// Reasons lists every reason, for counters that are kept by reason.
func Reasons() []Reason { return label.All(reasonCount) }
