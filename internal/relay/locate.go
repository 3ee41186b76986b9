package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// routeOnlyRounds is the number of rounds in which only the current services of the route are
	// asked. Later rounds include its former services.
	routeOnlyRounds = 1
	// maxSearchRounds limits the rounds of one search, whatever agents reply. searchInterval is the
	// minimum time between two of them.
	maxSearchRounds = 64
	searchInterval  = 100 * time.Millisecond
	// searchMessageRate limits the messages a second that a balancer sends to find owners, and
	// searchMessageBurst the messages at once, so that flows whose endpoints have died do not use
	// up the network. Clients repeat their packets, so a search that is refused is retried.
	searchMessageRate  = 2000
	searchMessageBurst = 1000
	// probesPerPeriod limits the endpoints that get, within probePeriod, a packet of a flow that
	// may belong to another endpoint.
	probesPerPeriod = 2
	probePeriod     = 2100 * time.Millisecond
	// probeDelay is the time from the first search to the first probe. The client has repeated its
	// packet by then.
	probeDelay = 120 * time.Millisecond
)

// ownerSearch is a search for the owner of a flow.
type ownerSearch struct {
	key         segment.FlowKey
	rounds      int
	beganAt     time.Duration
	lastRoundAt time.Duration
	// held are packets to forward to the owner. The client repeats those that are not held.
	held [][]byte
	// uncertain are restarted agents that may own the flow, in the order of their replies. Those
	// before index nextProbe have been probed.
	uncertain []segment.Address
	nextProbe int
	// periodBeganAt is when the current probe period began. periodProbes is the number of probes
	// sent in it.
	periodBeganAt time.Duration
	periodProbes  int
	// latestHeader is the header of the client's latest packet.
	latestHeader segment.Header
	// verifyAt is the time of the next verification that no endpoint holds the flow. verifications
	// is the number of verification rounds begun.
	verifyAt      time.Duration
	verifications int
	// nextConfirmAt is the earliest time to ask for another confirmation of the directory, 0 if
	// none was requested.
	nextConfirmAt time.Duration
	// replies holds the replies of agents by their addresses.
	replies map[segment.Address]searchReply
	// inconclusive is set once all agents have replied without a proof that the flow has no owner.
	// They are asked again at resumeAt, after a pause.
	inconclusive bool
	resumeAt     time.Duration
	pause        time.Duration
	// delegated are the parts of the latest round that agents carry out.
	delegated []delegatedSurvey
}

func newOwnerSearch(now time.Duration, key segment.FlowKey) *ownerSearch {
	return &ownerSearch{key: key, beganAt: now, periodBeganAt: now, replies: make(map[segment.Address]searchReply)}
}

// resume starts the search anew after an inconclusive result.
func (s *ownerSearch) resume() {
	if s.inconclusive {
		s.inconclusive = false
		s.verifications = verifyRounds
		clear(s.replies)
	}
}

// hold keeps a copy of a packet for the owner, unless the same packet is held already.
func (s *ownerSearch) hold(packet []byte) {
	duplicate := slices.ContainsFunc(s.held, func(held []byte) bool { return slices.Equal(held, packet) })
	if !duplicate && len(s.held) < maxHeldPackets {
		s.held = append(s.held, slices.Clone(packet))
	}
}

// startSearch creates a flow in state flowLocating. It returns nil if the flow limit is reached.
func (b *Balancer) startSearch(now time.Duration, key segment.FlowKey) *balancerFlow {
	if len(b.flows) >= b.config.FlowLimit {
		b.recordEvent(Event{Kind: EventNoEndpoint, Flow: key, Reason: "flow_limit"})
		return nil
	}
	flow := &balancerFlow{state: flowLocating, lastActivity: now, search: newOwnerSearch(now, key)}
	b.flows[key] = flow
	return flow
}

