// This file defines the identifiers and messages of the membership protocol.

package membership

import (
	"encoding/binary"
	"net/netip"
)

//go:generate go tool msgp -tests=false
//msgp:limit arrays:128
//msgp:tuple Identity Update ZoneDigest Message

// Address is an IPv4 address and UDP port in one number: the address in bits 16 to 47, the
// port in bits 0 to 15. Zero means no address.
type Address uint64

const portBits = 16

// AddressOf converts an IPv4 address and port. It returns false for any other kind of
// address.
func AddressOf(endpoint netip.AddrPort) (Address, bool) {
	ip := endpoint.Addr().Unmap()
	if !ip.Is4() {
		return 0, false
	}
	octets := ip.As4()
	number := binary.BigEndian.Uint32(octets[:])
	return Address(number)<<portBits | Address(endpoint.Port()), true
}

// AddrPort returns the address as a netip.AddrPort.
func (a Address) AddrPort() netip.AddrPort {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], uint32(a>>portBits))
	return netip.AddrPortFrom(netip.AddrFrom4(octets), uint16(a))
}

// String returns the address as "192.0.2.1:7000".
func (a Address) String() string { return a.AddrPort().String() }

// Region is the number of a region of the fleet.
type Region uint8

// Zone is the number of a zone, unique across all regions and below MaxZones.
type Zone uint8

// MaxZones is the largest supported number of zones.
const MaxZones = 32

// allZones means every zone in a sync request and its response.
const allZones Zone = MaxZones

// Incarnation distinguishes successive processes at one address. It is the start time of
// the process in milliseconds since 1970. A process that receives a higher incarnation at
// its own address takes the next higher one, so that a clock that was set back does no
// harm.
type Incarnation uint64

// State is the state of a member as known to a process.
type State uint8

// The states of a member. With the same incarnation and number of refutations, the later
// state supersedes the earlier one.
const (
	// StateAlive: the member replies to pings.
	StateAlive State = iota
	// StateSuspect: the member did not reply and has not yet refuted the suspicion.
	StateSuspect
	// StateFailed: the member did not refute the suspicion in time.
	StateFailed
	// StateLeft: the member announced that it stops.
	StateLeft
)

// String returns the state as used in a metric label.
func (s State) String() string {
	names := [...]string{"alive", "suspect", "failed", "left"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// live reports whether a member in the state counts as running.
func (s State) live() bool { return s <= StateSuspect }

// Identity identifies one process and its location.
type Identity struct {
	Address     Address
	Region      Region
	Zone        Zone
	Incarnation Incarnation
}

// Update states that a member is in a state.
type Update struct {
	Member Identity
	// Refutations counts how often the process has refuted a suspicion.
	Refutations uint32
	State       State
}

// supersedes reports whether u is newer than known. Both concern the same address.
func (u Update) supersedes(known Update) bool {
	if u.Member.Incarnation != known.Member.Incarnation {
		return u.Member.Incarnation > known.Member.Incarnation
	}
	if u.Refutations != known.Refutations {
		return u.Refutations > known.Refutations
	}
	return u.State > known.State
}

// valid reports whether an update received from the network is well formed.
func (u Update) valid() bool {
	return u.Member.Address != 0 && u.Member.Zone < MaxZones && u.State <= StateLeft
}

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	// KindPing asks for a KindAck with the same sequence.
	KindPing Kind = iota
	// KindAck replies to a ping, or forwards the ack of Target.
	KindAck
	// KindPingRequest asks the receiver to ping Target.
	KindPingRequest
	// KindSyncRequest asks for the members of zone Digest.Zone, or of every zone if it is
	// allZones, that are not in KnownFilter.
	KindSyncRequest
	// KindSyncResponse is one part of the response to a sync request.
	KindSyncResponse
	// KindLeave announces that the sender stops.
	KindLeave
)

// ZoneDigest is a hash over the live members of a zone. Except for hash collisions it
// differs between members whose views of the zone differ.
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
	// Updates are gossiped changes, or the members in a sync response.
	Updates []Update
	// Digest is the sender's digest of one zone.
	Digest ZoneDigest
	// CatchingUp is set while the sender still fetches the state of the others. Receivers
	// ignore its digests then, unless they catch up themselves.
	CatchingUp bool
	// ZoneAges, sent between members of one zone, lists for each zone number how long ago
	// the sender's zone last received a message from that zone, in units of ageUnit.
	// ageUnknown means too long ago or never.
	ZoneAges []byte
	// Digests are the sender's digests of all zones, only in sync responses.
	Digests []ZoneDigest
	// KnownFilter is a Bloom filter of the members that the sender of a sync request lists,
	// salted by Sequence.
	KnownFilter []byte
	// Attachment is opaque data that the sender set by SetAttachment.
	Attachment []byte
}
