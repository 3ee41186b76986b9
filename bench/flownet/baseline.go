package flownet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// hashBalancer is the negative control. It sends each packet to the endpoint with the highest
// hash among those that accept new flows, and keeps no state.
type hashBalancer struct {
	config   relay.BalancerConfig
	snapshot *directory.Snapshot
	effects  []relay.Effect
}

func (b *hashBalancer) HandleClientPacket(_ time.Duration, packet []byte) []relay.Effect {
	b.effects = b.effects[:0]
	header, outcome := b.config.Codec.Decode(packet)
	if outcome != segment.Decoded || b.snapshot == nil {
		return nil
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	route, exists := b.snapshot.Route(key.Service)
	if !exists {
		return nil
	}
	var best directory.Candidate
	var highest uint64
	for _, candidate := range b.snapshot.Candidates(route.WeightedServices[0].Service) {
		digest := xxhash.NewWithSeed(key.Hash())
		_, _ = digest.WriteString(candidate.ID.Name)
		if score := digest.Sum64(); !candidate.Leaving && score >= highest {
			best, highest = candidate, score
		}
	}
	if highest == 0 {
		return nil
	}
	return append(b.effects, relay.Effect{
		Kind: relay.EffectSendMessage, To: best.Endpoint.Address().WithPort(b.config.AgentPort),
		Message: relay.Message{Kind: relay.KindForward, Service: best.Endpoint.Service, Packet: packet},
	})
}

func (b *hashBalancer) Receive(time.Duration, segment.Address, relay.Message) []relay.Effect {
	return nil
}

func (b *hashBalancer) Install(_ time.Duration, snapshot *directory.Snapshot) []relay.Effect {
	b.snapshot = snapshot
	return nil
}

func (b *hashBalancer) MarkConfirmed(time.Duration) {}

// SetPeers implements balancerLogic.
func (b *hashBalancer) SetPeers(time.Duration, []segment.Address) []relay.Effect { return nil }

// MarkCurrentThrough implements balancerLogic.
func (b *hashBalancer) MarkCurrentThrough(time.Duration, time.Duration) []relay.Effect { return nil }
func (b *hashBalancer) Tick(time.Duration) []relay.Effect                              { return nil }
func (b *hashBalancer) Isolated() bool                                                 { return false }

// hashAgent passes every packet to its endpoint.
type hashAgent struct{ config relay.AgentConfig }

func (a *hashAgent) Receive(_ time.Duration, _ segment.Address, message relay.Message) []relay.Effect {
	return []relay.Effect{{Kind: relay.EffectSendToEndpoint, Packet: message.Packet}}
}

func (a *hashAgent) HandleEndpointPacket(_ time.Duration, packet []byte) []relay.Effect {
	header, _ := a.config.Codec.Decode(packet)
	if header.Flags.Has(segment.Returned) {
		return nil
	}
	return []relay.Effect{{Kind: relay.EffectSendToClient, To: header.Destination, Packet: packet}}
}

func (a *hashAgent) SetSeeds([]segment.Address)        {}
func (a *hashAgent) Tick(time.Duration) []relay.Effect { return nil }
func (a *hashAgent) Stop(time.Duration) []relay.Effect { return nil }

// unqueuedAgent is the agent of the product without the number of slots of its endpoint, so
// that it queues no packets.
type unqueuedAgent struct{ *relay.Agent }

func (a *unqueuedAgent) Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect {
	message.Parameters.Slots = 0
	return a.Agent.Receive(now, from, message)
}
