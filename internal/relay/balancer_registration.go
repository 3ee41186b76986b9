package relay

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// registrationLifetime is how long a balancer keeps the registration of an unlisted agent.
	registrationLifetime = 5 * registrationInterval
	// maxUnlistedAgents limits the unlisted agents that a balancer keeps.
	maxUnlistedAgents = 1024
	// registrationShareRate limits the registrations a second that a balancer passes on, and
	// registrationShareBurst those at once. All entries of a store may expire during an outage, and
	// all agents are unlisted then.
	registrationShareRate  = 1000
	registrationShareBurst = 1000
)

// unlistedAgent is a registered agent whose endpoint is not in the directory, such as one that left
// without notice before this balancer started. The endpoint gets no new flows but may hold open ones.
type unlistedAgent struct {
	service   string
	expiresAt time.Duration
}

// candidate returns the endpoint of an unlisted agent as one that has left.
func (u unlistedAgent) candidate(ip [4]byte) directory.Candidate {
	return directory.Candidate{Endpoint: directory.Endpoint{Service: u.service, IP: ip}, Leaving: true, Gone: true}
}

// SetPeers replaces the other balancers, with which registrations are shared. The returned effects
// are valid until the next call.
func (b *Balancer) SetPeers(now time.Duration, peers []segment.Address) []Effect {
	b.effects = b.effects[:0]
	added := slices.DeleteFunc(slices.Clone(peers), func(peer segment.Address) bool { return slices.Contains(b.peers, peer) })
	b.peers = slices.Clone(peers)
	b.shareRegistrations(now, added)
	return b.effects
}

// receiveRegister handles the registration of an agent. The agent sends it to one balancer, which
// confirms it and passes it on to the others if the agent is unlisted.
func (b *Balancer) receiveRegister(now time.Duration, from segment.Address, message Message) {
	agent := originAgent(from, message)
	passedOn := agent != from
	if agent.Port != b.config.AgentPort || passedOn && from.Port != b.config.PeerPort {
		b.recordEvent(Event{Kind: EventForged, Peer: from, Reason: "registration"})
		return
	}
	if !b.recordRegistration(now, agent, message.Service) || passedOn {
		return
	}
	b.send(agent, Message{Kind: KindRegistered, Service: message.Service})
	if _, unlisted := b.unlisted[agent.IP]; unlisted && b.hasDirectory {
		b.shareRegistration(now, agent.IP, b.peers)
	}
}

// originAgent returns the agent that a registration came from, or on whose behalf another balancer
// passed it on.
func originAgent(from segment.Address, message Message) segment.Address {
	if agent := message.ReplyTo.Address(); !agent.IsZero() {
		return agent
	}
	return from
}

// recordRegistration records a registration unless the agent's endpoint is in the directory. It
// reports false if there is no room for it.
func (b *Balancer) recordRegistration(now time.Duration, agent segment.Address, service string) bool {
	if b.listed(agent.IP, service) {
		delete(b.unlisted, agent.IP)
		return true
	}
	known, exists := b.unlisted[agent.IP]
	if !exists && len(b.unlisted) >= maxUnlistedAgents {
		return false
	}
	b.unlisted[agent.IP] = unlistedAgent{service, now + registrationLifetime}
	if b.hasDirectory && known.service != service {
		b.recordEvent(Event{Kind: EventUnlisted, Peer: agent})
		b.verifyWith(now, b.unlisted[agent.IP].candidate(agent.IP))
	}
	return true
}

// listed reports whether the directory contains an endpoint of a service at an address.
func (b *Balancer) listed(ip [4]byte, service string) bool {
	candidate, exists := b.snapshot.CandidateAt(ip)
	return exists && candidate.Endpoint.Service == service
}

// shareRegistrations passes the registrations of all unlisted agents on to other balancers.
func (b *Balancer) shareRegistrations(now time.Duration, to []segment.Address) {
	if !b.hasDirectory {
		return
	}
	for _, ip := range b.unlistedAddresses() {
		b.shareRegistration(now, ip, to)
	}
}

// shareRegistration passes the registration of an unlisted agent on to other balancers, unless that
// exceeds the rate limit. The agent repeats its registration.
func (b *Balancer) shareRegistration(now time.Duration, ip [4]byte, to []segment.Address) {
	if !b.shareLimiter.AllowN(time.Unix(0, int64(now)), len(to)) {
		return
	}
	agent := segment.Address{IP: ip, Port: b.config.AgentPort}
	for _, peer := range to {
		b.send(peer, Message{Kind: KindRegister, Service: b.unlisted[ip].service, ReplyTo: EncodeAddress(agent)})
	}
}

// unlistedAddresses returns the addresses of the unlisted agents in their order.
func (b *Balancer) unlistedAddresses() [][4]byte {
	return slices.SortedFunc(maps.Keys(b.unlisted), func(x, y [4]byte) int { return bytes.Compare(x[:], y[:]) })
}

// forgetListedAgents removes the registrations of agents whose endpoints are in the directory now.
func (b *Balancer) forgetListedAgents() {
	maps.DeleteFunc(b.unlisted, func(ip [4]byte, agent unlistedAgent) bool { return b.listed(ip, agent.service) })
}

// expireRegistrations removes the registrations of agents that have not repeated them.
func (b *Balancer) expireRegistrations(now time.Duration) {
	maps.DeleteFunc(b.unlisted, func(_ [4]byte, agent unlistedAgent) bool { return now >= agent.expiresAt })
}

// withUnlisted adds the endpoints of unlisted agents to those that may hold a flow. An agent replies
// for its own endpoint only, so that other endpoints at its address are left out. With services, only
// endpoints of these are added.
func (b *Balancer) withUnlisted(candidates []directory.Candidate, services []string) []directory.Candidate {
	if len(b.unlisted) == 0 {
		return candidates
	}
	candidates = slices.DeleteFunc(candidates, func(c directory.Candidate) bool {
		_, exists := b.unlisted[c.Endpoint.IP]
		return exists
	})
	for _, ip := range b.unlistedAddresses() {
		agent := b.unlisted[ip]
		if services == nil || slices.Contains(services, agent.service) {
			candidates = append(candidates, agent.candidate(ip))
		}
	}
	return candidates
}

// candidateOf returns the endpoint beside an agent.
func (b *Balancer) candidateOf(agent segment.Address) (directory.Candidate, bool) {
	if unlisted, exists := b.unlisted[agent.IP]; exists {
		return unlisted.candidate(agent.IP), true
	}
	return b.snapshot.CandidateAt(agent.IP)
}

// verifyWith asks the agent of an endpoint, which has just become known, about all flows whose owner
// is being searched for and that it may hold.
func (b *Balancer) verifyWith(now time.Duration, candidate directory.Candidate) {
	for _, key := range b.searchedFlows() {
		if !slices.Contains(b.ownerServices(key, true), candidate.Endpoint.Service) {
			continue
		}
		if !b.allowSearch(now, key, 1) {
			return
		}
		b.send(b.agentAddress(candidate), b.verificationMessage(b.flows[key].search, candidate))
	}
}

// searchedFlows returns the flows whose owner is being searched for, in the order of their keys.
func (b *Balancer) searchedFlows() []segment.FlowKey {
	var keys []segment.FlowKey
	for key, flow := range b.flows {
		if flow.search != nil {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y segment.FlowKey) int {
		encodedX, encodedY := EncodeFlow(x), EncodeFlow(y)
		return bytes.Compare(encodedX[:], encodedY[:])
	})
	return keys
}
