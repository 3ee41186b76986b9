package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// pingDelay is how long opening packets may stay unanswered before agents are pinged.
	pingDelay = 250 * time.Millisecond
	// isolationDelay is how long pings may stay unanswered before the balancer counts as isolated.
	isolationDelay = 500 * time.Millisecond
	// pingInterval is the time between two rounds of pings.
	pingInterval = 150 * time.Millisecond
	// maxPingedAgents limits the agents pinged in one round.
	maxPingedAgents = 16
)

// reachability tracks whether a balancer can reach any agent. The fabric should not send packets to
// an isolated balancer, because that balancer loses every new flow.
type reachability struct {
	// awaiting is set if an opening packet was sent and no agent has replied since. awaitingSince
	// is the time at which awaiting was set.
	awaiting      bool
	awaitingSince time.Duration
	pinging       bool
	pingingSince  time.Duration
	nextPing      time.Duration
	isolated      bool
	// lastPinged is the index of the agent that was pinged last.
	lastPinged int
}

// Isolated reports whether the balancer cannot reach any agent.
func (b *Balancer) Isolated() bool { return b.reachability.isolated }

// recordAgentReachable records that an agent can be reached.
func (b *Balancer) recordAgentReachable() {
	if b.reachability.isolated {
		b.recordEvent(Event{Kind: EventReconnected})
	}
	b.reachability = reachability{lastPinged: b.reachability.lastPinged}
}

// expectAgentReply records that an agent is expected to reply.
func (b *Balancer) expectAgentReply(now time.Duration) {
	if !b.reachability.awaiting {
		b.reachability.awaiting = true
		b.reachability.awaitingSince = now
	}
}

// checkReachability pings agents while none replies, and marks the balancer as isolated if the pings
// stay unanswered for isolationDelay.
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

// nextReachabilityCheck returns the latest time for the next call of checkReachability.
func (b *Balancer) nextReachabilityCheck() time.Duration {
	switch {
	case !b.reachability.awaiting:
		return never
	case !b.reachability.pinging:
		return b.reachability.awaitingSince + pingDelay
	}
	return b.reachability.nextPing
}

// pingAgents pings up to maxPingedAgents agents, starting after the agent that was pinged last.
func (b *Balancer) pingAgents() {
	all := b.snapshot.All()
	for range min(len(all), maxPingedAgents) {
		b.reachability.lastPinged = (b.reachability.lastPinged + 1) % len(all)
		candidate := all[b.reachability.lastPinged]
		b.send(b.agentAddress(candidate), Message{Kind: KindPing, Service: candidate.Endpoint.Service})
	}
}

// isAgent reports whether an address belongs to a known agent. Messages of other senders do not
// prove that agents can be reached, so they are ignored.
func (b *Balancer) isAgent(from segment.Address) bool {
	_, exists := b.candidateOf(from)
	return exists && from.Port == b.config.AgentPort
}
