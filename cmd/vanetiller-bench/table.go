// This file implements the experiment table.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/vanetiller/vanetiller/bench/table"
)

const (
	tableExperiment  = "table"
	tableDescription = "operators change the table through daemons of a cluster that are killed and paused"
	defaultDaemons   = 24
)

// runTable does one run and prints its report as a line of JSON.
func runTable(ctx context.Context, values parameters) int {
	options := table.Options{
		Daemons: values.daemons, Seed: values.seed, Duration: values.duration,
		Directory: values.directory, Progress: os.Stderr,
	}
	temporary := options.Directory == ""
	if temporary {
		directory, err := os.MkdirTemp("", "vanetiller-bench-")
		if err != nil {
			return failed(err)
		}
		options.Directory = directory
	}
	report, err := table.Run(ctx, options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "logs are in", options.Directory)
		return failed(err)
	}
	encoded, err := json.Marshal(report)
	if err != nil {
		return failed(err)
	}
	fmt.Println(string(encoded))
	if !report.Kept() {
		fmt.Fprintln(os.Stderr, "logs are in", options.Directory)
		return exitBroken
	}
	if temporary {
		return removeDirectory(options.Directory)
	}
	return exitKept
}
