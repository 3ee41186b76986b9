package relay

import (
	"math"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// busyLimit is the number of agents that may return an opening packet for being busy
// before the least busy of them has to take it. Three choices are nearly as good as all
// (the power of two choices: Mitzenmacher, 2001), and each costs a round trip.
const busyLimit = 3

// offer is an opening packet that no endpoint has answered yet.
type offer struct {
	key      segment.FlowKey
	packet   []byte
	deadline time.Duration
	tried    []directory.EndpointID
	// lastResort is an agent that takes the flow if no other does, zero if there is
	// none; one is asked once.
	lastResort      segment.Address
	lastResortAsked bool
	// used is the number of requests at that agent, and busy that of agents which have
	// returned the packet since others may be less busy.
	used uint32
	busy int
	// doubtful counts the endpoints that were asked although they did not seem well.
	doubtful int
	done     bool
}

// arriveOpening handles a packet that opens a flow, or a copy of it.
func (b *Balancer) arriveOpening(now time.Duration, key segment.FlowKey, header segment.Header, packet []byte) {
	known, exists := b.flows[key]
	if exists && known.sequence == header.Sequence && known.state != flowLocating && !b.mustMove(known) {
		b.repeatOffer(now, known, packet)
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
	opened := &balancerFlow{
		sequence: header.Sequence, opened: now, touched: now, terms: termsOf(route), began: now - header.SinceFirstAttempt,
	}
	opened.offer = &offer{key: key, packet: slices.Clone(packet)}
	opened.service = b.chooseService(now, route)
	if !b.offerNext(now, opened) {
		b.refuse(key, header, b.reasonOfNone(now, opened))
		return
	}
	b.flows[key] = opened
	b.offers = append(b.offers, opened.offer)
}

// mustMove reports whether a flow that no endpoint has answered was offered to one whose
// zone has been closed since.
func (b *Balancer) mustMove(known *balancerFlow) bool {
	candidate, exists := b.snapshot.Candidate(known.endpoint)
	return known.state == flowOffering && exists && candidate.ZoneClosed
}

// reasonOfNone tells why no endpoint can take a flow.
func (b *Balancer) reasonOfNone(now time.Duration, opened *balancerFlow) string {
	if b.anyHeld(now, opened.service) {
		return reasonCold
	}
	closed := slices.ContainsFunc(b.snapshot.Candidates(opened.service), func(candidate directory.Candidate) bool {
		return candidate.ZoneClosed && !candidate.Leaving
	})
	if closed {
		return "zone_closed"
	}
	return "no_candidate"
}

func termsOf(route *directory.Route) FlowParameters {
	return FlowParameters{
		Priority:      route.Priority,
		LatencyTarget: uint32(route.TargetLatency.Milliseconds()),
		Timeout:       uint32(route.Timeout.Milliseconds()),
	}
}

// waited returns for how long the client has tried to open the flow, in milliseconds.
func (f *balancerFlow) waited(now time.Duration) uint32 {
	return uint32((now - f.began).Milliseconds())
}

// repeatOffer sends a copy of an opening packet to where the last went.
func (b *Balancer) repeatOffer(now time.Duration, known *balancerFlow, packet []byte) {
	known.touched = now
	known.terms.Waited = known.waited(now)
	if candidate, exists := b.snapshot.Candidate(known.endpoint); exists {
		known.terms.ColdStart = b.coldOf(now, candidate)
	}
	b.send(known.agent, Message{
		Kind: KindOffer, Service: known.service, Zone: b.config.Zone, Parameters: known.terms, Packet: packet,
	})
}

// offerFurther offers the opening packet of a flow to an endpoint that it was
// not offered to, and waits for that. It reports whether there is one.
func (b *Balancer) offerFurther(now time.Duration, known *balancerFlow, reason string) bool {
	if now-known.opened >= offersLast || !b.offerNext(now, known) {
		return false
	}
	b.event(Event{Kind: EventOfferedAgain, Flow: known.offer.key, Peer: known.agent, Reason: reason})
	return true
}

// offerNext offers the opening packet of a flow to the best endpoint that it
// was not offered to. It reports whether there is one.
func (b *Balancer) offerNext(now time.Duration, opened *balancerFlow) bool {
	chosen, exists := b.choose(now, opened.service, opened.offer.tried)
	if !exists || chosen.doubtful && opened.offer.doubtful >= doubtfulOffers {
		return false
	}
	if chosen.doubtful {
		opened.offer.doubtful++
	}
	b.uncount(opened)
	opened.agent = b.agentOf(chosen.Candidate)
	opened.endpoint = chosen.ID
	opened.offer.tried = append(opened.offer.tried, chosen.ID)
	opened.offer.deadline = now + offerTimeout
	b.count(opened)
	b.awaitAgent(now)
	opened.terms.Slots = chosen.Endpoint.Slots
	opened.terms.Waited = opened.waited(now)
	opened.terms.ColdStart = b.coldOf(now, chosen.Candidate)
	b.send(opened.agent, Message{
		Kind: KindOffer, Service: opened.service, Zone: b.config.Zone, Parameters: opened.terms,
		IgnoreEjection: chosen.overruled, Packet: opened.offer.packet,
	})
	return true
}

// refuseUnrouted resets a flow to an address that has no route, unless the
// directory may be out of date.
func (b *Balancer) refuseUnrouted(now time.Duration, key segment.FlowKey, header segment.Header) {
	if now-b.confirmed > b.config.ApplyTimeout+confirmationMargin {
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
	b.effects = append(b.effects, Effect{Kind: EffectSendToClient, To: key.Client, Packet: packet})
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
		b.moveTo(known, from)
	}
	b.settle(known)
	known.state = flowPlaced
	b.event(Event{
		Kind: EventPlaced, Flow: key, Peer: from, Version: b.snapshot.Version(), Elapsed: now - known.opened,
	})
}

// moveTo makes another agent the believed owner of a flow.
func (b *Balancer) moveTo(known *balancerFlow, agent segment.Address) {
	b.uncount(known)
	known.agent = agent
	known.endpoint = directory.EndpointID{}
	if candidate, exists := b.snapshot.CandidateAt(agent.IP); exists {
		known.endpoint = candidate.ID
		known.service = candidate.Endpoint.Service
		b.count(known)
	}
}

func (b *Balancer) receiveReturned(now time.Duration, from segment.Address, message Message) {
	header, outcome := b.config.Codec.Decode(message.Packet)
	if outcome != segment.Decoded || !header.OpensFlow() {
		b.event(Event{Kind: EventMalformed, Peer: from, Reason: "returned"})
		return
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	known, exists := b.flows[key]
	if !exists || known.state != flowOffering || known.sequence != header.Sequence || known.agent != from {
		return
	}
	b.heard(now, known, from, message.Load)
	switch {
	case message.LastResort:
		known.offer.noteLastResort(from, message.Load)
	case message.Load.ColdWait == 0:
		b.healthOf(known.endpoint).avoid(now)
	}
	if known.offer.busy >= busyLimit && b.offerLastResort(now, known) {
		return
	}
	b.offerAgain(now, key, known, "returned")
}

// noteLastResort notes an agent that would take the flow if no other does. The least busy is
// asked in the end, also if it is slow: where the newest requests go first, a new one does
// not wait for those that are late already.
func (o *offer) noteLastResort(agent segment.Address, load Load) {
	if load.Report.HoldMilliseconds > 0 {
		// It is left out for longer, as its endpoint is not well.
		if o.lastResort.IsZero() {
			o.lastResort, o.used = agent, math.MaxUint32
		}
		return
	}
	o.busy++
	if o.lastResort.IsZero() || load.Pending < o.used {
		o.lastResort, o.used = agent, load.Pending
	}
}

// offerAgain offers an opening packet to a further endpoint. If there is none,
// the client is refused at once.
func (b *Balancer) offerAgain(now time.Duration, key segment.FlowKey, known *balancerFlow, reason string) {
	if b.offerFurther(now, known, reason) || b.offerLastResort(now, known) {
		return
	}
	refusal := "all_returned"
	if b.anyHeld(now, known.service) {
		refusal = reasonCold
	}
	b.forget(key, known)
	b.refuse(key, segment.Header{}, refusal)
}

// offerLastResort offers the opening packet of a flow to an endpoint that takes it
// since no other does. It reports whether there is one.
func (b *Balancer) offerLastResort(now time.Duration, known *balancerFlow) bool {
	agent := known.offer.lastResort
	if agent.IsZero() || known.offer.lastResortAsked {
		return false
	}
	candidate, exists := b.snapshot.CandidateAt(agent.IP)
	if exists && candidate.ZoneClosed {
		return false
	}
	known.offer.lastResortAsked = true
	b.moveTo(known, agent)
	if exists {
		known.terms.Slots = candidate.Endpoint.Slots
		known.terms.ColdStart = b.coldOf(now, candidate)
	}
	known.offer.deadline = now + offerTimeout
	b.event(Event{Kind: EventOfferedAgain, Flow: known.offer.key, Peer: agent, Reason: "last_resort"})
	b.send(agent, Message{
		Kind: KindOffer, Service: known.service, Zone: b.config.Zone, Parameters: known.terms, LastResort: true,
		Packet: known.offer.packet,
	})
	return true
}

// offerExpired handles an opening packet that an agent has not answered.
func (b *Balancer) offerExpired(now time.Duration, waiting *offer) {
	known, exists := b.flows[waiting.key]
	if !exists || known.offer != waiting {
		waiting.done = true
		return
	}
	b.silent(now, known)
	if b.budget.spend() && (b.offerFurther(now, known, "silence") || b.offerLastResort(now, known)) {
		return
	}
	// The client repeats the packet; it goes to the agent that had it last.
	waiting.done = true
}

// settle ends the offering of an opening packet.
func (b *Balancer) settle(known *balancerFlow) {
	if known.offer != nil {
		known.offer.done = true
		known.offer = nil
	}
}
