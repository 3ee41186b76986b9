package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// advanceAckBase keeps what the client may acknowledge within openWindow, however much the
// endpoint sends.
func (f *agentFlow) advanceAckBase(sequence uint32) {
	if sent := sequence - f.ackBase; f.ackBaseKnown && f.state != stateAnswered && sent > ackWindow/2 && sent < ackWindow {
		f.ackBase = sequence - ackWindow/2
	}
}

// certainlyNotHeld reports whether it is certain that the endpoint does not hold a flow, of
// which a packet has come that is not owned.
func (a *Agent) certainlyNotHeld(now time.Duration, flow *agentFlow) bool {
	return a.knowsAllFlows(now) || flow != nil && flow.state != stateProbed
}

// deny tells a balancer that the endpoint does not hold a flow.
func (a *Agent) deny(now time.Duration, to segment.Address, key segment.FlowKey) {
	a.send(to, Message{Kind: KindDenied, Service: a.config.Service, Flow: EncodeFlow(key), Uptime: now - a.startedAt})
}

// mayOwn reports whether the endpoint may hold a flow that this agent does not
// know, since the agent was restarted.
func (a *Agent) mayOwn(now time.Duration, flow *agentFlow) bool {
	return flow == nil && !a.knowsAllFlows(now) && len(a.flows) < a.config.FlowLimit
}

// receiveLocate answers whether this agent owns a flow. It does not answer if it
// does not, since all agents are asked.
func (a *Agent) receiveLocate(now time.Duration, from segment.Address, message Message) {
	if message.Service != a.config.Service {
		return
	}
	flow := a.flows[message.Flow.Key()]
	header := segment.Header{Flags: message.Flags, Acknowledgment: message.Acknowledgment}
	switch {
	case flow != nil && a.owns(flow, header):
		a.send(from, Message{Kind: KindOwned, Service: a.config.Service, Flow: message.Flow})
	case a.mayOwn(now, flow):
		a.sendUncertain(now, from, message)
	}
}

func (a *Agent) sendUncertain(now time.Duration, to segment.Address, query Message) {
	a.send(to, Message{Kind: KindUncertain, Service: a.config.Service, Flow: query.Flow, Uptime: now - a.startedAt})
}

// receiveVerify answers whether the endpoint holds a flow. Of an endpoint of another
// service, which had this address before, nothing is left.
func (a *Agent) receiveVerify(now time.Duration, from segment.Address, message Message) {
	key := message.Flow.Key()
	flow := a.flows[key]
	header := segment.Header{Flags: message.Flags, Acknowledgment: message.Acknowledgment}
	otherService := message.Service != a.config.Service
	switch {
	case !otherService && flow != nil && a.owns(flow, header):
		a.send(originBalancer(from, message), Message{Kind: KindOwned, Service: a.config.Service, Flow: message.Flow})
	case otherService || a.certainlyNotHeld(now, flow):
		a.deny(now, from, key)
	default:
		a.sendUncertain(now, from, message)
	}
}

// owns reports whether a client's packet belongs to a flow of this endpoint.
func (a *Agent) owns(flow *agentFlow, header segment.Header) bool {
	switch flow.state {
	case stateOpen, stateEnded:
		return !flow.ackBaseKnown || acknowledges(header, flow.ackBase, ackWindow)
	case stateAnswered:
		return acknowledges(header, flow.ackBase, handshakeAckWindow)
	}
	return false
}

// acknowledges reports whether the packet acknowledges what the endpoint with
// the given initial sequence number has sent. A reset need not.
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

// probe lets the endpoint tell whether it holds a flow that this agent does not
// know, since the agent was restarted. It happens once for each flow: if a
// balancer takes this agent for the owner or has found no other.
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
