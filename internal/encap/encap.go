// Package encap encodes and decodes Geneve datagrams over UDP (RFC 8926). They carry IPv4
// packets between fabric, balancers and agents, and control messages between agents.
//
// The virtual network identifier is the service identifier. An option carries the addressed
// row and the table version of the sender. With it, the receiving agent checks that the
// packet is meant for it, and resolves differences between table versions.
package encap

import (
	"encoding/binary"
	"github.com/vanetiller/vanetiller/internal/label"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/vanetiller/vanetiller/internal/table"
)

// Routing is the content of the Geneve option that balancers add.
type Routing struct {
	// Version is the table version that the sender used.
	Version table.Version
	// Backend is the addressed row.
	Backend table.BackendID
	// Incarnation is the incarnation of the addressed row.
	Incarnation table.Incarnation
	// Hops is the number of agents that have forwarded the packet.
	Hops uint8
	// HandedOver is set if the agent that decides about a new flow has chosen the addressed
	// agent to open it.
	HandedOver bool
}

const (
	optionClass      = 0xff56 // from the experimental range of RFC 8926
	optionType       = 1
	routingSize      = 20
	flagHandedOver   = 1
	geneveHeaderSize = 8
	// controlProtocol is the EtherType for local experiments (IEEE 802). Together with the
	// control bit of Geneve it marks control messages.
	controlProtocol  = layers.EthernetType(0x88b5)
	optionHeaderSize = 4
	// Overhead is the number of bytes between the UDP header and an encapsulated IPv4 packet
	// with routing.
	Overhead = geneveHeaderSize + optionHeaderSize + routingSize
)

// Encoder writes Geneve headers without allocating. It is not safe for
// concurrent use.
type Encoder struct {
	buffer  gopacket.SerializeBuffer
	header  layers.Geneve
	option  layers.GeneveOption
	options [1]*layers.GeneveOption
	data    [routingSize]byte
}

// NewEncoder returns an encoder.
func NewEncoder() *Encoder {
	encoder := &Encoder{buffer: gopacket.NewSerializeBufferExpectedSize(Overhead, 0)}
	encoder.header.Protocol = layers.EthernetTypeIPv4
	encoder.option = layers.GeneveOption{Class: optionClass, Type: optionType, Data: encoder.data[:]}
	encoder.options[0] = &encoder.option
	return encoder
}

// AppendPlain appends a Geneve header without options and the packet to destination. The
// fabric sends packets in this form.
func (e *Encoder) AppendPlain(destination, packet []byte) []byte {
	e.header.VNI = 0
	e.header.Options = nil
	return e.append(destination, packet)
}

// AppendControl appends a Geneve header with the control bit and an encoded control message
// to destination.
func (e *Encoder) AppendControl(destination []byte, service table.ServiceID, message []byte) []byte {
	e.header.VNI = uint32(service)
	e.header.Options = nil
	e.header.OAMPacket = true
	e.header.Protocol = controlProtocol
	destination = e.append(destination, message)
	e.header.OAMPacket = false
	e.header.Protocol = layers.EthernetTypeIPv4
	return destination
}

// AppendRouted appends a Geneve header with the routing option and the packet to destination.
func (e *Encoder) AppendRouted(destination []byte, service table.ServiceID, routing Routing, packet []byte) []byte {
	binary.BigEndian.PutUint64(e.data[0:], uint64(routing.Version))
	binary.BigEndian.PutUint32(e.data[8:], uint32(routing.Backend))
	binary.BigEndian.PutUint32(e.data[12:], uint32(routing.Incarnation))
	e.data[16] = routing.Hops
	e.data[17] = 0
	if routing.HandedOver {
		e.data[17] = flagHandedOver
	}
	e.header.VNI = uint32(service)
	e.header.Options = e.options[:]
	return e.append(destination, packet)
}

