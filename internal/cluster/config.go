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

// AgentListener learns what other daemons say of agents. Its methods are never
// called concurrently and may call the Node.
type AgentListener interface {
	// ClaimChanged tells what the others say now of an agent.
	ClaimChanged(claim liveness.Claim)
	// Ready tells, once, that Remote has told of all agents that others hear.
	Ready()
}

// Config holds the settings of a Node.
type Config struct {
	// Listen is the IPv4 address, with UDP and TCP port, under which other
	// daemons reach this one.
	Listen netip.AddrPort
	// Name and Zone are of this process.
	Name string
	Zone string
	// Zones names all zones, in the same order everywhere.
	Zones []string
	// Seeds are the daemons to ask at the start.
	Seeds  []netip.AddrPort
	Limits changelog.Limits
	// OnTable is called, one at a time and in the order of versions, with
	// each table that shall come into force. It may call InForce.
	OnTable func(*table.Table)
	// Agents learns what other daemons say of agents. Nil means that nobody
	// wants to know.
	Agents AgentListener
	// Seed makes the random choices of this process differ from others'.
	Seed    uint64
	Logger  *log.Logger
	Metrics Metrics
}

// validate returns an error that names the first setting that cannot be used.
func (c Config) validate() error {
	if !c.Listen.Addr().Is4() || c.Listen.Addr().IsUnspecified() || c.Listen.Port() == 0 {
		return errors.Errorf("cluster address %s: must be one IPv4 address and a port", c.Listen)
	}
	for _, seed := range c.Seeds {
		if !seed.Addr().Is4() || seed.Port() != c.Listen.Port() {
			return errors.Errorf("cluster seed %s: must be an IPv4 address with port %d", seed, c.Listen.Port())
		}
	}
	return nil
}
