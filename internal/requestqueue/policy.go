package requestqueue

import "github.com/vanetiller/vanetiller/internal/label"

// Discipline is a queue discipline, which names a Scheduler.
type Discipline uint8

// The disciplines.
const (
	// DisciplineNewestFirst selects NewestFirst.
	DisciplineNewestFirst Discipline = iota
	// DisciplineEarliestDue selects EarliestDue.
	DisciplineEarliestDue
	disciplineCount
)

var disciplineNames = []string{"newest_first", "earliest_due"}

// String returns the discipline as it is written in the settings.
func (d Discipline) String() string { return label.Of(disciplineNames, d) }

// Disciplines returns all disciplines.
func Disciplines() []Discipline { return label.All(disciplineCount) }

// MaxFairShare leaves at least half of the slots to the most urgent priority.
const MaxFairShare = 0.5

// Policy holds the settings of a queue. The zero value is newest first without a fair
// share.
type Policy struct {
	Discipline Discipline
	// FairShare is the minimum share of the slots for all less urgent priorities together
	// while their requests wait, from 0 to MaxFairShare; 0 means none.
	FairShare float64
}

// NewScheduler returns the scheduler of one queue. It must not be shared between queues, as it
// may keep state.
func (p Policy) NewScheduler() Scheduler {
	var scheduler Scheduler = NewestFirst{}
	if p.Discipline == DisciplineEarliestDue {
		scheduler = EarliestDue{}
	}
	if p.FairShare > 0 {
		scheduler = NewFairShare(scheduler, p.FairShare)
	}
	return scheduler
}
