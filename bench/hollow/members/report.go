// This file implements the report of a run.

package members

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/simnet"
)

// Report is the outcome of a run. Equal options give equal reports. Times are in
// seconds; zero for a time that was not measured, and negative if the views were
// not right within Options.Settling.
type Report struct {
	Options Options `json:"options"`
	// Start is until all views are right after a cold start.
	Start float64 `json:"start_s"`
	// MeanBytes, LargestMean and LargestWindow are bytes a second, sent and
	// received with headers, of a daemon on a usual day: the mean, that of the
	// busiest one, and the worst 10 seconds of any.
	MeanBytes     float64 `json:"mean_bytes_per_second"`
	LargestMean   float64 `json:"largest_mean_bytes_per_second"`
	LargestWindow float64 `json:"largest_window_bytes_per_second"`
	// Changes counts those of the usual day; InForceMedian and InForceLargest
	// are until they were in force on every running process, and Unfinished
	// counts those that never were.
	Changes        int     `json:"changes"`
	InForceMedian  float64 `json:"in_force_median_s"`
	InForceLargest float64 `json:"in_force_largest_s"`
	Unfinished     int     `json:"unfinished_changes"`
	// AgentsKnownMedian and AgentsKnownLargest are until every daemon knew of
	// an agent's restart after its own daemons had noticed it, and AgentsUnknown
	// counts those of AgentRestarts that were not known before the next one.
	AgentRestarts      int     `json:"agent_restarts"`
	AgentsKnownMedian  float64 `json:"agents_known_median_s"`
	AgentsKnownLargest float64 `json:"agents_known_largest_s"`
	AgentsUnknown      int     `json:"agents_unknown"`
	// Fetches counts tables and deltas fetched over connections, whose bytes
	// are not counted.
	Fetches int `json:"fetches"`
	// Kills is, for each daemon killed, until all others knew it.
	Kills []float64 `json:"kills_s"`
	// ZoneBack is until all views are right after a lost zone came back.
	ZoneBack float64 `json:"zone_back_s"`
	// Healed is until all views are right after the cut of a region ended,
	// CaughtUp until the changes made meanwhile are in force on every running
	// process, and CutLargestWindow the worst 10 seconds of any daemon in the
	// cut and after.
	Healed           float64 `json:"healed_s"`
	CaughtUp         float64 `json:"caught_up_s"`
	CutLargestWindow float64 `json:"cut_largest_window_bytes_per_second"`
	// FalseFailures counts reports of a failure of a process that ran.
	FalseFailures int `json:"false_failures"`
	// LargestMessage is in bytes, without headers.
	LargestMessage int             `json:"largest_message"`
	Network        simnet.Counters `json:"network"`
}

// Encode returns the JSON form of the report.
func (r Report) Encode() ([]byte, error) {
	encoded, err := json.MarshalIndent(r, "", "  ")
	return encoded, errors.Wrap(err, "report")
}

// Markdown returns the report as a table.
func (r Report) Markdown() string {
	var text strings.Builder
	row := func(quantity, format string, values ...any) {
		fmt.Fprintf(&text, "| %s | %s |\n", quantity, fmt.Sprintf(format, values...))
	}
	text.WriteString("| quantity | measured |\n|---|---|\n")
	row("fleet", "%d daemons, %d zones in %d regions, seed %d, loss %g",
		r.Options.Daemons, r.Options.Zones, r.Options.Regions, r.Options.Seed, r.Options.Loss)
	row("cold start until all views are right", "%s", seconds(r.Start))
	row("traffic on a usual day, mean, busiest daemon, worst 10 s", "%.0f, %.0f, %.0f bytes/s (%s; %d restarts and %d failures a day)",
		r.MeanBytes, r.LargestMean, r.LargestWindow, r.Options.Usual, r.Options.RestartsPerDay, r.Options.FailuresPerDay)
	row("changes in force on every running daemon", "%d of %d; median %.1f s, longest %.1f s; %d fetches over connections",
		r.Changes-r.Unfinished, r.Changes, r.InForceMedian, r.InForceLargest, r.Fetches)
	row("restarts of agents known to every daemon", "%d of %d; median %.1f s, longest %.1f s (%d agents for each daemon)",
		r.AgentRestarts-r.AgentsUnknown, r.AgentRestarts, r.AgentsKnownMedian, r.AgentsKnownLargest, r.Options.AgentsPerDaemon)
	killed := make([]string, 0, len(r.Kills))
	for _, took := range r.Kills {
		killed = append(killed, seconds(took))
	}
	row("a killed daemon known to all", "%s", strings.Join(killed, ", "))
	row("views right after a lost zone came back", "%s", seconds(r.ZoneBack))
	row("views right after a region was cut off for "+r.Options.Cut.String(), "%s; the changes made meanwhile in force everywhere after %s; worst 10 s of traffic %.0f bytes/s",
		seconds(r.Healed), seconds(r.CaughtUp), r.CutLargestWindow)
	row("failures reported of processes that ran", "%d", r.FalseFailures)
	row("largest message", "%d bytes", r.LargestMessage)
	return text.String()
}

func seconds(value float64) string {
	if value < 0 {
		return "**not reached**"
	}
	return fmt.Sprintf("%.1f s", value)
}
