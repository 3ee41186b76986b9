// This file implements the experiment platform, which simulates the relay in virtual time.

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/flownet"
)

const (
	platformExperiment  = "platform"
	platformDescription = "simulated balancers and agents that forward packets under random events, in virtual time"
	// platformEventRate is the number of events per second of virtual time.
	platformEventRate = 0.6
)

// runPlatform executes one run of the experiment platform, prints its report and returns the exit
// status.
func runPlatform(values runFlags) int {
	shape, err := flownet.ScenarioByName(values.shape)
	if err != nil {
		return usageError(err)
	}
	baseline, err := parseBaseline(values.baseline)
	if err != nil {
		return usageError(err)
	}
	if values.hash != string(flownet.HashRendezvous) && values.hash != string(flownet.HashModulo) {
		return usageError(errors.Errorf("-hash must be %s or %s", flownet.HashRendezvous, flownet.HashModulo))
	}
	report := flownet.Run(flownet.Options{
		Shape: shape, Seed: values.seed, Duration: values.duration, Hash: flownet.HashScheme(values.hash),
		Events: int(values.duration.Seconds() * platformEventRate), Load: 1,
		PowerLoss: values.powerLoss, KillAll: values.killAll, PlannedOnly: values.planned, Baseline: baseline != "", DisableAgentQueue: values.unbounded,
	})
	if !values.json {
		printPlatform(report)
	}
	encoded, err := json.Marshal(report)
	if err != nil {
		fmt.Fprintln(os.Stderr, "vanetiller-bench:", err)
		return exitFailure
	}
	fmt.Println(string(encoded))
	if report.Violations() > 0 {
		return exitFailure
	}
	return exitOK
}

func printPlatform(report flownet.Report) {
	table := tabwriter.NewWriter(os.Stdout, 0, tabWidth, tabPadding, ' ', 0)
	fmt.Fprintf(table, "%s on %s, seed %d\n\n", report.Experiment, report.Shape, report.Seed)
	fmt.Fprintf(table, "requests\t%d\t%.2f%% served, %.2f%% within their objective\n",
		report.Requests, 100*report.ServedShare, 100*report.WithinTargetShare)
	fmt.Fprintf(table, "worst two seconds\t%.2f%%\twithin their objective\n\n", 100*report.WorstWindowShare)
	for _, guarantee := range []struct {
		name       string
		violations int
	}{
		{"open flows are not reset", report.OpenFlowResets},
		{"packets of open flows reach their endpoint", report.MisroutedFlows},
		{"requests that are not idempotent run at most once", report.DuplicateExecutions},
		{"draining endpoints get no new flows", report.OpenedAfterDrain},
		{"configurations take effect in time", report.StaleRoutes},
		{"packets arrive unmodified", report.CorruptedPackets},
		{"answers belong to their requests", report.MismatchedResponses},
	} {
		verdict := "kept"
		if guarantee.violations > 0 {
			verdict = fmt.Sprintf("VIOLATED %d times", guarantee.violations)
		}
		fmt.Fprintf(table, "%s\t%s\n", guarantee.name, verdict)
	}
	_ = table.Flush()
}
