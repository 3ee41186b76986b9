package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// HandleEndpointPacket handles a packet that the endpoint wrote, or one of a client that the
// endpoint returned. The returned effects are valid until the next call.
func (a *Agent) HandleEndpointPacket(now time.Duration, packet []byte) []Effect {
	a.beginCall(now)
	header, outcome := a.config.Codec.Decode(packet)
	if outcome != segment.Decoded {
		a.recordEvent(Event{Kind: EventMalformed, Reason: outcome.String()})
		return a.effects
	}
	a.reportCrashLoop(a.coldStart.recordOutput(now))
	if header.Flags.Has(segment.Returned) {
		a.detector.RecordPacket(now, false)
		a.handleReturned(now, header, packet)
	} else {
		a.detector.RecordPacket(now, header.Flags.Has(segment.Synchronize))
		a.handleWritten(now, header, packet)
	}
	a.markWorkStarted(now)
	a.reportStateChanges()
	return a.effects
}

// reportCrashLoop records an event if the endpoint has failed soon after its start.
func (a *Agent) reportCrashLoop(crashLooping bool) {
	if crashLooping {
		a.recordEvent(Event{Kind: EventRelapsed})
	}
}

// handleReturned handles a packet of a client that the endpoint returned.
func (a *Agent) handleReturned(now time.Duration, header segment.Header, packet []byte) {
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	flow, exists := a.flows[key]
	a.config.Codec.ClearReturned(packet)
	if header.OpensFlow() {
		a.handleReturnedOpening(now, key, flow, header, packet)
		return
	}
	if !exists {
		return
	}
	before := flow.state
	a.forgetFlow(now, key)
	a.flows[key] = &agentFlow{state: stateDenied, lastActivity: now}
	switch before {
	case stateOpen:
		a.resetLostFlow(now, key, flow, header)
	case stateProbed:
		a.reportNotHeld(now, key, flow, header, packet)
	}
}

// reportNotHeld reports to the prober of a flow that the endpoint does not hold it.
func (a *Agent) reportNotHeld(now time.Duration, key segment.FlowKey, flow *agentFlow, header segment.Header, packet []byte) {
	if flow.probedByForward {
		a.returnPacket(flow.prober, key, header, packet, "not_held")
		return
	}
	a.recordEvent(Event{Kind: EventDenied, Flow: key, Peer: flow.prober})
	a.deny(flow.prober, key)
}

func (a *Agent) handleReturnedOpening(now time.Duration, key segment.FlowKey, flow *agentFlow, header segment.Header, packet []byte) {
	if flow == nil || flow.state != stateOffered || flow.clientISN != header.Sequence {
		return
	}
	balancer := flow.balancer
	a.forgetFlow(now, key)
	a.detector.RecordReturn(now)
	a.returnPacket(balancer, key, header, packet, "endpoint")
}

// handleWritten handles a packet that the endpoint wrote.
func (a *Agent) handleWritten(now time.Duration, header segment.Header, packet []byte) {
	key := segment.FlowKey{Client: header.Destination, Service: header.Source}
	flow, exists := a.flows[key]
	if !exists || !flow.active() && flow.state != stateEnded {
		flow = a.adoptFlow(now, key, header)
	}
	flow.lastActivity = now
	if header.Flags.Has(segment.Synchronize) {
		if a.coldStart.recordAccepted(now) {
			a.detector.Reset()
			a.recordEvent(Event{Kind: EventRestarted})
			a.probeAfterRestart()
		}
		a.handleOpeningAnswer(key, flow, header)
	}
	flow.endpointIncarnation = a.endpointIncarnation
	flow.advanceAckBase(header.Sequence)
	a.recordWritten(now, flow, header, packet)
	// An endpoint may close its side of the flow together with the answer or, in a packet of its
	// own, before the answer.
	if header.Length > 0 || header.Flags.Has(segment.Finish) {
		a.measureProcessingTime(now, key, flow)
		a.recordResponse(now, key, flow)
	}
	if header.Flags.Has(segment.Finish) || header.Flags.Has(segment.Reset) {
		a.endFlow(now, flow)
	}
	a.effects = append(a.effects, Effect{Kind: EffectSendToClient, To: key.Client, Packet: packet})
}

// adoptFlow records a flow that the endpoint holds and the agent had not recorded.
func (a *Agent) adoptFlow(now time.Duration, key segment.FlowKey, header segment.Header) *agentFlow {
	flow := &agentFlow{state: stateOpen, lastActivity: now, request: requestState{sentEnd: header.Acknowledgment}}
	if previous := a.flows[key]; previous != nil {
		flow.balancer = previous.balancer
		flow.request = previous.request
		flow.zone = previous.zone
	}
	if header.Flags.Has(segment.Synchronize) {
		flow.state = stateOffered
	}
	a.flows[key] = flow
	a.activeFlows++
	if flow.request.givenBeforeOwned {
		flow.request.givenBeforeOwned = false
		a.occupySlot(flow.request.admittedAt, flow)
	}
	if !flow.balancer.IsZero() && flow.state == stateOpen {
		a.send(flow.balancer, Message{Kind: KindOwned, Service: a.config.Service, Flow: EncodeFlow(key), Load: a.Load()})
	}
	return flow
}

func (a *Agent) handleOpeningAnswer(key segment.FlowKey, flow *agentFlow, header segment.Header) {
	flow.ackBase = header.Sequence
	flow.ackBaseKnown = true
	if flow.state != stateOffered {
		return
	}
	flow.state = stateAnswered
	if flow.balancer.IsZero() {
		return
	}
	a.send(flow.balancer, Message{
		Kind: KindPlaced, Service: a.config.Service, Flow: EncodeFlow(key), Sequence: flow.clientISN, Load: a.Load(),
	})
}
