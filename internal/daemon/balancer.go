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

// balancerStopDelay is how long a stopping balancer continues to forward while
// it reports that it is not ready, so that the fabric can switch to other
// balancers.
const balancerStopDelay = 2 * time.Second

// balancerRole runs a balancer, the control server for agents and the pollers
// that fetch the configuration table and the list of machines.
type balancerRole struct {
	health        *observability.Health
	logger        *log.Logger
	balancer      *balancer.Balancer
	control       *control.Server
	tableSource   *tableSource
	configuration *platform.Poller[platform.Configuration]
	machines      *platform.Poller[platform.Machines]
	metrics       balancerGauges
	// lookupTable is the current lookup table. The next one reuses its unchanged
	// parts.
	lookupTable *lookup.Table
	// adminAPI is nil if the administration API is disabled.
	adminAPI *adminAPI
}

// balancerGauges holds the metrics about the current table and the machines.
type balancerGauges struct {
	tableVersion    metrics.Gauge
	unavailableRows metrics.Gauge
	machines        metrics.Gauge
}

func newBalancerRole(deps dependencies) (*balancerRole, error) {
	deps.health.SetNotReady(conditionTable, "no table from the platform yet")
	created := &balancerRole{
		health:      deps.health,
		logger:      deps.logger,
		metrics:     newBalancerGauges(deps),
		lookupTable: &lookup.Table{},
	}
	if err := created.openSockets(deps); err != nil {
		return nil, err
	}
	if err := created.addPollers(deps); err != nil {
		return nil, err
	}
	return created, nil
}

func (b *balancerRole) openSockets(deps dependencies) error {
	var err error
	b.balancer, err = balancer.New(balancer.Config{
		Listen:  deps.settings.Balancer.Listen,
		Sockets: deps.settings.Balancer.Sockets,
		Logger:  deps.logger,
		Metrics: newBalancerMetrics(deps),
	})
	if err != nil {
		return err
	}
	controlConfig := control.ServerConfig{
		Listen:        deps.settings.Control.Listen,
		OnUnavailable: b.applyTable,
	}
	if deps.settings.Cluster != nil {
		controlConfig.OnObservations = b.reportAgents
	}
	b.control, err = control.NewServer(controlConfig)
	if err != nil {
		return err
	}
	b.tableSource, err = newTableSource(deps, b.control)
	if err != nil || deps.settings.API == nil {
		return err
	}
	b.adminAPI, err = newAdminAPI(deps, b.tableSource.store)
	return err
}

func (b *balancerRole) addPollers(deps dependencies) error {
	platformSettings := deps.settings.Platform
	client, err := platform.NewClient(platform.ClientConfig{
		ConfigurationURL: platformSettings.ConfigurationURL,
		MachinesURL:      platformSettings.MachinesURL,
	})
	if err != nil {
		return err
	}
	pollerMetrics := newPollerMetrics(deps)
	b.configuration = platform.NewPoller(platform.PollerConfig[platform.Configuration]{
		Fetch:       client.Configuration,
		Deliver:     b.handleConfiguration,
		OnUnchanged: b.control.ConfirmTable,
		Interval:    platformSettings.PollInterval,
		Logger:      deps.logger.With("service", "configuration"),
		Metrics:     pollerMetrics.forService("configuration"),
	})
	b.machines = platform.NewPoller(platform.PollerConfig[platform.Machines]{
		Fetch:    client.Machines,
		Deliver:  b.handleMachines,
		Interval: platformSettings.PollInterval,
		Logger:   deps.logger.With("service", "machines"),
		Metrics:  pollerMetrics.forService("machines"),
	})
	return nil
}

// handleConfiguration processes a configuration of the platform. A balancer in a
// cluster or with the administration API passes it to its table source, which
// publishes the resulting table to the control server. For any other balancer,
// handleConfiguration publishes the table directly. The control server ignores a
// table that is older than its current one. It calls applyTable with the current
// table and the rows that must get no new flows whenever either changes.
func (b *balancerRole) handleConfiguration(configuration platform.Configuration) {
	b.logger.Info("table received",
		"revision", uint64(configuration.Revision), "version", uint64(configuration.Table.Version))
	switch {
	case b.tableSource.node != nil:
		b.tableSource.shareRevision(configuration)
	case b.tableSource.store != nil:
		b.tableSource.importRevision(context.Background(), configuration)
	default:
		b.control.Publish(configuration.Table)
	}
}

// applyTable makes the balancer forward packets according to configuration. Rows
// in unavailable get no new flows.
func (b *balancerRole) applyTable(configuration *table.Table, unavailable []table.BackendID) {
	excluded := make(map[table.BackendID]bool, len(unavailable))
	for _, row := range unavailable {
		excluded[row] = true
	}
	alive := func(row table.BackendID) bool { return !excluded[row] }
	b.lookupTable = lookup.Rebuild(b.lookupTable, configuration, alive)
	b.balancer.Publish(b.lookupTable)
	b.metrics.tableVersion.Set(float64(configuration.Version))
	b.metrics.unavailableRows.Set(float64(len(unavailable)))
	b.tableSource.onApplied(configuration.Version)
	b.health.SetReady(conditionTable)
}

// reportAgents sends the conditions of the agents that report to this balancer
// to the other balancers.
func (b *balancerRole) reportAgents(observations []control.Observation) {
	b.tableSource.node.ReportAgents(livenessClaims(observations))
}

// handleMachines processes a list of machines of the platform. It updates the
// machine metrics and, in a cluster, the names of the balancers.
func (b *balancerRole) handleMachines(machines platform.Machines) {
	if b.tableSource.node != nil {
		b.tableSource.node.SetMachines(balancerNames(machines))
	}
	for _, role := range platform.Roles() {
		for _, state := range platform.MachineStates() {
			gauge := b.metrics.machines.With("role", string(role), "state", string(state))
			gauge.Set(float64(machines.Count(role, state)))
		}
	}
}

// Run implements role.
func (b *balancerRole) Run(ctx context.Context) error {
	var group run.Group
	addActor(&group, b.balancer.Run)
	addActor(&group, b.control.Run)
	addActor(&group, b.configuration.Run)
	addActor(&group, b.machines.Run)
	if b.tableSource.node != nil {
		addActor(&group, b.tableSource.node.Run)
	}
	if b.adminAPI != nil {
		addActor(&group, b.adminAPI.Run)
	}
	addActor(&group, func(groupContext context.Context) error {
		b.awaitStop(ctx, groupContext)
		return nil
	})
	b.health.SetReady(conditionServing)
	return group.Run()
}

// awaitStop waits for stopContext to end, reports that the balancer is not ready
// and returns after balancerStopDelay. It returns early if groupContext ends
// because another part of the role has failed.
func (b *balancerRole) awaitStop(stopContext, groupContext context.Context) {
	select {
	case <-stopContext.Done():
	case <-groupContext.Done():
		return
	}
	b.health.SetNotReady(conditionServing, "stopping")
	b.logger.Info("stopping", "delay", balancerStopDelay)
	delay := time.NewTimer(balancerStopDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-groupContext.Done():
	}
}
