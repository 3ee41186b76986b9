package relay

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// maxRestartProbes limits the flows for which an endpoint is probed at once after an apparent
// restart. An endpoint reads that many packets within some milliseconds. Other lost flows
// are reset when their clients send the next packet.
const maxRestartProbes = 256

// probeAfterRestart handles an apparent restart of the endpoint. It finds out which earlier flows
// the endpoint no longer holds by giving it, for each, a copy of a packet that the client has sent.
// An endpoint that holds the flow acknowledges the copy. Otherwise it returns the copy, and the
// client is reset at once. Without the probe the client would wait for an answer until it gives up,
// and its request would keep occupying a slot.
func (a *Agent) probeAfterRestart() {
	a.endpointIncarnation++
	for _, flow := range a.unconfirmedFlows() {
		a.deliver(flow.request.firstPacket)
	}
}

// unconfirmedFlows returns the open flows in which the endpoint has written nothing since its last
// apparent restart, those with the latest requests first.
func (a *Agent) unconfirmedFlows() []*agentFlow {
	var flows []*agentFlow
	for _, flow := range a.flows {
		if flow.state == stateOpen && flow.endpointIncarnation < a.endpointIncarnation && len(flow.request.firstPacket) > 0 {
			flows = append(flows, flow)
		}
	}
	slices.SortFunc(flows, func(x, y *agentFlow) int {
		return cmp.Or(cmp.Compare(y.request.admittedAt, x.request.admittedAt), bytes.Compare(x.request.firstPacket, y.request.firstPacket))
	})
	return flows[:min(len(flows), maxRestartProbes)]
}

// resetLostFlow resets a flow that the endpoint held and has lost because it has restarted.
func (a *Agent) resetLostFlow(now time.Duration, key segment.FlowKey, flow *agentFlow, header segment.Header) {
	a.reportCrashLoop(a.coldStart.recordLostFlow(now, flow.openedAt))
	a.recordEvent(Event{Kind: EventEndpointLostFlow, Flow: key, Request: flow.request.id})
	sequence := header.Acknowledgment
	if flow.writtenKnown {
		// The returned packet may be an old one, and the client would not accept a reset at its
		// acknowledgment.
		sequence = flow.writtenEnd
	}
	a.effects = append(a.effects, Effect{
		Kind:   EffectSendToClient,
		To:     key.Client,
		Packet: a.config.Codec.AppendReset(nil, key, sequence),
	})
	if flow.endpointIncarnation == a.endpointIncarnation {
		a.probeAfterRestart()
	}
}
