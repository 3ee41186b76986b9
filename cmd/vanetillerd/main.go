// Command vanetillerd runs one process of a fleet: a balancer, or an agent
// beside back ends.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/vanetiller/vanetiller/internal/daemon"
)

func main() {
	ctx, restore := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	// A second signal then has its usual effect and ends the process at once.
	context.AfterFunc(ctx, restore)
	os.Exit(daemon.Command(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
