package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// BalancerConfig holds the parameters of a Balancer.
type BalancerConfig struct {
	// Zone is the zone of the balancer and of its clients.
	Zone  string
	Codec segment.Codec
	// AgentPort is the port on which all agents receive messages.
	AgentPort uint16
	// FlowLifetime is the longest time for which a flow may last.
	FlowLifetime time.Duration
	// FlowLimit is the largest number of flows remembered.
	FlowLimit int
	// Random breaks ties. The balancer alone may use it.
	Random *rand.Rand
}

const (
	// offerTimeout is how long a balancer waits for an agent to tell that its
	// endpoint answered an opening packet before it offers the packet to
	// another. It is shorter than any client's first repetition.
	offerTimeout = 45 * time.Millisecond
	// maximumOffers bounds the endpoints that one opening packet is offered to.
	maximumOffers = 6
	// confirmationTimeout is how long after the last answer of the store a
	// missing route is still believed to be missing.
	confirmationTimeout = 4 * time.Second
	// closingRetention is how long a flow is remembered after its client has
	// closed it.
	closingRetention = 5 * time.Second
	// locateAllAfter is the number of searches among the services of a route
	// after which all endpoints are asked.
	locateAllAfter = 1
	// locateLimit bounds the agents that one packet is sent to.
	locateLimit = 256
)

// balancerFlowState is the progress of a flow as a balancer sees it.
type balancerFlowState uint8

const (
	// flowOffering: the opening packet was offered and nobody has answered.
	flowOffering balancerFlowState = iota
	// flowPlaced: the owner is known.
	flowPlaced
	// flowLocating: agents were asked for the owner.
	flowLocating
	// flowClosing: the client has closed its end.
	flowClosing
)

// balancerFlow is what a balancer remembers of a flow. It is a cache: the
// agent of the flow's endpoint knows better.
type balancerFlow struct {
	state    balancerFlowState
	counted  bool
	searches uint8
	sequence uint32
	agent    segment.Address
	endpoint directory.EndpointID
	service  string
	touched  time.Duration
	terms    Terms
	// offer is set while the state is flowOffering.
	offer *offer
}

// offer is an opening packet that no endpoint has answered yet.
type offer struct {
	key      segment.FlowKey
	packet   []byte
	deadline time.Duration
	tried    []directory.EndpointID
	done     bool
}

// Balancer decides what becomes of clients' packets. It is not safe for
// concurrent use.
type Balancer struct {
	config    BalancerConfig
	snapshot  *directory.Snapshot
	ready     bool
	confirmed time.Duration
	flows     map[segment.FlowKey]*balancerFlow
	offers    []*offer
	health    map[directory.EndpointID]*health
	sharing   map[segment.Address]*sharing
	budget    budget
	nextSweep time.Duration
	effects   []Effect
}

// NewBalancer returns a balancer without a directory.
func NewBalancer(config BalancerConfig) *Balancer {
	return &Balancer{
		config:   config,
		snapshot: directory.New().Snapshot(),
		flows:    make(map[segment.FlowKey]*balancerFlow),
		health:   make(map[directory.EndpointID]*health),
		sharing:  make(map[segment.Address]*sharing),
		budget:   newBudget(),
	}
}

// Flows returns the number of flows remembered.
func (b *Balancer) Flows() int { return len(b.flows) }

// Install makes later decisions use a snapshot of the directory, and tells the
// agents of endpoints that are leaving so. The returned effects are valid until
// the next call.
func (b *Balancer) Install(now time.Duration, snapshot *directory.Snapshot) []Effect {
	b.effects = b.effects[:0]
	previous := b.snapshot
	b.snapshot = snapshot
	b.ready = true
	for id := range b.health {
		if _, exists := snapshot.Candidate(id); !exists {
			delete(b.health, id)
		}
	}
	b.tellLeaving(previous, snapshot)
	return b.effects
}

// tellLeaving tells agents that their endpoint must get no new flows, in case
// that a balancer which does not know offers it one.
func (b *Balancer) tellLeaving(previous, current *directory.Snapshot) {
	for _, candidate := range current.All() {
		before, existed := previous.Candidate(candidate.ID)
		if !candidate.Draining() || existed && before.Draining() {
			continue
		}
		b.send(b.agentOf(candidate), Message{Kind: KindDrain, Service: candidate.Endpoint.Service})
	}
}

// Confirm tells that the directory was current at a time.
func (b *Balancer) Confirm(now time.Duration) { b.confirmed = max(b.confirmed, now) }

