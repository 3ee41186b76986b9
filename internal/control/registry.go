package control

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	// minInterval is the heartbeat interval of agents in a small fleet.
	minInterval = 100 * time.Millisecond
	// maxInterval is the longest heartbeat interval.
	maxInterval = time.Second
	// leaseIntervals is the duration of a lease in heartbeat intervals.
	leaseIntervals = 3
	// MaxLease is the longest lease that a daemon grants.
	MaxLease = leaseIntervals * maxInterval
	// leaseMargin is added to the lease before a row counts as down, so that the lease has
	// ended by the agent's own clock first.
	leaseMargin = 200 * time.Millisecond
	// heartbeatCost is the size of a heartbeat and its grant on the wire in bytes, IP and
	// UDP headers included. A test compares it with encoded messages.
	heartbeatCost = 130
	// heartbeatBudget is the bytes a second that a daemon spends on its agents.
	heartbeatBudget = 2000
	// pauseThreshold is the time between ticks above which the process is considered to
	// have been paused.
	pauseThreshold = time.Second
	// pauseGrace limits how long a resumed daemon grants no lease because it cannot confirm
	// its table.
	pauseGrace = 3 * time.Second
	// WarmupPeriod is how long a daemon receives heartbeats after its start or a pause
	// before it considers an agent down that has sent no heartbeat.
	WarmupPeriod = maxInterval + leaseMargin
	// agentRetention is how long the state of an agent without rows is kept after its last
	// heartbeat.
	agentRetention = time.Minute
)

type agentState struct {
	lastHeartbeat time.Duration
	lease         time.Duration
	start         uint64
	leaving       bool
	left          bool
}

// Registry holds the state of the agents known to a daemon and replies to their heartbeats.
// It is not safe for concurrent use.
type Registry struct {
	configuration *table.Table
	agents        map[table.Endpoint]*agentState
	rows          rowIndex
	changes       changeIndex
	// unavailable is the last result of Unavailable. It is valid until recheckAt unless it
	// is invalidated.
	unavailable []table.BackendID
	recheckAt   time.Duration
	lastTick    time.Duration
	suspended   bool
	// warmupStart is when the registry began to receive heartbeats: its start or the end of
	// the last pause.
	warmupStart time.Duration
	everTicked  bool
	remote      remoteState
}

// NewRegistry returns a registry without a table. It grants no leases before Publish.
func NewRegistry() *Registry {
	return &Registry{agents: make(map[table.Endpoint]*agentState)}
}

// Publish installs a table. It must not be older than the previous one.
func (r *Registry) Publish(now time.Duration, configuration *table.Table) {
	r.changes.record(r.configuration, configuration)
	r.configuration = configuration
	r.rows = newRowIndex(configuration)
	r.invalidate()
	for agent, record := range r.agents {
		if !r.rows.hasAgent(agent) && now >= record.lastHeartbeat+agentRetention {
			delete(r.agents, agent)
		}
	}
}

// ConfirmTable records that the registry's table is the newest available. A daemon resumed
// after a pause grants leases again.
func (r *Registry) ConfirmTable() { r.suspended = false }

// Tick must be called several times a second. It detects that the process was paused. A
// resumed daemon grants no lease based on a table that may be outdated.
func (r *Registry) Tick(now time.Duration) {
	if r.everTicked && now-r.lastTick > pauseThreshold {
		r.suspended = true
		r.warmupStart = now
		r.invalidate()
	}
	if !r.everTicked {
		r.warmupStart = now
	}
	r.everTicked = true
	r.lastTick = now
	if r.suspended && now-r.warmupStart > pauseGrace {
		r.suspended = false
	}
}

// WarmedUp reports whether the daemon has received heartbeats for long enough to decide
// which agents are down.
func (r *Registry) WarmedUp(now time.Duration) bool {
	return r.everTicked && now >= r.warmupStart+WarmupPeriod
}

// Receive handles a heartbeat. It returns false if no lease is granted.
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
	r.agents[heartbeat.Agent] = &agentState{
		lastHeartbeat: now,
		lease:         lease,
		start:         heartbeat.Start,
		leaving:       heartbeat.Leaving,
		left:          heartbeat.Left,
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
	if r.changes.changedSince(heartbeat.Version, heartbeat.Agent, services) {
		grant.Table = r.configuration.ForServices(services)
	}
	r.addConditions(now, services, &grant)
	return grant, true
}

// outdated reports whether a heartbeat was overtaken by one in which the same process
// announced that it left.
func (r *Registry) outdated(heartbeat Heartbeat) bool {
	record, known := r.agents[heartbeat.Agent]
	return known && record.left && record.start == heartbeat.Start && !heartbeat.Left
}

// interval returns the heartbeat interval that keeps the traffic of all agents within
// heartbeatBudget.
func (r *Registry) interval() time.Duration {
	needed := time.Duration(len(r.agents)) * heartbeatCost * time.Second / heartbeatBudget
	return min(max(needed, minInterval), maxInterval)
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

// localCondition returns the condition of an agent according to the heartbeats received
// here. During warm-up, when the daemon may have missed heartbeats, a missing heartbeat
// does not mean that the agent is down.
func (r *Registry) localCondition(now time.Duration, agent table.Endpoint) condition {
	record, known := r.agents[agent]
	warmedUp := r.WarmedUp(now)
	if !known {
		if warmedUp {
			return conditionDown
		}
		return conditionUnknown
	}
	if record.lastHeartbeat < r.warmupStart && !warmedUp {
		return conditionUnknown
	}
	if record.left || now >= record.lastHeartbeat+record.lease+leaseMargin {
		return conditionDown
	}
	if record.leaving {
		return conditionLeaving
	}
	return conditionAlive
}

// Unavailable returns, in table order, the rows that must not be given new flows because
// their agent is down or leaving. A row whose agent's condition is unknown stays as it was
// in the previous result. The caller must not change the result.
func (r *Registry) Unavailable(now time.Duration) []table.BackendID {
	if r.configuration == nil || now < r.recheckAt {
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
	r.recheckAt = r.nextExpiry(now)
	return rows
}

// invalidate makes Unavailable compute its result again.
func (r *Registry) invalidate() { r.recheckAt = 0 }

// nextExpiry returns the next time at which a condition can change without a heartbeat.
func (r *Registry) nextExpiry(now time.Duration) time.Duration {
	next := now + MaxLease
	if !r.WarmedUp(now) {
		next = min(next, r.warmupStart+WarmupPeriod)
	}
	for _, record := range r.agents {
		expiry := record.lastHeartbeat + record.lease + leaseMargin
		if expiry > now {
			next = min(next, expiry)
		}
	}
	return next
}
