package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// follow keeps what the client may acknowledge within openWindow, however much the
// endpoint sends.
func (f *agentFlow) follow(sequence uint32) {
	if sent := sequence - f.answer; f.answered && f.state != stateAnswered && sent > openWindow/2 && sent < openWindow {
		f.answer = sequence - openWindow/2
	}
}

// disowns reports whether it is certain that the endpoint does not hold a flow, of
// which a packet has come that is not owned.
func (a *Agent) disowns(now time.Duration, known *agentFlow) bool {
	return a.complete(now) || known != nil && known.state != stateProbed
}

// deny tells a balancer that the endpoint does not hold a flow.
func (a *Agent) deny(now time.Duration, to segment.Address, key segment.FlowKey) {
	a.send(to, Message{Kind: KindDenied, Service: a.config.Service, Flow: EncodeFlow(key), Uptime: now - a.started})
}

// mayOwn reports whether the endpoint may hold a flow that this agent does not
// know, since the agent was restarted.
func (a *Agent) mayOwn(now time.Duration, known *agentFlow) bool {
	return known == nil && !a.complete(now) && len(a.flows) < a.config.FlowLimit
}

// receiveLocate answers whether this agent owns a flow. It does not answer if it
// does not, since all agents are asked.
func (a *Agent) receiveLocate(now time.Duration, from segment.Address, message Message) {
	if message.Service != a.config.Service {
		return
	}
	known := a.flows[message.Flow.Key()]
	header := segment.Header{Flags: message.Flags, Acknowledgment: message.Acknowledgment}
	switch {
	case known != nil && a.owns(known, header):
		a.send(from, Message{Kind: KindOwned, Service: a.config.Service, Flow: message.Flow})
	case a.mayOwn(now, known):
		a.sendUncertain(now, from, message)
	}
}

func (a *Agent) sendUncertain(now time.Duration, to segment.Address, question Message) {
	a.send(to, Message{Kind: KindUncertain, Service: a.config.Service, Flow: question.Flow, Uptime: now - a.started})
}

// receiveVerify answers whether the endpoint holds a flow. Of an endpoint of another
// service, which had this address before, nothing is left.
func (a *Agent) receiveVerify(now time.Duration, from segment.Address, message Message) {
	key := message.Flow.Key()
	known := a.flows[key]
	header := segment.Header{Flags: message.Flags, Acknowledgment: message.Acknowledgment}
	foreign := message.Service != a.config.Service
	switch {
	case !foreign && known != nil && a.owns(known, header):
		a.send(balancerOf(from, message), Message{Kind: KindOwned, Service: a.config.Service, Flow: message.Flow})
	case foreign || a.disowns(now, known):
		a.deny(now, from, key)
	default:
		a.sendUncertain(now, from, message)
	}
}

// owns reports whether a client's packet belongs to a flow of this endpoint.
func (a *Agent) owns(known *agentFlow, header segment.Header) bool {
	switch known.state {
	case stateOpen, stateEnded:
		return !known.answered || acknowledges(header, known.answer, openWindow)
	case stateAnswered:
		return acknowledges(header, known.answer, openingWindow)
	}
	return false
}

// acknowledges reports whether the packet acknowledges what the endpoint with
// the given initial sequence number has sent. A reset need not.
func acknowledges(header segment.Header, answer, window uint32) bool {
	if !header.Flags.Has(segment.Acknowledge) {
		return header.Flags.Has(segment.Reset)
	}
	return header.Acknowledgment-answer-1 < window
}

func (a *Agent) receiveOwned(now time.Duration, from segment.Address, key segment.FlowKey, known *agentFlow, header segment.Header, message Message) {
	known.touched = now
	known.balancer = balancerOf(from, message)
	known.work.learn(message.Parameters)
	if known.state == stateAnswered {
		known.state = stateOpen
	}
	if message.Kind != KindForward {
		a.send(known.balancer, Message{Kind: KindOwned, Service: a.config.Service, Flow: EncodeFlow(key), Load: a.Load()})
	}
	if header.Flags.Has(segment.Finish) || header.Flags.Has(segment.Reset) {
		a.end(now, known)
	}
	if header.Length > 0 && !a.passes(now, key, known, header, message.Packet) {
		return
	}
	a.deliver(message.Packet)
}

// probe lets the endpoint tell whether it holds a flow that this agent does not
// know, since the agent was restarted. It happens once for each flow: if a
// balancer takes this agent for the owner or has found no other.
func (a *Agent) probe(now time.Duration, from segment.Address, key segment.FlowKey, header segment.Header, message Message) {
	a.flows[key] = &agentFlow{
		state: stateProbed, balancer: balancerOf(from, message), prober: from,
		forwarded: message.Kind == KindForward, touched: now,
		work: work{
			terms: message.Parameters, asked: now, since: now, fed: now,
			request: a.config.Codec.RequestID(message.Packet), given: header.Length > 0,
			sent: header.Sequence + uint32(header.Length),
		},
	}
	a.event(Event{Kind: EventProbed, Flow: key, Peer: from})
	a.deliver(message.Packet)
}
