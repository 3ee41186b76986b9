package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// searchesOfRoute is the number of searches among the services of a route
	// after which those that it had before are asked too.
	searchesOfRoute = 1
	// roundLimit bounds the searches for one owner, whatever agents answer, and
	// searchInterval is the least time between two of them.
	roundLimit     = 64
	searchInterval = 100 * time.Millisecond
	// searchRate bounds the messages a second that a balancer sends to find
	// owners, and searchBurst those at once, so that flows whose endpoints have
	// died do not take the network from others. Clients repeat their packets.
	searchRate  = 2000
	searchBurst = 1000
	// probesAtOnce bounds the endpoints that get a packet of a flow which may
	// not be theirs, in probePeriod.
	probesAtOnce = 2
	probePeriod  = 2100 * time.Millisecond
	// probeAfter is how long after the first search endpoints are probed: the
	// client has then repeated its packet.
	probeAfter = 120 * time.Millisecond
)

// search is the search for the owner of a flow.
type search struct {
	key    segment.FlowKey
	rounds int
	begun  time.Duration
	asked  time.Duration
	// held are packets for the owner; the client repeats others.
	held [][]byte
	// uncertain are restarted agents that may own the flow, in the order of
	// their answers; those before the index probed have been probed.
	uncertain []segment.Address
	probed    int
	// period is when the present period of probes began, and probes is their
	// number.
	period time.Duration
	probes int
	// header is that of the client's latest packet.
	header segment.Header
	// verifyAt is when it is verified that no endpoint holds the flow, and
	// verified how often that was begun.
	verifyAt time.Duration
	verified int
	// confirmAgain is when a confirmation of the directory may be asked for again, 0 if none
	// was.
	confirmAgain time.Duration
	// replies are what agents have answered, by their addresses.
	replies map[segment.Address]reply
	// undecided is set once all agents have answered without a proof: they are asked again
	// when the search resumes, after a pause.
	undecided bool
	resumes   time.Duration
	pause     time.Duration
	// delegated are the parts of the latest round that were left to agents.
	delegated []delegated
}

func newSearch(now time.Duration, key segment.FlowKey) *search {
	return &search{key: key, begun: now, period: now, replies: make(map[segment.Address]reply)}
}

// resume makes agents be asked again after a pause.
func (s *search) resume() {
	if s.undecided {
		s.undecided = false
		s.verified = verifyRounds
		clear(s.replies)
	}
}

// hold keeps a packet for the owner, unless it is a copy.
func (s *search) hold(packet []byte) {
	copied := slices.ContainsFunc(s.held, func(held []byte) bool { return slices.Equal(held, packet) })
	if !copied && len(s.held) < heldPackets {
		s.held = append(s.held, slices.Clone(packet))
	}
}

// remember begins the search for the owner of a flow. It returns nil if there
// are too many flows.
func (b *Balancer) remember(now time.Duration, key segment.FlowKey) *balancerFlow {
	if len(b.flows) >= b.config.FlowLimit {
		b.event(Event{Kind: EventNoEndpoint, Flow: key, Reason: "flow_limit"})
		return nil
	}
	known := &balancerFlow{state: flowLocating, touched: now, search: newSearch(now, key)}
	b.flows[key] = known
	return known
}

// locate holds a packet of a flow and asks all agents that may own the flow. If
// none has said that it does, it lets some of those that do not know probe.
func (b *Balancer) locate(now time.Duration, key segment.FlowKey, known *balancerFlow, header segment.Header, packet []byte) {
	sought := known.search
	sought.hold(packet)
	sought.header = header
	if sought.rounds >= roundLimit || sought.rounds > 0 && now-sought.asked < searchInterval {
		return
	}
	if sought.undecided && now < sought.resumes {
		b.probeSome(now, sought, packet)
		return
	}
	sought.resume()
	if owners := b.everyOwner(sought); len(owners) >= surveyFirstMinimum {
		b.locateBySurvey(now, sought, owners, packet)
		return
	}
	asked, _ := b.ownersAmong(key, sought.rounds >= searchesOfRoute)
	if !b.maySearch(now, key, len(asked)) {
		return
	}
	b.event(Event{Kind: EventLocating, Flow: key, Version: b.snapshot.Version()})
	question := Message{
		Kind: KindLocate, Flow: EncodeFlow(key), Acknowledgment: header.Acknowledgment, Flags: header.Flags,
	}
	probing := sought.nextProbes(now)
	for _, candidate := range asked {
		to := b.agentOf(candidate)
		message := question
		if slices.Contains(probing, to) {
			message = Message{Kind: KindProbe, Packet: packet}
		}
		message.Service = candidate.Endpoint.Service
		b.send(to, message)
	}
	sought.asked = now
	sought.rounds++
	if sought.rounds == 1 {
		b.verifyAt(now+verifyDelay, sought)
	}
}

// maySearch reports whether so many messages may be sent to find the owner of a flow.
func (b *Balancer) maySearch(now time.Duration, key segment.FlowKey, messages int) bool {
	allowed := b.searches.AllowN(time.Unix(0, int64(now)), messages)
	if !allowed {
		b.event(Event{Kind: EventLocating, Flow: key, Version: b.snapshot.Version(), Reason: "limited"})
	}
	return allowed
}

