// This file defines the flags of the commands demo and run.

package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/experiment"
)

const (
	defaultShape    = "casablanca"
	defaultSeed     = 1
	defaultDuration = 30 * time.Second
	demoDuration    = 8 * time.Second
	demoExperiment  = "demo"

	baselineNone = "none"
	baselineHash = "hash"
)

// runFlags holds the values of the flags.
type runFlags struct {
	shape     string
	seed      uint64
	duration  time.Duration
	baseline  string
	directory string
	json      bool
	hash      string
	powerLoss bool
	killAll   bool
	planned   bool
	unbounded bool
}

func newFlagSet(command string, values *runFlags, duration time.Duration) *flag.FlagSet {
	flags := flag.NewFlagSet(command, flag.ContinueOnError)
	flags.SetOutput(os.Stderr)
	flags.StringVar(&values.shape, "shape", defaultShape, "`name` of the fleet and traffic: casablanca, kolkata or datagrams")
	flags.Uint64Var(&values.seed, "seed", defaultSeed, "`number` that determines events, packet spraying and network faults")
	flags.DurationVar(&values.duration, "duration", duration, "`time` in which events happen, such as 30s or 2m")
	flags.StringVar(&values.baseline, "baseline", baselineNone, "`method` to run for comparison: none (the product) or hash (a stateless hash)")
	flags.StringVar(&values.directory, "directory", "", "`path` for the daemon binary, settings and logs (default: a temporary directory that is removed if no guarantee was violated)")
	return flags
}

// parseInterleaved parses flags before and after the positional arguments and returns the positional
// arguments. It fails for the same reasons as flag.FlagSet.Parse.
func parseInterleaved(flags *flag.FlagSet, arguments []string) ([]string, error) {
	var positional []string
	for len(arguments) > 0 {
		if err := flags.Parse(arguments); err != nil {
			return nil, err
		}
		arguments = flags.Args()
		if len(arguments) > 0 {
			positional = append(positional, arguments[0])
			arguments = arguments[1:]
		}
	}
	return positional, nil
}

// options validates the values and returns the options of a run.
func (f runFlags) options(experimentName string) (experiment.Options, error) {
	shape, err := experiment.ShapeByName(f.shape)
	if err != nil {
		return experiment.Options{}, err
	}
	chosen, err := experiment.ExperimentByName(experimentName)
	if err != nil {
		return experiment.Options{}, err
	}
	baseline, err := parseBaseline(f.baseline)
	if err != nil {
		return experiment.Options{}, err
	}
	if f.duration < 0 {
		return experiment.Options{}, errors.New("-duration must not be negative")
	}
	return experiment.Options{
		Shape: shape, Experiment: chosen, Seed: f.seed, Duration: f.duration,
		Baseline: baseline, Directory: f.directory, Progress: os.Stderr,
	}, nil
}

func parseBaseline(name string) (string, error) {
	switch name {
	case baselineNone, "":
		return "", nil
	case baselineHash:
		return baselineHash, nil
	}
	return "", errors.Errorf("unknown baseline %q: must be none or hash", name)
}

// usageError prints the error, unless help was requested, and returns the exit status.
func usageError(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "vanetiller-bench:", err)
	return exitUsage
}
