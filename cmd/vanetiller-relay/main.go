// Command vanetiller-relay runs one process of a fleet that carries the packets
// of flows whole: a balancer, or the agent beside an endpoint.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/vanetiller/vanetiller/internal/relaydaemon"
	"github.com/vanetiller/vanetiller/internal/settings"
	"github.com/vanetiller/vanetiller/platform"
)

// The exit statuses.
const (
	exitStopped = 0
	exitFailed  = 1
	exitUsage   = 2
)

func main() {
	ctx, restore := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, restore)
	os.Exit(command(ctx, os.Args[1:]))
}

func command(ctx context.Context, arguments []string) int {
	flags := flag.NewFlagSet("vanetiller-relay", flag.ContinueOnError)
	file := flags.String("settings", "", "`FILE` with the settings in TOML; required, no default")
	if err := flags.Parse(arguments); err != nil {
		return exitUsage
	}
	checked, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	config := relaydaemon.Config{Settings: checked, Output: os.Stderr, Codec: platform.PacketCodec{}}
	if checked.Relay != nil && checked.Relay.Balancer != nil {
		config.Store = platform.NewStore(checked.Relay.Balancer.Store)
	}
	created, err := relaydaemon.New(config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "vanetiller-relay:", err)
		return exitFailed
	}
	if err := created.Run(ctx); err != nil {
		return exitFailed
	}
	return exitStopped
}
