// This file defines the identifiers and the messages that daemons exchange
// about membership.

package membership

import (
	"encoding/binary"
	"net/netip"
)

//go:generate go tool msgp -tests=false
//msgp:limit arrays:128
//msgp:tuple Identity Update ZoneDigest Message

// Address is an IPv4 address and UDP port in one number: the address in bits
// 16 to 47, the port in bits 0 to 15. Zero means none.
type Address uint64

const portBits = 16

// AddressOf converts an IPv4 address and port. It returns false for any other
// kind of address.
func AddressOf(endpoint netip.AddrPort) (Address, bool) {
	ip := endpoint.Addr().Unmap()
	if !ip.Is4() {
		return 0, false
	}
	octets := ip.As4()
	number := binary.BigEndian.Uint32(octets[:])
	return Address(number)<<portBits | Address(endpoint.Port()), true
}

// AddrPort returns the address in the form of the standard library.
func (a Address) AddrPort() netip.AddrPort {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], uint32(a>>portBits))
	return netip.AddrPortFrom(netip.AddrFrom4(octets), uint16(a))
}

// String returns the address as "192.0.2.1:7000".
func (a Address) String() string { return a.AddrPort().String() }

// Region numbers the regions of the fleet.
type Region uint8

// Zone numbers the zones of the fleet, across all regions, below MaximumZones.
type Zone uint8

// MaximumZones bounds the number of zones.
const MaximumZones = 32

// allZones stands for every zone in a sync request and the answer to it.
const allZones Zone = MaximumZones

// Incarnation tells apart successive processes at one address: the time the
// process started, in milliseconds since 1970. A process that hears of a
// higher incarnation at its own address takes the next higher one, so that a
// clock that was set back does not matter.
type Incarnation uint64

// State is what is known of a member.
type State uint8

// The states of a member. For one incarnation and refutation the later one
// supersedes the earlier one.
const (
	// StateAlive: the member answers.
	StateAlive State = iota
	// StateSuspect: the member did not answer and has not yet refuted it.
	StateSuspect
	// StateFailed: the member did not refute the suspicion in time.
	StateFailed
	// StateLeft: the member said that it stops.
	StateLeft
)

// String returns the state in the form used as a metric label.
func (s State) String() string {
	names := [...]string{"alive", "suspect", "failed", "left"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// live reports whether a member in the state counts as running.
func (s State) live() bool { return s <= StateSuspect }

// Identity names one process and where it runs.
type Identity struct {
	Address     Address
	Region      Region
	Zone        Zone
	Incarnation Incarnation
}

// Update says that a member is in a state.
type Update struct {
	Member Identity
	// Refutations counts how often the process has refuted a suspicion.
	Refutations uint32
	State       State
}

// supersedes reports whether u is newer than known, which concerns the same
// address.
func (u Update) supersedes(known Update) bool {
	if u.Member.Incarnation != known.Member.Incarnation {
		return u.Member.Incarnation > known.Member.Incarnation
	}
	if u.Refutations != known.Refutations {
		return u.Refutations > known.Refutations
	}
	return u.State > known.State
}

// valid reports whether an update that came from the network can be used.
func (u Update) valid() bool {
	return u.Member.Address != 0 && u.Member.Zone < MaximumZones && u.State <= StateLeft
}

// Kind is the purpose of a message.
type Kind uint8

// The kinds of messages.
const (
	// KindPing asks for a KindAck with the same sequence.
	KindPing Kind = iota
	// KindAck answers a ping, or passes on the answer of Target.
	KindAck
	// KindPingRequest asks the receiver to ping Target.
	KindPingRequest
	// KindSyncRequest asks for what is known of zone Digest.Zone, or allZones, and not in
	// Known.
	KindSyncRequest
	// KindSyncResponse is one part of the answer to a sync request.
	KindSyncResponse
	// KindLeave says that the sender stops.
	KindLeave
)

// ZoneDigest is a hash over the live members of a zone. It differs, but for
// chance, between members that know the zone differently.
type ZoneDigest struct {
	Zone Zone
	Hash uint32
}

// Message is the only type of datagram.
type Message struct {
	Kind     Kind
	Sender   Update
	Sequence uint32
	// Target is the member that an indirect ping concerns, otherwise zero.
	Target Address
	// Updates are changes passed along, or in a sync response the members.
	Updates []Update
	// Digest is the sender's view of one zone.
	Digest ZoneDigest
	// CatchingUp is set while the sender still learns what others know; its
	// digest then tells nothing.
	CatchingUp bool
	// ZoneAges gives, between members of one zone, for each zone by number how
	// long ago the sender's zone heard of it, in units of ageUnit;
	// ageUnknown means too long or never.
	ZoneAges []byte
	// Digests are the sender's views of all zones, only in sync responses.
	Digests []ZoneDigest
	// KnownFilter is the summary of what the sender of a sync request knows of the zone, salted
	// by Sequence.
	KnownFilter []byte
	// Attachment is opaque; the sender set it by SetAttachment.
	Attachment []byte
}
