// Package packet decodes IPv4 packets of callers that carry TCP or UDP. For each packet it
// returns the flow that the packet belongs to, for routing, or a typed reason to drop it.
//
// gopacket decodes the layers. This package reuses them between packets, so that decoding
// allocates no memory.
package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/gopacket/gopacket/layers"

	"github.com/vanetiller/vanetiller/internal/label"
	"github.com/vanetiller/vanetiller/internal/table"
)

// Flow is the five-tuple that identifies a transport flow.
type Flow struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Protocol    table.Protocol
}

const flowEncodingSize = 4 + 2 + 4 + 2 + 1

// Hash returns the 64-bit xxHash of the flow. All processes compute the same value for the
// same flow.
func (f Flow) Hash() uint64 {
	var encoded [flowEncodingSize]byte
	source := ipv4Bits(f.Source)
	destination := ipv4Bits(f.Destination)
	// The stores are as wide as the loads of Sum64. A wide load after narrower stores would
	// stall the processor.
	first := uint64(source)<<32 | uint64(f.Source.Port())<<16 | uint64(destination)>>16
	binary.BigEndian.PutUint64(encoded[0:], first)
	binary.BigEndian.PutUint32(encoded[8:], destination<<16|uint32(f.Destination.Port()))
	encoded[12] = byte(f.Protocol)
	return xxhash.Sum64(encoded[:])
}

func ipv4Bits(endpoint netip.AddrPort) uint32 {
	address := endpoint.Addr().As4()
	return binary.BigEndian.Uint32(address[:])
}

// Outcome says whether a packet could be decoded and, if not, why.
type Outcome uint8

// The outcomes of Decode. Every value but Decoded is a reason to drop the packet.
const (
	Decoded Outcome = iota
	Truncated
	Oversized
	Fragmented
	NotIPv4
	UnknownTransport
	BadTCPFlags
	outcomeCount
)

// Outcomes returns all outcomes, for counters by outcome.
func Outcomes() []Outcome {
	return label.All(outcomeCount)
}

var outcomeNames = []string{"decoded", "truncated", "oversized", "fragmented", "not_ipv4", "unknown_transport", "bad_tcp_flags"}

// String returns the outcome as a metric label.
func (o Outcome) String() string { return label.Of(outcomeNames, o) }

// MaxSize is the size of the largest IPv4 packet that is decoded, in bytes.
const MaxSize = 9000

// Summary holds the fields of a packet that routing needs.
type Summary struct {
	Flow Flow
	// Sequence is the TCP sequence number. If Opening is set, it is the initial sequence
	// number, which distinguishes successive uses of one five-tuple.
	Sequence uint32
	// Opening is set for a TCP segment with SYN and without ACK.
	Opening bool
	// Reset is set for a TCP segment with RST.
	Reset bool
	// Closing is set for a TCP segment with FIN.
	Closing bool
	// PayloadLength is the number of bytes after the transport header.
	PayloadLength int
}

// Decoder decodes packets without allocating. It is not safe for concurrent
// use.
type Decoder struct {
	ip       layers.IPv4
	tcp      layers.TCP
	udp      layers.UDP
	feedback truncation
}

// truncation records that a layer was shorter than the length in its header.
type truncation struct{ found bool }

// SetTruncated implements gopacket.DecodeFeedback.
func (t *truncation) SetTruncated() { t.found = true }

// NewDecoder returns a decoder for IPv4 packets that carry TCP or UDP.
func NewDecoder() *Decoder { return &Decoder{} }

// Decode decodes one IPv4 packet. The summary is valid only if the outcome is Decoded.
func (d *Decoder) Decode(data []byte) (Summary, Outcome) {
	var summary Summary
	outcome := d.DecodeInto(data, &summary)
	return summary, outcome
}

// DecodeInto is like Decode, for callers that reuse a summary, which avoids copying it. The
// summary is modified only if the outcome is Decoded.
//
// It decodes the layers one by one, since gopacket.DecodingLayerParser costs more than the
// decoding itself.
func (d *Decoder) DecodeInto(data []byte, summary *Summary) Outcome {
	if outcome := checkHeader(data); outcome != Decoded {
		return outcome
	}
	d.feedback.found = false
	if d.isTruncated(d.ip.DecodeFromBytes(data, &d.feedback)) {
		return Truncated
	}
	switch d.ip.Protocol {
	case layers.IPProtocolTCP:
		return d.decodeTCP(summary)
	case layers.IPProtocolUDP:
		return d.decodeUDP(summary)
	}
	return UnknownTransport
}

func (d *Decoder) isTruncated(err error) bool {
	return err != nil || d.feedback.found
}

const (
	ipv4MinimumHeader  = 20
	ipv4FragmentMask   = 0x3fff
	ipv4FragmentOffset = 6
)

func checkHeader(data []byte) Outcome {
	switch {
	case len(data) < ipv4MinimumHeader:
		return Truncated
	case data[0]>>4 != 4:
		return NotIPv4
	case len(data) > MaxSize:
		return Oversized
	case binary.BigEndian.Uint16(data[ipv4FragmentOffset:])&ipv4FragmentMask != 0:
		return Fragmented
	}
	return Decoded
}

func (d *Decoder) decodeTCP(summary *Summary) Outcome {
	if d.isTruncated(d.tcp.DecodeFromBytes(d.ip.Payload, &d.feedback)) {
		return Truncated
	}
	if d.tcp.SYN && (d.tcp.FIN || d.tcp.RST) {
		return BadTCPFlags
	}
	d.setFlow(&summary.Flow, uint16(d.tcp.SrcPort), uint16(d.tcp.DstPort), table.ProtocolTCP)
	summary.Sequence = d.tcp.Seq
	summary.Opening = d.tcp.SYN && !d.tcp.ACK
	summary.Reset = d.tcp.RST
	summary.Closing = d.tcp.FIN
	summary.PayloadLength = len(d.tcp.Payload)
	return Decoded
}

func (d *Decoder) decodeUDP(summary *Summary) Outcome {
	if d.isTruncated(d.udp.DecodeFromBytes(d.ip.Payload, &d.feedback)) {
		return Truncated
	}
	d.setFlow(&summary.Flow, uint16(d.udp.SrcPort), uint16(d.udp.DstPort), table.ProtocolUDP)
	summary.Sequence = 0
	summary.Opening = false
	summary.Reset = false
	summary.Closing = false
	summary.PayloadLength = len(d.udp.Payload)
	return Decoded
}

func (d *Decoder) setFlow(flow *Flow, sourcePort, destinationPort uint16, protocol table.Protocol) {
	flow.Source = netip.AddrPortFrom(netip.AddrFrom4([4]byte(d.ip.SrcIP)), sourcePort)
	flow.Destination = netip.AddrPortFrom(netip.AddrFrom4([4]byte(d.ip.DstIP)), destinationPort)
	flow.Protocol = protocol
}
