package balancer

import (
	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/label"
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/packet"
)

// Reason tells what became of a datagram: it was forwarded, or why it was
// dropped.
type Reason uint8

// The reasons. Every value but Forwarded is a reason for dropping.
const (
	// Forwarded marks a datagram that has a destination.
	Forwarded Reason = iota
	// NoTable: no lookup table has been published yet.
	NoTable
	// EncapMalformed: the Geneve header cannot be read.
	EncapMalformed
	// EncapVersion: the Geneve version is not 0.
	EncapVersion
	// EncapProtocol: the Geneve payload is not an IPv4 packet.
	EncapProtocol
	// EncapCriticalOption: a critical Geneve option is not understood.
	EncapCriticalOption
	// ControlMessage: control messages are between agents only.
	ControlMessage
	// AlreadyRouted: the datagram carries routing, so it is not from the
	// fabric.
	AlreadyRouted
	// Truncated: the packet is shorter than its headers say.
	Truncated
	// Oversized: the packet is longer than packet.MaxSize.
	Oversized
	// Fragmented: the packet is an IPv4 fragment.
	Fragmented
	// NotIPv4: the packet is not IPv4.
	NotIPv4
	// UnknownTransport: the packet carries neither TCP nor UDP.
	UnknownTransport
	// BadTCPFlags: the TCP flags contradict each other.
	BadTCPFlags
	// UnknownService: no service has the destination address.
	UnknownService
	// NoBackend: no row of the service may be given flows.
	NoBackend
	// SendFailed: the kernel refused to send the datagram.
	SendFailed
	reasonCount
)

// Reasons lists every reason, for counters that are kept by reason.
func Reasons() []Reason {
	return label.All(reasonCount)
}

var reasonNames = []string{
	"forwarded", "no_table",
	"encap_malformed", "encap_version", "encap_protocol", "encap_critical_option",
	"control", "already_routed",
	"truncated", "oversized", "fragmented", "not_ipv4", "unknown_transport", "bad_tcp_flags",
	"unknown_service", "no_backend", "send_failed",
}

// String returns the reason in the form used as a metric label.
func (r Reason) String() string { return label.Of(reasonNames, r) }

// The reason for every outcome of each step. An outcome that is missing here
// would be out of range, which stops the process as a broken invariant.
var (
	reasonOfEncap = [...]Reason{
		encap.Decoded:               Forwarded,
		encap.Malformed:             EncapMalformed,
		encap.WrongVersion:          EncapVersion,
		encap.WrongProtocol:         EncapProtocol,
		encap.UnknownCriticalOption: EncapCriticalOption,
	}
	reasonOfPacket = [...]Reason{
		packet.Decoded:          Forwarded,
		packet.Truncated:        Truncated,
		packet.Oversized:        Oversized,
		packet.Fragmented:       Fragmented,
		packet.NotIPv4:          NotIPv4,
		packet.UnknownTransport: UnknownTransport,
		packet.BadTCPFlags:      BadTCPFlags,
	}
	reasonOfRoute = [...]Reason{
		lookup.Routed:         Forwarded,
		lookup.UnknownService: UnknownService,
		lookup.NoBackend:      NoBackend,
	}
)
