// Package daemon implements the vanetillerd process. From the settings it builds
// the log, the metrics, the health and metrics listener and the role of the
// process, which is either a balancer or an agent. It runs these parts as one
// group: if one part fails, all others stop.
package daemon

import (
	"context"
	"io"
	"net/netip"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"

	"github.com/vanetiller/vanetiller/internal/logging"
	"github.com/vanetiller/vanetiller/internal/observability"
	"github.com/vanetiller/vanetiller/internal/observability/registry"
	"github.com/vanetiller/vanetiller/internal/program/version"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// The readiness conditions that /healthz reports.
const (
	// conditionServing is met from the start of the role to its planned stop.
	conditionServing observability.Condition = "serving"
	// conditionTable is met once a balancer has applied a configuration table.
	// An agent does not have this condition.
	conditionTable observability.Condition = "table"
)

// role is the main function of the process: a balancer or an agent.
type role interface {
	// Run serves until ctx ends. It then performs a planned stop and returns nil.
	Run(ctx context.Context) error
}

// dependencies holds the values from which a role is built.
type dependencies struct {
	settings *settings.Settings
	logger   *log.Logger
	health   *observability.Health
	metrics  *registry.Registry
}

// Daemon is one vanetillerd process of the fleet, with the role that its settings
// select.
type Daemon struct {
	logger        *log.Logger
	health        *observability.Health
	role          role
	observability *observability.Server
}

// New opens the sockets of a daemon that writes its log to output. It fails if an
// address cannot be bound. The daemon serves nothing before Run is called.
func New(config *settings.Settings, output io.Writer) (*Daemon, error) {
	deps := dependencies{
		settings: config,
		logger:   logging.New(output, config.Log.Level, config.Name, config.Zone),
		health:   observability.NewHealth(conditionServing),
		metrics:  registry.New(),
	}
	server, err := observability.NewServer(observability.ServerConfig{
		Listen:  config.Observability.Listen,
		Health:  deps.health,
		Metrics: deps.metrics.Handler(),
	})
	if err != nil {
		return nil, err
	}
	processRole, err := newRole(deps)
	if err != nil {
		return nil, err
	}
	return &Daemon{deps.logger, deps.health, processRole, server}, nil
}

func newRole(deps dependencies) (role, error) {
	if deps.settings.Agent != nil {
		return newAgentRole(deps)
	}
	return newBalancerRole(deps)
}

// ObservabilityAddress returns the address of the health and metrics listener.
func (d *Daemon) ObservabilityAddress() netip.AddrPort { return d.observability.Address() }

// AdminAPIAddress returns the address of the administration API, or the zero
// value if the API is disabled.
func (d *Daemon) AdminAPIAddress() netip.AddrPort {
	balancer, isBalancer := d.role.(*balancerRole)
	if !isBalancer || balancer.adminAPI == nil {
		return netip.AddrPort{}
	}
	return balancer.adminAPI.Address()
}

// Status returns the health of the daemon. It may also be called after the
// daemon has stopped.
func (d *Daemon) Status() observability.Status { return d.health.Status() }

// Reload applies the log level of changed. All other settings take effect only
// after a restart.
func (d *Daemon) Reload(changed *settings.Settings) {
	d.logger.SetLevel(changed.Log.Level)
	d.logger.Info("settings read again", "log_level", changed.Log.Level)
}

// ReloadFailed logs that the settings file could not be reloaded.
func (d *Daemon) ReloadFailed(err error) {
	d.logger.Error("settings not reloaded, previous settings stay in effect", "error", err)
}

// Run serves until ctx ends and then performs a planned stop. It returns nil
// after a planned stop, and the first error if a part fails.
func (d *Daemon) Run(ctx context.Context) error {
	d.logger.Info("daemon started", "version", version.String(), "observability", d.observability.Address())
	err := d.runGroup(ctx)
	if err != nil {
		d.logger.Error("daemon failed", "error", err)
		return err
	}
	d.logger.Info("daemon stopped")
	return nil
}

// runGroup runs the role and the health and metrics listener. The listener runs
// until the role has stopped, so that a planned stop can be observed.
func (d *Daemon) runGroup(ctx context.Context) error {
	roleContext, stopRole := context.WithCancel(ctx)
	serverContext, stopServer := context.WithCancel(context.WithoutCancel(ctx))
	roleStopped := make(chan struct{})
	var group run.Group
	group.Add(func() error {
		defer close(roleStopped)
		return d.role.Run(roleContext)
	}, func(error) { stopRole() })
	group.Add(func() error {
		return d.observability.Run(serverContext)
	}, func(error) {
		<-roleStopped
		stopServer()
	})
	return group.Run()
}

// addActor adds execute to group. The group ends the context of execute when any
// of its functions returns, and execute must then return.
func addActor(group *run.Group, execute func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return execute(ctx) }, func(error) { cancel() })
}
