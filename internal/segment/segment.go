// Package segment defines what the daemons need of a packet to route its flow,
// independent of the encoding of packets on the network. A Codec reads that from the packets
// of one encoding.
//
// A flow is one connection between a client and an endpoint, opened by a three-way handshake
// as in TCP (RFC 9293). Daemons forward its packets unchanged: the client and the endpoint
// protect the integrity of packets, so a daemon can read the header but not modify it.
package segment

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanetiller/vanetiller/internal/label"
)

// Address is an IPv4 address and port. It is smaller than netip.AddrPort and has no
// pointers, since every entry of a flow table holds addresses.
type Address struct {
	IP   [4]byte
	Port uint16
}

// AddressOf converts an IPv4 address and port. It returns the zero Address for others.
func AddressOf(address netip.AddrPort) Address {
	unmapped := address.Addr().Unmap()
	if !unmapped.Is4() {
		return Address{}
	}
	return Address{IP: unmapped.As4(), Port: address.Port()}
}

// AddrPort converts the address to a netip.AddrPort.
func (a Address) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(a.IP), a.Port)
}

// WithPort returns the same IP address with another port.
func (a Address) WithPort(port uint16) Address { return Address{a.IP, port} }

// Compare orders addresses by IP address, then port.
func (a Address) Compare(b Address) int {
	return cmp.Or(slices.Compare(a.IP[:], b.IP[:]), cmp.Compare(a.Port, b.Port))
}

// IsZero reports whether the address is not set.
func (a Address) IsZero() bool { return a == Address{} }

// String returns the address as text, such as 192.0.2.1:443.
func (a Address) String() string { return a.AddrPort().String() }

// FlowKey identifies a flow by its two addresses as the client sees them.
type FlowKey struct {
	Client Address
	// Service is the address that the client connects to.
	Service Address
}

const flowKeySize = 12

// Hash returns the 64-bit xxHash of the key. All processes compute the same value for the
// same flow.
func (k FlowKey) Hash() uint64 {
	var encoded [flowKeySize]byte
	copy(encoded[0:4], k.Client.IP[:])
	binary.BigEndian.PutUint16(encoded[4:6], k.Client.Port)
	copy(encoded[6:10], k.Service.IP[:])
	binary.BigEndian.PutUint16(encoded[10:12], k.Service.Port)
	return xxhash.Sum64(encoded[:])
}

// Flags are the control bits of a packet.
type Flags uint8

// The control bits.
const (
	// Synchronize opens a flow (SYN).
	Synchronize Flags = 1 << iota
	// Acknowledge marks Header.Acknowledgment as valid (ACK).
	Acknowledge
	// Finish ends one direction of a flow (FIN).
	Finish
	// Reset aborts a flow (RST).
	Reset
	// Returned marks a packet that an endpoint did not accept and sent back.
	Returned
)

// Has reports whether all given bits are set.
func (f Flags) Has(bits Flags) bool { return f&bits == bits }

// Header holds the fields of a packet that routing needs.
type Header struct {
	Source         Address
	Destination    Address
	Flags          Flags
	Sequence       uint32
	Acknowledgment uint32
	// Length is the number of payload bytes.
	Length int
	// SinceFirstAttempt is set for a packet that opens a flow. It is the time since the client
	// first sent that packet, as far as the packet shows that it is a retransmission.
	SinceFirstAttempt time.Duration
}

// OpensFlow reports whether the packet is the first of a flow, sent by the client.
func (h Header) OpensFlow() bool {
	return h.Flags.Has(Synchronize) && !h.Flags.Has(Acknowledge)
}

// Outcome says whether a packet could be decoded and, if not, why.
type Outcome uint8

// The outcomes of decoding. Every value but Decoded is a reason to drop the packet.
const (
	Decoded Outcome = iota
	Truncated
	Oversized
	BadLength
	BadFlags
	outcomeCount
)

// Outcomes returns all outcomes, for counters by outcome.
func Outcomes() []Outcome { return label.All(outcomeCount) }

var outcomeNames = []string{"decoded", "truncated", "oversized", "bad_length", "bad_flags"}

// String returns the outcome as a metric label.
func (o Outcome) String() string { return label.Of(outcomeNames, o) }

// Codec reads and writes one encoding of packets. Implementations are stateless.
type Codec interface {
	// Decode reads the header of a packet.
	Decode(packet []byte) (Header, Outcome)
	// RequestID returns the identifier of the request that starts in the packet, or an empty
	// string if the payload shows none.
	RequestID(packet []byte) string
	// Answer reads the result of a request from the first packet of its answer.
	Answer(packet []byte) Answer
	// ClearReturned clears Returned in place, so that the packet can be offered to another
	// endpoint.
	ClearReturned(packet []byte)
	// AppendReset appends a reset packet from the address of a service to a client.
	AppendReset(output []byte, key FlowKey, sequence uint32) []byte
}
