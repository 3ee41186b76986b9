// This file implements the report of a run and the promises it is checked
// against.

package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

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
	Refused      int `json:"refused"`
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

// report sums up the results of the flows.
func (c *Cluster) report(results []caller.Result) Report {
	totals := c.ledger.Totals()
	report := Report{
		Experiment:        c.options.Experiment.Name,
		Shape:             c.options.Shape.Name,
		Baseline:          c.options.Baseline,
		Seed:              c.options.Seed,
		Flows:             len(results),
		Misdelivered:      totals.Misdelivered,
		DoubleOpened:      totals.DoubleOpened,
		DoubleRuns:        totals.DoubleRuns,
		Fabric:            c.fabric.Counters(),
		UnusedConnections: c.unusedConnections(),
		Causes:            countCauses(results),
	}
	answers, openings := newLatencies(), newLatencies()
	for _, result := range results {
		c.countResult(&report, result)
		if result.Outcome == caller.OutcomeCompleted {
			openings.add(result.Opening)
		}
		for _, answer := range result.Answers {
			answers.add(answer)
		}
	}
	report.P50, report.P99 = answers.milliseconds(medianPercent), answers.milliseconds(tailPercent)
	report.OpenP50, report.OpenP99 = openings.milliseconds(medianPercent), openings.milliseconds(tailPercent)
	report.Seconds = time.Since(c.started).Seconds()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	report.Faults = slices.Clone(c.faults)
	return report
}

func (c *Cluster) countResult(report *Report, result caller.Result) {
	switch result.Outcome {
	case caller.OutcomeCompleted:
		report.Completed++
	case caller.OutcomeNotOpened:
		report.NotOpened++
	case caller.OutcomeRefused:
		report.Refused++
		if c.ledger.Ran(result.Request) {
			report.FalseRefusals++
		}
	case caller.OutcomeBroken:
		if c.killedDuring(result) {
			report.BrokenByEndpointKill++
		} else {
			report.BrokenFlows++
		}
	}
}

// killedDuring reports whether the agent of a back end that has seen the flow
// was killed while the flow was open.
func (c *Cluster) killedDuring(result caller.Result) bool {
	seen := c.ledger.BackendsOf(result.Plan.ID)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, member := range c.endpoints {
		if !slices.Contains(seen, member.row.Name) {
			continue
		}
		for _, kill := range member.kills {
			if kill.After(result.Started) && kill.Before(result.Ended) {
				return true
			}
		}
	}
	return false
}

func (c *Cluster) unusedConnections() int64 {
	var unused int64
	for _, member := range c.endpoints {
		unused += member.backend.Counters().ClosedUnused
	}
	return unused
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
