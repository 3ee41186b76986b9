// This file computes the report of a run and the violations of each guarantee.

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
	// Example is the ID and error text of the first of these flows.
	Example string `json:"example"`
}

// Report is the result of one run.
type Report struct {
	Experiment string `json:"experiment"`
	Shape      string `json:"shape"`
	Baseline   string `json:"baseline"`
	Seed       uint64 `json:"seed"`
	// Flows is the number of started flows.
	Flows     int `json:"flows"`
	Completed int `json:"completed"`
	// BrokenFlows is the number of established flows that did not complete, except those in
	// BrokenByEndpointKill.
	BrokenFlows int `json:"broken_flows"`
	// BrokenByEndpointKill is the number of broken flows of back ends whose agent the schedule
	// killed during the flow.
	BrokenByEndpointKill int `json:"broken_by_endpoint_kill"`
	// NotOpened is the number of flows with caller.OutcomeNotOpened, such as those whose
	// handshake got no answer.
	NotOpened    int `json:"not_opened"`
	Misdelivered int `json:"misdelivered"`
	// FlowsOnSeveralBackends is the larger of two numbers: the flows whose requests reached
	// several back ends, and the connections that several agents accepted. It excludes those
	// whose earlier agent was killed in between.
	FlowsOnSeveralBackends int `json:"double_opened"`
	// DuplicateRuns is the number of submissions that were executed more than once.
	DuplicateRuns int `json:"double_runs"`
	// LateConnections is the number of connections accepted by back ends that had been
	// draining for more than three seconds plus the revision skew of the experiment.
	LateConnections int `json:"late_admissions"`
	Refused         int `json:"refused"`
	// FalseRefusals is the number of refused requests that were executed.
	FalseRefusals int `json:"false_refusals"`
	// Imbalance is the mean imbalance of the worst service, measured before the events.
	// ImbalancePeak is the largest sample, and ImbalanceFlows the smallest number of open flows
	// in any sample.
	Imbalance      float64 `json:"imbalance"`
	ImbalancePeak  float64 `json:"imbalance_peak"`
	ImbalanceFlows int64   `json:"imbalance_flows"`
	Events         int     `json:"events"`
	// AnswerP50 and AnswerP99 are percentiles of the time from a request, that is a poll, a
	// submission or a datagram, to the end of its answer.
	AnswerP50 float64 `json:"p50_ms"`
	AnswerP99 float64 `json:"p99_ms"`
	// HandshakeP50 and HandshakeP99 are percentiles of the duration of handshakes.
	HandshakeP50 float64 `json:"open_p50_ms"`
	HandshakeP99 float64 `json:"open_p99_ms"`
	// UnusedConnections is the number of connections to back ends that carried no request.
	UnusedConnections int64           `json:"unused_connections"`
	Causes            []CauseCount    `json:"causes"`
	Faults            []string        `json:"faults"`
	Fabric            fabric.Counters `json:"fabric"`
	Seconds           float64         `json:"seconds"`
}

// Guarantee is a rule for the behavior of the daemons, with the number of its violations in a run.
type Guarantee struct {
	Name       string
	Violations int
}

// Guarantees lists the guarantees and how often each was violated.
func (r Report) Guarantees() []Guarantee {
	return []Guarantee{
		{"established flows complete", r.BrokenFlows},
		{"every flow opens or is refused", r.NotOpened},
		{"requests reach their own service", r.Misdelivered},
		{"a flow opens on one back end", r.FlowsOnSeveralBackends},
		{"a submission runs at most once", r.DuplicateRuns},
		{"a refused request has not run", r.FalseRefusals},
		{"a draining back end gets no new flows", r.LateConnections},
		{"daemons exit only as expected", len(r.Faults)},
	}
}

// Passed reports whether no guarantee was violated, at least one flow completed and at least
// minimumOpenFlows were open.
func (r Report) Passed() bool {
	for _, guarantee := range r.Guarantees() {
		if guarantee.Violations > 0 {
			return false
		}
	}
	return r.Completed > 0 && r.ImbalanceFlows >= minimumOpenFlows
}

