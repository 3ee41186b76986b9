// Package segment describes the packets of flows that are carried whole: what
// routing needs to know of one, whatever its encoding on the network is.
//
// A flow is one connection between a client and an endpoint, opened by a
// three-way handshake as in TCP (RFC 9293). The packets are sealed by their
// two ends; a daemon can read their head but not change it.
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

// Address is an IPv4 address and port. It is smaller than netip.AddrPort and
// has no pointers, since there is one in every remembered flow.
type Address struct {
	IP   [4]byte
	Port uint16
}

// AddressOf converts an IPv4 address and port; the result is zero for others.
func AddressOf(address netip.AddrPort) Address {
	unmapped := address.Addr().Unmap()
	if !unmapped.Is4() {
		return Address{}
	}
	return Address{IP: unmapped.As4(), Port: address.Port()}
}

// AddrPort converts to the form of the standard library.
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

// FlowKey identifies a flow by its two ends as the client sees them.
type FlowKey struct {
	Client Address
	// Service is the address that the client connected to.
	Service Address
}

const flowKeySize = 12

// Hash returns the 64-bit xxHash of the key. Every process computes the same
// value for the same flow.
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
	// Synchronize opens a flow.
	Synchronize Flags = 1 << iota
	// Acknowledge marks Header.Acknowledgment as valid.
	Acknowledge
	// Finish ends one direction of a flow.
	Finish
	// Reset ends a flow at once.
	Reset
	// Returned marks a packet that an endpoint did not take.
	Returned
)

// Has reports whether all the given bits are set.
func (f Flags) Has(bits Flags) bool { return f&bits == bits }

// Header is what routing needs to know of one packet.
type Header struct {
	Source         Address
	Destination    Address
	Flags          Flags
	Sequence       uint32
	Acknowledgment uint32
	// Length is the number of bytes of data.
	Length int
	// SinceFirstAttempt is, in a packet that opens a flow, for how long its client has tried, as far
	// as the packet shows that it is a copy.
	SinceFirstAttempt time.Duration
}

// OpensFlow reports whether the packet is a client's first of a flow.
func (h Header) OpensFlow() bool {
	return h.Flags.Has(Synchronize) && !h.Flags.Has(Acknowledge)
}

// Outcome tells whether a packet could be decoded and, if not, why.
type Outcome uint8

// The outcomes of decoding. Every value but Decoded is a reason for dropping.
const (
	Decoded Outcome = iota
	Truncated
	Oversized
	BadLength
	BadFlags
	outcomeCount
)

// Outcomes lists every outcome, for counters that are kept by reason.
func Outcomes() []Outcome { return label.All(outcomeCount) }

var outcomeNames = []string{"decoded", "truncated", "oversized", "bad_length", "bad_flags"}

// String returns the outcome in the form used as a metric label.
func (o Outcome) String() string { return label.Of(outcomeNames, o) }

// Codec reads and writes one encoding of packets. Implementations keep nothing
// between calls.
type Codec interface {
	// Decode reads the head of a packet.
	Decode(packet []byte) (Header, Outcome)
	// RequestID returns the identifier of the request whose first packet this is, as
	// far as its data show one, else an empty text.
	RequestID(packet []byte) string
	// Answer reads how a request went from the first packet of its answer.
	Answer(packet []byte) Answer
	// ClearReturned removes, in place, the mark of a packet that an endpoint
	// did not take, so that it can be offered to another endpoint.
	ClearReturned(packet []byte)
	// AppendReset appends a reset from the address of a service to a client.
	AppendReset(output []byte, key FlowKey, sequence uint32) []byte
}
