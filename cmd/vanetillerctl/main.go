// Command vanetillerctl checks and shows configuration tables.
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
