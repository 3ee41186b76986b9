package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// routeOnlyRounds is the number of searches among the services of a route
	// after which those that it had before are asked too.
	routeOnlyRounds = 1
	// maxSearchRounds bounds the searches for one owner, whatever agents answer, and
	// searchInterval is the least time between two of them.
	maxSearchRounds = 64
	searchInterval  = 100 * time.Millisecond
	// searchMessageRate bounds the messages a second that a balancer sends to find
	// owners, and searchBurst those at once, so that flows whose endpoints have
	// died do not take the network from others. Clients repeat their packets.
	searchMessageRate  = 2000
	searchMessageBurst = 1000
	// probesPerPeriod bounds the endpoints that get a packet of a flow which may
	// not be theirs, in probePeriod.
	probesPerPeriod = 2
	probePeriod     = 2100 * time.Millisecond
	// probeDelay is how long after the first search endpoints are probed: the
	// client has then repeated its packet.
	probeDelay = 120 * time.Millisecond
)

// ownerSearch is the ownerSearch for the owner of a flow.
type ownerSearch struct {
	key         segment.FlowKey
	rounds      int
	beganAt     time.Duration
	lastRoundAt time.Duration
	// held are packets for the owner; the client repeats others.
	held [][]byte
	// uncertain are restarted agents that may own the flow, in the order of
	// their answers; those before the index probed have been probed.
	uncertain []segment.Address
	nextProbe int
	// periodBeganAt is when the present periodBeganAt of probes began, and probes is their
	// number.
	periodBeganAt time.Duration
	periodProbes  int
	// latestHeader is that of the client's latest packet.
	latestHeader segment.Header
	// verifyAt is when it is verified that no endpoint holds the flow, and
	// verified how often that was begun.
	verifyAt      time.Duration
	verifications int
	// nextConfirmAt is when a confirmation of the directory may be asked for again, 0 if none
	// was.
	nextConfirmAt time.Duration
	// replies are what agents have answered, by their addresses.
	replies map[segment.Address]surveyReply
	// inconclusive is set once all agents have answered without a proof: they are asked again
	// when the search resumes, after a pause.
	inconclusive bool
	resumeAt     time.Duration
	pause        time.Duration
	// delegated are the parts of the latest round that were left to agents.
	delegated []delegatedSurvey
}

func newOwnerSearch(now time.Duration, key segment.FlowKey) *ownerSearch {
	return &ownerSearch{key: key, beganAt: now, periodBeganAt: now, replies: make(map[segment.Address]surveyReply)}
}

// resume makes agents be asked again after a pause.
func (s *ownerSearch) resume() {
	if s.inconclusive {
		s.inconclusive = false
		s.verifications = verifyRounds
		clear(s.replies)
	}
}

// hold keeps a packet for the owner, unless it is a copy.
func (s *ownerSearch) hold(packet []byte) {
	duplicate := slices.ContainsFunc(s.held, func(held []byte) bool { return slices.Equal(held, packet) })
	if !duplicate && len(s.held) < maxHeldPackets {
		s.held = append(s.held, slices.Clone(packet))
	}
}

// startSearch begins the search for the owner of a flow. It returns nil if there
// are too many flows.
func (b *Balancer) startSearch(now time.Duration, key segment.FlowKey) *balancerFlow {
	if len(b.flows) >= b.config.FlowLimit {
		b.recordEvent(Event{Kind: EventNoEndpoint, Flow: key, Reason: "flow_limit"})
		return nil
	}
	flow := &balancerFlow{state: flowLocating, lastActivity: now, search: newOwnerSearch(now, key)}
	b.flows[key] = flow
	return flow
}

// locate holds a packet of a flow and asks all agents that may own the flow. If
// none has said that it does, it lets some of those that do not know probe.
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
	if search.rounds == 1 {
		b.scheduleVerification(now+verifyDelay, search)
	}
}

