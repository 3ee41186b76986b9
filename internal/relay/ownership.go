package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// advanceAckBase moves ackBase so that acknowledgments of the client stay within ackWindow, however
// much the endpoint sends.
func (f *agentFlow) advanceAckBase(sequence uint32) {
	if sent := sequence - f.ackBase; f.ackBaseKnown && f.state != stateAnswered && sent > ackWindow/2 && sent < ackWindow {
		f.ackBase = sequence - ackWindow/2
	}
}

// certainlyNotHeld reports whether the endpoint certainly does not hold a flow, given that a packet
// of it is not owned.
func (a *Agent) certainlyNotHeld(now time.Duration, flow *agentFlow) bool {
	return a.flowsComplete(now) || flow != nil && flow.state != stateProbed
}

// deny replies that the endpoint does not hold a flow.
func (a *Agent) deny(to segment.Address, key segment.FlowKey) {
	a.send(to, Message{Kind: KindDenied, Service: a.config.Service, Flow: EncodeFlow(key), Registered: a.registration.confirmed})
}

// mayOwn reports whether the endpoint may hold a flow that this agent has not recorded, because the
// agent has restarted.
func (a *Agent) mayOwn(now time.Duration, flow *agentFlow) bool {
	return flow == nil && !a.flowsComplete(now) && len(a.flows) < a.config.FlowLimit
}

// receiveLocate replies if this agent owns a flow or may own it. It does not reply otherwise,
// because all agents are asked. Like receiveVerify it ignores the service in the message.
func (a *Agent) receiveLocate(now time.Duration, from segment.Address, message Message) {
	flow := a.flows[message.Flow.Key()]
	header := segment.Header{Flags: message.Flags, Acknowledgment: message.Acknowledgment}
	switch {
	case flow != nil && a.owns(flow, header):
		a.send(from, Message{Kind: KindOwned, Service: a.config.Service, Flow: message.Flow})
	case a.mayOwn(now, flow):
		a.sendUncertain(from, message)
	}
}

func (a *Agent) sendUncertain(to segment.Address, query Message) {
	a.send(to, Message{Kind: KindUncertain, Service: a.config.Service, Flow: query.Flow, Registered: a.registration.confirmed})
}

// receiveVerify replies whether the endpoint holds a flow, whatever service the sender expects at this
// address. An entry that is late, or of another writer, may name this address for an endpoint that is
// not here, and hide the one that is. Nothing is left of endpoints that had the address before.
func (a *Agent) receiveVerify(now time.Duration, from segment.Address, message Message) {
	key := message.Flow.Key()
	flow := a.flows[key]
	header := segment.Header{Flags: message.Flags, Acknowledgment: message.Acknowledgment}
	switch {
	case flow != nil && a.owns(flow, header):
		a.send(originBalancer(from, message), Message{Kind: KindOwned, Service: a.config.Service, Flow: message.Flow})
	case a.certainlyNotHeld(now, flow):
		a.deny(from, key)
	default:
		a.sendUncertain(from, message)
	}
}

// owns reports whether a packet of the client belongs to a flow of this endpoint.
func (a *Agent) owns(flow *agentFlow, header segment.Header) bool {
	switch flow.state {
	case stateOpen, stateEnded:
		return !flow.ackBaseKnown || acknowledges(header, flow.ackBase, ackWindow)
	case stateAnswered:
		return acknowledges(header, flow.ackBase, handshakeAckWindow)
	}
	return false
}

// acknowledges reports whether a packet acknowledges data sent after ackBase, within a window. A
// reset without an acknowledgment is accepted.
func acknowledges(header segment.Header, ackBase, window uint32) bool {
	if !header.Flags.Has(segment.Acknowledge) {
		return header.Flags.Has(segment.Reset)
	}
	return header.Acknowledgment-ackBase-1 < window
}

func (a *Agent) receiveOwnedSegment(now time.Duration, from segment.Address, key segment.FlowKey, flow *agentFlow, header segment.Header, message Message) {
	flow.lastActivity = now
	flow.balancer = originBalancer(from, message)
	flow.request.setParameters(message.Parameters)
	if flow.state == stateAnswered {
		flow.state = stateOpen
	}
	if message.Kind != KindForward {
		a.send(flow.balancer, Message{Kind: KindOwned, Service: a.config.Service, Flow: EncodeFlow(key), Load: a.Load()})
	}
	if header.Flags.Has(segment.Finish) || header.Flags.Has(segment.Reset) {
		a.endFlow(now, flow)
	}
	if header.Length > 0 && !a.admitPacket(now, key, flow, header, message.Packet) {
		return
	}
	a.deliver(message.Packet)
}

// probe gives the endpoint a packet of a flow that this restarted agent has not recorded, to find
// out whether the endpoint holds the flow. It runs once for each flow, if a balancer takes this
// agent for the owner or has found no other.
func (a *Agent) probe(now time.Duration, from segment.Address, key segment.FlowKey, header segment.Header, message Message) {
	a.flows[key] = &agentFlow{
		state: stateProbed, balancer: originBalancer(from, message), prober: from,
		probedByForward: message.Kind == KindForward, lastActivity: now,
		request: requestState{
			parameters: message.Parameters, askedAt: now, admittedAt: now, lastDataAt: now,
			id: a.config.Codec.RequestID(message.Packet), givenBeforeOwned: header.Length > 0,
			sentEnd: header.Sequence + uint32(header.Length),
		},
	}
	a.recordEvent(Event{Kind: EventProbed, Flow: key, Peer: from})
	a.deliver(message.Packet)
}
