// This file implements the report as a table in Markdown.

package hollow

import (
	"fmt"
	"strings"
	"time"
)

// Goals of a daemon.
const (
	goalBytesPerSecond = 3 << 10
	goalForceSeconds   = 7
)

// Markdown returns the report as a table.
func (r Report) Markdown() string {
	var text strings.Builder
	row := func(quantity, format string, values ...any) {
		fmt.Fprintf(&text, "| %s | %s |\n", quantity, fmt.Sprintf(format, values...))
	}
	options := r.Options
	text.WriteString("| quantity | measured |\n|---|---|\n")
	row("fleet", "%d daemons, %d agents, %d services, %d zones in %d regions",
		options.Daemons, options.rows(), options.Services, options.Zones, options.Regions)
	row("run", "seed %d, %s measured after %s, liveness %s, %d daemons for each agent, loss %g, faults %t, changes of the table %s",
		options.Seed, options.Duration, options.Starting+options.Filling, options.Liveness,
		options.DaemonsPerAgent, options.Loss, options.Faults, interval(options.ChangeInterval))
	r.writeFlows(row)
	r.writeTraffic(row)
	return text.String()
}

func interval(value time.Duration) string {
	if value == 0 {
		return "none"
	}
	return "every " + value.String()
}

type rowWriter func(quantity, format string, values ...any)

func (r Report) writeFlows(row rowWriter) {
	if r.Flows.Offered == 0 {
		return
	}
	row("flows", "%d open at the end; in the measured time %d offered, %d opened, %d refused, %d never opened, %d lost with their agent's process",
		r.OpenAtEnd, r.Measured.Offered, r.Measured.Opened, r.Measured.Refused, r.Measured.NeverOpened, r.Measured.LostWithAgent)
	row("flows opened on two rows", "%d", r.Flows.OpenedTwice)
	row("packets of open flows", "%d of %d reached the owner; %s", r.Probes.Arrived, r.Probes.Sent, countsText(r.Probes.Failed))
	row("time to reach the opening row", "median %.1f ms, 99 of 100 within %.1f ms, longest %.0f ms",
		r.OpeningMillis.Median, r.OpeningMillis.P99, r.OpeningMillis.Max)
	row("queries and replies for each new flow", "%.2f messages, %.0f bytes", r.QuestionsPerFlow, r.QuestionBytesPerFlow)
	row("flows remembered by agents", "%d, %.2f for each open flow", r.Remembered, float64(r.Remembered)/float64(max(r.OpenAtEnd, 1)))
	row("most loaded row of a service, relative to the mean", "median %.3f, 99 of 100 services within %.3f, worst %.3f",
		r.Imbalance.Median, r.Imbalance.P99, r.Imbalance.Max)
	row("opening packets dropped", "%s", countsText(r.Drops))
}

func countsText(counts []Count) string {
	if len(counts) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(counts))
	for _, counted := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", counted.Cause, counted.Count))
	}
	return strings.Join(parts, ", ")
}

func (r Report) writeTraffic(row rowWriter) {
	row("control traffic of a daemon, mean", "%.0f bytes/s, %s", r.Daemons.Mean, verdict(r.Daemons.Mean, goalBytesPerSecond))
	row("control traffic of the busiest daemon, mean and worst 10 s", "%.0f and %.0f bytes/s, %s",
		r.Daemons.LargestMean, r.Daemons.LargestWindow, verdict(r.Daemons.LargestWindow, goalBytesPerSecond))
	row("control traffic of an agent, mean, busiest, worst 10 s", "%.0f, %.0f, %.0f bytes/s",
		r.Agents.Mean, r.Agents.LargestMean, r.Agents.LargestWindow)
	row("rows that a daemon takes for unavailable although their agents run", "%.1f", r.FalselyDown)
	if r.Force.Changes > 0 {
		row("changes in force on all running daemons and agents", "%d of %d; daemons longest %.1f s; agents median %.1f s, longest %.1f s, %s",
			r.Force.Agents.Count, r.Force.Changes, r.Force.Daemons.Max, r.Force.Agents.Median, r.Force.Agents.Max,
			verdict(r.Force.Agents.Max, goalForceSeconds))
	}
	row("datagrams", "%d sent, %d lost, %d cut off, %d to stopped processes; %d events",
		r.Network.Sent, r.Network.Lost, r.Network.Cut, r.Network.Unreceived, r.Network.Events)
}

func verdict(value, goal float64) string {
	if value <= goal {
		return fmt.Sprintf("goal %.0f met", goal)
	}
	return fmt.Sprintf("goal %.0f **not met**", goal)
}
