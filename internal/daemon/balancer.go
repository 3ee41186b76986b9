package daemon

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-kit/kit/metrics"
	"github.com/oklog/run"

	"github.com/vanetiller/vanetiller/internal/balancer"
	"github.com/vanetiller/vanetiller/internal/control"
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/observability"
	"github.com/vanetiller/vanetiller/internal/platform"
	"github.com/vanetiller/vanetiller/internal/table"
)

// balancerStopDelay is how long a stopping balancer goes on forwarding while
// it reports that it is not ready, so that the fabric can turn elsewhere.
const balancerStopDelay = 2 * time.Second

// balancerRole runs a balancer with the control server and the pollers that
// feed it.
type balancerRole struct {
	health        *observability.Health
	logger        *log.Logger
	front         *balancer.Balancer
	control       *control.Server
	source        *tableSource
	configuration *platform.Poller[platform.Configuration]
	machines      *platform.Poller[platform.Machines]
	metrics       balancerGauges
	// forwarding is the lookup table in force, of which the next one takes
	// over what has not changed.
	forwarding *lookup.Table
	// administration is nil without the administration API.
	administration *administration
}

// balancerGauges show which table is in force.
type balancerGauges struct {
	tableVersion    metrics.Gauge
	unavailableRows metrics.Gauge
	machines        metrics.Gauge
}

func newBalancerRole(shared parts) (*balancerRole, error) {
	shared.health.SetNotReady(conditionTable, "no table from the platform yet")
	created := &balancerRole{
		health:     shared.health,
		logger:     shared.logger,
		metrics:    newBalancerGauges(shared),
		forwarding: &lookup.Table{},
	}
	if err := created.openSockets(shared); err != nil {
		return nil, err
	}
	if err := created.addPollers(shared); err != nil {
		return nil, err
	}
	return created, nil
}

func (b *balancerRole) openSockets(shared parts) error {
	var err error
	b.front, err = balancer.New(balancer.Config{
		Listen:  shared.settings.Balancer.Listen,
		Sockets: shared.settings.Balancer.Sockets,
		Logger:  shared.logger,
		Metrics: newBalancerMetrics(shared),
	})
	if err != nil {
		return err
	}
	served := control.ServerConfig{
		Listen:        shared.settings.Control.Listen,
		OnUnavailable: b.apply,
	}
	if shared.settings.Cluster != nil {
		served.OnObservations = b.claimAgents
	}
	b.control, err = control.NewServer(served)
	if err != nil {
		return err
	}
	b.source, err = newTableSource(shared, b.control)
	if err != nil || shared.settings.API == nil {
		return err
	}
	b.administration, err = newAdministration(shared, b.source.store)
	return err
}

func (b *balancerRole) addPollers(shared parts) error {
	source := shared.settings.Platform
	client, err := platform.NewClient(platform.ClientConfig{
		ConfigurationURL: source.ConfigurationURL,
		MachinesURL:      source.MachinesURL,
	})
	if err != nil {
		return err
	}
	pollerMetrics := newPollerMetrics(shared)
	b.configuration = platform.NewPoller(platform.PollerConfig[platform.Configuration]{
		Fetch:       client.Configuration,
		Deliver:     b.deliver,
		OnUnchanged: b.control.ConfirmTable,
		Interval:    source.PollInterval,
		Logger:      shared.logger.With("service", "configuration"),
		Metrics:     pollerMetrics.of("configuration"),
	})
	b.machines = platform.NewPoller(platform.PollerConfig[platform.Machines]{
		Fetch:    client.Machines,
		Deliver:  b.countMachines,
		Interval: source.PollInterval,
		Logger:   shared.logger.With("service", "machines"),
		Metrics:  pollerMetrics.of("machines"),
	})
	return nil
}

// deliver hands a configuration to the control server, which ignores a table
// older than the one it holds and calls apply. In a fleet, and with the
// administration API, it gets the tables that the source holds.
func (b *balancerRole) deliver(configuration platform.Configuration) {
	b.logger.Info("table received",
		"revision", uint64(configuration.Revision), "version", uint64(configuration.Table.Version))
	switch {
	case b.source.node != nil:
		b.source.followRevision(configuration)
	case b.source.store != nil:
		b.source.importRevision(context.Background(), configuration)
	default:
		b.control.Publish(configuration.Table)
	}
}

// apply puts a table, without the rows that must get no new flows, in force.
func (b *balancerRole) apply(configuration *table.Table, unavailable []table.BackendID) {
	excluded := make(map[table.BackendID]bool, len(unavailable))
	for _, row := range unavailable {
		excluded[row] = true
	}
	alive := func(row table.BackendID) bool { return !excluded[row] }
	b.forwarding = lookup.Rebuild(b.forwarding, configuration, alive)
	b.front.Publish(b.forwarding)
	b.metrics.tableVersion.Set(float64(configuration.Version))
	b.metrics.unavailableRows.Set(float64(len(unavailable)))
	b.source.inForce(configuration.Version)
	b.health.SetReady(conditionTable)
}

// claimAgents tells other balancers of the agents that report to this one.
func (b *balancerRole) claimAgents(observed []control.Observation) {
	b.source.node.ReportAgents(claimsOf(observed))
}

func (b *balancerRole) countMachines(listed platform.Machines) {
	if b.source.node != nil {
		b.source.node.SetMachines(machineNames(listed))
	}
	for _, role := range platform.Roles() {
		for _, state := range platform.MachineStates() {
			gauge := b.metrics.machines.With("role", string(role), "state", string(state))
			gauge.Set(float64(listed.Count(role, state)))
		}
	}
}

// Run implements role.
func (b *balancerRole) Run(ctx context.Context) error {
	var group run.Group
	addActor(&group, b.front.Run)
	addActor(&group, b.control.Run)
	addActor(&group, b.configuration.Run)
	addActor(&group, b.machines.Run)
	if b.source.node != nil {
		addActor(&group, b.source.node.Run)
	}
	if b.administration != nil {
		addActor(&group, b.administration.Run)
	}
	addActor(&group, func(ended context.Context) error {
		b.awaitStop(ctx, ended)
		return nil
	})
	b.health.SetReady(conditionServing)
	return group.Run()
}

// awaitStop returns when a planned stop is over, or when ended ends since
// another part has failed.
func (b *balancerRole) awaitStop(stopping, ended context.Context) {
	select {
	case <-stopping.Done():
	case <-ended.Done():
		return
	}
	b.health.SetNotReady(conditionServing, "stopping")
	b.logger.Info("stopping", "delay", balancerStopDelay)
	delay := time.NewTimer(balancerStopDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ended.Done():
	}
}
