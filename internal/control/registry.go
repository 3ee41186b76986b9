package control

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	// minimumInterval is the heartbeat interval of agents in a small fleet.
	minimumInterval = 100 * time.Millisecond
	// maximumInterval bounds the heartbeat interval.
	maximumInterval = time.Second
	// leaseIntervals is the lease duration in heartbeat intervals.
	leaseIntervals = 3
	// MaximumLease is the longest lease that a daemon grants.
	MaximumLease = leaseIntervals * maximumInterval
	// livenessMargin is added to the lease before a row counts as down, so
	// that the agent's own clock has run out first.
	livenessMargin = 200 * time.Millisecond
	// heartbeatCost is the size of one heartbeat and its grant on the wire in
	// bytes, IP and UDP headers included; a test compares it with messages.
	heartbeatCost = 130
	// heartbeatBudget is the bytes a second a daemon spends on its agents.
	heartbeatBudget = 2000
	// pauseThreshold is the time between ticks from which the process is taken
	// to have been paused.
	pauseThreshold = time.Second
	// pauseGrace bounds how long a resumed daemon grants no lease while it
	// cannot confirm its table.
	pauseGrace = 3 * time.Second
	// WarmupPeriod is how long a daemon that starts or was resumed listens for
	// heartbeats before it takes an agent it has not heard from for down.
	WarmupPeriod = maximumInterval + livenessMargin
	// forgetAgentAfter is when the record of an agent without rows is removed.
	forgetAgentAfter = time.Minute
)

type agentRecord struct {
	heard   time.Duration
	lease   time.Duration
	start   uint64
	leaving bool
	left    bool
}

// Registry keeps what a daemon knows of agents and answers their heartbeats.
// It is not safe for concurrent use.
type Registry struct {
	configuration *table.Table
	agents        map[table.Endpoint]*agentRecord
	rows          rowIndex
	changes       changeIndex
	// unavailable is what Unavailable returned last. It holds until recheck
	// unless it is invalidated.
	unavailable []table.BackendID
	recheck     time.Duration
	lastTick    time.Duration
	suspended   bool
	// listening is when the registry began to hear heartbeats: its start, or
	// its resumption after a pause.
	listening  time.Duration
	everTicked bool
	remote     remoteView
}

// NewRegistry returns a registry without a table; it grants no leases before
// Publish.
func NewRegistry() *Registry {
	return &Registry{agents: make(map[table.Endpoint]*agentRecord)}
}

// Publish installs a table. It must not be older than the one before.
func (r *Registry) Publish(now time.Duration, configuration *table.Table) {
	r.changes.record(r.configuration, configuration)
	r.configuration = configuration
	r.rows = newRowIndex(configuration)
	r.invalidate()
	for agent, record := range r.agents {
		if !r.rows.lists(agent) && now >= record.heard+forgetAgentAfter {
			delete(r.agents, agent)
		}
	}
}

// ConfirmTable tells the registry that its table is known to be the newest that can
// be had; a resumed daemon grants leases again.
func (r *Registry) ConfirmTable() { r.suspended = false }

// Tick must be called several times a second. It detects that the process was
// paused: a resumed daemon grants no lease on a table that may be old.
func (r *Registry) Tick(now time.Duration) {
	if r.everTicked && now-r.lastTick > pauseThreshold {
		r.suspended = true
		r.listening = now
		r.invalidate()
	}
	if !r.everTicked {
		r.listening = now
	}
	r.everTicked = true
	r.lastTick = now
	if r.suspended && now-r.listening > pauseGrace {
		r.suspended = false
	}
}

// WarmedUp reports whether the daemon has listened for heartbeats long enough to
// know which agents are down.
func (r *Registry) WarmedUp(now time.Duration) bool {
	return r.everTicked && now >= r.listening+WarmupPeriod
}

