// This file implements the command soak.

package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/soak"
)

const (
	defaultSoakDuration = 40 * time.Second
	// soakFaultRate is the number of faults per second.
	soakFaultRate = 0.5
)

// soakFlags holds the values of the flags of soak.
type soakFlags struct {
	seed      uint64
	runs      int
	duration  time.Duration
	scale     int
	directory string
	quiet     bool
}

func soakCommand(ctx context.Context, arguments []string) int {
	var values soakFlags
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	flags.SetOutput(os.Stderr)
	flags.Uint64Var(&values.seed, "seed", uint64(time.Now().UnixNano())%1_000_000, "`number` that determines the faults of the first run; each further run uses the next number")
	flags.IntVar(&values.runs, "runs", 1, "`number` of runs")
	flags.DurationVar(&values.duration, "duration", defaultSoakDuration, "`time` in which faults start")
	flags.IntVar(&values.scale, "scale", 1, "`number` by which the 5 balancers and 7 endpoints are multiplied, at most 25")
	flags.StringVar(&values.directory, "directory", "", "`path` for the program, settings and logs (default: a temporary directory that is removed if no guarantee was violated)")
	flags.BoolVar(&values.quiet, "quiet", false, "print no line for each fault")
	err := flags.Parse(arguments)
	if err == nil && (flags.NArg() > 0 || values.runs < 1 || values.duration < 0) {
		err = errors.New("soak takes flags only; -runs must be positive and -duration not negative")
	}
	if err == nil && (values.scale < 1 || values.scale > soak.MaxScale) {
		err = errors.Errorf("-scale is %d and must be from 1 to %d", values.scale, soak.MaxScale)
	}
	if err != nil {
		return usageError(err)
	}
	status := exitOK
	for run := range values.runs {
		status = max(status, runSoak(ctx, values, values.seed+uint64(run)))
	}
	return status
}

// runSoak executes one run, prints its report as a line of JSON and returns the exit status.
func runSoak(ctx context.Context, values soakFlags, seed uint64) int {
	directory, err := soakDirectory(values, seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "vanetiller-bench:", err)
		return exitFailure
	}
	progress := io.Writer(os.Stderr)
	if values.quiet {
		progress = io.Discard
	}
	report, err := soak.Run(ctx, soak.Options{
		Seed: seed, Scale: values.scale, Duration: values.duration, Faults: int(values.duration.Seconds() * soakFaultRate),
		Directory: directory, Progress: progress,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "vanetiller-bench:", err)
		return exitFailure
	}
	encoded, err := json.Marshal(report)
	if err != nil {
		fmt.Fprintln(os.Stderr, "vanetiller-bench:", err)
		return exitFailure
	}
	fmt.Println(string(encoded))
	if report.Violations.Total() > 0 {
		fmt.Fprintln(os.Stderr, "logs are in", directory)
		return exitFailure
	}
	if values.directory == "" {
		return removeDirectory(directory)
	}
	return exitOK
}

func soakDirectory(values soakFlags, seed uint64) (string, error) {
	if values.directory == "" {
		return os.MkdirTemp("", "vanetiller-soak-")
	}
	return filepath.Abs(filepath.Join(values.directory, fmt.Sprint("seed-", seed)))
}
