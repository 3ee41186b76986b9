package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// HandleEndpointPacket handles a packet that the endpoint wrote or did not take. The
// returned effects are valid until the next call.
func (a *Agent) HandleEndpointPacket(now time.Duration, packet []byte) []Effect {
	a.begin(now)
	header, outcome := a.config.Codec.Decode(packet)
	if outcome != segment.Decoded {
		a.event(Event{Kind: EventMalformed, Reason: outcome.String()})
		return a.effects
	}
	a.noteRelapse(a.cold.heard(now))
	if header.Flags.Has(segment.Returned) {
		a.detector.RecordPacket(now, false)
		a.emittedReturned(now, header, packet)
	} else {
		a.detector.RecordPacket(now, header.Flags.Has(segment.Synchronize))
		a.emittedOwn(now, header, packet)
	}
	a.noteStarts(now)
	a.tellChanges()
	return a.effects
}

// noteRelapse records that the endpoint has failed soon after its start, if it has.
func (a *Agent) noteRelapse(relapsed bool) {
	if relapsed {
		a.event(Event{Kind: EventRelapsed})
	}
}

// emittedReturned handles a client's packet that the endpoint did not take.
func (a *Agent) emittedReturned(now time.Duration, header segment.Header, packet []byte) {
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	known, exists := a.flows[key]
	a.config.Codec.ClearReturned(packet)
	if header.OpensFlow() {
		a.returnedOpening(now, key, known, header, packet)
		return
	}
	if !exists {
		return
	}
	before := known.state
	a.forget(now, key)
	a.flows[key] = &agentFlow{state: stateDenied, touched: now}
	switch before {
	case stateOpen:
		a.lost(now, key, known, header)
	case stateProbed:
		a.probedInVain(now, key, known, header, packet)
	}
}

// probedInVain tells the balancer of a flow that the endpoint does not hold it.
func (a *Agent) probedInVain(now time.Duration, key segment.FlowKey, known *agentFlow, header segment.Header, packet []byte) {
	if known.forwarded {
		a.bringBack(known.prober, key, header, packet, "not_held")
		return
	}
	a.event(Event{Kind: EventDenied, Flow: key, Peer: known.prober})
	a.deny(now, known.prober, key)
}

func (a *Agent) returnedOpening(now time.Duration, key segment.FlowKey, known *agentFlow, header segment.Header, packet []byte) {
	if known == nil || known.state != stateOffered || known.sequence != header.Sequence {
		return
	}
	balancer := known.balancer
	a.forget(now, key)
	a.detector.RecordReturn(now)
	a.bringBack(balancer, key, header, packet, "endpoint")
}

// emittedOwn handles a packet that the endpoint wrote.
func (a *Agent) emittedOwn(now time.Duration, header segment.Header, packet []byte) {
	key := segment.FlowKey{Client: header.Destination, Service: header.Source}
	known, exists := a.flows[key]
	if !exists || !known.running() && known.state != stateEnded {
		known = a.adopt(now, key, header)
	}
	known.touched = now
	if header.Flags.Has(segment.Synchronize) {
		if a.cold.takes(now) {
			a.detector.Reset()
			a.event(Event{Kind: EventRestarted})
			a.noteRestart()
		}
		a.answer(key, known, header)
	}
	known.life = a.life
	known.follow(header.Sequence)
	a.wrote(now, known, header, packet)
	// An endpoint may end its side of the flow with the answer or, in another packet,
	// before it.
	if header.Length > 0 || header.Flags.Has(segment.Finish) {
		a.measure(now, key, known)
		a.responded(now, key, known)
	}
	if header.Flags.Has(segment.Finish) || header.Flags.Has(segment.Reset) {
		a.end(now, known)
	}
	a.effects = append(a.effects, Effect{Kind: EffectSendToClient, To: key.Client, Packet: packet})
}

// adopt remembers a flow that the endpoint turns out to hold.
func (a *Agent) adopt(now time.Duration, key segment.FlowKey, header segment.Header) *agentFlow {
	known := &agentFlow{state: stateOpen, touched: now, work: work{sent: header.Acknowledgment}}
	if previous := a.flows[key]; previous != nil {
		known.balancer = previous.balancer
		known.work = previous.work
		known.zone = previous.zone
	}
	if header.Flags.Has(segment.Synchronize) {
		known.state = stateOffered
	}
	a.flows[key] = known
	a.running++
	if known.work.given {
		known.work.given = false
		a.occupy(known.work.since, known)
	}
	if !known.balancer.IsZero() && known.state == stateOpen {
		a.send(known.balancer, Message{Kind: KindOwned, Service: a.config.Service, Flow: EncodeFlow(key), Load: a.Load()})
	}
	return known
}

func (a *Agent) answer(key segment.FlowKey, known *agentFlow, header segment.Header) {
	known.answer = header.Sequence
	known.answered = true
	if known.state != stateOffered {
		return
	}
	known.state = stateAnswered
	if known.balancer.IsZero() {
		return
	}
	a.send(known.balancer, Message{
		Kind: KindPlaced, Service: a.config.Service, Flow: EncodeFlow(key), Sequence: known.sequence, Load: a.Load(),
	})
}
