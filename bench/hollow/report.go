// This file implements the report of a run.

package hollow

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/simnet"
)

// Traffic is the control traffic of the nodes of one role over the measured
// time, in bytes a second, sent and received together, headers included.
type Traffic struct {
	Mean float64 `json:"mean"`
	// LargestMean is that of the node with the most traffic.
	LargestMean float64 `json:"largest_mean"`
	// LargestWindow is that of the worst 10 seconds of any node.
	LargestWindow     float64 `json:"largest_window"`
	DatagramsPerNode  float64 `json:"datagrams_per_node_per_second"`
	LargestNodeNumber int     `json:"largest_node"`
}

// Distribution sums up a set of values.
type Distribution struct {
	Count  int     `json:"count"`
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"max"`
}

// Force tells how long changes took to be in force on all running processes, in
// seconds.
type Force struct {
	Changes int          `json:"changes"`
	Daemons Distribution `json:"daemons"`
	Agents  Distribution `json:"agents"`
	// Unfinished counts changes that were not in force everywhere at the end.
	Unfinished int `json:"unfinished"`
}

// Report is the outcome of a run. Equal options give equal reports.
type Report struct {
	Options Options `json:"options"`
	// Flows counts from the beginning; Measured only the measured time.
	Flows     FlowCounts `json:"flows"`
	Measured  FlowCounts `json:"measured"`
	OpenAtEnd int        `json:"open_at_end"`
	// Remembered is the number of flows in the memory of all machines.
	Remembered int `json:"remembered"`
	// OpeningMillis is the time from a caller's first packet to its arrival
	// at the row that opened the flow.
	OpeningMillis Distribution `json:"opening_ms"`
	// QuestionsPerFlow and QuestionBytesPerFlow are queries and replies
	// between agents for each flow opened in the measured time.
	QuestionsPerFlow     float64     `json:"questions_per_flow"`
	QuestionBytesPerFlow float64     `json:"question_bytes_per_flow"`
	Drops                []Count     `json:"drops"`
	Probes               ProbeReport `json:"probes"`
	// Imbalance is the distribution over services of the largest number of
	// open flows per weight of a row, relative to the mean of the service's
	// rows that accept new flows and run.
	Imbalance Distribution `json:"imbalance"`
	// Daemons and Agents are control traffic; for agents it includes queries
	// and replies.
	Daemons Traffic `json:"daemons"`
	Agents  Traffic `json:"agents"`
	// FalselyDown is the mean number of rows that a daemon takes for
	// unavailable although their agents run.
	FalselyDown float64         `json:"falsely_down"`
	Force       Force           `json:"force"`
	Network     simnet.Counters `json:"network"`
}

// Encode returns the JSON form of the report.
func (r Report) Encode() ([]byte, error) {
	encoded, err := json.MarshalIndent(r, "", "  ")
	return encoded, errors.Wrap(err, "report")
}

func (f *fleet) report() Report {
	report := Report{
		Options:       f.options,
		Flows:         f.tally.FlowCounts,
		Measured:      f.tally.since(),
		OpenAtEnd:     len(f.traffic.flows.open),
		OpeningMillis: f.tally.openingMillis(),
		Drops:         sortedCounts(f.tally.drops),
		Probes:        f.traffic.report(),
		Imbalance:     f.imbalance(),
		Force:         f.force(),
		Network:       f.network.Counters(),
	}
	if opened := float64(report.Measured.Opened); opened > 0 {
		report.QuestionsPerFlow = float64(report.Measured.Questions) / opened
		report.QuestionBytesPerFlow = float64(report.Measured.QuestionBytes) / opened
	}
	if f.tally.looks > 0 {
		report.FalselyDown = float64(f.tally.falselyDown) / float64(f.tally.looks)
	}
	for _, counted := range f.agents {
		report.Remembered += counted.machine.Flows()
	}
	report.Daemons = f.trafficOf(0, len(f.daemons))
	report.Agents = f.trafficOf(len(f.daemons), len(f.agents))
	return report
}

// trafficOf sums up the meters of successive nodes.
func (f *fleet) trafficOf(first, count int) Traffic {
	seconds := f.options.Duration.Seconds()
	var traffic Traffic
	for index := range count {
		usage := f.network.Usage(simnet.NodeID(first + index))
		mean := float64(usage.Bytes()) / seconds
		traffic.Mean += mean / float64(count)
		traffic.DatagramsPerNode += float64(usage.SentDatagrams+usage.ReceivedDatagrams) / seconds / float64(count)
		if mean > traffic.LargestMean {
			traffic.LargestMean = mean
			traffic.LargestNodeNumber = index
		}
		window := float64(usage.WorstWindowBytes) / min(seconds, simnet.WindowSeconds)
		traffic.LargestWindow = max(traffic.LargestWindow, window)
	}
	return traffic
}

func (t *tally) openingMillis() Distribution {
	const microsPerMilli = 1000
	return Distribution{
		Count:  int(t.openings.TotalCount()),
		Median: float64(t.openings.ValueAtQuantile(50)) / microsPerMilli,
		P99:    float64(t.openings.ValueAtQuantile(99)) / microsPerMilli,
		Max:    float64(t.openings.Max()) / microsPerMilli,
	}
}

// since returns the counts of the measured time.
func (t *tally) since() FlowCounts {
	now, start := t.FlowCounts, t.atStart
	return FlowCounts{
		Offered:       now.Offered - start.Offered,
		Opened:        now.Opened - start.Opened,
		Closed:        now.Closed - start.Closed,
		Refused:       now.Refused - start.Refused,
		NeverOpened:   now.NeverOpened - start.NeverOpened,
		OpenedTwice:   now.OpenedTwice - start.OpenedTwice,
		LostWithAgent: now.LostWithAgent - start.LostWithAgent,
		Retransmitted: now.Retransmitted - start.Retransmitted,
		NoBalancer:    now.NoBalancer - start.NoBalancer,
		NotRouted:     now.NotRouted - start.NotRouted,
		Forwarded:     now.Forwarded - start.Forwarded,
		Questions:     now.Questions - start.Questions,
		QuestionBytes: now.QuestionBytes - start.QuestionBytes,
	}
}

// imbalance compares the rows of each service.
func (f *fleet) imbalance() Distribution {
	var values []float64
	for _, compared := range f.services {
		var largest, sum float64
		rows := 0
		for _, id := range compared.rows {
			row := f.table.Backends[id-1]
			if !row.AcceptsNewFlows() || f.network.Stopped(f.agentOf(id).id) {
				continue
			}
			load := float64(f.agentOf(id).machine.Open()) / float64(row.Weight)
			largest = max(largest, load)
			sum += load
			rows++
		}
		if sum > 0 {
			values = append(values, largest*float64(rows)/sum)
		}
	}
	return distributionOf(values)
}

func (f *fleet) force() Force {
	var daemons, agents []float64
	force := Force{Changes: len(f.changes)}
	for _, watched := range f.changes {
		if watched.daemons == 0 || watched.agents == 0 {
			force.Unfinished++
			continue
		}
		daemons = append(daemons, watched.daemons.Seconds())
		agents = append(agents, watched.agents.Seconds())
	}
	force.Daemons = distributionOf(daemons)
	force.Agents = distributionOf(agents)
	return force
}

func distributionOf(values []float64) Distribution {
	if len(values) == 0 {
		return Distribution{}
	}
	slices.Sort(values)
	last := len(values) - 1
	return Distribution{
		Count:  len(values),
		Median: values[last/2],
		P99:    values[last*99/100],
		Max:    values[last],
	}
}

// Cost is what a run took on the machine that did it; unlike a Report it
// differs from run to run.
type Cost struct {
	Wall time.Duration `json:"wall_ns"`
	// Heap is the largest number of bytes in use by objects that was seen.
	Heap uint64 `json:"heap_bytes"`
}
