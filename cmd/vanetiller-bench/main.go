// Command vanetiller-bench runs the whole path from callers to back ends with
// real daemons on this machine and checks what users were promised.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const usage = `vanetiller-bench runs callers, back ends and real daemons on this machine.

Usage:
  vanetiller-bench demo [flags]             the whole path in less than a minute
  vanetiller-bench run [flags] EXPERIMENT   one experiment; flags may follow the name
  vanetiller-bench soak [flags]             real processes under random faults from outside
  vanetiller-bench timeline [flags] FILE... how long processes took after their starts, from logs
  vanetiller-bench reach [flags] FILE       how long changes took until all balancers knew them, from logs
  vanetiller-bench list                     the experiments and shapes

Run a command with -help for its flags. Progress goes to stderr. The exit status
is 0 when every promise was kept, 1 when one was broken or the run failed, and 2
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
