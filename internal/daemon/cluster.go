// This file creates the cluster node of a balancer, which exchanges messages with
// the other balancers of its fleet.

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

// newClusterNode opens the listener for other balancers. The control server
// receives each newer table and the agent conditions that other balancers report.
func newClusterNode(deps dependencies, server *control.Server) (*cluster.Node, error) {
	config := deps.settings.Cluster
	return cluster.New(cluster.Config{
		Listen:  config.Listen,
		Name:    deps.settings.Name,
		Zone:    deps.settings.Zone,
		Zones:   config.Zones,
		Seeds:   config.Seeds,
		Limits:  changelog.DefaultLimits(),
		OnTable: server.Publish,
		Agents:  agentListener{server},
		Seed:    rand.Uint64(),
		Logger:  deps.logger,
		Metrics: newClusterMetrics(deps),
	})
}

// balancerNames returns the names of the balancers in the platform's list of
// machines.
func balancerNames(machines platform.Machines) []cluster.MachineName {
	var names []cluster.MachineName
	for _, machine := range machines.Machines {
		if machine.Role == platform.RoleBalancer {
			names = append(names, cluster.MachineName{Address: machine.Address.AddrPort().Addr(), Name: machine.Name})
		}
	}
	return withUniqueAddresses(names)
}

// withUniqueAddresses removes the names whose address belongs to several
// machines.
func withUniqueAddresses(names []cluster.MachineName) []cluster.MachineName {
	count := make(map[netip.Addr]int, len(names))
	for _, name := range names {
		count[name.Address]++
	}
	return slices.DeleteFunc(names, func(name cluster.MachineName) bool { return count[name.Address] > 1 })
}
