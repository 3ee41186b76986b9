// This file implements what a daemon knows of agents from other daemons, and
// what it has to tell them.

package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

// AgentCondition is what a daemon knows of an agent that reports to it, or
// hears of one that reports to others.
type AgentCondition uint8

// The conditions of an agent.
const (
	// AgentDown: the lease of the agent has ended.
	AgentDown AgentCondition = iota
	// AgentAlive: the agent has a lease.
	AgentAlive
	// AgentLeaving: the agent has a lease, and takes no new flows.
	AgentLeaving
)

// Observation is the condition of the process of an agent.
type Observation struct {
	Agent table.Endpoint
	// Start is that of the agent's heartbeats.
	Start     uint64
	Condition AgentCondition
}

// remoteView is what other daemons say.
type remoteView struct {
	// awaited is set until it is known which agents report to other daemons.
	awaited bool
	agents  map[table.Endpoint]Observation
}

// AwaitRemote tells that other daemons hear agents too. Until EndAwaitRemote,
// an agent that was never heard of is not taken for down.
func (r *Registry) AwaitRemote() {
	r.remote.awaited = true
	r.invalidate()
}

// RemoteReady tells that Remote has been called for all agents that others
// hear.
func (r *Registry) RemoteReady() {
	r.remote.awaited = false
	r.invalidate()
}

// ApplyRemote takes in what other daemons together say of an agent, until they say
// otherwise. A heartbeat that this daemon hears itself says more.
func (r *Registry) ApplyRemote(said Observation) {
	if r.remote.agents == nil {
		r.remote.agents = make(map[table.Endpoint]Observation)
	}
	if r.remote.agents[said.Agent] == said {
		return
	}
	r.remote.agents[said.Agent] = said
	r.invalidate()
}

// Observations returns the agents that have reported to this daemon, ordered by
// address. One of which nothing can be said, since the daemon has just been
// resumed, is left out.
func (r *Registry) Observations(now time.Duration) []Observation {
	observed := make([]Observation, 0, len(r.agents))
	for agent, record := range r.agents {
		observation := Observation{Agent: agent, Start: record.start}
		switch r.heardCondition(now, agent) {
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

// condition joins what this daemon hears with what others say.
func (r *Registry) condition(now time.Duration, agent table.Endpoint) condition {
	heard := r.heardCondition(now, agent)
	said, known := r.remote.agents[agent]
	switch {
	case heard == conditionLeaving:
		return conditionLeaving
	case heard == conditionAlive:
		return r.aliveCondition(agent, said)
	case known && said.Condition == AgentAlive:
		return conditionAlive
	case known && said.Condition == AgentLeaving:
		return conditionLeaving
	case r.remote.awaited && !known && r.agents[agent] == nil:
		return conditionUnknown
	}
	return heard
}

// aliveCondition believes others who have heard the same process say that it
// stops: a process does not take that back.
func (r *Registry) aliveCondition(agent table.Endpoint, said Observation) condition {
	if said.Condition == AgentLeaving && said.Start == r.agents[agent].start {
		return conditionLeaving
	}
	return conditionAlive
}

// ApplyRemote takes in what other daemons say of agents.
func (s *Server) ApplyRemote(said []Observation) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, observation := range said {
		s.registry.ApplyRemote(observation)
	}
	s.report()
}

// RemoteReady tells that Remote has been called for all agents that others
// hear.
func (s *Server) RemoteReady() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.registry.RemoteReady()
	s.report()
}

// observe passes on what has changed of the agents that report here. The mutex
// must be held.
func (s *Server) observe() {
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
