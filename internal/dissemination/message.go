// This file defines the messages that daemons exchange about table versions.

package dissemination

import (
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

//go:generate go tool msgp -tests=false
//msgp:limit arrays:1200
//msgp:tuple Delta Status Message

// Delta is the change from the version before to Version. Its payload is
// opaque.
type Delta struct {
	Version table.Version
	Payload []byte
}

// Status is what a member says of itself. It travels with every message, and
// with the pings of package membership.
type Status struct {
	// Held is the newest version that the member can give to others.
	Held table.Version
	// Applied is the newest version that the member has put in force.
	Applied table.Version
}

// Kind is the purpose of a message.
type Kind uint8

// The kinds of messages.
const (
	// KindPush carries new deltas, or announces them if they are too long.
	KindPush Kind = iota
	// KindPull asks for the deltas after Status.Held.
	KindPull
	// KindDeltas answers a pull.
	KindDeltas
	// KindFetchRequired answers a pull that takes more than a datagram: the asking
	// member shall fetch over a connection.
	KindFetchRequired
	// KindStatusRequest asks for the receiver's status.
	KindStatusRequest
	// KindStatus answers a status request.
	KindStatus
	// KindZoneRequest asks who in the receiver's zone has not put Version in
	// force.
	KindZoneRequest
	// KindZoneReport answers a zone request.
	KindZoneReport
)

// Scope tells how far the receiver of a push shall pass it on.
type Scope uint8

// The scopes of a push.
const (
	// ScopeZone: within its zone.
	ScopeZone Scope = iota
	// ScopeRegion: to all zones of its region.
	ScopeRegion
	// ScopeFleet: to all regions.
	ScopeFleet
)

// Message is the only type of datagram.
type Message struct {
	Kind   Kind
	Status Status
	Scope  Scope
	Deltas []Delta
	// Sequence ties an answer to a status request or zone request.
	Sequence uint32
	// Version is what a zone request or report concerns.
	Version table.Version
	// AppliedCount counts members with the version in force, Behind those without;
	// Missing names the latter, as many as fit.
	AppliedCount  uint32
	BehindCount   uint32
	BehindMembers []membership.Address
}
