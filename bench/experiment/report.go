// This file implements the report of a run and the promises it is checked
// against.

package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanetiller/vanetiller/bench/backend"
	"github.com/vanetiller/vanetiller/bench/caller"
	"github.com/vanetiller/vanetiller/bench/fabric"
)

// CauseCount is the number of flows that ended with one outcome and cause.
type CauseCount struct {
	Outcome caller.Outcome `json:"outcome"`
	Cause   caller.Cause   `json:"cause"`
	Count   int            `json:"count"`
	// Example is the flow and error text of the first of them.
	Example string `json:"example"`
}

// Report is the outcome of one run.
type Report struct {
	Experiment string `json:"experiment"`
	Shape      string `json:"shape"`
	Baseline   string `json:"baseline"`
	Seed       uint64 `json:"seed"`
	// Flows is the number of flows that were started.
	Flows     int `json:"flows"`
	Completed int `json:"completed"`
	// BrokenFlows is the number of established flows that did not complete,
	// without those in BrokenByEndpointKill.
	BrokenFlows int `json:"broken_flows"`
	// BrokenByEndpointKill is the number of flows that broke on a back end
	// whose agent the schedule killed during the flow.
	BrokenByEndpointKill int `json:"broken_by_endpoint_kill"`
	// NotOpened is the number of flows whose handshake got no answer.
	NotOpened              int `json:"not_opened"`
	Misdelivered           int `json:"misdelivered"`
	FlowsOnSeveralBackends int `json:"double_opened"`
	DuplicateRuns          int `json:"double_runs"`
	// LateConnections is the number of connections accepted by back ends that
	// had been leaving for more than three seconds, not counting the skew of
	// the experiment.
	LateConnections int `json:"late_admissions"`
	Refused         int `json:"refused"`
	// FalseRefusals is the number of refused requests that ran.
	FalseRefusals int `json:"false_refusals"`
	// Imbalance is the mean of the worst service's imbalance before the
	// events.
	Imbalance      float64 `json:"imbalance"`
	ImbalancePeak  float64 `json:"imbalance_peak"`
	ImbalanceFlows int64   `json:"imbalance_flows"`
	Events         int     `json:"events"`
	// AnswerP50 and P99 are times from a poll or submission to its answer.
	AnswerP50 float64 `json:"p50_ms"`
	AnswerP99 float64 `json:"p99_ms"`
	// HandshakeP50 and OpenP99 are times of handshakes.
	HandshakeP50 float64 `json:"open_p50_ms"`
	HandshakeP99 float64 `json:"open_p99_ms"`
	// UnusedConnections is the number of connections that reached a back end
	// and carried no request.
	UnusedConnections int64           `json:"unused_connections"`
	Causes            []CauseCount    `json:"causes"`
	Faults            []string        `json:"faults"`
	Fabric            fabric.Counters `json:"fabric"`
	Seconds           float64         `json:"seconds"`
}

// Guarantee is a rule that a run keeps or breaks.
type Guarantee struct {
	Name       string
	Violations int
}

// Guarantees lists the rules and how often each was broken.
func (r Report) Guarantees() []Guarantee {
	return []Guarantee{
		{"established flows survive", r.BrokenFlows},
		{"every flow opens or is refused", r.NotOpened},
		{"requests reach their own service", r.Misdelivered},
		{"a flow opens on one back end", r.FlowsOnSeveralBackends},
		{"a submission runs at most once", r.DuplicateRuns},
		{"a refused request has not run", r.FalseRefusals},
		{"a leaving back end gets no new flows", r.LateConnections},
		{"daemons end only as planned", len(r.Faults)},
	}
}

// Passed reports whether no promise was broken and enough flows were open to
// tell.
func (r Report) Passed() bool {
	for _, promise := range r.Guarantees() {
		if promise.Violations > 0 {
			return false
		}
	}
	return r.Completed > 0 && r.ImbalanceFlows >= minimumOpenFlows
}

// minimumOpenFlows is the number of open flows below which a run shows
// nothing.
const minimumOpenFlows = 300

const (
	histogramLowest  = 1
	histogramHighest = int64(time.Minute / time.Microsecond)
	histogramDigits  = 3
	medianPercent    = 50
	tailPercent      = 99
)

