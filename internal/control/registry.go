package control

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	// minimumInterval is the heartbeat interval of agents in a small fleet.
	minimumInterval = 150 * time.Millisecond
	// maximumInterval bounds the heartbeat interval.
	maximumInterval = time.Second
	// leaseIntervals is the lease duration in heartbeat intervals.
	leaseIntervals = 4
	// MaximumLease is the longest lease that a daemon grants.
	MaximumLease = leaseIntervals * maximumInterval
	// livenessMargin is added to the lease before a row counts as down, so
	// that the agent's own clock has run out first.
	livenessMargin = 200 * time.Millisecond
	// heartbeatCost is the measured size of one heartbeat and its grant on the
	// wire in bytes, IP and UDP headers included.
	heartbeatCost = 160
	// heartbeatBudget is the bytes a second a daemon spends on its agents.
	heartbeatBudget = 1600
	// pauseThreshold is the time between ticks from which the process is taken
	// to have been paused.
	pauseThreshold = time.Second
	// pauseGrace bounds how long a resumed daemon grants no lease while it
	// cannot confirm its table.
	pauseGrace = 3 * time.Second
	// newAgentGrace is how long an agent that was never heard of counts as
	// alive.
	newAgentGrace = 3 * time.Second
)

type agentRecord struct {
	heard   time.Duration
	lease   time.Duration
	start   uint64
	leaving bool
}

// Registry keeps what a daemon knows of agents and answers their heartbeats.
// It is not safe for concurrent use.
type Registry struct {
	configuration *table.Table
	agents        map[table.Endpoint]*agentRecord
	// rowsSince is when each agent address first appeared in the table.
	rowsSince  map[table.Endpoint]time.Duration
	lastTick   time.Duration
	suspended  bool
	resumed    time.Duration
	everTicked bool
}

// NewRegistry returns a registry without a table; it grants no leases before
// Publish.
func NewRegistry() *Registry {
	return &Registry{
		agents:    make(map[table.Endpoint]*agentRecord),
		rowsSince: make(map[table.Endpoint]time.Duration),
	}
}

// Publish installs a table. It must not be older than the one before.
func (r *Registry) Publish(now time.Duration, configuration *table.Table) {
	r.configuration = configuration
	listed := make(map[table.Endpoint]bool, len(configuration.Backends))
	for _, row := range configuration.Backends {
		listed[row.Agent] = true
		if _, exists := r.rowsSince[row.Agent]; !exists {
			r.rowsSince[row.Agent] = now
		}
	}
	for agent := range r.rowsSince {
		if !listed[agent] {
			delete(r.rowsSince, agent)
			delete(r.agents, agent)
		}
	}
}

// Confirm tells the registry that its table is known to be the newest that can
// be had; a resumed daemon grants leases again.
func (r *Registry) Confirm() { r.suspended = false }

// Tick must be called several times a second. It detects that the process was
// paused: a resumed daemon grants no lease on a table that may be old.
func (r *Registry) Tick(now time.Duration) {
	if r.everTicked && now-r.lastTick > pauseThreshold {
		r.suspended = true
		r.resumed = now
		r.extendAfterPause(now)
	}
	r.everTicked = true
	r.lastTick = now
	if r.suspended && now-r.resumed > pauseGrace {
		r.suspended = false
	}
}

// extendAfterPause keeps agents that could not be heard during the daemon's own
// pause from counting as down.
func (r *Registry) extendAfterPause(now time.Duration) {
	for _, record := range r.agents {
		record.heard = now
	}
}

// Receive handles a heartbeat. It returns false if no lease can be granted.
func (r *Registry) Receive(now time.Duration, heartbeat Heartbeat) (Grant, bool) {
	if r.configuration == nil {
		return Grant{}, false
	}
	interval := r.interval()
	lease := leaseIntervals * interval
	r.agents[heartbeat.Agent] = &agentRecord{
		heard:   now,
		lease:   lease,
		start:   heartbeat.Start,
		leaving: heartbeat.Leaving,
	}
	if r.suspended {
		return Grant{}, false
	}
	grant := Grant{
		Sequence:       heartbeat.Sequence,
		Version:        r.configuration.Version,
		LeaseMillis:    uint32(lease / time.Millisecond),
		IntervalMillis: uint32(interval / time.Millisecond),
	}
	services := r.servicesOf(heartbeat.Agent)
	if heartbeat.Version != r.configuration.Version {
		grant.Table = r.configuration.Slice(services)
	}
	grant.Down, grant.Leaving = r.unavailable(now, services)
	return grant, true
}

// interval returns the heartbeat interval that keeps the traffic of all agents
// within the budget.
func (r *Registry) interval() time.Duration {
	needed := time.Duration(len(r.agents)) * heartbeatCost * time.Second / heartbeatBudget
	return min(max(needed, minimumInterval), maximumInterval)
}

func (r *Registry) servicesOf(agent table.Endpoint) []table.ServiceID {
	var services []table.ServiceID
	for _, row := range r.configuration.Backends {
		if row.Agent == agent && !slices.Contains(services, row.Service) {
			services = append(services, row.Service)
		}
	}
	return services
}

func (r *Registry) unavailable(now time.Duration, services []table.ServiceID) (down, leaving []table.BackendID) {
	for _, row := range r.configuration.Backends {
		if !slices.Contains(services, row.Service) {
			continue
		}
		switch r.condition(now, row.Agent) {
		case conditionDown:
			down = append(down, row.ID)
		case conditionLeaving:
			leaving = append(leaving, row.ID)
		}
	}
	return down, leaving
}

type condition uint8

const (
	conditionAlive condition = iota
	conditionDown
	conditionLeaving
)

func (r *Registry) condition(now time.Duration, agent table.Endpoint) condition {
	record, heard := r.agents[agent]
	if !heard {
		if now < r.rowsSince[agent]+newAgentGrace {
			return conditionAlive
		}
		return conditionDown
	}
	if now >= record.heard+record.lease+livenessMargin {
		return conditionDown
	}
	if record.leaving {
		return conditionLeaving
	}
	return conditionAlive
}

// Unavailable returns, in table order, the rows that must not be given new
// flows because their agent is down or leaving.
func (r *Registry) Unavailable(now time.Duration) []table.BackendID {
	if r.configuration == nil {
		return nil
	}
	var rows []table.BackendID
	for _, row := range r.configuration.Backends {
		if r.condition(now, row.Agent) != conditionAlive {
			rows = append(rows, row.ID)
		}
	}
	return rows
}
