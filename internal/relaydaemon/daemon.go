// Package relaydaemon runs the process vanetiller-relay, which relays whole packets of flows
// between clients and endpoints. Its settings make a process either a balancer, which
// selects an endpoint for each new flow, or the agent next to one endpoint. A balancer
// receives the packets of clients, an agent those of its endpoint, and both exchange
// messages; all of them are UDP datagrams. A balancer also reads the directory of routes and
// endpoints from the platform's store.
//
// The decisions are made by relay.Balancer and relay.Agent, which do no I/O. This package
// provides their sockets, timers, log and metrics, and carries out the effects that they
// return. For a balancer it also keeps the directory current, from the store and from other
// balancers.
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

// The readiness conditions that /healthz reports.
const (
	// conditionServing is met from the start of the role until a planned stop begins.
	conditionServing observability.Condition = "serving"
	// conditionDirectory is met once routes and endpoints are known.
	conditionDirectory observability.Condition = "directory"
	// conditionAgents is met unless no agent can be reached.
	conditionAgents observability.Condition = "agents"
)

// role is the part of the process that depends on its settings: balancer or agent.
type role interface {
	// addActors adds the goroutines of the role to group.
	addActors(group *run.Group)
	// beginStop begins a planned stop and returns how long the role should continue to
	// serve.
	beginStop() time.Duration
	// idle reports whether a stopping role has nothing left to serve.
	idle() bool
	// reload applies those changed settings of the role that need no restart. It reports
	// whether no other change waits for a restart.
	reload(changed *settings.Relay) bool
}

// Daemon is one process of the fleet, with its role and its observability server.
type Daemon struct {
	stopTimeout   atomic.Int64
	log           *logging.AsyncWriter
	logger        *log.Logger
	health        *observability.Health
	role          role
	observability *observability.Server
}

// New opens the sockets of the daemon, which writes its log to output. It fails if the
// settings have no relay table or an address cannot be bound. The daemon serves nothing
// before Run.
func New(dependencies Dependencies, config *settings.Settings, output io.Writer) (*Daemon, error) {
	if config.Relay == nil {
		return nil, settings.Errors{{Key: "relay", Rule: "is required"}}
	}
	health := observability.NewHealth(conditionServing)
	reg := registry.New()
	log := logging.NewAsyncWriter(output)
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
		Metrics: reg.Handler(),
	})
	if err != nil {
		return nil, err
	}
	recorder := newEventRecorder(created.logger, reg)
	if config.Relay.Balancer != nil {
		created.role, err = newBalancerRole(dependencies, config, health, recorder, reg)
	} else {
		created.role, err = newAgentRole(dependencies, config.Relay, recorder, reg)
	}
	return created, errors.Wrap(err, "relay")
}

// Reload applies the settings that need no restart: the log level, the stop timeout and,
// for a balancer, the store and the seeds.
func (d *Daemon) Reload(changed *settings.Settings) {
	d.logger.SetLevel(changed.Log.Level)
	allApplied := false
	if changed.Relay != nil {
		d.stopTimeout.Store(int64(changed.Relay.StopTimeout))
		allApplied = d.role.reload(changed.Relay)
	}
	d.logger.Info("settings read again", "log_level", changed.Log.Level, "changes_wait_for_start", !allApplied)
}

// ReloadFailed logs that the settings were not reloaded, because the new ones cannot be read
// or are invalid, and that the previous settings stay in effect.
func (d *Daemon) ReloadFailed(err error) {
	d.logger.Error("settings not reloaded, previous settings stay in effect", "error", err)
}

// logFlushTimeout is how long a stopping process waits until its log is written.
const logFlushTimeout = 200 * time.Millisecond

// stopMargin is the part of the stop timeout that a planned stop leaves unused, so that the
// process ends before the timeout.
const stopMargin = 1500 * time.Millisecond

// idlePollInterval is the time between checks whether a stopping role is idle. It is also
// the shortest time that the stop of an idle role takes.
const idlePollInterval = 300 * time.Millisecond

// Run serves until ctx ends and then stops as planned: it reports not ready and continues to
// serve until the role is idle or the time returned by its beginStop is over, but no longer
// than the stop timeout less stopMargin. It returns nil after a planned stop, or the first
// error if a part fails.
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

// awaitStop returns at the end of a planned stop, which begins when stopping ends. It returns
// early if ended ends because another part has failed.
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

// addActor adds to group a function that runs until its context ends.
func addActor(group *run.Group, execute func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return execute(ctx) }, func(error) { cancel() })
}
