package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// pingAfter is how long no agent may be heard, while opening packets wait
	// for an answer, before agents are pinged.
	pingAfter = 250 * time.Millisecond
	// isolatedAfter is how long pings may stay without an answer before the
	// balancer takes itself for cut off from all agents.
	isolatedAfter = 500 * time.Millisecond
	// pingInterval is the time between two rounds of pings.
	pingInterval = 150 * time.Millisecond
	// pingLimit bounds the agents that are pinged in one round.
	pingLimit = 16
)

// reach tells whether a balancer can reach any agent. One that cannot is better
// left out by the fabric: it would lose every new flow.
type reach struct {
	// unanswered is set if an opening packet was sent and no agent was heard
	// since; waiting is when that began.
	unanswered bool
	waiting    time.Duration
	pinging    bool
	pinged     time.Duration
	nextPing   time.Duration
	isolated   bool
	// turn is the position of the next agent to ping.
	turn int
}

// Isolated reports whether the balancer cannot reach any agent.
func (b *Balancer) Isolated() bool { return b.reach.isolated }

// heardAgent notes that some agent can be reached.
func (b *Balancer) heardAgent() {
	if b.reach.isolated {
		b.event(Event{Kind: EventReconnected})
	}
	b.reach = reach{turn: b.reach.turn}
}

// awaitAgent notes that an agent should answer.
func (b *Balancer) awaitAgent(now time.Duration) {
	if !b.reach.unanswered {
		b.reach.unanswered = true
		b.reach.waiting = now
	}
}

// watchReach pings agents while none is heard.
func (b *Balancer) watchReach(now time.Duration) {
	r := &b.reach
	if !r.unanswered || now-r.waiting < pingAfter {
		return
	}
	if !r.pinging {
		r.pinging = true
		r.pinged = now
	}
	if !r.isolated && now-r.pinged >= isolatedAfter {
		r.isolated = true
		b.event(Event{Kind: EventIsolated, Version: b.snapshot.Version()})
	}
	if now >= r.nextPing {
		r.nextPing = now + pingInterval
		b.pingAgents()
	}
}

// nextReach returns when watchReach should be called at the latest.
func (b *Balancer) nextReach() time.Duration {
	switch {
	case !b.reach.unanswered:
		return never
	case !b.reach.pinging:
		return b.reach.waiting + pingAfter
	}
	return b.reach.nextPing
}

func (b *Balancer) pingAgents() {
	all := b.snapshot.All()
	for range min(len(all), pingLimit) {
		b.reach.turn = (b.reach.turn + 1) % len(all)
		candidate := all[b.reach.turn]
		b.send(b.agentOf(candidate), Message{Kind: KindPing, Service: candidate.Endpoint.Service})
	}
}

// isAgent reports whether an address is that of a known agent, so that others
// cannot make a balancer believe that it reaches agents.
func (b *Balancer) isAgent(from segment.Address) bool {
	_, known := b.snapshot.CandidateAt(from.IP)
	return known && from.Port == b.config.AgentPort
}
