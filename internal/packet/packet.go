// Package packet decodes the IPv4 packets of callers and derives the flow
// that each belongs to.
//
// Decoding is gopacket's; this package only keeps the decoding layers together
// so that a decode needs no allocation, and turns its outcome into a typed
// reason for dropping.
package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/vanetiller/vanetiller/internal/table"
)

// Flow identifies a transport flow by its five-tuple.
type Flow struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Protocol    table.Protocol
}

const flowEncodingSize = 4 + 2 + 4 + 2 + 1

// Hash returns the 64-bit xxHash of the flow. Every process computes the same
// value for the same flow.
func (f Flow) Hash() uint64 {
	var encoded [flowEncodingSize]byte
	source := f.Source.Addr().As4()
	destination := f.Destination.Addr().As4()
	copy(encoded[0:4], source[:])
	binary.BigEndian.PutUint16(encoded[4:6], f.Source.Port())
	copy(encoded[6:10], destination[:])
	binary.BigEndian.PutUint16(encoded[10:12], f.Destination.Port())
	encoded[12] = byte(f.Protocol)
	return xxhash.Sum64(encoded[:])
}

// Outcome tells whether a packet could be decoded and, if not, why.
type Outcome uint8

// The outcomes of Decode. Every value but Decoded is a reason for dropping.
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

// Outcomes lists every outcome, for counters that are kept by reason.
func Outcomes() []Outcome {
	all := make([]Outcome, outcomeCount)
	for i := range all {
		all[i] = Outcome(i)
	}
	return all
}

// String returns the outcome in the form used as a metric label.
func (o Outcome) String() string {
	names := [...]string{"decoded", "truncated", "oversized", "fragmented", "not_ipv4", "unknown_transport", "bad_tcp_flags"}
	if int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

// MaxSize is the largest IPv4 packet that is carried, in bytes.
const MaxSize = 9000

// Summary is what routing needs to know about one packet.
type Summary struct {
	Flow Flow
	// Sequence is the TCP sequence number; with Opening set it is the initial
	// sequence number that tells apart successive uses of one five-tuple.
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
	ip      layers.IPv4
	tcp     layers.TCP
	udp     layers.UDP
	payload gopacket.Payload
	parser  *gopacket.DecodingLayerParser
	decoded []gopacket.LayerType
}

// NewDecoder returns a decoder for IPv4 packets that carry TCP or UDP.
func NewDecoder() *Decoder {
	decoder := &Decoder{decoded: make([]gopacket.LayerType, 0, 4)}
	decoder.parser = gopacket.NewDecodingLayerParser(
		layers.LayerTypeIPv4, &decoder.ip, &decoder.tcp, &decoder.udp, &decoder.payload)
	decoder.parser.IgnoreUnsupported = true
	return decoder
}

// Decode reads one IPv4 packet. The summary is meaningful only when the
// outcome is Decoded.
func (d *Decoder) Decode(data []byte) (Summary, Outcome) {
	if outcome := checkShape(data); outcome != Decoded {
		return Summary{}, outcome
	}
	if err := d.parser.DecodeLayers(data, &d.decoded); err != nil {
		return Summary{}, Truncated
	}
	if d.parser.Truncated {
		return Summary{}, Truncated
	}
	if len(d.decoded) < 2 {
		return Summary{}, UnknownTransport
	}
	switch d.decoded[1] {
	case layers.LayerTypeTCP:
		return d.summarizeTCP()
	case layers.LayerTypeUDP:
		return Summary{
			Flow:          d.flow(uint16(d.udp.SrcPort), uint16(d.udp.DstPort), table.ProtocolUDP),
			PayloadLength: len(d.udp.Payload),
		}, Decoded
	}
	return Summary{}, UnknownTransport
}

const (
	ipv4MinimumHeader  = 20
	ipv4FragmentMask   = 0x3fff
	ipv4FragmentOffset = 6
)

func checkShape(data []byte) Outcome {
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

func (d *Decoder) summarizeTCP() (Summary, Outcome) {
	if d.tcp.SYN && (d.tcp.FIN || d.tcp.RST) {
		return Summary{}, BadTCPFlags
	}
	return Summary{
		Flow:          d.flow(uint16(d.tcp.SrcPort), uint16(d.tcp.DstPort), table.ProtocolTCP),
		Sequence:      d.tcp.Seq,
		Opening:       d.tcp.SYN && !d.tcp.ACK,
		Reset:         d.tcp.RST,
		Closing:       d.tcp.FIN,
		PayloadLength: len(d.tcp.Payload),
	}, Decoded
}

func (d *Decoder) flow(sourcePort, destinationPort uint16, protocol table.Protocol) Flow {
	var source, destination [4]byte
	copy(source[:], d.ip.SrcIP)
	copy(destination[:], d.ip.DstIP)
	return Flow{
		Source:      netip.AddrPortFrom(netip.AddrFrom4(source), sourcePort),
		Destination: netip.AddrPortFrom(netip.AddrFrom4(destination), destinationPort),
		Protocol:    protocol,
	}
}
