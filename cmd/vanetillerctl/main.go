// Command vanetillerctl shows and changes the configuration table through the
// administration API, checks tables in files, and explains requests from logs.
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
