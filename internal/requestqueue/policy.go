package requestqueue

import "github.com/vanetiller/vanetiller/internal/label"

// Discipline names an Order.
type Discipline uint8

// The disciplines.
const (
	// DisciplineNewestFirst is NewestFirst.
	DisciplineNewestFirst Discipline = iota
	// DisciplineEarliestDue is EarliestDue.
	DisciplineEarliestDue
	disciplineCount
)

var disciplineNames = []string{"newest_first", "earliest_due"}

// String returns the discipline in the form used in settings.
func (d Discipline) String() string { return label.Of(disciplineNames, d) }

// Disciplines lists every discipline.
func Disciplines() []Discipline { return label.All(disciplineCount) }

// MaxFairShare leaves the most urgent priority half of the slots at least.
const MaxFairShare = 0.5

// Policy holds the settings of a queue. The zero value is newest first without a fair
// share.
type Policy struct {
	Discipline Discipline
	// FairShare is the share of the slots that requests of less urgent priorities get at
	// least, together, while they wait, from 0 to MaxFairShare; 0 means none.
	FairShare float64
}

// NewScheduler returns the order of a queue. It must not be shared between queues.
func (p Policy) NewScheduler() Scheduler {
	var order Scheduler = NewestFirst{}
	if p.Discipline == DisciplineEarliestDue {
		order = EarliestDue{}
	}
	if p.FairShare > 0 {
		order = NewFairShare(order, p.FairShare)
	}
	return order
}
