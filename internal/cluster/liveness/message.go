// This file defines the messages that daemons exchange about agents.

package liveness

import (
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

//go:generate go tool msgp -tests=false
//msgp:limit arrays:64
//msgp:tuple Claim Record ZoneDigest ReporterDigest Message

// Condition is the condition of an agent as claimed by a daemon.
type Condition uint8

// The conditions of an agent.
const (
	// Down: the lease of the agent has ended.
	Down Condition = iota
	// Alive: the agent has a lease.
	Alive
	// Leaving: the agent has a lease, but takes no new flows because it stops.
	Leaving
)

// Claim is the condition of an agent as known to a daemon to which it reports.
type Claim struct {
	Agent table.Endpoint
	// Start distinguishes successive processes at the agent's address.
	Start     uint64
	Condition Condition
}

// Record is a claim with its origin, as sent to other daemons.
type Record struct {
	Reporter    membership.Address
	Incarnation membership.Incarnation
	// Sequence orders the claims of one process about one agent.
	Sequence uint64
	Claim    Claim
}

// ZoneDigest is a hash over the claims of the live daemons of a zone.
type ZoneDigest struct {
	Zone membership.Zone
	Hash uint64
}

// ReporterDigest is a hash over the claims of one daemon.
type ReporterDigest struct {
	Reporter membership.Address
	Hash     uint64
}

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	// KindPush carries records that were new to the sender.
	KindPush Kind = iota
	// KindDigest carries the sender's digests and asks for the receiver's.
	KindDigest
	// KindDigestReply replies to KindDigest with the digests of its sender.
	KindDigestReply
	// KindCompare carries the digests of daemons of Zone. It asks for the records of those
	// whose digests differ at the receiver.
	KindCompare
	// KindRecords carries records that the receiver asked for.
	KindRecords
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

// Message is the only type of message. Kind determines which fields are set.
type Message struct {
	Kind      Kind
	Scope     Scope
	Zone      membership.Zone
	Records   []Record
	Zones     []ZoneDigest
	Reporters []ReporterDigest
}