// locate holds a packet of a flow and asks all agents that may own the flow. It sends probes to
// some of the uncertain agents.
func (b *Balancer) locate(now time.Duration, key segment.FlowKey, flow *balancerFlow, header segment.Header, packet []byte) {
	search := flow.search
	search.hold(packet)
	search.latestHeader = header
	if search.rounds >= maxSearchRounds || search.rounds > 0 && now-search.lastRoundAt < searchInterval {
		return
	}
	if search.inconclusive && now < search.resumeAt {
		b.probeNext(now, search, packet)
		return
	}
	search.resume()
	if owners := b.allPossibleOwners(search); len(owners) >= minFirstRoundSurveyAgents {
		b.locateBySurvey(now, search, owners, packet)
		return
	}
	agents, _ := b.possibleOwners(key, search.rounds >= routeOnlyRounds)
	if !b.allowSearch(now, key, len(agents)) {
		return
	}
	b.recordEvent(Event{Kind: EventLocating, Flow: key, Version: b.snapshot.Version()})
	query := Message{
		Kind: KindLocate, Flow: EncodeFlow(key), Acknowledgment: header.Acknowledgment, Flags: header.Flags,
	}
	probes := search.nextProbes(now)
	for _, candidate := range agents {
		to := b.agentAddress(candidate)
		message := query
		if slices.Contains(probes, to) {
			message = Message{Kind: KindProbe, Packet: packet}
		}
		message.Service = candidate.Endpoint.Service
		b.send(to, message)
	}
	search.lastRoundAt = now
	search.rounds++
	if search.rounds == 1 || search.verifications >= verifyRounds {
		search.verifications = 0
		b.scheduleVerification(now+verifyDelay, search)
	}
}

// allowSearch reports whether the rate limit permits a number of messages to find the owner of a
// flow.
func (b *Balancer) allowSearch(now time.Duration, key segment.FlowKey, messages int) bool {
	allowed := b.searchLimiter.AllowN(time.Unix(0, int64(now)), messages)
	if !allowed {
		b.recordEvent(Event{Kind: EventLocating, Flow: key, Version: b.snapshot.Version(), Reason: "limited"})
	}
	return allowed
}

// nextProbes returns the agents to probe now.
func (s *ownerSearch) nextProbes(now time.Duration) []segment.Address {
	if now-s.beganAt < probeDelay {
		return nil
	}
	if now-s.periodBeganAt >= probePeriod {
		s.periodBeganAt = now
		s.periodProbes = 0
	}
	count := min(probesPerPeriod-s.periodProbes, len(s.uncertain)-s.nextProbe)
	chosen := s.uncertain[s.nextProbe : s.nextProbe+count]
	s.nextProbe += count
	s.periodProbes += count
	return chosen
}

// possibleOwners returns the endpoints that may hold a flow: those of the services of its route,
// including endpoints that are leaving and those of unlisted agents. With widen, which is used after an unsuccessful search, it
// adds endpoints of the route's former services, since the configuration may have changed during
// the flow; in a small fleet it returns all endpoints. The result is complete if widen is set, it
// is not empty, and maxLocateAgents has cut off none.
func (b *Balancer) possibleOwners(key segment.FlowKey, widen bool) (owners []directory.Candidate, complete bool) {
	if widen && len(b.snapshot.All()) <= maxLocateAgents {
		owners = b.withUnlisted(b.reachable(b.snapshot.All()), nil)
		return owners, len(owners) > 0
	}
	var candidates []directory.Candidate
	services := b.ownerServices(key, widen)
	for _, service := range services {
		candidates = append(candidates, b.snapshot.Candidates(service)...)
	}
	candidates = b.withUnlisted(b.reachable(candidates), services)
	complete = widen && len(candidates) > 0 && len(candidates) <= maxLocateAgents
	return candidates[:min(len(candidates), maxLocateAgents)], complete
}

