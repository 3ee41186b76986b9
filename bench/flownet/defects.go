package flownet

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// Defect is a fault that is built into the daemons on purpose.
type Defect uint8

// The planted faults.
const (
	// DefectNone: the daemons are as they are.
	DefectNone Defect = iota
	// DefectIgnoreLeaving: balancers do not learn that endpoints leave.
	DefectIgnoreLeaving
	// DefectStaleConfiguration: balancers keep the first configuration.
	DefectStaleConfiguration
	// DefectResetUnknownFlows: balancers reset flows that they do not know.
	DefectResetUnknownFlows
	// DefectAcceptAllPackets: agents take every packet for their endpoint's.
	DefectAcceptAllPackets
	// DefectCorruptPackets: agents change packets.
	DefectCorruptPackets
	// DefectSkipConfirmation: balancers take their directory for current without asking
	// the store.
	DefectSkipConfirmation
	// DefectDenyAfterRestart: restarted agents deny flows that they do not know.
	DefectDenyAfterRestart
	// DefectEmptyUpdates: balancers tell each other that they know all changes, and not
	// what has changed; nor do they show it in their digests, which would make up for that.
	DefectEmptyUpdates
	// DefectIgnoreClosedZones: balancers do not learn that zones are closed.
	DefectIgnoreClosedZones
	// DefectIgnoreReopenedZones: balancers do not learn that zones are opened again.
	DefectIgnoreReopenedZones
	// DefectNoColdStartLimit: agents do not know what cold endpoints carry.
	DefectNoColdStartLimit
)

// filter takes from the store's items what a planted fault hides.
func (p Defect) filter(items []directory.Item) []directory.Item {
	switch p {
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

// greedyAgent gives its endpoint every packet, and says that it owns the flow.
type greedyAgent struct{ *relay.Agent }

func (a *greedyAgent) Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect {
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

// alteringAgent changes the last byte of packets for its endpoint.
type alteringAgent struct{ *relay.Agent }

func (a *alteringAgent) Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect {
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

// eagerAgent does not know what its endpoint carries after a start.
type eagerAgent struct{ *relay.Agent }

func (a *eagerAgent) Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect {
	message.Parameters.ColdStart = relay.ColdStart{}
	return a.Agent.Receive(now, from, message)
}

// hastyAgent denies flows that it does not know though it was restarted.
type hastyAgent struct{ *relay.Agent }

func (a *hastyAgent) Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect {
	effects := a.Agent.Receive(now, from, message)
	for index := range effects {
		if effects[index].Message.Kind == relay.KindUncertain {
			effects[index].Message.Kind = relay.KindDenied
		}
	}
	return effects
}
