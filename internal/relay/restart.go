package relay

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// restartQuestions bounds the flows about which an endpoint is asked at once that seems to
// have been started again: as many packets as it reads in some milliseconds. The clients of
// others find out with their next packet.
const restartQuestions = 256

// noteRestart notes that the endpoint may have been started again, and lets it tell which
// flows of the life before it does not hold: each gets a copy of a packet that its client
// has sent in it before. An endpoint that holds the flow acknowledges the copy. One that
// does not returns it, whose client is reset at once: it would wait for an answer until it
// gives up, and its request would count as being worked on.
func (a *Agent) noteRestart() {
	a.life++
	for _, known := range a.unconfirmed() {
		a.deliver(known.work.latest)
	}
}

// unconfirmed returns the flows in which the endpoint has written nothing since it may have
// been started again, those with the latest requests first.
func (a *Agent) unconfirmed() []*agentFlow {
	var flows []*agentFlow
	for _, known := range a.flows {
		if known.state == stateOpen && known.life < a.life && len(known.work.latest) > 0 {
			flows = append(flows, known)
		}
	}
	slices.SortFunc(flows, func(x, y *agentFlow) int {
		return cmp.Or(cmp.Compare(y.work.since, x.work.since), bytes.Compare(x.work.latest, y.work.latest))
	})
	return flows[:min(len(flows), restartQuestions)]
}

// lost resets a flow that the endpoint held and does not know any more, since it was
// started again.
func (a *Agent) lost(now time.Duration, key segment.FlowKey, known *agentFlow, header segment.Header) {
	a.noteRelapse(a.cold.lost(now, known.opened))
	a.event(Event{Kind: EventEndpointLostFlow, Flow: key, Request: known.work.request})
	acknowledged := header.Acknowledgment
	if known.wrote {
		// The returned packet may be an old one.
		acknowledged = known.written
	}
	a.effects = append(a.effects, Effect{
		Kind:   EffectSendToClient,
		To:     key.Client,
		Packet: a.config.Codec.AppendReset(nil, key, acknowledged),
	})
	if known.life == a.life {
		a.noteRestart()
	}
}
