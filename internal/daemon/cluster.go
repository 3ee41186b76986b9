// This file implements a balancer's part among the others of its fleet.

package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/oklog/run"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/cluster"
	"github.com/vanetiller/vanetiller/internal/control"
	"github.com/vanetiller/vanetiller/internal/platform"
)

// newNode opens the address for other balancers. Served receives each table
// that the fleet has agreed on, and what others say of agents.
func newNode(shared parts, served *control.Server) (*cluster.Node, error) {
	configured := shared.settings.Cluster
	return cluster.New(cluster.Config{
		Listen:  configured.Listen,
		Name:    shared.settings.Name,
		Zone:    shared.settings.Zone,
		Zones:   configured.Zones,
		Seeds:   configured.Seeds,
		Voters:  configured.Voters,
		Limits:  changelog.DefaultLimits(),
		Changed: served.Publish,
		Agents:  agentListener{served},
		Seed:    rand.Uint64(),
		Logger:  shared.logger,
		Metrics: newClusterMetrics(shared),
	})
}

// machineNames returns the balancers of the platform's list.
func machineNames(listed platform.Machines) []cluster.Name {
	var names []cluster.Name
	for _, machine := range listed.Machines {
		if machine.Role == platform.RoleBalancer {
			names = append(names, cluster.Name{Address: machine.Address.AddrPort().Addr(), Name: machine.Name})
		}
	}
	return unambiguous(names)
}

// unambiguous leaves out the addresses that several machines have.
func unambiguous(names []cluster.Name) []cluster.Name {
	count := make(map[netip.Addr]int, len(names))
	for _, named := range names {
		count[named.Address]++
	}
	return slices.DeleteFunc(names, func(named cluster.Name) bool { return count[named.Address] > 1 })
}

// importLog is the log of changes that revisions are imported into.
type importLog interface {
	// Leads reports whether this process leads the log.
	Leads() bool
	// ImportedRevision returns the revision imported last.
	ImportedRevision() changelog.Revision
}

// clusterImporter imports the platform's configuration while this process
// leads the log: one daemon polls for the whole fleet.
type clusterImporter struct {
	log importLog
	// newPoller returns a poller that knows of no revision yet.
	newPoller func(deliver func(platform.Configuration)) *platform.Poller[platform.Configuration]
	// submit makes a revision a change of the table, and returns whether that
	// is decided.
	submit func(context.Context, platform.Configuration) bool
}

// Run imports until ctx ends and then returns nil.
func (i *clusterImporter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !i.log.Leads() {
			wait(ctx, leadershipInterval)
			continue
		}
		if err := i.runWhileLeading(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (i *clusterImporter) runWhileLeading(ctx context.Context) error {
	received := newLatest()
	poller := i.newPoller(received.put)
	var group run.Group
	addActor(&group, poller.Run)
	addActor(&group, func(ended context.Context) error { return i.importReceived(ended, received) })
	addActor(&group, func(ended context.Context) error {
		i.awaitEnd(ctx, ended)
		return nil
	})
	return group.Run()
}

// awaitEnd returns when this process does not lead any more or has to stop.
func (i *clusterImporter) awaitEnd(stopping, ended context.Context) {
	for stopping.Err() == nil && ended.Err() == nil && i.log.Leads() {
		wait(ended, leadershipInterval)
	}
}

// importReceived repeats the newest revision until it is decided.
func (i *clusterImporter) importReceived(ctx context.Context, received *latest) error {
	for {
		configuration, exists := received.await(ctx)
		if !exists {
			return nil
		}
		imported := platform.Revision(i.log.ImportedRevision())
		if configuration.Revision <= imported || i.submitOnce(ctx, configuration) {
			received.done(configuration.Revision)
			continue
		}
		wait(ctx, importRetryInterval)
	}
}

func (i *clusterImporter) submitOnce(ctx context.Context, configuration platform.Configuration) bool {
	bounded, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	return i.submit(bounded, configuration)
}
