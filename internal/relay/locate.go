package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

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