// Arrive handles a client's packet. The returned effects are valid until the
// next call, and so must packet be.
func (b *Balancer) Arrive(now time.Duration, packet []byte) []Effect {
	b.effects = b.effects[:0]
	header, outcome := b.config.Codec.Decode(packet)
	if outcome != segment.Decoded {
		b.event(Event{Kind: EventMalformed, Reason: outcome.String()})
		return b.effects
	}
	if !writtenByClient(header) {
		b.event(Event{Kind: EventForged, Reason: "not_a_client"})
		return b.effects
	}
	if !b.ready {
		b.event(Event{Kind: EventNotReady})
		return b.effects
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	if header.Opening() {
		b.arriveOpening(now, key, header, packet)
		return b.effects
	}
	b.arriveSegment(now, key, header, packet)
	return b.effects
}

// writtenByClient reports whether a client may write such a packet.
func writtenByClient(header segment.Header) bool {
	answer := header.Flags.Has(segment.Synchronize | segment.Acknowledge)
	return !answer && !header.Flags.Has(segment.Returned)
}

// arriveOpening handles a packet that opens a flow, or a copy of it.
func (b *Balancer) arriveOpening(now time.Duration, key segment.FlowKey, header segment.Header, packet []byte) {
	known, exists := b.flows[key]
	if exists && known.sequence == header.Sequence && known.state != flowLocating {
		b.repeatOffer(now, key, known, packet)
		return
	}
	if exists {
		b.forget(key, known)
	}
	route, exists := b.snapshot.Route(key.Service)
	if !exists {
		b.refuseUnrouted(now, key, header)
		return
	}
	if len(b.flows) >= b.config.FlowLimit {
		b.event(Event{Kind: EventNoEndpoint, Flow: key, Version: b.snapshot.Version(), Reason: "flow_limit"})
		return
	}
	b.budget.earn()
	opened := &balancerFlow{sequence: header.Sequence, touched: now, service: b.chooseService(route), terms: termsOf(route)}
	opened.offer = &offer{key: key, packet: slices.Clone(packet)}
	if !b.offerNext(now, key, opened) {
		b.refuse(key, header, "no_candidate")
		return
	}
	b.flows[key] = opened
	b.offers = append(b.offers, opened.offer)
}

func termsOf(route *directory.Route) Terms {
	return Terms{
		Priority: route.Priority,
		Target:   uint32(route.Target.Milliseconds()),
		Timeout:  uint32(route.Timeout.Milliseconds()),
	}
}

// repeatOffer sends a copy of an opening packet to where the first went.
func (b *Balancer) repeatOffer(now time.Duration, key segment.FlowKey, known *balancerFlow, packet []byte) {
	known.touched = now
	b.send(known.agent, Message{Kind: KindOffer, Service: known.service, Terms: known.terms, Packet: packet})
}

// offerNext offers the opening packet of a flow to the best endpoint that it
// was not offered to. It reports whether there is one.
func (b *Balancer) offerNext(now time.Duration, key segment.FlowKey, opened *balancerFlow) bool {
	chosen, exists := b.choose(now, opened.service, opened.offer.tried)
	if !exists {
		return false
	}
	b.uncount(opened)
	opened.agent = b.agentOf(chosen)
	opened.endpoint = chosen.ID
	opened.offer.tried = append(opened.offer.tried, chosen.ID)
	opened.offer.deadline = now + offerTimeout
	b.count(now, opened)
	opened.terms.Slots = chosen.Endpoint.Slots
	b.send(opened.agent, Message{
		Kind: KindOffer, Service: opened.service, Terms: opened.terms, Packet: opened.offer.packet,
	})
	return true
}

// refuseUnrouted resets a flow to an address that has no route, unless the
// directory may be out of date.
func (b *Balancer) refuseUnrouted(now time.Duration, key segment.FlowKey, header segment.Header) {
	if now-b.confirmed > confirmationTimeout {
		b.event(Event{Kind: EventNoRoute, Flow: key, Version: b.snapshot.Version(), Reason: "unconfirmed"})
		return
	}
	b.event(Event{Kind: EventNoRoute, Flow: key, Version: b.snapshot.Version(), Reason: "reset"})
	b.reset(key, header)
}

// refuse resets a flow that no endpoint can take; nothing of it has run.
func (b *Balancer) refuse(key segment.FlowKey, header segment.Header, reason string) {
	b.event(Event{Kind: EventNoEndpoint, Flow: key, Version: b.snapshot.Version(), Reason: reason})
	b.reset(key, header)
}

func (b *Balancer) reset(key segment.FlowKey, header segment.Header) {
	packet := b.config.Codec.AppendReset(nil, key, header.Acknowledgment)
	b.effects = append(b.effects, Effect{Kind: EffectClient, To: key.Client, Packet: packet})
}

// arriveSegment handles a packet of a flow that was opened before.
func (b *Balancer) arriveSegment(now time.Duration, key segment.FlowKey, header segment.Header, packet []byte) {
	known, exists := b.flows[key]
	if !exists {
		known = b.remember(now, key)
		if known == nil {
			return
		}
	}
	known.touched = now
	switch known.state {
	case flowLocating:
		b.locate(key, known, packet, segment.Address{})
	default:
		b.send(known.agent, Message{Kind: KindForward, Service: known.service, Packet: packet})
		b.noteClosing(known, header)
	}
}

func (b *Balancer) noteClosing(known *balancerFlow, header segment.Header) {
	if !header.Flags.Has(segment.Finish) && !header.Flags.Has(segment.Reset) {
		return
	}
	b.settle(known)
	b.uncount(known)
	known.state = flowClosing
}

// remember begins the search for the owner of a flow. It returns nil if there
// are too many flows.
func (b *Balancer) remember(now time.Duration, key segment.FlowKey) *balancerFlow {
	if len(b.flows) >= b.config.FlowLimit {
		b.event(Event{Kind: EventNoEndpoint, Flow: key, Reason: "flow_limit"})
		return nil
	}
	known := &balancerFlow{state: flowLocating, touched: now}
	b.flows[key] = known
	return known
}

// locate sends a packet to all agents that may own its flow, except one.
func (b *Balancer) locate(key segment.FlowKey, known *balancerFlow, packet []byte, except segment.Address) {
	candidates := b.possibleOwners(key, known)
	b.event(Event{Kind: EventLocating, Flow: key, Version: b.snapshot.Version()})
	if known.searches <= locateAllAfter {
		known.searches++
	}
	for _, candidate := range candidates {
		agent := b.agentOf(candidate)
		if agent == except {
			continue
		}
		b.send(agent, Message{Kind: KindLocate, Service: candidate.Endpoint.Service, Packet: packet})
	}
}

// possibleOwners returns the endpoints of the services that the flow's route
// has now, leaving ones included, and after a search among these was in vain,
// all endpoints, since the configuration may have changed under the flow.
func (b *Balancer) possibleOwners(key segment.FlowKey, known *balancerFlow) []directory.Candidate {
	var candidates []directory.Candidate
	route, exists := b.snapshot.Route(key.Service)
	if exists && known.searches < locateAllAfter {
		for _, share := range route.Shares {
			candidates = append(candidates, b.snapshot.Candidates(share.Service)...)
		}
	} else {
		candidates = b.snapshot.All()
	}
	return candidates[:min(len(candidates), locateLimit)]
}

// Receive handles a message from an agent. The returned effects are valid
// until the next call.
func (b *Balancer) Receive(now time.Duration, from segment.Address, message Message) []Effect {
	b.effects = b.effects[:0]
	switch message.Kind {
	case KindPlaced:
		b.receivePlaced(now, from, message)
	case KindHeld:
		b.receiveHeld(now, from, message)
	case KindReturned:
		b.receiveReturned(now, from, message)
	case KindOwned:
		b.receiveOwned(now, from, message)
	case KindUnknown:
		b.receiveUnknown(now, from, message)
	case KindLeaving:
		b.receiveLeaving(now, from)
	}
	return b.effects
}

func (b *Balancer) receivePlaced(now time.Duration, from segment.Address, message Message) {
	key := message.Flow.Key()
	known, exists := b.flows[key]
	if !exists || known.sequence != message.Sequence {
		return
	}
	b.heard(now, known, from, message.Load)
	if known.state != flowOffering {
		return
	}
	// An earlier offer may be answered after a later one was made: the agent
	// that answered first is the likely owner, and others would return the
	// client's packets.
	if known.agent != from {
		b.moveTo(now, known, from)
	}
	b.settle(known)
	known.state = flowPlaced
	b.event(Event{Kind: EventPlaced, Flow: key, Peer: from, Version: b.snapshot.Version()})
}

// receiveHeld handles that an agent holds an opening packet back: it is alive,
// so the packet is not offered to another for its silence.
func (b *Balancer) receiveHeld(now time.Duration, from segment.Address, message Message) {
	known, exists := b.flows[message.Flow.Key()]
	if !exists || known.sequence != message.Sequence || known.agent != from {
		return
	}
	b.heard(now, known, from, message.Load)
	if known.offer != nil {
		known.offer.done = true
	}
}

// moveTo makes another agent the believed owner of a flow.
func (b *Balancer) moveTo(now time.Duration, known *balancerFlow, agent segment.Address) {
	b.uncount(known)
	known.agent = agent
	known.endpoint = ""
	for _, candidate := range b.snapshot.All() {
		if b.agentOf(candidate) == agent && !candidate.Gone {
			known.endpoint = candidate.ID
			known.service = candidate.Endpoint.Service
			b.count(now, known)
			return
		}
	}
}

func (b *Balancer) receiveReturned(now time.Duration, from segment.Address, message Message) {
	header, outcome := b.config.Codec.Decode(message.Packet)
	if outcome != segment.Decoded || !header.Opening() {
		b.event(Event{Kind: EventMalformed, Peer: from, Reason: "returned"})
		return
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	known, exists := b.flows[key]
	if !exists || known.state != flowOffering || known.sequence != header.Sequence || known.agent != from {
		return
	}
	b.heard(now, known, from, message.Load)
	b.offerAgain(now, key, known, "returned")
}

// offerAgain offers an opening packet to a further endpoint. If there is none,
// the client is refused at once.
func (b *Balancer) offerAgain(now time.Duration, key segment.FlowKey, known *balancerFlow, reason string) {
	if len(known.offer.tried) < maximumOffers && b.offerNext(now, key, known) {
		b.event(Event{Kind: EventOfferedAgain, Flow: key, Peer: known.agent, Reason: reason})
		return
	}
	b.forget(key, known)
	b.refuse(key, segment.Header{}, "all_returned")
}

func (b *Balancer) receiveOwned(now time.Duration, from segment.Address, message Message) {
	key := message.Flow.Key()
	known, exists := b.flows[key]
	if !exists || known.state == flowClosing || known.agent == from {
		return
	}
	b.settle(known)
	known.state = flowPlaced
	known.service = message.Service
	b.moveTo(now, known, from)
	known.service = message.Service
	b.event(Event{Kind: EventLocated, Flow: key, Peer: from})
}

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
	known.state = flowLocating
	known.agent = segment.Address{}
	b.locate(key, known, message.Packet, from)
}

func (b *Balancer) receiveLeaving(now time.Duration, from segment.Address) {
	for _, candidate := range b.snapshot.All() {
		if b.agentOf(candidate) == from {
			b.healthOf(candidate.ID).suspect(now)
		}
	}
}

// NextTick returns when Tick should be called at the latest.
func (b *Balancer) NextTick(time.Duration) time.Duration {
	next := b.nextSweep
	for _, waiting := range b.offers {
		if !waiting.done {
			next = min(next, waiting.deadline)
		}
	}
	return next
}

// Tick handles timeouts. The returned effects are valid until the next call.
func (b *Balancer) Tick(now time.Duration) []Effect {
	b.effects = b.effects[:0]
	b.offers = slices.DeleteFunc(b.offers, func(waiting *offer) bool { return waiting.done })
	for _, waiting := range b.offers {
		if !waiting.done && now >= waiting.deadline {
			b.offerExpired(now, waiting)
		}
	}
	if now >= b.nextSweep {
		b.nextSweep = now + sweepInterval
		b.sweep(now)
	}
	return b.effects
}

// offerExpired handles an opening packet that an agent has not answered.
func (b *Balancer) offerExpired(now time.Duration, waiting *offer) {
	known, exists := b.flows[waiting.key]
	if !exists || known.offer != waiting {
		waiting.done = true
		return
	}
	b.silent(now, known)
	if len(waiting.tried) < maximumOffers && b.budget.spend() && b.offerNext(now, waiting.key, known) {
		b.event(Event{Kind: EventOfferedAgain, Flow: waiting.key, Peer: known.agent, Reason: "silence"})
		return
	}
	// The client repeats the packet; it goes to the agent that had it last.
	waiting.done = true
}

func (b *Balancer) sweep(now time.Duration) {
	for key, known := range b.flows {
		retention := b.config.FlowLifetime
		switch known.state {
		case flowClosing, flowOffering, flowLocating:
			retention = closingRetention
		}
		if now-known.touched > retention {
			b.forget(key, known)
		}
	}
}

// settle ends the offering of an opening packet.
func (b *Balancer) settle(known *balancerFlow) {
	if known.offer != nil {
		known.offer.done = true
		known.offer = nil
	}
}

func (b *Balancer) forget(key segment.FlowKey, known *balancerFlow) {
	b.settle(known)
	b.uncount(known)
	delete(b.flows, key)
}

func (b *Balancer) agentOf(candidate directory.Candidate) segment.Address {
	return candidate.Endpoint.Address().WithPort(b.config.AgentPort)
}

func (b *Balancer) send(to segment.Address, message Message) {
	b.effects = append(b.effects, Effect{Kind: EffectPeer, To: to, Message: message})
}

func (b *Balancer) event(event Event) {
	b.effects = append(b.effects, Effect{Kind: EffectEvent, Event: event})
}