// latencies collects times and gives percentiles in milliseconds.
type latencies struct{ histogram *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)}
}

func (l latencies) add(duration time.Duration) {
	microseconds := min(max(duration.Microseconds(), histogramLowest), histogramHighest)
	if err := l.histogram.RecordValue(microseconds); err != nil {
		panic("experiment: value was bounded before: " + err.Error())
	}
}

func (l latencies) milliseconds(percent float64) float64 {
	return float64(l.histogram.ValueAtPercentile(percent)) / 1000
}

// kill is the moment at which the schedule killed the agent of a back end.
type kill struct {
	backend string
	at      time.Time
}

// evidence is everything that a run leaves behind.
type evidence struct {
	options Options
	results []caller.Result
	ledger  *backend.Recorder
	// openings are the acceptances of connections by agents.
	openings   *openings
	kills      []kill
	departures []departure
	faults     []string
}

// newReport sums up the evidence.
func newReport(seen evidence) Report {
	totals := seen.ledger.Totals()
	report := Report{
		Experiment:             seen.options.Experiment.Name,
		Shape:                  seen.options.Shape.Name,
		Baseline:               seen.options.Baseline,
		Seed:                   seen.options.Seed,
		Flows:                  len(seen.results),
		Misdelivered:           totals.Misdelivered,
		FlowsOnSeveralBackends: max(countDouble(seen.ledger.Flows(), seen.kills), countDouble(seen.openings.all(), seen.kills)),
		DuplicateRuns:          totals.DuplicateRuns,
		LateConnections:        countLate(seen.openings.all(), seen.departures, lateAfter+seen.options.Experiment.RevisionSkew),
		Causes:                 countCauses(seen.results),
		Faults:                 seen.faults,
	}
	for _, result := range seen.results {
		seen.count(&report, result)
	}
	addLatencies(&report, seen.results)
	return report
}

func (e evidence) count(report *Report, result caller.Result) {
	switch result.Outcome {
	case caller.OutcomeCompleted:
		report.Completed++
	case caller.OutcomeNotOpened:
		report.NotOpened++
	case caller.OutcomeRefused:
		report.Refused++
		if e.ledger.HasRun(result.Request) {
			report.FalseRefusals++
		}
	case caller.OutcomeBroken:
		if e.killedDuring(result) {
			report.BrokenByEndpointKill++
		} else {
			report.BrokenFlows++
		}
	}
}

// killedDuring reports whether the agent that accepted the flow, or that of a
// back end that has seen a request of it, was killed while the flow was open.
func (e evidence) killedDuring(result caller.Result) bool {
	seen := e.ledger.BackendsOf(result.Plan.ID)
	seen = append(seen, e.openings.acceptors(result.Caller, result.Started, result.Ended)...)
	return slices.ContainsFunc(e.kills, func(k kill) bool {
		return slices.Contains(seen, k.backend) && k.at.After(result.Started) && k.at.Before(result.Ended)
	})
}

func addLatencies(report *Report, results []caller.Result) {
	answers, openings := newLatencies(), newLatencies()
	for _, result := range results {
		if result.Outcome == caller.OutcomeCompleted {
			openings.add(result.HandshakeTime)
		}
		for _, answer := range result.AnswerTimes {
			answers.add(answer)
		}
	}
	report.AnswerP50, report.AnswerP99 = answers.milliseconds(medianPercent), answers.milliseconds(tailPercent)
	report.HandshakeP50, report.HandshakeP99 = openings.milliseconds(medianPercent), openings.milliseconds(tailPercent)
}

func countCauses(results []caller.Result) []CauseCount {
	var counts []CauseCount
	for _, result := range results {
		if result.Outcome == caller.OutcomeCompleted {
			continue
		}
		position := slices.IndexFunc(counts, func(c CauseCount) bool {
			return c.Outcome == result.Outcome && c.Cause == result.Cause
		})
		if position < 0 {
			position = len(counts)
			example := fmt.Sprintf("%s: %s", result.Plan.ID, result.Detail)
			counts = append(counts, CauseCount{Outcome: result.Outcome, Cause: result.Cause, Example: example})
		}
		counts[position].Count++
	}
	slices.SortFunc(counts, func(a, b CauseCount) int { return cmp.Compare(b.Count, a.Count) })
	return counts
}
