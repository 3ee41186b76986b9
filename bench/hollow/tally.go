// This file implements the counters of a run.

package hollow

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/admission"
	"github.com/vanetiller/vanetiller/internal/table"
)

// FlowCounts counts what became of flows, from the beginning of the run.
type FlowCounts struct {
	Offered int `json:"offered"`
	Opened  int `json:"opened"`
	Closed  int `json:"closed"`
	Refused int `json:"refused"`
	// NeverOpened counts flows whose callers gave up.
	NeverOpened int `json:"never_opened"`
	// OpenedTwice counts flows that a second row opened while the first went
	// on.
	OpenedTwice int `json:"opened_twice"`
	// LostWithAgent counts flows whose owner's process ended.
	LostWithAgent int `json:"lost_with_agent"`
	Retransmitted int `json:"retransmitted"`
	// NoBalancer counts packets that the fabric sent to a daemon that was
	// stopped or had no table; NotRouted those without a row.
	NoBalancer int `json:"no_balancer"`
	NotRouted  int `json:"not_routed"`
	// Forwarded counts packets that one agent passed along to another.
	Forwarded int `json:"forwarded"`
	// Questions counts queries and replies between agents, and QuestionBytes
	// their bytes, headers included.
	Questions     int `json:"questions"`
	QuestionBytes int `json:"question_bytes"`
}

// tally holds the counters while a run goes on.
type tally struct {
	FlowCounts
	// atStart are the counts when the measured time began.
	atStart  FlowCounts
	drops    map[string]int
	openings *hdrhistogram.Histogram
	// falselyDown sums, over looks, rows reported unavailable that run.
	falselyDown int
	looks       int
}

const (
	// longestOpening bounds what is recorded, in microseconds.
	longestOpening     = 60_000_000
	significantFigures = 3
	// settledTime is how long an agent must have run to count as falsely
	// down.
	settledTime = 10 * time.Second
)

func newTally() tally {
	return tally{
		drops:    make(map[string]int),
		openings: hdrhistogram.New(1, longestOpening, significantFigures),
	}
}

func (t *tally) countQuestion(size int) {
	t.Questions++
	t.QuestionBytes += size + simnet.HeaderSize
}

func (t *tally) countDrop(reason admission.DropReason) { t.drops[reason.String()]++ }

func (t *tally) recordOpening(took time.Duration) {
	if err := t.openings.RecordValue(took.Microseconds()); err != nil {
		panic("hollow: opening took longer than any caller waits: " + err.Error())
	}
}

// countFalselyDown counts rows on a daemon's list whose agents run.
func (f *fleet) countFalselyDown(unavailable []table.BackendID) {
	f.tally.looks++
	for _, row := range unavailable {
		listed := f.agentOf(row)
		if !f.network.Stopped(listed.id) && f.network.Now() >= listed.startedAt+settledTime {
			f.tally.falselyDown++
		}
	}
}
