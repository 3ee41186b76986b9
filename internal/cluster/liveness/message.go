// This file defines what daemons send each other about agents.

package liveness

import (
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

//go:generate go tool msgp -tests=false
//msgp:limit arrays:64
//msgp:tuple Claim Record ZoneDigest ReporterDigest Message

// Condition is what a daemon claims of an agent.
type Condition uint8

// The conditions of an agent.
const (
	// Down: its lease has ended.
	Down Condition = iota
	// Alive: it has a lease.
	Alive
	// Leaving: it has a lease, and takes no new flows since it stops.
	Leaving
)

// Claim is what a daemon knows of an agent that reports to it.
type Claim struct {
	Agent table.Endpoint
	// Start tells apart successive processes at the agent's address.
	Start     uint64
	Condition Condition
}

// Record is a claim as it travels.
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

// Kind is the purpose of a message.
type Kind uint8

// The kinds of messages.
const (
	// KindPush carries records that were news to the sender.
	KindPush Kind = iota
	// KindDigest carries the sender's digests and asks for the receiver's.
	KindDigest
	// KindDigestReply carries the receiver's digests.
	KindDigestReply
	// KindCompare carries the digests of the daemons of Zone, and asks for the
	// records of those that the receiver knows differently.
	KindCompare
	// KindRecords carries records that the receiver asked for.
	KindRecords
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

// Message is the only type of message.
type Message struct {
	Kind      Kind
	Scope     Scope
	Zone      membership.Zone
	Records   []Record
	Zones     []ZoneDigest
	Reporters []ReporterDigest
}
