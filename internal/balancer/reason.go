package balancer

import (
	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/label"
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/packet"
)

// Reason is the result of the decision about a datagram: Forwarded, or the reason
// for which it was dropped.
type Reason uint8

// The reasons. Every value except Forwarded is a drop reason.
const (
	// Forwarded: the datagram is sent to an agent.
	Forwarded Reason = iota
	// NoTable: no lookup table has been published yet.
	NoTable
	// EncapMalformed: the Geneve header is malformed.
	EncapMalformed
	// EncapVersion: the Geneve version is not 0.
	EncapVersion
	// EncapProtocol: the Geneve payload is not an IPv4 packet.
	EncapProtocol
	// EncapCriticalOption: the Geneve header has an unknown critical option.
	EncapCriticalOption
	// ControlMessage: the datagram is a control message, which only agents
	// exchange.
	ControlMessage
	// AlreadyRouted: the datagram carries routing and therefore did not come
	// from the fabric.
	AlreadyRouted
	// Truncated: the packet is shorter than its headers state.
	Truncated
	// Oversized: the packet is longer than packet.MaxSize.
	Oversized
	// Fragmented: the packet is an IPv4 fragment.
	Fragmented
	// NotIPv4: the packet is not IPv4.
	NotIPv4
	// UnknownTransport: the packet carries neither TCP nor UDP.
	UnknownTransport
	// BadTCPFlags: the combination of TCP flags is invalid.
	BadTCPFlags
	// UnknownService: no service has the destination address, port and
	// protocol.
	UnknownService
	// NoBackend: no row of the service accepts new flows.
	NoBackend
	// SendFailed: the kernel refused to send the datagram.
	SendFailed
	reasonCount
)

// Reasons returns every reason, for counters with a label for the reason.
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

// These arrays map the outcomes of each step to reasons. An outcome beyond the end of
// its array violates an invariant, and the index expression panics.
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