// Receive handles a heartbeat. It returns false if no lease can be granted.
func (r *Registry) Receive(now time.Duration, heartbeat Heartbeat) (Grant, bool) {
	if r.configuration == nil {
		return Grant{}, false
	}
	if r.outdated(heartbeat) {
		return Grant{}, false
	}
	interval := r.interval()
	lease := leaseIntervals * interval
	before := r.condition(now, heartbeat.Agent)
	r.agents[heartbeat.Agent] = &agentRecord{
		heard:   now,
		lease:   lease,
		start:   heartbeat.Start,
		leaving: heartbeat.Leaving,
		left:    heartbeat.Left,
	}
	if r.condition(now, heartbeat.Agent) != before {
		r.invalidate()
	}
	if r.suspended || heartbeat.Left {
		return Grant{}, false
	}
	grant := Grant{
		Sequence:       heartbeat.Sequence,
		Version:        r.configuration.Version,
		LeaseMillis:    uint32(lease / time.Millisecond),
		IntervalMillis: uint32(interval / time.Millisecond),
	}
	services := r.rows.services[heartbeat.Agent]
	if r.changes.since(heartbeat.Version, heartbeat.Agent, services) {
		grant.Table = r.configuration.ForServices(services)
	}
	r.addConditions(now, services, &grant)
	return grant, true
}

// outdated reports whether a heartbeat was overtaken by the last ones of the same
// process.
func (r *Registry) outdated(heartbeat Heartbeat) bool {
	record, heard := r.agents[heartbeat.Agent]
	return heard && record.left && record.start == heartbeat.Start && !heartbeat.Left
}

// interval returns the heartbeat interval that keeps the traffic of all agents
// within the budget.
func (r *Registry) interval() time.Duration {
	needed := time.Duration(len(r.agents)) * heartbeatCost * time.Second / heartbeatBudget
	return min(max(needed, minimumInterval), maximumInterval)
}

func (r *Registry) addConditions(now time.Duration, services []table.ServiceID, grant *Grant) {
	for _, service := range services {
		for _, row := range r.rows.byService[service] {
			switch r.condition(now, row.agent) {
			case conditionDown:
				grant.Down = append(grant.Down, row.id)
			case conditionLeaving:
				grant.Leaving = append(grant.Leaving, row.id)
			case conditionUnknown:
				grant.Unknown = append(grant.Unknown, row.id)
			}
		}
	}
}

type condition uint8

const (
	conditionAlive condition = iota
	conditionDown
	conditionLeaving
	conditionUnknown
)

// heardCondition returns what the heartbeats of an agent say. A daemon that
// could not hear anything for a while does not take silence for death.
func (r *Registry) heardCondition(now time.Duration, agent table.Endpoint) condition {
	record, heard := r.agents[agent]
	listened := r.WarmedUp(now)
	if !heard {
		if listened {
			return conditionDown
		}
		return conditionUnknown
	}
	if record.heard < r.listening && !listened {
		return conditionUnknown
	}
	if record.left || now >= record.heard+record.lease+livenessMargin {
		return conditionDown
	}
	if record.leaving {
		return conditionLeaving
	}
	return conditionAlive
}

// Unavailable returns, in table order, the rows that must not be given new
// flows because their agent is down or leaving. A row of which nothing is known
// keeps the condition it had before. The result must not be changed.
func (r *Registry) Unavailable(now time.Duration) []table.BackendID {
	if r.configuration == nil || now < r.recheck {
		return r.unavailable
	}
	var rows []table.BackendID
	for _, row := range r.rows.all {
		switch r.condition(now, row.agent) {
		case conditionDown, conditionLeaving:
			rows = append(rows, row.id)
		case conditionUnknown:
			if _, found := slices.BinarySearch(r.unavailable, row.id); found {
				rows = append(rows, row.id)
			}
		}
	}
	r.unavailable = rows
	r.recheck = r.nextExpiry(now)
	return rows
}

// invalidate makes Unavailable look at all rows again.
func (r *Registry) invalidate() { r.recheck = 0 }

// nextExpiry returns when a condition can change without a heartbeat.
func (r *Registry) nextExpiry(now time.Duration) time.Duration {
	next := now + MaximumLease
	if !r.WarmedUp(now) {
		next = min(next, r.listening+WarmupPeriod)
	}
	for _, record := range r.agents {
		expiry := record.heard + record.lease + livenessMargin
		if expiry > now {
			next = min(next, expiry)
		}
	}
	return next
}
