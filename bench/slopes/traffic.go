// This file implements the measurements of messages and bytes.

package slopes

import (
	"context"
	"time"

	"github.com/vanetiller/vanetiller/bench/hollow"
	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/control"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	costBytes    = "bytes, headers included"
	costMessages = "messages"
)

func trafficExperiments() []experiment {
	rows := []int{4, 8, 16, 32}
	return []experiment{
		{"heartbeat and grant", costBytes, "rows reported down or unknown", []int{0, 2, 4, 8}, exactly(bytesOfGrant)},
		{"table slice", costBytes, "rows of an agent's service", []int{4, 8, 16, 32, 64}, exactly(bytesOfSlice)},
		{"platform answer", "bytes of JSON", "rows of the table", []int{1600, 3200, 6400, 12_000}, exactly(bytesOfTable)},
		{"questions", costMessages + " per new flow", "rows of the service", rows, questionsOf(settled, 0)},
		{"questions in doubt", costMessages + " per new flow within 20 s of a change", "rows of the service", rows, questionsOf(inDoubt, 0)},
		{"questions across regions", costMessages + " per new flow", "rows of a service in two regions", rows, questionsOf(settled, 1)},
		{"questions across regions in doubt", costMessages + " per new flow within 20 s of a change", "rows of a service in two regions", rows, questionsOf(inDoubt, 1)},
		{"question bytes", costBytes + ", per new flow", "rows of the service", rows, questionBytes},
		{"daemon idle", costBytes + ", per second", "agents of a daemon", []int{16, 24, 32, 48, 64}, idleTraffic},
	}
}

func bytesOfGrant(unavailable int) float64 {
	heartbeat := heartbeatsOf(sampleTable(1, 1), 1)[0]
	grant := control.Grant{Sequence: heartbeat.Sequence, Version: heartbeat.Version, LeaseMillis: 4000, IntervalMillis: 1000}
	for index := range unavailable {
		grant.Down = append(grant.Down, table.BackendID(10_000+index))
	}
	sent := encodeControl(&control.Datagram{Heartbeat: &heartbeat})
	answered := encodeControl(&control.Datagram{Grant: &grant})
	return float64(len(sent) + len(answered) + 2*simnet.HeaderSize)
}

// bytesOfSlice is the part of the table that a grant brings to an agent after
// each change of the table.
func bytesOfSlice(rows int) float64 {
	sample := sampleTable(1, rows)
	with := encodeControl(&control.Datagram{Grant: &control.Grant{Table: sample}})
	without := encodeControl(&control.Datagram{Grant: &control.Grant{}})
	return float64(len(with) - len(without))
}

func bytesOfTable(rows int) float64 { return float64(len(encodeTable(rows))) }

// Times at which flows begin: agents are in doubt about earlier views for 20 s.
const (
	settled = 30 * time.Second
	inDoubt = 6 * time.Second
)

// measuredFleet returns a small fleet without faults.
func measuredFleet() hollow.Options {
	options := hollow.SmallOptions()
	options.SpanningEvery = 0
	options.OpenFlows = 1000
	options.NewFlows = 1000
	options.Probes = 0
	options.Filling = time.Second
	options.Duration = 10 * time.Second
	options.ChangeInterval = 0
	options.Faults = false
	return options
}

func questionsOf(starting time.Duration, spanningEvery int) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, rows int) (float64, error) {
		options := measuredFleet()
		options.RowsPerService = rows
		options.Starting = starting
		options.SpanningEvery = spanningEvery
		report, _, err := hollow.Run(ctx, options)
		return report.QuestionsPerFlow, err
	}
}

func questionBytes(ctx context.Context, rows int) (float64, error) {
	options := measuredFleet()
	options.RowsPerService = rows
	options.Starting = settled
	report, _, err := hollow.Run(ctx, options)
	return report.QuestionBytesPerFlow, err
}

// idleTraffic is the control traffic of a daemon in a fleet without flows, with
// one daemon for each agent.
func idleTraffic(ctx context.Context, agents int) (float64, error) {
	options := measuredFleet()
	options.OpenFlows, options.NewFlows = 0, 0
	options.Daemons = options.Zones
	options.DaemonsPerAgent = 1
	options.Services = agents * options.Daemons / options.RowsPerService
	report, _, err := hollow.Run(ctx, options)
	return report.Daemons.Mean, err
}
