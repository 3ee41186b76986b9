// Package daemon implements the wiring of vanetillerd: it joins settings, log,
// metrics, platform and the role of the process, and runs them as one group.
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

// The conditions of readiness that /healthz reports.
const (
	// conditionServing holds from the start of the role to its planned stop.
	conditionServing observability.Condition = "serving"
	// conditionTable holds once the process has a configuration table.
	conditionTable observability.Condition = "table"
)

// role is what the process does besides being observed.
type role interface {
	// Run serves until ctx ends, stops as planned, and returns nil then.
	Run(ctx context.Context) error
}

// parts are what a role is built from.
type parts struct {
	settings *settings.Settings
	logger   *log.Logger
	health   *observability.Health
	metrics  *registry.Registry
}

// Daemon is one process of the fleet.
type Daemon struct {
	logger        *log.Logger
	health        *observability.Health
	role          role
	observability *observability.Server
}

// New opens the sockets of the daemon and writes its log to output. It fails
// if an address cannot be bound. Nothing is served before Run.
func New(checked *settings.Settings, output io.Writer) (*Daemon, error) {
	shared := parts{
		settings: checked,
		logger:   logging.New(output, checked.Log.Level, checked.Name, checked.Zone),
		health:   observability.NewHealth(conditionServing),
		metrics:  registry.New(),
	}
	server, err := observability.NewServer(observability.ServerConfig{
		Listen:  checked.Observability.Listen,
		Health:  shared.health,
		Metrics: shared.metrics.Handler(),
	})
	if err != nil {
		return nil, err
	}
	chosen, err := newRole(shared)
	if err != nil {
		return nil, err
	}
	return &Daemon{shared.logger, shared.health, chosen, server}, nil
}

func newRole(shared parts) (role, error) {
	if shared.settings.Agent != nil {
		return newAgentRole(shared)
	}
	return newBalancerRole(shared)
}

// ObservabilityAddress returns the address of the listener for health and metrics.
func (d *Daemon) ObservabilityAddress() netip.AddrPort { return d.observability.Address() }

// AdminAPIAddress returns the address of the administration API, the zero value
// if there is none.
func (d *Daemon) AdminAPIAddress() netip.AddrPort {
	served, isBalancer := d.role.(*balancerRole)
	if !isBalancer || served.administration == nil {
		return netip.AddrPort{}
	}
	return served.administration.Address()
}

// Status returns the health of the daemon, also after it has stopped.
func (d *Daemon) Status() observability.Status { return d.health.Status() }

// Reload puts the log level in force; all else takes a new start.
func (d *Daemon) Reload(changed *settings.Settings) {
	d.logger.SetLevel(changed.Log.Level)
	d.logger.Info("settings read again", "log_level", changed.Log.Level)
}

// ReloadFailed tells that the settings could not be read again.
func (d *Daemon) ReloadFailed(err error) {
	d.logger.Error("settings kept, since the new ones are wrong", "error", err)
}

// Run serves until ctx ends and then stops as planned. It returns nil after a
// planned stop, and the first error if a part fails.
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

// runGroup keeps health and metrics answering until the role has stopped, so
// that a planned stop can be watched.
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

// addActor adds a part that runs until its context ends.
func addActor(group *run.Group, execute func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return execute(ctx) }, func(error) { cancel() })
}
