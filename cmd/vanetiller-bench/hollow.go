// This file implements the command hollow.

package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/hollow"
)

// hollowCommand runs a fleet of hollow processes in virtual time and prints the
// report as JSON.
func hollowCommand(ctx context.Context, arguments []string) int {
	options, err := parseHollow(arguments)
	if err != nil {
		return usageError(err)
	}
	report, cost, err := hollow.Run(ctx, options)
	if err != nil {
		return failed(err)
	}
	encoded, err := report.Encode()
	if err != nil {
		return failed(err)
	}
	fmt.Println(string(encoded))
	const mebibyte = 1 << 20
	fmt.Fprintf(os.Stderr, "took %.1f s and at most %d MiB of heap\n", cost.Wall.Seconds(), cost.Heap/mebibyte)
	return exitKept
}

func failed(err error) int {
	fmt.Fprintln(os.Stderr, "vanetiller-bench:", err)
	return exitBroken
}

func parseHollow(arguments []string) (hollow.Options, error) {
	options := hollow.TargetOptions()
	var divisor int
	var liveness string
	flags := flag.NewFlagSet("hollow", flag.ContinueOnError)
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "`number` that determines the run")
	flags.IntVar(&divisor, "divisor", 1, "`number` by which fleet and load are smaller than the target")
	flags.IntVar(&options.DaemonsPerAgent, "daemons-per-agent", options.DaemonsPerAgent, "`number` of daemons that an agent sends heartbeats to")
	flags.StringVar(&liveness, "liveness", string(options.Liveness), "`source` of agents' liveness: registry (heartbeats heard) or agreed (told at no cost)")
	flags.DurationVar(&options.Filling, "filling", options.Filling, "virtual `time` in which the open flows are reached")
	flags.DurationVar(&options.Duration, "duration", options.Duration, "measured virtual `time`")
	flags.DurationVar(&options.ChangeInterval, "change-interval", options.ChangeInterval, "virtual `time` between changes of the table; 0 for none")
	flags.Float64Var(&options.Loss, "loss", options.Loss, "`probability` that a datagram is lost")
	flags.BoolVar(&options.Faults, "faults", options.Faults, "whether processes, a rack, a zone and a region fail")
	noFlows := flags.Bool("no-flows", false, "leave out the flows, to measure control traffic only")
	if err := flags.Parse(arguments); err != nil {
		return hollow.Options{}, err
	}
	if flags.NArg() > 0 {
		return hollow.Options{}, errors.Errorf("unexpected argument %q", flags.Arg(0))
	}
	if divisor < 1 {
		return hollow.Options{}, errors.New("-divisor must be at least 1")
	}
	options.Liveness = hollow.Liveness(liveness)
	if *noFlows {
		options.OpenFlows, options.NewFlows, options.Probes = 0, 0, 0
		options.Filling = time.Second
	}
	return options.Scaled(divisor), nil
}