// ownerServices returns the services of the flow's route. With widen, or if the address has no
// route, it adds the services that the address had before.
func (b *Balancer) ownerServices(key segment.FlowKey, widen bool) []string {
	var services []string
	route, exists := b.snapshot.Route(key.Service)
	if exists {
		for _, share := range route.WeightedServices {
			services = append(services, share.Service)
		}
	}
	if !widen && exists {
		return services
	}
	for _, service := range b.snapshot.FormerServices(key.Service) {
		if !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	return services
}

// reachable removes candidates whose address now belongs to another endpoint: one agent replies for
// all endpoints of its service that an address has had. If all endpoints of an address are gone,
// one of each service stays, because it is not known which was the last.
func (b *Balancer) reachable(candidates []directory.Candidate) []directory.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c directory.Candidate) bool {
		occupant, _ := b.snapshot.CandidateAt(c.Endpoint.IP)
		if occupant.ID == c.ID {
			return false
		}
		return !occupant.Gone || occupant.Endpoint.Service == c.Endpoint.Service
	})
}

// receiveUncertain handles a reply that a restarted agent may own a flow.
func (b *Balancer) receiveUncertain(now time.Duration, from segment.Address, message Message) {
	flow, exists := b.searchedFlow(message)
	if !exists {
		return
	}
	if !slices.Contains(flow.search.uncertain, from) {
		flow.search.uncertain = append(flow.search.uncertain, from)
	}
	b.recordReply(now, flow, from, searchReply{registered: message.Registered})
}

// receiveOwned handles a reply that an agent owns a flow.
func (b *Balancer) receiveOwned(now time.Duration, from segment.Address, message Message) {
	key := message.Flow.Key()
	flow, exists := b.flows[key]
	if !exists || flow.state == flowClosing || flow.agent == from {
		return
	}
	b.endOffer(flow)
	search := flow.search
	flow.search = nil
	flow.state = flowPlaced
	b.setOwner(flow, from)
	flow.service = message.Service
	flow.parameters = b.parametersAt(key, from)
	b.recordEvent(Event{Kind: EventLocated, Flow: key, Peer: from})
	if search != nil {
		b.forwardHeld(flow, search.held)
	}
}

// parametersAt returns the parameters of an open flow for an agent that may own it. The agent may
// have restarted and lost them.
func (b *Balancer) parametersAt(key segment.FlowKey, agent segment.Address) FlowParameters {
	route, routed := b.snapshot.Route(key.Service)
	candidate, exists := b.candidateOf(agent)
	if !routed || !exists {
		return FlowParameters{}
	}
	parameters := parametersOf(route)
	parameters.Slots = candidate.Endpoint.Slots
	return parameters
}

// forwardHeld sends the held packets of a flow to its owner.
func (b *Balancer) forwardHeld(flow *balancerFlow, held [][]byte) {
	for _, packet := range held {
		b.send(flow.agent, Message{Kind: KindForward, Service: flow.service, Parameters: flow.parameters, Packet: packet})
		if header, outcome := b.config.Codec.Decode(packet); outcome == segment.Decoded {
			b.markClosing(flow, header)
		}
	}
}

// receiveNotOwned handles a packet that the presumed owner of its flow has sent back. It starts a
// search for the owner.
func (b *Balancer) receiveNotOwned(now time.Duration, from segment.Address, message Message) {
	header, outcome := b.config.Codec.Decode(message.Packet)
	if outcome != segment.Decoded || !validFromClient(header) {
		b.recordEvent(Event{Kind: EventMalformed, Peer: from, Reason: "unknown"})
		return
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	flow, exists := b.flows[key]
	if !exists {
		return
	}
	if flow.agent != from && flow.state != flowLocating {
		b.send(flow.agent, Message{Kind: KindForward, Service: flow.service, Packet: message.Packet})
		return
	}
	b.endOffer(flow)
	b.uncountFlow(flow)
	if flow.search == nil {
		flow.search = newOwnerSearch(now, key)
	}
	flow.state = flowLocating
	flow.agent = segment.Address{}
	b.locate(now, key, flow, header, message.Packet)
}
