package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/label"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// EffectKind tells what an effect is.
type EffectKind uint8

// The kinds of effects.
const (
	// EffectSendMessage: send Message to the daemon at To.
	EffectSendMessage EffectKind = iota
	// EffectSendToClient: send Packet to the client at To.
	EffectSendToClient
	// EffectSendToEndpoint: hand Packet to the endpoint beside the agent.
	EffectSendToEndpoint
	// EffectEvent: Event happened; it can be logged and counted.
	EffectEvent
	// EffectConfirmDirectory: the directory has to be confirmed as of now or later, which
	// Current tells.
	EffectConfirmDirectory
)

// Effect is one thing that the caller has to do. Packets share memory with the
// input and are valid until the next call.
type Effect struct {
	Kind    EffectKind
	To      segment.Address
	Message Message
	Packet  []byte
	Event   Event
}

// EventKind names a decision that operators may want to trace.
type EventKind uint8

// The kinds of events.
const (
	// EventMalformed: a packet could not be decoded.
	EventMalformed EventKind = iota
	// EventForged: a packet or message cannot have come from where it claims.
	EventForged
	// EventPlaced: an endpoint answered the opening packet of a flow.
	EventPlaced
	// EventAnswered: an endpoint began to answer a request.
	EventAnswered
	// EventAdmitted: a request that had waited was given to the endpoint.
	EventAdmitted
	// EventOfferedAgain: an opening packet was offered to a further endpoint,
	// since the one before was silent or did not take it.
	EventOfferedAgain
	// EventLocating: agents are asked for the owner of a flow.
	EventLocating
	// EventLocated: the owner of a flow was found.
	EventLocated
	// EventNoRoute: a flow was reset since its address has no route.
	EventNoRoute
	// EventNoEndpoint: a flow was reset or left since no endpoint can take it.
	EventNoEndpoint
	// EventNotReady: a packet was dropped since the directory is not known and too many
	// wait for that.
	EventNotReady
	// EventSuspected: an agent does not answer.
	EventSuspected
	// EventRecovered: a suspected agent answers again.
	EventRecovered
	// EventEndpointLostFlow: the endpoint does not know a flow that it held.
	EventEndpointLostFlow
	// EventNotOwned: a packet was sent back since this agent does not own its
	// flow.
	EventNotOwned
	// EventProbed: a packet of a flow that a restarted agent does not know was
	// handed to the endpoint to learn whether it holds the flow.
	EventProbed
	// EventReturned: an opening packet was not taken.
	EventReturned
	// EventIsolated: no agent can be reached.
	EventIsolated
	// EventReconnected: an agent can be reached again.
	EventReconnected
	// EventHeld: a request waits for its endpoint.
	EventHeld
	// EventGiven: a request was given to its endpoint at once.
	EventGiven
	// EventExpired: a request that waited was dropped, since its client has given up.
	EventExpired
	// EventDenied: the endpoint of this agent turned out not to hold a flow.
	EventDenied
	// EventOwnerless: a flow was reset since no endpoint holds it.
	EventOwnerless
	// EventReleased: a packet is handled that came before the directory was known.
	EventReleased
	// EventRestarted: the endpoint takes flows again after it was silent for long, or did
	// not know those that it had held.
	EventRestarted
	// EventRelapsed: the endpoint has failed soon after its start.
	EventRelapsed
	// EventEjected: the endpoint gets no new flows for a time, which Elapsed gives.
	EventEjected
	// EventProbation: an endpoint that was ejected gets single flows as trials.
	EventProbation
	// EventRestored: an endpoint that was ejected gets its share of new flows again.
	EventRestored
	eventKindCount
)

var eventNames = []string{
	"malformed", "forged", "placed", "answered", "admitted", "offered_again", "locating", "located", "no_route",
	"no_endpoint", "not_ready", "suspected", "recovered", "endpoint_lost_flow", "not_owned", "probed",
	"returned", "isolated", "reconnected", "held", "given", "expired", "denied", "ownerless", "released", "restarted",
	"relapsed", "ejected", "probation", "restored",
}

// Event is one decision with what decided it.
type Event struct {
	Kind EventKind
	Flow segment.FlowKey
	// Class is that of the flow, if there is one.
	Class TrafficClass
	// Request is the identifier of the request, if a packet has shown one.
	Request string
	// Peer is the daemon concerned, if any.
	Peer segment.Address
	// Version is the version of the configuration that decided, if any.
	Version uint64
	// Reason tells more, in the form of a metric label.
	Reason string
	// Zone is that of the clients to whom a change of an endpoint's state applies, empty
	// for all. Failures of the latest Outcomes decided it.
	Zone               string
	Failures, Outcomes int
	// Elapsed is the time that ended with the event: from the first offer to
	// EventPlaced, from the request to EventAnswered, the wait before EventAdmitted,
	// EventExpired and EventReleased, and from the first question to EventOwnerless.
	Elapsed time.Duration
}

// EventKinds lists every kind, for counters that are kept by kind.
func EventKinds() []EventKind { return label.All(eventKindCount) }

// String returns the kind in the form used as a metric label.
func (k EventKind) String() string { return label.Of(eventNames, k) }
