// This file defines the settings of a Node.

package cluster

import (
	"net/netip"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/cluster/liveness"
	"github.com/vanetiller/vanetiller/internal/table"
)

// AgentListener receives what other daemons report about agents. Its methods are never
// called concurrently and may call the Node.
type AgentListener interface {
	// ClaimChanged is called with the new condition of an agent as claimed by the other
	// daemons.
	ClaimChanged(claim liveness.Claim)
	// Ready is called once, after ClaimChanged has been called for all agents that report
	// to other daemons.
	Ready()
}

// Config holds the settings of a Node.
type Config struct {
	// Listen is the IPv4 address with the UDP and TCP port at which other daemons reach
	// this one.
	Listen netip.AddrPort
	// Name is the name under which the administration API shows this process. Zone is the
	// name of its zone, which must be in Zones.
	Name string
	Zone string
	// Zones lists all zones. The order must be the same on every daemon.
	Zones []string
	// Seeds are the addresses of daemons to contact at the start. Those at which no member
	// is known are tried again later.
	Seeds  []netip.AddrPort
	Limits changelog.Limits
	// OnTable is called, one call at a time and in the order of versions, with each table
	// to apply. It may call Applied.
	OnTable func(*table.Table)
	// Agents receives what other daemons report about agents. It may be nil.
	Agents AgentListener
	// Seed seeds the random choices of this process. It should differ between daemons.
	Seed    uint64
	Logger  *log.Logger
	Metrics Metrics
}

// validate returns an error that names the first invalid setting.
func (c Config) validate() error {
	if !c.Listen.Addr().Is4() || c.Listen.Addr().IsUnspecified() || c.Listen.Port() == 0 {
		return errors.Errorf("cluster address %s must be one IPv4 address with a port", c.Listen)
	}
	for _, seed := range c.Seeds {
		if !seed.Addr().Is4() || seed.Port() != c.Listen.Port() {
			return errors.Errorf("cluster seed %s must be an IPv4 address with port %d", seed, c.Listen.Port())
		}
	}
	return nil
}
