package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// pingDelay is how long no agent may be heard, while opening packets wait
	// for an answer, before agents are pinged.
	pingDelay = 250 * time.Millisecond
	// isolationDelay is how long pings may stay without an answer before the
	// balancer takes itself for cut off from all agents.
	isolationDelay = 500 * time.Millisecond
	// pingInterval is the time between two rounds of pings.
	pingInterval = 150 * time.Millisecond
	// maxPingedAgents bounds the agents that are pinged in one round.
	maxPingedAgents = 16
)

// reachability tells whether a balancer can reachability any agent. One that cannot is better
// left out by the fabric: it would lose every new flow.
type reachability struct {
	// awaiting is set if an opening packet was sent and no agent was heard
	// since; waiting is when that began.
	awaiting      bool
	awaitingSince time.Duration
	pinging       bool
	pingingSince  time.Duration
	nextPing      time.Duration
	isolated      bool
	// nextAgent is the position of the next agent to ping.
	nextAgent int
}

// Isolated reports whether the balancer cannot reach any agent.
func (b *Balancer) Isolated() bool { return b.reachability.isolated }

// noteAgentHeard notes that some agent can be reached.
func (b *Balancer) noteAgentHeard() {
	if b.reachability.isolated {
		b.recordEvent(Event{Kind: EventReconnected})
	}
	b.reachability = reachability{nextAgent: b.reachability.nextAgent}
}

// expectAgentReply notes that an agent should answer.
func (b *Balancer) expectAgentReply(now time.Duration) {
	if !b.reachability.awaiting {
		b.reachability.awaiting = true
		b.reachability.awaitingSince = now
	}
}

// checkReachability pings agents while none is heard.
func (b *Balancer) checkReachability(now time.Duration) {
	r := &b.reachability
	if !r.awaiting || now-r.awaitingSince < pingDelay {
		return
	}
	if !r.pinging {
		r.pinging = true
		r.pingingSince = now
	}
	if !r.isolated && now-r.pingingSince >= isolationDelay {
		r.isolated = true
		b.recordEvent(Event{Kind: EventIsolated, Version: b.snapshot.Version()})
	}
	if now >= r.nextPing {
		r.nextPing = now + pingInterval
		b.pingAgents()
	}
}

// nextReachabilityCheck returns when watchReach should be called at the latest.
func (b *Balancer) nextReachabilityCheck() time.Duration {
	switch {
	case !b.reachability.awaiting:
		return never
	case !b.reachability.pinging:
		return b.reachability.awaitingSince + pingDelay
	}
	return b.reachability.nextPing
}

func (b *Balancer) pingAgents() {
	all := b.snapshot.All()
	for range min(len(all), maxPingedAgents) {
		b.reachability.nextAgent = (b.reachability.nextAgent + 1) % len(all)
		candidate := all[b.reachability.nextAgent]
		b.send(b.agentAddress(candidate), Message{Kind: KindPing, Service: candidate.Endpoint.Service})
	}
}

// isAgent reports whether an address is that of a known agent, so that others
// cannot make a balancer believe that it reaches agents.
func (b *Balancer) isAgent(from segment.Address) bool {
	_, exists := b.snapshot.At(from.IP)
	return exists && from.Port == b.config.AgentPort
}
