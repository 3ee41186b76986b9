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

// Program is vanetillerd.
func Program() program.Program {
	return program.Program{
		Name:    "vanetillerd",
		Summary: "runs one process of a fleet: a balancer, or an agent beside back ends.",
		New: func(checked *settings.Settings, output io.Writer) (program.Server, error) {
			if checked.Relay != nil {
				return nil, settings.Errors{{Key: "relay", Rule: "is for vanetiller-relay"}}
			}
			return New(checked, output)
		},
	}
}

// RunCommand runs vanetillerd with the arguments after the program name. A
// planned stop begins when ctx ends. It returns the exit status.
func RunCommand(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	return Program().RunCommand(ctx, nil, arguments, stdout, stderr)
}
