package daemon

import (
	"context"
	"io"

	"github.com/vanetiller/vanetiller/internal/program"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// The exit statuses of vanetillerd.
const (
	ExitSuccess = program.ExitSuccess
	ExitFailure = program.ExitFailure
	ExitUsage   = program.ExitUsage
)

// Program returns the vanetillerd program.
func Program() program.Program {
	return program.Program{
		Name:    "vanetillerd",
		Summary: "runs one process of a load balancer fleet: a balancer, or an agent next to its back ends.",
		New: func(config *settings.Settings, output io.Writer) (program.Server, error) {
			if config.Relay != nil {
				return nil, settings.Errors{{Key: "relay", Rule: "is only valid for vanetiller-relay"}}
			}
			return New(config, output)
		},
	}
}

// RunCommand runs vanetillerd with the given command line arguments and returns
// the exit status. A planned stop begins when ctx ends.
func RunCommand(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	return Program().RunCommand(ctx, nil, arguments, stdout, stderr)
}
