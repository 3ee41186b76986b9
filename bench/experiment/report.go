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
	NotOpened    int `json:"not_opened"`
	Misdelivered int `json:"misdelivered"`
	DoubleOpened int `json:"double_opened"`
	DoubleRuns   int `json:"double_runs"`
	// LateAdmissions is the number of connections accepted by back ends that
	// had been leaving for more than three seconds, not counting the skew of
	// the experiment.
	LateAdmissions int `json:"late_admissions"`
	Refused        int `json:"refused"`
	// FalseRefusals is the number of refused requests that ran.
	FalseRefusals int `json:"false_refusals"`
	// Imbalance is the mean of the worst service's imbalance before the
	// events.
	Imbalance      float64 `json:"imbalance"`
	ImbalancePeak  float64 `json:"imbalance_peak"`
	ImbalanceFlows int64   `json:"imbalance_flows"`
	Events         int     `json:"events"`
	// P50 and P99 are times from a poll or submission to its answer.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	// OpenP50 and OpenP99 are times of handshakes.
	OpenP50 float64 `json:"open_p50_ms"`
	OpenP99 float64 `json:"open_p99_ms"`
	// UnusedConnections is the number of connections that reached a back end
	// and carried no request.
	UnusedConnections int64           `json:"unused_connections"`
	Causes            []CauseCount    `json:"causes"`
	Faults            []string        `json:"faults"`
	Fabric            fabric.Counters `json:"fabric"`
	Seconds           float64         `json:"seconds"`
}

// Promise is a rule that a run keeps or breaks.
type Promise struct {
	Name   string
	Broken int
}

// Promises lists the rules and how often each was broken.
func (r Report) Promises() []Promise {
	return []Promise{
		{"established flows survive", r.BrokenFlows},
		{"every flow opens or is refused", r.NotOpened},
		{"requests reach their own service", r.Misdelivered},
		{"a flow opens on one back end", r.DoubleOpened},
		{"a submission runs at most once", r.DoubleRuns},
		{"a refused request has not run", r.FalseRefusals},
		{"a leaving back end gets no new flows", r.LateAdmissions},
		{"daemons end only as planned", len(r.Faults)},
	}
}

// Kept reports whether no promise was broken and enough flows were open to
// tell.
func (r Report) Kept() bool {
	for _, promise := range r.Promises() {
		if promise.Broken > 0 {
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
	ledger  *backend.Ledger
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
		Experiment:     seen.options.Experiment.Name,
		Shape:          seen.options.Shape.Name,
		Baseline:       seen.options.Baseline,
		Seed:           seen.options.Seed,
		Flows:          len(seen.results),
		Misdelivered:   totals.Misdelivered,
		DoubleOpened:   max(countDouble(seen.ledger.Flows(), seen.kills), countDouble(seen.openings.all(), seen.kills)),
		DoubleRuns:     totals.DoubleRuns,
		LateAdmissions: countLate(seen.openings.all(), seen.departures, lateAfter+seen.options.Experiment.Skew),
		Causes:         countCauses(seen.results),
		Faults:         seen.faults,
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
		if e.ledger.Ran(result.Request) {
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
			openings.add(result.Opening)
		}
		for _, answer := range result.Answers {
			answers.add(answer)
		}
	}
	report.P50, report.P99 = answers.milliseconds(medianPercent), answers.milliseconds(tailPercent)
	report.OpenP50, report.OpenP99 = openings.milliseconds(medianPercent), openings.milliseconds(tailPercent)
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
