// This file implements the commands demo, run and list.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/experiment"
	"github.com/vanetiller/vanetiller/bench/flownet"
)

func demo(ctx context.Context, arguments []string) int {
	var values runFlags
	flags := newFlagSet("demo", &values, demoDuration)
	positional, err := parseInterleaved(flags, arguments)
	if err == nil && len(positional) > 0 {
		err = errors.Errorf("unexpected argument %q", positional[0])
	}
	if err != nil {
		return usageError(err)
	}
	return execute(ctx, values, demoExperiment)
}

func run(ctx context.Context, arguments []string) int {
	var values runFlags
	flags := newFlagSet("run", &values, defaultDuration)
	flags.BoolVar(&values.json, "json", false, "print only the JSON line, without the summary before it")
	flags.StringVar(&values.hash, "hash", string(flownet.HashRendezvous), "`method` by which the fabric of the experiment platform chooses balancers: steady or modulo")
	flags.BoolVar(&values.killAll, "kill-all", false, "simulate one kill of all daemons of the experiment platform, shortly after endpoints have left without notice")
	flags.BoolVar(&values.powerLoss, "power-loss", false, "simulate one power loss of all machines of the experiment platform")
	flags.BoolVar(&values.planned, "planned", false, "schedule only planned operations in the experiment platform")
	flags.BoolVar(&values.unbounded, "unbounded", false, "make the agents of the experiment platform deliver all packets to their endpoints at once, for comparison")
	positional, err := parseInterleaved(flags, arguments)
	if err == nil && len(positional) != 1 {
		err = errors.New("run needs exactly one experiment; see vanetiller-bench list")
	}
	if err != nil {
		return usageError(err)
	}
	if positional[0] == platformExperiment {
		return runPlatform(values)
	}
	return execute(ctx, values, positional[0])
}

// execute runs one experiment, prints its report and returns the exit status.
func execute(ctx context.Context, values runFlags, experimentName string) int {
	options, err := values.options(experimentName)
	if err != nil {
		return usageError(err)
	}
	temporary := options.Directory == ""
	if temporary {
		options.Directory, err = os.MkdirTemp("", "vanetiller-bench-")
		if err != nil {
			fmt.Fprintln(os.Stderr, "vanetiller-bench:", err)
			return exitFailure
		}
	}
	report, err := experiment.Run(ctx, options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "vanetiller-bench:", err)
		fmt.Fprintln(os.Stderr, "logs are in", options.Directory)
		return exitFailure
	}
	if err := printReport(report, values.json); err != nil {
		fmt.Fprintln(os.Stderr, "vanetiller-bench:", err)
		return exitFailure
	}
	if !report.Passed() {
		fmt.Fprintln(os.Stderr, "logs are in", options.Directory)
		return exitFailure
	}
	if temporary {
		return removeDirectory(options.Directory)
	}
	return exitOK
}

func removeDirectory(directory string) int {
	if err := os.RemoveAll(directory); err != nil {
		fmt.Fprintln(os.Stderr, "vanetiller-bench:", err)
		return exitFailure
	}
	return exitOK
}

func printReport(report experiment.Report, asJSON bool) error {
	if !asJSON {
		if err := printSummary(report); err != nil {
			return err
		}
	}
	encoded, err := json.Marshal(report)
	if err != nil {
		return errors.Wrap(err, "encode the report")
	}
	_, err = fmt.Println(string(encoded))
	return errors.Wrap(err, "print the report")
}

const (
	tabPadding = 2
	tabWidth   = 8
)

func printSummary(report experiment.Report) error {
	table := tabwriter.NewWriter(os.Stdout, 0, tabWidth, tabPadding, ' ', 0)
	fmt.Fprintf(table, "%s on %s, seed %d, %.0f s\n\n", report.Experiment, report.Shape, report.Seed, report.Seconds)
	fmt.Fprintf(table, "flows\t%d\t%d completed, %d refused, %d with a killed agent\n",
		report.Flows, report.Completed, report.Refused, report.BrokenByEndpointKill)
	fmt.Fprintf(table, "events\t%d\n", report.Events)
	fmt.Fprintf(table, "imbalance\t%.2f\tpeak %.2f with at least %d flows open\n",
		report.Imbalance, report.ImbalancePeak, report.ImbalanceFlows)
	fmt.Fprintf(table, "answers\t%.2f ms\tmedian; %.2f ms for 99 of 100\n", report.AnswerP50, report.AnswerP99)
	fmt.Fprintf(table, "handshakes\t%.2f ms\tmedian; %.2f ms for 99 of 100\n\n", report.HandshakeP50, report.HandshakeP99)
	for _, guarantee := range report.Guarantees() {
		verdict := "kept"
		if guarantee.Violations > 0 {
			verdict = fmt.Sprintf("VIOLATED %d times", guarantee.Violations)
		}
		fmt.Fprintf(table, "%s\t%s\n", guarantee.Name, verdict)
	}
	for _, cause := range report.Causes {
		fmt.Fprintf(table, "%s, %s\t%d\tfor example %s\n", cause.Outcome, cause.Cause, cause.Count, cause.Example)
	}
	return errors.Wrap(table.Flush(), "print the summary")
}

func list() int {
	table := tabwriter.NewWriter(os.Stdout, 0, tabWidth, tabPadding, ' ', 0)
	for _, listed := range experiment.Experiments() {
		fmt.Fprintf(table, "experiment\t%s\t%s\n", listed.Name, listed.Description)
	}
	fmt.Fprintf(table, "experiment\t%s\t%s\n", platformExperiment, platformDescription)
	for _, shape := range experiment.Shapes() {
		fmt.Fprintf(table, "shape\t%s\t%d balancers, %d services, %d zones\n",
			shape.Name, shape.Balancers, len(shape.Services), shape.Zones)
	}
	if err := table.Flush(); err != nil {
		return exitFailure
	}
	return exitOK
}
