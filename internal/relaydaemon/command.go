package relaydaemon

import (
	"io"
	"net/netip"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/program"
	"github.com/vanetiller/vanetiller/internal/segment"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// Dependencies holds the platform-specific implementations that a daemon uses.
type Dependencies struct {
	// Codec decodes and encodes the packets of flows.
	Codec segment.Codec
	// NewStore returns a client of the store at address.
	NewStore func(address netip.AddrPort) directory.Store
}

// Program returns the command-line program vanetiller-relay.
func Program(dependencies Dependencies) program.Program {
	return program.Program{
		Name:    "vanetiller-relay",
		Summary: "runs one process of a fleet that relays whole packets of flows: a balancer, or the agent next to an endpoint.",
		// Operators collect the log from standard output.
		LogToStdout: true,
		New: func(config *settings.Settings, output io.Writer) (program.Server, error) {
			return New(dependencies, config, output)
		},
	}
}
