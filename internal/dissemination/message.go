// This file defines the messages that daemons exchange about versions of the table.

package dissemination

import (
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

//go:generate go tool msgp -tests=false
//msgp:limit arrays:1200
//msgp:tuple Delta Status Message

// Delta is the change from the previous version to Version. Its payload is opaque.
type Delta struct {
	Version table.Version
	Payload []byte
}

// Status holds the versions of a member. It is part of every message and of the pings of
// package membership.
type Status struct {
	// Held is the newest version that the member can give to others.
	Held table.Version
	// Applied is the newest version that the member has applied.
	Applied table.Version
}

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	// KindPush carries new deltas, or announces them without content if they are too long.
	KindPush Kind = iota
	// KindPull asks for the deltas after Status.Held.
	KindPull
	// KindDeltas replies to a pull.
	KindDeltas
	// KindFetchRequired replies to a pull whose deltas do not fit in a datagram or are no
	// longer kept. The requester must fetch over a connection.
	KindFetchRequired
	// KindStatusRequest asks for the receiver's status.
	KindStatusRequest
	// KindStatus replies to a status request.
	KindStatus
	// KindZoneRequest asks which members of the receiver's zone have not applied Version.
	KindZoneRequest
	// KindZoneReport replies to a zone request.
	KindZoneReport
)

// Scope is the part of the fleet in which the receiver of a push must distribute it.
type Scope uint8

// The scopes of a push.
const (
	// ScopeZone: the zone of the receiver.
	ScopeZone Scope = iota
	// ScopeRegion: all zones of the receiver's region.
	ScopeRegion
	// ScopeFleet: all regions.
	ScopeFleet
)

// Message is the only type of datagram.
type Message struct {
	Kind   Kind
	Status Status
	Scope  Scope
	Deltas []Delta
	// Sequence matches a reply to a status request or zone request.
	Sequence uint32
	// Version is the version that a zone request or report concerns.
	Version table.Version
	// AppliedCount counts the members that have applied the version, BehindCount those that
	// have not. BehindMembers lists the latter, as many as fit.
	AppliedCount  uint32
	BehindCount   uint32
	BehindMembers []membership.Address
}
