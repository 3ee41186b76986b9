// Command vanetillerctl is the command-line tool for operators. It shows and
// changes the configuration table through the administration API, validates table
// files, creates API tokens, and analyzes the logs of daemons: what happened to one
// request, and the load per service and priority.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, restore := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer restore()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
