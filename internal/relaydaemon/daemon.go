// Package relaydaemon implements the wiring of a process that carries the
// packets of flows whole: sockets, timers, log and metrics around a
// relay.Balancer or a relay.Agent.
package relaydaemon

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/logging"
	"github.com/vanetiller/vanetiller/internal/observability"
	"github.com/vanetiller/vanetiller/internal/observability/registry"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// The conditions of readiness that /healthz reports.
const (
	// conditionServing holds from the start of the role to its planned stop.
	conditionServing observability.Condition = "serving"
	// conditionDirectory holds once routes and endpoints are known.
	conditionDirectory observability.Condition = "directory"
	// conditionAgents holds unless no agent can be reached.
	conditionAgents observability.Condition = "agents"
)

// role is what the process does besides being observed.
type role interface {
	// addActors adds the parts of the role to a group.
	addActors(group *run.Group)
	// beginStop begins a planned beginStop and returns how long the role should go on
	// serving.
	beginStop() time.Duration
	// idle reports whether a stopping role has nothing left to serve.
	idle() bool
	// reload puts in force what of changed settings can be without a new start,
	// and reports whether that is all that has changed.
	reload(changed *settings.Relay) bool
}

// Daemon is one process of the fleet.
type Daemon struct {
	stopTimeout   atomic.Int64
	log           *logging.Async
	logger        *log.Logger
	health        *observability.Health
	role          role
	observability *observability.Server
}

// New opens the sockets of the daemon and writes its log to output. It fails
// if the settings have no relay table or an address cannot be bound. Nothing is
// served before Run.
func New(dependencies Dependencies, config *settings.Settings, output io.Writer) (*Daemon, error) {
	if config.Relay == nil {
		return nil, settings.Errors{{Key: "relay", Rule: "is required"}}
	}
	health := observability.NewHealth(conditionServing)
	metrics := registry.New()
	log := logging.NewAsync(output)
	created := &Daemon{
		log:    log,
		logger: logging.New(log, config.Log.Level, config.Name, config.Zone),
		health: health,
	}
	created.stopTimeout.Store(int64(config.Relay.StopTimeout))
	var err error
	created.observability, err = observability.NewServer(observability.ServerConfig{
		Listen:  config.Observability.Listen,
		Health:  health,
		Metrics: metrics.Handler(),
	})
	if err != nil {
		return nil, err
	}
	recorder := newEventRecorder(created.logger, metrics)
	if config.Relay.Balancer != nil {
		created.role, err = newBalancerRole(dependencies, config, health, recorder, metrics)
	} else {
		created.role, err = newAgentRole(dependencies, config.Relay, recorder, metrics)
	}
	return created, errors.Wrap(err, "relay")
}

// Reload puts in force what can be without a new start: the log level, the time
// of a planned stop and, for a balancer, the store and the seeds.
func (d *Daemon) Reload(changed *settings.Settings) {
	d.logger.SetLevel(changed.Log.Level)
	complete := false
	if changed.Relay != nil {
		d.stopTimeout.Store(int64(changed.Relay.StopTimeout))
		complete = d.role.reload(changed.Relay)
	}
	d.logger.Info("settings read again", "log_level", changed.Log.Level, "changes_wait_for_start", !complete)
}

// ReloadFailed tells that the settings could not be read again.
func (d *Daemon) ReloadFailed(err error) {
	d.logger.Error("settings kept, since the new ones are wrong", "error", err)
}

// logFlushTimeout is how long a process that ends waits for its log to be written.
const logFlushTimeout = 200 * time.Millisecond

// stopMargin is what a planned stop leaves of its longest time.
const stopMargin = 1500 * time.Millisecond

// idlePollInterval is the time between looks at whether a stopping role is idle; it
// also is the least time that a stop takes.
const idlePollInterval = 300 * time.Millisecond

// Run serves until ctx ends and then stops as planned: it reports that it is
// not ready and goes on serving until the stop timeout is nearly over. It
// returns nil after a planned stop, and the first error if a part fails.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.log.Close(logFlushTimeout)
	d.logger.Info("daemon started")
	var group run.Group
	addActor(&group, d.observability.Run)
	d.role.addActors(&group)
	addActor(&group, func(ended context.Context) error {
		d.awaitStop(ctx, ended)
		return nil
	})
	d.health.SetReady(conditionServing)
	err := group.Run()
	if err != nil {
		d.logger.Error("daemon failed", "error", err)
		return err
	}
	d.logger.Info("daemon stopped")
	return nil
}

func (d *Daemon) awaitStop(stopping, ended context.Context) {
	select {
	case <-stopping.Done():
	case <-ended.Done():
		return
	}
	d.health.SetNotReady(conditionServing, "stopping")
	longest := time.Duration(d.stopTimeout.Load()) - stopMargin
	delay := max(min(d.role.beginStop(), longest), 0)
	d.logger.Info("stopping", "delay", delay)
	deadline := time.NewTimer(delay)
	defer deadline.Stop()
	poll := time.NewTicker(idlePollInterval)
	defer poll.Stop()
	for {
		select {
		case <-deadline.C:
			return
		case <-ended.Done():
			return
		case <-poll.C:
			if d.role.idle() {
				d.logger.Info("agent is idle")
				return
			}
		}
	}
}

// addActor adds a part that runs until its context ends.
func addActor(group *run.Group, execute func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return execute(ctx) }, func(error) { cancel() })
}