// minimumOpenFlows is the number of open flows below which a run is not conclusive.
const minimumOpenFlows = 300

const (
	histogramLowest  = 1
	histogramHighest = int64(time.Minute / time.Microsecond)
	histogramDigits  = 3
	medianPercent    = 50
	tailPercent      = 99
)

// latencies collects durations and returns percentiles in milliseconds.
type latencies struct{ histogram *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)}
}

func (l latencies) add(duration time.Duration) {
	microseconds := min(max(duration.Microseconds(), histogramLowest), histogramHighest)
	if err := l.histogram.RecordValue(microseconds); err != nil {
		panic("experiment: bounded latency is out of the range of the histogram: " + err.Error())
	}
}

func (l latencies) milliseconds(percent float64) float64 {
	return float64(l.histogram.ValueAtPercentile(percent)) / 1000
}

// kill records when the schedule killed the agent of a back end.
type kill struct {
	backend string
	at      time.Time
}

// observations holds everything that a run recorded.
type observations struct {
	options  Options
	results  []caller.Result
	recorder *backend.Recorder
	// acceptances are the connections that agents accepted.
	acceptances  *acceptances
	kills        []kill
	drainPeriods []drainPeriod
	faults       []string
}

// newReport computes the report from the observations of a run.
func newReport(observed observations) Report {
	totals := observed.recorder.Totals()
	report := Report{
		Experiment:             observed.options.Experiment.Name,
		Shape:                  observed.options.Shape.Name,
		Baseline:               observed.options.Baseline,
		Seed:                   observed.options.Seed,
		Flows:                  len(observed.results),
		Misdelivered:           totals.Misdelivered,
		FlowsOnSeveralBackends: max(countFlowsOnSeveralBackends(observed.recorder.Flows(), observed.kills), countFlowsOnSeveralBackends(observed.acceptances.all(), observed.kills)),
		DuplicateRuns:          totals.DuplicateRuns,
		LateConnections:        countLateConnections(observed.acceptances.all(), observed.drainPeriods, drainGrace+observed.options.Experiment.RevisionSkew),
		Causes:                 countCauses(observed.results),
		Faults:                 observed.faults,
	}
	for _, result := range observed.results {
		observed.countResult(&report, result)
	}
	addLatencies(&report, observed.results)
	return report
}

func (o observations) countResult(report *Report, result caller.Result) {
	switch result.Outcome {
	case caller.OutcomeCompleted:
		report.Completed++
	case caller.OutcomeNotOpened:
		report.NotOpened++
	case caller.OutcomeRefused:
		report.Refused++
		if o.recorder.HasRun(result.Request) {
			report.FalseRefusals++
		}
	case caller.OutcomeBroken:
		if o.killedDuring(result) {
			report.BrokenByEndpointKill++
		} else {
			report.BrokenFlows++
		}
	}
}

// killedDuring reports whether an agent was killed while the flow was open: the agent that
// accepted the flow, or that of a back end that received a request of the flow.
func (o observations) killedDuring(result caller.Result) bool {
	backends := o.recorder.BackendsOf(result.Plan.ID)
	backends = append(backends, o.acceptances.acceptingBackends(result.Caller, result.Started, result.Ended)...)
	return slices.ContainsFunc(o.kills, func(k kill) bool {
		return slices.Contains(backends, k.backend) && k.at.After(result.Started) && k.at.Before(result.Ended)
	})
}

func addLatencies(report *Report, results []caller.Result) {
	answers, handshakes := newLatencies(), newLatencies()
	for _, result := range results {
		if result.Outcome == caller.OutcomeCompleted {
			handshakes.add(result.HandshakeTime)
		}
		for _, answer := range result.AnswerTimes {
			answers.add(answer)
		}
	}
	report.AnswerP50, report.AnswerP99 = answers.milliseconds(medianPercent), answers.milliseconds(tailPercent)
	report.HandshakeP50, report.HandshakeP99 = handshakes.milliseconds(medianPercent), handshakes.milliseconds(tailPercent)
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
