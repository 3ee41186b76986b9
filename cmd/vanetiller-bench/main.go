// Command vanetiller-bench checks the guarantees that vanetillerd and vanetiller-relay give to their
// users. It runs real or simulated daemons on this machine with simulated callers and back ends,
// injects events and faults, and reports violations. It also measures steps and propagation times
// from logs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const usage = `vanetiller-bench runs callers, back ends and real daemons on this machine.

Usage:
  vanetiller-bench demo [flags]             run a short experiment, in less than a minute
  vanetiller-bench run [flags] EXPERIMENT   run one experiment; flags may follow the name
  vanetiller-bench soak [flags]             run real processes under random external faults
  vanetiller-bench timeline [flags] FILE... show from logs when processes reached each step after their starts
  vanetiller-bench reach [flags] FILE       show from logs how long changes took to reach all balancers
  vanetiller-bench list                     list the experiments and shapes

Run a command with -help for its flags. Progress goes to stderr. The exit status
is 0 if no guarantee was violated, 1 if one was violated or the run failed, and 2
for wrong usage.
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(dispatch(ctx, os.Args[1:]))
}

func dispatch(ctx context.Context, arguments []string) int {
	if len(arguments) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
	switch arguments[0] {
	case "demo":
		return demo(ctx, arguments[1:])
	case "run":
		return run(ctx, arguments[1:])
	case "soak":
		return soakCommand(ctx, arguments[1:])
	case "timeline":
		return timelineCommand(arguments[1:])
	case "reach":
		return reachCommand(arguments[1:])
	case "list":
		return list()
	case "help", "-help", "--help", "-h":
		fmt.Fprint(os.Stdout, usage)
		return exitOK
	}
	fmt.Fprintf(os.Stderr, "unknown command %q\n\n%s", arguments[0], usage)
	return exitUsage
}
