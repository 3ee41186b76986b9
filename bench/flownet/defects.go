package flownet

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// Defect is a bug that is built into the daemons on purpose, to test that the checker
// detects it.
type Defect uint8

// Defects of the daemons.
const (
	// DefectNone leaves the daemons unchanged.
	DefectNone Defect = iota
	// DefectIgnoreLeaving hides from balancers that endpoints drain or are removed.
	DefectIgnoreLeaving
	// DefectStaleConfiguration makes balancers keep the first configuration.
	DefectStaleConfiguration
	// DefectResetUnknownFlows makes balancers reset flows that they do not know.
	DefectResetUnknownFlows
	// DefectAcceptAllPackets makes agents pass every packet to their endpoint and claim its flow.
	DefectAcceptAllPackets
	// DefectCorruptPackets makes agents change packets.
	DefectCorruptPackets
	// DefectSkipConfirmation makes balancers treat their directory as current without
	// asking the store.
	DefectSkipConfirmation
	// DefectDenyAfterRestart makes restarted agents deny flows that they do not know,
	// although their endpoint may hold them.
	DefectDenyAfterRestart
	// DefectEmptyUpdates makes balancers send updates that claim to be complete but contain no
	// changes. They send no digests either, which would reveal the changes.
	DefectEmptyUpdates
	// DefectIgnoreClosedZones hides from balancers that zones are closed.
	DefectIgnoreClosedZones
	// DefectIgnoreReopenedZones hides from balancers that zones are opened again.
	DefectIgnoreReopenedZones
	// DefectNoColdStartLimit hides from agents how much a cold endpoint can handle.
	DefectNoColdStartLimit
)

// filterItems removes the store items that a defect hides.
func (d Defect) filterItems(items []directory.Item) []directory.Item {
	switch d {
	case DefectIgnoreLeaving:
		return slices.DeleteFunc(slices.Clone(items), func(item directory.Item) bool {
			return item.EndpointID.Name != "" && (item.Endpoint == nil || item.Endpoint.Draining)
		})
	case DefectIgnoreClosedZones:
		return slices.DeleteFunc(slices.Clone(items), func(item directory.Item) bool { return item.Zone != "" })
	case DefectIgnoreReopenedZones:
		return slices.DeleteFunc(slices.Clone(items), func(item directory.Item) bool { return item.Zone != "" && !item.ZoneClosed })
	case DefectStaleConfiguration:
		return slices.DeleteFunc(slices.Clone(items), func(item directory.Item) bool {
			return item.Configuration != nil && item.Revision > 1
		})
	}
	return items
}

// resettingBalancer resets flows that it does not know.
type resettingBalancer struct {
	*relay.Balancer
	codec segment.Codec
}

func (b *resettingBalancer) HandleClientPacket(now time.Duration, packet []byte) []relay.Effect {
	effects := b.Balancer.HandleClientPacket(now, packet)
	unknown := slices.ContainsFunc(effects, func(effect relay.Effect) bool {
		return effect.Kind == relay.EffectEvent && effect.Event.Kind == relay.EventLocating
	})
	if !unknown {
		return effects
	}
	header, _ := b.codec.Decode(packet)
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	return append(effects, relay.Effect{
		Kind: relay.EffectSendToClient, To: key.Client, Packet: b.codec.AppendReset(nil, key, header.Acknowledgment),
	})
}

// acceptAllAgent passes every packet to its endpoint and claims to own every flow.
type acceptAllAgent struct{ *relay.Agent }

func (a *acceptAllAgent) Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect {
	effects := a.Agent.Receive(now, from, message)
	if message.Kind == relay.KindLocate {
		claim := relay.Message{Kind: relay.KindOwned, Service: message.Service, Flow: message.Flow}
		return append(effects, relay.Effect{Kind: relay.EffectSendMessage, To: from, Message: claim})
	}
	delivered := slices.ContainsFunc(effects, func(effect relay.Effect) bool { return effect.Kind == relay.EffectSendToEndpoint })
	if delivered || len(message.Packet) == 0 {
		return effects
	}
	return append(effects, relay.Effect{Kind: relay.EffectSendToEndpoint, Packet: message.Packet})
}

// corruptingAgent changes the last byte of each packet for its endpoint.
type corruptingAgent struct{ *relay.Agent }

func (a *corruptingAgent) Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect {
	effects := slices.Clone(a.Agent.Receive(now, from, message))
	for index := range effects {
		if effects[index].Kind == relay.EffectSendToEndpoint {
			altered := slices.Clone(effects[index].Packet)
			altered[len(altered)-1]++
			effects[index].Packet = altered
		}
	}
	return effects
}

// noColdLimitAgent does not know how much its endpoint can handle after a start.
type noColdLimitAgent struct{ *relay.Agent }

func (a *noColdLimitAgent) Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect {
	message.Parameters.ColdStart = relay.ColdStart{}
	return a.Agent.Receive(now, from, message)
}

// denyingAgent denies flows that it does not know, although it was restarted.
type denyingAgent struct{ *relay.Agent }

func (a *denyingAgent) Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect {
	effects := a.Agent.Receive(now, from, message)
	for index := range effects {
		if effects[index].Message.Kind == relay.KindUncertain {
			effects[index].Message.Kind = relay.KindDenied
		}
	}
	return effects
}