func (e *Encoder) append(destination, packet []byte) []byte {
	if err := e.buffer.Clear(); err != nil {
		panic("encap: clear an in-memory buffer: " + err.Error())
	}
	if err := e.header.SerializeTo(e.buffer, gopacket.SerializeOptions{FixLengths: true}); err != nil {
		panic("encap: encode a Geneve header, whose service identifier must have at most 24 bits: " + err.Error())
	}
	destination = append(destination, e.buffer.Bytes()...)
	return append(destination, packet...)
}

// Outcome says whether a datagram could be decoded and, if not, why.
type Outcome uint8

// The outcomes of Decode.
const (
	Decoded Outcome = iota
	Malformed
	WrongVersion
	WrongProtocol
	UnknownCriticalOption
	outcomeCount
)

// Outcomes returns all outcomes, for counters by outcome.
func Outcomes() []Outcome {
	return label.All(outcomeCount)
}

var outcomeNames = []string{"decoded", "malformed", "wrong_version", "wrong_protocol", "unknown_critical_option"}

// String returns the outcome as a metric label.
func (o Outcome) String() string { return label.Of(outcomeNames, o) }

// Datagram is a decoded Geneve datagram. Packet is a slice of the decoded bytes. It holds an
// IPv4 packet, or a control message if Control is set.
type Datagram struct {
	Service    table.ServiceID
	Control    bool
	Routing    Routing
	HasRouting bool
	Packet     []byte
}

// Decoder decodes Geneve datagrams. It is not safe for concurrent use.
type Decoder struct {
	header layers.Geneve
}

// NewDecoder returns a decoder.
func NewDecoder() *Decoder { return &Decoder{} }

// Decode decodes one UDP payload. It does not allocate for a datagram without options.
func (d *Decoder) Decode(data []byte) (Datagram, Outcome) {
	var datagram Datagram
	if outcome := d.DecodeInto(data, &datagram); outcome != Decoded {
		return Datagram{}, outcome
	}
	return datagram, Decoded
}

// DecodeInto is like Decode, for callers that reuse a datagram, which avoids copying it. The
// datagram is valid only if the outcome is Decoded.
func (d *Decoder) DecodeInto(data []byte, datagram *Datagram) Outcome {
	if err := d.header.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return Malformed
	}
	if !d.optionsLengthValid() {
		return Malformed
	}
	if d.header.Version != 0 {
		return WrongVersion
	}
	control := d.header.OAMPacket
	if d.header.Protocol != payloadProtocol(control) {
		return WrongProtocol
	}
	datagram.Service = table.ServiceID(d.header.VNI)
	datagram.Control = control
	datagram.HasRouting = false
	datagram.Routing = Routing{}
	datagram.Packet = d.header.Payload
	return d.readOptions(datagram)
}

func (d *Decoder) readOptions(datagram *Datagram) Outcome {
	for _, option := range d.header.Options {
		if option.Class == optionClass && option.Type == optionType && len(option.Data) == routingSize {
			datagram.Routing = decodeRouting(option.Data)
			datagram.HasRouting = true
			continue
		}
		if d.header.CriticalOption {
			return UnknownCriticalOption
		}
	}
	return Decoded
}

// optionsLengthValid reports whether the options end where the length in the header says.
// The library accepts an option that exceeds this length and takes the packet to start after
// it. It also computes the offset of the packet in 8 bits, which can overflow.
func (d *Decoder) optionsLengthValid() bool {
	return len(d.header.Contents) == geneveHeaderSize+int(d.header.OptionsLength)
}

func payloadProtocol(control bool) layers.EthernetType {
	if control {
		return controlProtocol
	}
	return layers.EthernetTypeIPv4
}

func decodeRouting(data []byte) Routing {
	return Routing{
		Version:     table.Version(binary.BigEndian.Uint64(data[0:])),
		Backend:     table.BackendID(binary.BigEndian.Uint32(data[8:])),
		Incarnation: table.Incarnation(binary.BigEndian.Uint32(data[12:])),
		Hops:        data[16],
		HandedOver:  data[17]&flagHandedOver != 0,
	}
}
