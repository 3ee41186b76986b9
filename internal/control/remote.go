// This file implements the exchange of agent conditions with other daemons: what they
// report about agents, and what this daemon reports to them.

package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

// AgentCondition is the condition of an agent as observed by a daemon.
type AgentCondition uint8

// The conditions of an agent.
const (
	// AgentDown: the lease of the agent has ended.
	AgentDown AgentCondition = iota
	// AgentAlive: the agent has a lease.
	AgentAlive
	// AgentLeaving: the agent has a lease and takes no new flows.
	AgentLeaving
)

// Observation is the condition of an agent process.
type Observation struct {
	Agent table.Endpoint
	// Start is the start of the process, as in its heartbeats.
	Start     uint64
	Condition AgentCondition
}

// remoteState holds what other daemons report.
type remoteState struct {
	// awaiting is set until it is known which agents report to other daemons.
	awaiting bool
	agents   map[table.Endpoint]Observation
}

// AwaitRemote records that agents may report to other daemons. Until RemoteReady
// is called, an agent that no daemon has reported is not considered down.
func (r *Registry) AwaitRemote() {
	r.remote.awaiting = true
	r.invalidate()
}

// RemoteReady records that ApplyRemote has been called for all agents that
// report to other daemons.
func (r *Registry) RemoteReady() {
	r.remote.awaiting = false
	r.invalidate()
}

// ApplyRemote records what the other daemons jointly report about an agent. It holds until
// the next report. Heartbeats that this daemon receives itself take precedence.
func (r *Registry) ApplyRemote(observation Observation) {
	if r.remote.agents == nil {
		r.remote.agents = make(map[table.Endpoint]Observation)
	}
	if r.remote.agents[observation.Agent] == observation {
		return
	}
	r.remote.agents[observation.Agent] = observation
	r.invalidate()
}

// Observations returns the agents that have reported to this daemon, ordered by address. It
// leaves out agents whose condition is unknown because this daemon was paused a
// moment ago.
func (r *Registry) Observations(now time.Duration) []Observation {
	observed := make([]Observation, 0, len(r.agents))
	for agent, record := range r.agents {
		observation := Observation{Agent: agent, Start: record.start}
		switch r.localCondition(now, agent) {
		case conditionAlive:
			observation.Condition = AgentAlive
		case conditionLeaving:
			observation.Condition = AgentLeaving
		case conditionUnknown:
			continue
		}
		observed = append(observed, observation)
	}
	slices.SortFunc(observed, func(a, b Observation) int { return cmp.Compare(a.Agent, b.Agent) })
	return observed
}

// condition combines the heartbeats received here with the reports of other daemons.
func (r *Registry) condition(now time.Duration, agent table.Endpoint) condition {
	local := r.localCondition(now, agent)
	remote, known := r.remote.agents[agent]
	switch {
	case local == conditionLeaving:
		return conditionLeaving
	case local == conditionAlive:
		return r.aliveCondition(agent, remote)
	case known && remote.Condition == AgentAlive:
		return conditionAlive
	case known && remote.Condition == AgentLeaving:
		return conditionLeaving
	case r.remote.awaiting && !known && r.agents[agent] == nil:
		return conditionUnknown
	}
	return local
}

// aliveCondition returns the condition of an agent that is alive according to its
// heartbeats. If the same process has announced to other daemons that it stops, it is
// leaving, since a process does not revoke that.
func (r *Registry) aliveCondition(agent table.Endpoint, remote Observation) condition {
	if remote.Condition == AgentLeaving && remote.Start == r.agents[agent].start {
		return conditionLeaving
	}
	return conditionAlive
}

// ApplyRemote records what other daemons report about agents.
func (s *Server) ApplyRemote(observations []Observation) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, observation := range observations {
		s.registry.ApplyRemote(observation)
	}
	s.reportUnavailable()
}

// RemoteReady records that ApplyRemote has been called for all agents that report
// to other daemons.
func (s *Server) RemoteReady() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.registry.RemoteReady()
	s.reportUnavailable()
}

// reportObservations calls OnObservations if the observations have changed. The mutex must
// be held.
func (s *Server) reportObservations() {
	if s.config.OnObservations == nil {
		return
	}
	observed := s.registry.Observations(s.now())
	if slices.Equal(observed, s.observed) {
		return
	}
	s.observed = observed
	s.config.OnObservations(observed)
}
