package relay

import (
	"math"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// maxBusyReturns is the number of agents that may return an opening packet because they are busy.
// After that the packet is offered to the least busy of them as the last resort. Three choices are
// nearly as good as all (the power of two choices: Mitzenmacher, 2001), and each costs a round trip.
const maxBusyReturns = 3

// offer is an opening packet that no endpoint has answered yet.
type offer struct {
	key      segment.FlowKey
	packet   []byte
	deadline time.Duration
	tried    []directory.EndpointID
	// lastResortAgent is an agent that takes the flow if no other does, zero if there is none. Only
	// one such agent is asked, and only once.
	lastResortAgent segment.Address
	lastResortAsked bool
	// lastResortPending is the number of pending requests at lastResortAgent. busyReturns is the
	// number of agents that have returned the packet because others may be less busy.
	lastResortPending uint32
	busyReturns       int
	// mayBeOpen is set if another balancer may have opened the flow with another copy of the packet.
	mayBeOpen bool
	// fallbackOffers is the number of offers to suspected or ejected endpoints.
	fallbackOffers int
	done           bool
}

// routeOpening handles a packet that opens a flow, or a copy of it.
func (b *Balancer) routeOpening(now time.Duration, key segment.FlowKey, header segment.Header, packet []byte) {
	flow, exists := b.flows[key]
	known := exists && flow.clientISN == header.Sequence
	if known && flow.state != flowLocating && !b.offerObsolete(now, flow) {
		b.repeatOffer(now, flow, packet)
		return
	}
	if exists {
		b.forgetFlow(key, flow)
	}
	route, exists := b.snapshot.Route(key.Service)
	if !exists {
		b.refuseUnrouted(now, key, header)
		return
	}
	if len(b.flows) >= b.config.FlowLimit {
		b.recordEvent(Event{Kind: EventNoEndpoint, Flow: key, Version: b.snapshot.Version(), Reason: "flow_limit"})
		return
	}
	b.retryBudget.earn()
	mayBeOpen := b.mayBeOpen(now, known, header)
	newFlow := &balancerFlow{
		clientISN: header.Sequence, openedAt: now, lastActivity: now, parameters: parametersOf(route), clientBeganAt: now - header.SinceFirstAttempt,
	}
	newFlow.offer = &offer{key: key, packet: slices.Clone(packet), mayBeOpen: mayBeOpen}
	newFlow.service = b.chooseService(now, route)
	if !b.offerNext(now, newFlow) {
		b.refuseFlow(newFlow.offer, header, b.refusalReason(now, newFlow))
		return
	}
	b.flows[key] = newFlow
	b.offers = append(b.offers, newFlow.offer)
}

// mayBeOpen reports whether another balancer may have opened the flow of an opening packet. If this
// balancer has handled an earlier copy, as known says, copies did not reach others. Otherwise they
// may have: an earlier copy if this balancer was running when the client sent the first one, or a
// later copy if this packet waited while the process was paused.
func (b *Balancer) mayBeOpen(now time.Duration, known bool, header segment.Header) bool {
	missedFirst := header.SinceFirstAttempt > 0 && now-b.directorySince > header.SinceFirstAttempt
	return !known && (missedFirst || b.inputDelay > 0)
}

// offerObsolete reports whether an unanswered offer went to an endpoint that must not get new flows
// any more.
func (b *Balancer) offerObsolete(now time.Duration, flow *balancerFlow) bool {
	candidate, exists := b.snapshot.Candidate(flow.endpoint)
	return flow.state == flowOffering && exists && !b.mayGetFlows(now, candidate)
}

// refusalReason returns the reason why no endpoint can take a flow.
func (b *Balancer) refusalReason(now time.Duration, flow *balancerFlow) string {
	if b.anyInColdWait(now, flow.service) {
		return reasonCold
	}
	closed := slices.ContainsFunc(b.snapshot.Candidates(flow.service), func(candidate directory.Candidate) bool {
		return candidate.ZoneClosed && !candidate.Leaving
	})
	if closed {
		return "zone_closed"
	}
	return "no_candidate"
}

func parametersOf(route *directory.Route) FlowParameters {
	return FlowParameters{
		Priority:      route.Priority,
		LatencyTarget: uint32(route.TargetLatency.Milliseconds()),
		Timeout:       uint32(route.Timeout.Milliseconds()),
	}
}

// waited returns for how long the client has tried to open the flow, in milliseconds.
func (f *balancerFlow) waited(now time.Duration) uint32 {
	return uint32((now - f.clientBeganAt).Milliseconds())
}

// repeatOffer sends a copy of an opening packet to the agent that got the last one.
func (b *Balancer) repeatOffer(now time.Duration, flow *balancerFlow, packet []byte) {
	flow.lastActivity = now
	flow.parameters.Waited = flow.waited(now)
	if candidate, exists := b.snapshot.Candidate(flow.endpoint); exists {
		flow.parameters.ColdStart = b.coldStartOf(now, candidate)
	}
	b.send(flow.agent, Message{
		Kind: KindOffer, Service: flow.service, Zone: b.config.Zone, Parameters: flow.parameters, Packet: packet,
	})
}

// offerToAnother offers the opening packet of a flow to an endpoint that has not had it. It reports
// whether there is one and offerLifetime has not passed.
func (b *Balancer) offerToAnother(now time.Duration, flow *balancerFlow, reason string) bool {
	if now-flow.openedAt >= offerLifetime || !b.offerNext(now, flow) {
		return false
	}
	b.recordEvent(Event{Kind: EventOfferedAgain, Flow: flow.offer.key, Peer: flow.agent, Reason: reason})
	return true
}

// offerNext offers the opening packet of a flow to the best endpoint that has not had it. It
// reports whether there is one.
func (b *Balancer) offerNext(now time.Duration, flow *balancerFlow) bool {
	chosen, exists := b.chooseEndpoint(now, flow.service, flow.offer.tried)
	if !exists || chosen.fallback && flow.offer.fallbackOffers >= maxFallbackOffers {
		return false
	}
	if chosen.fallback {
		flow.offer.fallbackOffers++
	}
	b.uncountFlow(flow)
	flow.agent = b.agentAddress(chosen.Candidate)
	flow.endpoint = chosen.ID
	flow.offer.tried = append(flow.offer.tried, chosen.ID)
	flow.offer.deadline = now + offerTimeout
	b.countFlow(flow)
	b.expectAgentReply(now)
	flow.parameters.Slots = chosen.Endpoint.Slots
	flow.parameters.Waited = flow.waited(now)
	flow.parameters.ColdStart = b.coldStartOf(now, chosen.Candidate)
	b.send(flow.agent, Message{
		Kind: KindOffer, Service: flow.service, Zone: b.config.Zone, Parameters: flow.parameters,
		IgnoreEjection: chosen.ignoreEjection, Packet: flow.offer.packet,
	})
	return true
}

// refuseUnrouted resets a flow to an address without a route, unless the directory may be out of
// date.
func (b *Balancer) refuseUnrouted(now time.Duration, key segment.FlowKey, header segment.Header) {
	if now-b.confirmedAt > b.config.ApplyTimeout+confirmationMargin {
		b.recordEvent(Event{Kind: EventNoRoute, Flow: key, Version: b.snapshot.Version(), Reason: "unconfirmed"})
		return
	}
	b.recordEvent(Event{Kind: EventNoRoute, Flow: key, Version: b.snapshot.Version(), Reason: "reset"})
	b.resetFlow(key, header)
}

// refuseFlow resets a flow that no endpoint can take. No request of it has run. It does not reset a
// flow that another balancer may have opened. If none has, the client gives up by itself soon after
// its last copy.
func (b *Balancer) refuseFlow(offer *offer, header segment.Header, reason string) {
	b.recordEvent(Event{Kind: EventNoEndpoint, Flow: offer.key, Version: b.snapshot.Version(), Reason: reason})
	if !offer.mayBeOpen {
		b.resetFlow(offer.key, header)
	}
}

func (b *Balancer) resetFlow(key segment.FlowKey, header segment.Header) {
	packet := b.config.Codec.AppendReset(nil, key, header.Acknowledgment)
	b.effects = append(b.effects, Effect{Kind: EffectSendToClient, To: key.Client, Packet: packet})
}

func (b *Balancer) receivePlaced(now time.Duration, from segment.Address, message Message) {
	key := message.Flow.Key()
	flow, exists := b.flows[key]
	if !exists || flow.clientISN != message.Sequence {
		return
	}
	b.recordAgentReply(now, flow, from, message.Load)
	if flow.state != flowOffering {
		return
	}
	// An earlier offer may be answered after a later one was made. The agent that answered first is
	// the likely owner; others would return the packets of the client.
	if flow.agent != from {
		b.setOwner(flow, from)
	}
	b.endOffer(flow)
	flow.state = flowPlaced
	b.recordEvent(Event{
		Kind: EventPlaced, Flow: key, Peer: from, Version: b.snapshot.Version(), Elapsed: now - flow.openedAt,
	})
}

// setOwner changes the presumed owner of a flow.
func (b *Balancer) setOwner(flow *balancerFlow, agent segment.Address) {
	b.uncountFlow(flow)
	flow.agent = agent
	flow.endpoint = directory.EndpointID{}
	if candidate, exists := b.snapshot.CandidateAt(agent.IP); exists {
		flow.endpoint = candidate.ID
		flow.service = candidate.Endpoint.Service
		b.countFlow(flow)
	}
}

func (b *Balancer) receiveReturned(now time.Duration, from segment.Address, message Message) {
	header, outcome := b.config.Codec.Decode(message.Packet)
	if outcome != segment.Decoded || !header.OpensFlow() {
		b.recordEvent(Event{Kind: EventMalformed, Peer: from, Reason: "returned"})
		return
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	flow, exists := b.flows[key]
	if !exists || flow.state != flowOffering || flow.clientISN != header.Sequence || flow.agent != from {
		return
	}
	b.recordAgentReply(now, flow, from, message.Load)
	switch {
	case message.LastResort:
		flow.offer.recordLastResort(from, message.Load)
	case message.Load.ColdWait == 0:
		b.healthOf(flow.endpoint).avoid(now)
	}
	if flow.offer.busyReturns >= maxBusyReturns && b.offerLastResort(now, flow) {
		return
	}
	b.offerAgain(now, key, flow, "returned")
}

// recordLastResort records an agent that would take the flow if no other does. The agent with the
// fewest pending requests is asked in the end even if it is slow: where the newest requests go
// first, a new one does not wait for late ones.
func (o *offer) recordLastResort(agent segment.Address, load Load) {
	if load.Report.HoldMilliseconds > 0 {
		// An ejected endpoint is unhealthy, so any busy one is preferred to it.
		if o.lastResortAgent.IsZero() {
			o.lastResortAgent, o.lastResortPending = agent, math.MaxUint32
		}
		return
	}
	o.busyReturns++
	if o.lastResortAgent.IsZero() || load.Pending < o.lastResortPending {
		o.lastResortAgent, o.lastResortPending = agent, load.Pending
	}
}

// offerAgain offers an opening packet to another endpoint. If there is none, it refuses the flow at
// once.
func (b *Balancer) offerAgain(now time.Duration, key segment.FlowKey, flow *balancerFlow, reason string) {
	if b.offerToAnother(now, flow, reason) || b.offerLastResort(now, flow) {
		return
	}
	refusal := "all_returned"
	if b.anyInColdWait(now, flow.service) {
		refusal = reasonCold
	}
	refused := flow.offer
	b.forgetFlow(key, flow)
	b.refuseFlow(refused, segment.Header{}, refusal)
}

// offerLastResort offers the opening packet of a flow to the agent that takes it if no other does.
// It reports whether there is one.
func (b *Balancer) offerLastResort(now time.Duration, flow *balancerFlow) bool {
	agent := flow.offer.lastResortAgent
	if agent.IsZero() || flow.offer.lastResortAsked {
		return false
	}
	candidate, exists := b.snapshot.CandidateAt(agent.IP)
	if exists && !b.mayGetFlows(now, candidate) {
		return false
	}
	flow.offer.lastResortAsked = true
	b.setOwner(flow, agent)
	if exists {
		flow.parameters.Slots = candidate.Endpoint.Slots
		flow.parameters.ColdStart = b.coldStartOf(now, candidate)
	}
	flow.offer.deadline = now + offerTimeout
	b.recordEvent(Event{Kind: EventOfferedAgain, Flow: flow.offer.key, Peer: agent, Reason: "last_resort"})
	b.send(agent, Message{
		Kind: KindOffer, Service: flow.service, Zone: b.config.Zone, Parameters: flow.parameters, LastResort: true,
		Packet: flow.offer.packet,
	})
	return true
}

// expireOffer handles an offer that an agent has not answered in time.
func (b *Balancer) expireOffer(now time.Duration, offer *offer) {
	flow, exists := b.flows[offer.key]
	if !exists || flow.offer != offer {
		offer.done = true
		return
	}
	b.recordSilence(now, flow)
	if b.retryBudget.spend() && (b.offerToAnother(now, flow, "silence") || b.offerLastResort(now, flow)) {
		return
	}
	// The client repeats the packet, and the copy goes to the agent that had it last.
	offer.done = true
}

// endOffer ends the offer of a flow's opening packet.
func (b *Balancer) endOffer(flow *balancerFlow) {
	if flow.offer != nil {
		flow.offer.done = true
		flow.offer = nil
	}
}