// nextProbes returns the agents that shall probe now.
func (s *search) nextProbes(now time.Duration) []segment.Address {
	if now-s.begun < probeAfter {
		return nil
	}
	if now-s.period >= probePeriod {
		s.period = now
		s.probes = 0
	}
	count := min(probesAtOnce-s.probes, len(s.uncertain)-s.probed)
	chosen := s.uncertain[s.probed : s.probed+count]
	s.probed += count
	s.probes += count
	return chosen
}

// ownersAmong returns the endpoints, leaving ones included, of the services that the
// flow's route has. With widen, which is for after a search among these in vain, it
// returns also those of services that the route had before, since the configuration
// may have changed under the flow: in a small fleet, all endpoints. It reports whether
// the result has all that may hold the flow, given widen; there may be too many to ask.
func (b *Balancer) ownersAmong(key segment.FlowKey, widen bool) (owners []directory.Candidate, all bool) {
	if widen && len(b.snapshot.All()) <= locateLimit {
		owners = b.reachable(b.snapshot.All())
		return owners, len(owners) > 0
	}
	var candidates []directory.Candidate
	for _, service := range b.servicesOf(key, widen) {
		candidates = append(candidates, b.snapshot.Candidates(service)...)
	}
	candidates = b.reachable(candidates)
	all = widen && len(candidates) > 0 && len(candidates) <= locateLimit
	return candidates[:min(len(candidates), locateLimit)], all
}

// servicesOf returns the services of the flow's route. With widen, and for an
// address without a route, it adds those that the address had before.
func (b *Balancer) servicesOf(key segment.FlowKey, widen bool) []string {
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

// reachable returns the candidates without those whose address is another's by
// now: one agent answers for all that an address has had of its service. Of an
// address whose endpoints have all gone, one of each service is kept, since it is
// not known which was the last.
func (b *Balancer) reachable(candidates []directory.Candidate) []directory.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c directory.Candidate) bool {
		occupant, _ := b.snapshot.CandidateAt(c.Endpoint.IP)
		if occupant.ID == c.ID {
			return false
		}
		return !occupant.Gone || occupant.Endpoint.Service == c.Endpoint.Service
	})
}

// receiveUncertain handles that a restarted agent may own a flow.
func (b *Balancer) receiveUncertain(now time.Duration, from segment.Address, message Message) {
	known, exists := b.soughtFlow(message)
	if !exists {
		return
	}
	if !slices.Contains(known.search.uncertain, from) {
		known.search.uncertain = append(known.search.uncertain, from)
	}
	b.replied(now, known, from, reply{began: now - message.Uptime})
}

// receiveOwned handles that an agent owns a flow.
func (b *Balancer) receiveOwned(now time.Duration, from segment.Address, message Message) {
	key := message.Flow.Key()
	known, exists := b.flows[key]
	if !exists || known.state == flowClosing || known.agent == from {
		return
	}
	b.settle(known)
	sought := known.search
	known.search = nil
	known.state = flowPlaced
	b.moveTo(known, from)
	known.service = message.Service
	known.terms = b.termsAt(key, from)
	b.event(Event{Kind: EventLocated, Flow: key, Peer: from})
	if sought != nil {
		b.forwardHeld(known, sought.held)
	}
}

// termsAt returns the terms of a flow that was opened before, for the agent that may
// own it: it may have been restarted.
func (b *Balancer) termsAt(key segment.FlowKey, agent segment.Address) FlowParameters {
	route, routed := b.snapshot.Route(key.Service)
	candidate, exists := b.snapshot.CandidateAt(agent.IP)
	if !routed || !exists {
		return FlowParameters{}
	}
	terms := termsOf(route)
	terms.Slots = candidate.Endpoint.Slots
	return terms
}

// forwardHeld sends the owner of a flow the packets that waited for it.
func (b *Balancer) forwardHeld(known *balancerFlow, held [][]byte) {
	for _, packet := range held {
		b.send(known.agent, Message{Kind: KindForward, Service: known.service, Parameters: known.terms, Packet: packet})
		if header, outcome := b.config.Codec.Decode(packet); outcome == segment.Decoded {
			b.noteClosing(known, header)
		}
	}
}

// receiveUnknown handles a packet that the believed owner of its flow brought
// back: the owner is sought.
func (b *Balancer) receiveUnknown(now time.Duration, from segment.Address, message Message) {
	header, outcome := b.config.Codec.Decode(message.Packet)
	if outcome != segment.Decoded || !writtenByClient(header) {
		b.event(Event{Kind: EventMalformed, Peer: from, Reason: "unknown"})
		return
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	known, exists := b.flows[key]
	if !exists {
		return
	}
	if known.agent != from && known.state != flowLocating {
		b.send(known.agent, Message{Kind: KindForward, Service: known.service, Packet: message.Packet})
		return
	}
	b.settle(known)
	b.uncount(known)
	if known.search == nil {
		known.search = newSearch(now, key)
	}
	known.state = flowLocating
	known.agent = segment.Address{}
	b.locate(now, key, known, header, message.Packet)
}