// allowSearch reports whether so many messages may be sent to find the owner of a flow.
func (b *Balancer) allowSearch(now time.Duration, key segment.FlowKey, messages int) bool {
	allowed := b.searchLimiter.AllowN(time.Unix(0, int64(now)), messages)
	if !allowed {
		b.recordEvent(Event{Kind: EventLocating, Flow: key, Version: b.snapshot.Version(), Reason: "limited"})
	}
	return allowed
}

// nextProbes returns the agents that shall probe now.
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

// possibleOwners returns the endpoints, leaving ones included, of the services that the
// flow's route has. With widen, which is for after a search among these in vain, it
// returns also those of services that the route had before, since the configuration
// may have changed under the flow: in a small fleet, all endpoints. It reports whether
// the result has all that may hold the flow, given widen; there may be too many to ask.
func (b *Balancer) possibleOwners(key segment.FlowKey, widen bool) (owners []directory.Candidate, complete bool) {
	if widen && len(b.snapshot.All()) <= maxLocateAgents {
		owners = b.reachable(b.snapshot.All())
		return owners, len(owners) > 0
	}
	var candidates []directory.Candidate
	for _, service := range b.ownerServices(key, widen) {
		candidates = append(candidates, b.snapshot.Candidates(service)...)
	}
	candidates = b.reachable(candidates)
	complete = widen && len(candidates) > 0 && len(candidates) <= maxLocateAgents
	return candidates[:min(len(candidates), maxLocateAgents)], complete
}

// ownerServices returns the services of the flow's route. With widen, and for an
// address without a route, it adds those that the address had before.
func (b *Balancer) ownerServices(key segment.FlowKey, widen bool) []string {
	var services []string
	route, exists := b.snapshot.Route(key.Service)
	if exists {
		for _, share := range route.Shares {
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

// reachable returns the candidates without those whose address is another's by
// now: one agent answers for all that an address has had of its service. Of an
// address whose endpoints have all gone, one of each service is kept, since it is
// not known which was the last.
func (b *Balancer) reachable(candidates []directory.Candidate) []directory.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c directory.Candidate) bool {
		occupant, _ := b.snapshot.At(c.Endpoint.IP)
		if occupant.ID == c.ID {
			return false
		}
		return !occupant.Gone || occupant.Endpoint.Service == c.Endpoint.Service
	})
}

// receiveUncertain handles that a restarted agent may own a flow.
func (b *Balancer) receiveUncertain(now time.Duration, from segment.Address, message Message) {
	flow, exists := b.searchedFlow(message)
	if !exists {
		return
	}
	if !slices.Contains(flow.search.uncertain, from) {
		flow.search.uncertain = append(flow.search.uncertain, from)
	}
	b.noteReply(now, flow, from, surveyReply{agentStartedAt: now - message.Uptime})
}

// receiveOwned handles that an agent owns a flow.
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

// parametersAt returns the terms of a flow that was opened before, for the agent that may
// own it: it may have been restarted.
func (b *Balancer) parametersAt(key segment.FlowKey, agent segment.Address) FlowParameters {
	route, routed := b.snapshot.Route(key.Service)
	candidate, exists := b.snapshot.At(agent.IP)
	if !routed || !exists {
		return FlowParameters{}
	}
	parameters := parametersOf(route)
	parameters.Slots = candidate.Endpoint.Slots
	return parameters
}

// forwardHeld sends the owner of a flow the packets that waited for it.
func (b *Balancer) forwardHeld(flow *balancerFlow, held [][]byte) {
	for _, packet := range held {
		b.send(flow.agent, Message{Kind: KindForward, Service: flow.service, Parameters: flow.parameters, Packet: packet})
		if header, outcome := b.config.Codec.Decode(packet); outcome == segment.Decoded {
			b.markClosing(flow, header)
		}
	}
}

// receiveNotOwned handles a packet that the believed owner of its flow brought
// back: the owner is sought.
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
