package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/label"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// EffectKind is the kind of an effect.
type EffectKind uint8

// The kinds of effects.
const (
	// EffectSendMessage: send Message to the daemon at To.
	EffectSendMessage EffectKind = iota
	// EffectSendToClient: send Packet to the client at To.
	EffectSendToClient
	// EffectSendToEndpoint: hand Packet to the endpoint beside the agent.
	EffectSendToEndpoint
	// EffectEvent: record Event in logs and metrics.
	EffectEvent
	// EffectConfirmDirectory: ask the store whether the directory is up to date as of now or later,
	// and pass the result to Balancer.MarkCurrentThrough.
	EffectConfirmDirectory
)

// Effect is an action that the caller has to carry out. Packet shares memory with the input and is
// valid until the next call.
type Effect struct {
	Kind    EffectKind
	To      segment.Address
	Message Message
	Packet  []byte
	Event   Event
}

// EventKind is the kind of a decision that is recorded.
type EventKind uint8

// The kinds of events.
const (
	// EventMalformed: a packet could not be decoded.
	EventMalformed EventKind = iota
	// EventForged: a packet or message cannot have come from its claimed source.
	EventForged
	// EventPlaced: an endpoint answered the opening packet of a flow.
	EventPlaced
	// EventAnswered: an endpoint began to answer a request.
	EventAnswered
	// EventAdmitted: a request that had waited was given to the endpoint.
	EventAdmitted
	// EventOfferedAgain: an opening packet was offered to another endpoint, because the previous
	// one did not answer or did not accept it.
	EventOfferedAgain
	// EventLocating: agents are asked for the owner of a flow.
	EventLocating
	// EventLocated: the owner of a flow was found.
	EventLocated
	// EventNoRoute: the address of a new flow has no route. The flow was reset, unless the
	// directory may be out of date.
	EventNoRoute
	// EventNoEndpoint: no endpoint can take a flow, which was reset, or the flow limit is reached
	// and the packet was dropped.
	EventNoEndpoint
	// EventNotReady: a packet was dropped because the directory is not known yet and the buffer for
	// such packets is full.
	EventNotReady
	// EventSuspected: an agent does not respond.
	EventSuspected
	// EventRecovered: a suspected agent responds again.
	EventRecovered
	// EventEndpointLostFlow: the endpoint no longer holds a flow that it held before.
	EventEndpointLostFlow
	// EventNotOwned: a packet was sent back because this agent does not own its flow.
	EventNotOwned
	// EventProbed: a restarted agent gave its endpoint a packet of an unknown flow to find out
	// whether the endpoint holds the flow.
	EventProbed
	// EventReturned: an opening packet was sent back.
	EventReturned
	// EventIsolated: no agent can be reached.
	EventIsolated
	// EventReconnected: an agent can be reached again.
	EventReconnected
	// EventHeld: a request waits in the queue of its endpoint.
	EventHeld
	// EventGiven: a request was given to its endpoint without waiting.
	EventGiven
	// EventExpired: a waiting request was dropped because its client has given up.
	EventExpired
	// EventDenied: the endpoint of this agent does not hold a flow that it was probed for.
	EventDenied
	// EventOwnerless: a flow was reset because no endpoint holds it.
	EventOwnerless
	// EventReleased: a packet that arrived before the directory was known is handled.
	EventReleased
	// EventRestarted: the endpoint accepts flows again after a long silence or after it lost the
	// flows that it had held.
	EventRestarted
	// EventRelapsed: the endpoint failed soon after its start.
	EventRelapsed
	// EventEjected: the endpoint gets no new flows for the time in Elapsed.
	EventEjected
	// EventProbation: an ejected endpoint gets single flows as a trial.
	EventProbation
	// EventRestored: an ejected endpoint gets its share of new flows again.
	EventRestored
	// EventUnlisted: an agent has registered whose endpoint is not in the directory.
	EventUnlisted
	eventKindCount
)

var eventNames = []string{
	"malformed", "forged", "placed", "answered", "admitted", "offered_again", "locating", "located", "no_route",
	"no_endpoint", "not_ready", "suspected", "recovered", "endpoint_lost_flow", "not_owned", "probed",
	"returned", "isolated", "reconnected", "held", "given", "expired", "denied", "ownerless", "released", "restarted",
	"relapsed", "ejected", "probation", "restored", "unlisted",
}

// Event describes a decision and what led to it.
type Event struct {
	Kind EventKind
	Flow segment.FlowKey
	// Class is the traffic class of the flow, if there is one.
	Class TrafficClass
	// Request is the identifier of the request, if a packet contained one.
	Request string
	// Peer is the daemon at the other end, if any.
	Peer segment.Address
	// Version is the version of the configuration used for the decision, if any.
	Version uint64
	// Reason gives the cause in the form of a metric label.
	Reason string
	// Zone is the zone of the clients for which the state of an endpoint changed, empty for all
	// zones. Failures is the number of failures among the latest Outcomes that led to the change.
	Zone               string
	Failures, Outcomes int
	// Elapsed is a duration that depends on the kind: from the first offer to EventPlaced, from
	// admission to EventAnswered, the wait before EventAdmitted, EventExpired and EventReleased,
	// the length of an ejection, and from the first query to EventOwnerless.
	Elapsed time.Duration
}

// EventKinds lists all kinds, for counters that are kept by kind.
func EventKinds() []EventKind { return label.All(eventKindCount) }

// String returns the kind in the form used as a metric label.
func (k EventKind) String() string { return label.Of(eventNames, k) }
