package relay

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// maxRestartProbes bounds the flows about which an endpoint is asked at once that seems to
// have been started again: as many packets as it reads in some milliseconds. The clients of
// others find out with their next packet.
const maxRestartProbes = 256

// probeAfterRestart notes that the endpoint may have been started again, and lets it tell which
// flows of the life before it does not hold: each gets a copy of a packet that its client
// has sent in it before. An endpoint that holds the flow acknowledges the copy. One that
// does not returns it, whose client is reset at once: it would wait for an answer until it
// gives up, and its request would count as being worked on.
func (a *Agent) probeAfterRestart() {
	a.endpointIncarnation++
	for _, flow := range a.unconfirmedFlows() {
		a.deliver(flow.request.latestPacket)
	}
}

// unconfirmedFlows returns the flows in which the endpoint has written nothing since it may have
// been started again, those with the latest requests first.
func (a *Agent) unconfirmedFlows() []*agentFlow {
	var flows []*agentFlow
	for _, flow := range a.flows {
		if flow.state == stateOpen && flow.endpointIncarnation < a.endpointIncarnation && len(flow.request.latestPacket) > 0 {
			flows = append(flows, flow)
		}
	}
	slices.SortFunc(flows, func(x, y *agentFlow) int {
		return cmp.Or(cmp.Compare(y.request.admittedAt, x.request.admittedAt), bytes.Compare(x.request.latestPacket, y.request.latestPacket))
	})
	return flows[:min(len(flows), maxRestartProbes)]
}

// resetLostFlow resets a flow that the endpoint held and does not know any more, since it was
// started again.
func (a *Agent) resetLostFlow(now time.Duration, key segment.FlowKey, flow *agentFlow, header segment.Header) {
	a.reportCrashLoop(a.coldStart.noteLostFlow(now, flow.openedAt))
	a.recordEvent(Event{Kind: EventEndpointLostFlow, Flow: key, Request: flow.request.id})
	sequence := header.Acknowledgment
	if flow.writtenKnown {
		// The returned packet may be an old one.
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
