// This file implements a balancer's part among the others of its fleet.

package daemon

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/cluster"
	"github.com/vanetiller/vanetiller/internal/control"
	"github.com/vanetiller/vanetiller/internal/platform"
)

// newNode opens the address for other balancers. Served receives each newer
// table, and what others say of agents.
func newNode(shared parts, served *control.Server) (*cluster.Node, error) {
	configured := shared.settings.Cluster
	return cluster.New(cluster.Config{
		Listen:  configured.Listen,
		Name:    shared.settings.Name,
		Zone:    shared.settings.Zone,
		Zones:   configured.Zones,
		Seeds:   configured.Seeds,
		Limits:  changelog.DefaultLimits(),
		OnTable: served.Publish,
		Agents:  agentListener{served},
		Seed:    rand.Uint64(),
		Logger:  shared.logger,
		Metrics: newClusterMetrics(shared),
	})
}

// machineNames returns the balancers of the platform's list.
func machineNames(listed platform.Machines) []cluster.MachineName {
	var names []cluster.MachineName
	for _, machine := range listed.Machines {
		if machine.Role == platform.RoleBalancer {
			names = append(names, cluster.MachineName{Address: machine.Address.AddrPort().Addr(), Name: machine.Name})
		}
	}
	return unambiguous(names)
}

// unambiguous leaves out the addresses that several machines have.
func unambiguous(names []cluster.MachineName) []cluster.MachineName {
	count := make(map[netip.Addr]int, len(names))
	for _, named := range names {
		count[named.Address]++
	}
	return slices.DeleteFunc(names, func(named cluster.MachineName) bool { return count[named.Address] > 1 })
}
