// This file implements the command members.

package main

import (
	"context"
	"flag"
	"os"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/hollow/members"
	"github.com/vanetiller/vanetiller/bench/slopes"
)

// membersCommand runs the membership of a fleet in virtual time and prints the
// report as JSON.
func membersCommand(ctx context.Context, arguments []string) int {
	var output pageOutput
	options := members.TargetOptions()
	flags := flag.NewFlagSet("members", flag.ContinueOnError)
	output.addFlags(flags, "members")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "`number` that determines the run")
	flags.IntVar(&options.Daemons, "daemons", options.Daemons, "`number` of daemons")
	flags.IntVar(&options.AgentsPerDaemon, "agents-per-daemon", options.AgentsPerDaemon, "`number` of agents that report to each daemon; 0 for none")
	flags.Float64Var(&options.Loss, "loss", options.Loss, "`probability` that a datagram is lost")
	flags.DurationVar(&options.Usual, "usual", options.Usual, "virtual `time` of a usual day that is measured")
	flags.DurationVar(&options.Cut, "cut", options.Cut, "virtual `time` for which a region is cut from the others")
	if err := flags.Parse(arguments); err != nil {
		return usageError(err)
	}
	if flags.NArg() > 0 {
		return usageError(errors.Errorf("unexpected argument %q", flags.Arg(0)))
	}
	report, err := members.Run(ctx, options, os.Stderr)
	if err != nil {
		return failed(err)
	}
	if err := printEncoded(report.Encode); err != nil {
		return failed(err)
	}
	return output.write(slopes.Part{
		Name: output.part,
		Text: commandLine("members", arguments) + ".\n\n" + report.Markdown(),
	})
}
