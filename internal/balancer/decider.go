package balancer

import (
	"net/netip"

	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/packet"
)

// Decision is the result of Decider.Decide for one datagram. Destination and
// Datagram are set only if Reason is Forwarded.
type Decision struct {
	Reason Reason
	// Destination is the address of the agent to which Datagram is sent.
	Destination netip.AddrPort
	// Datagram is the UDP payload to send. It uses the output buffer passed to
	// Decide if that is large enough.
	Datagram []byte
}

// Decider decides for one datagram at a time whether and where it is forwarded. It
// does no I/O and reads no clock. It keeps no state between datagrams except
// buffers that it reuses, which make it unsafe for concurrent use.
type Decider struct {
	encapDecoder  *encap.Decoder
	packetDecoder *packet.Decoder
	encoder       *encap.Encoder
	datagram      encap.Datagram
	summary       packet.Summary
}

// NewDecider returns a Decider with its own buffers.
func NewDecider() *Decider {
	return &Decider{encapDecoder: encap.NewDecoder(), packetDecoder: packet.NewDecoder(), encoder: encap.NewEncoder()}
}

// Decide decapsulates a datagram from the fabric, finds the target row of its packet
// in table, and encapsulates the packet for that row in output[:0]. The table may be
// nil, in which case the datagram is dropped.
func (d *Decider) Decide(table *lookup.Table, datagram, output []byte) Decision {
	if table == nil {
		return Decision{Reason: NoTable}
	}
	content, reason := d.decapsulate(datagram)
	if reason != Forwarded {
		return Decision{Reason: reason}
	}
	target, reason := d.findTarget(table, content)
	if reason != Forwarded {
		return Decision{Reason: reason}
	}
	routing := encap.Routing{
		Version:     table.Version(),
		Backend:     target.Backend,
		Incarnation: target.Incarnation,
	}
	return Decision{
		Destination: target.Agent,
		Datagram:    d.encoder.AppendRouted(output[:0], target.Service, routing, content),
	}
}

// decapsulate returns the IPv4 packet inside a datagram from the fabric.
func (d *Decider) decapsulate(datagram []byte) ([]byte, Reason) {
	if outcome := d.encapDecoder.DecodeInto(datagram, &d.datagram); outcome != encap.Decoded {
		return nil, reasonOfEncap[outcome]
	}
	if d.datagram.Control {
		return nil, ControlMessage
	}
	if d.datagram.HasRouting {
		return nil, AlreadyRouted
	}
	return d.datagram.Packet, Forwarded
}

// findTarget returns the primary row for a packet. It is nil unless the reason is
// Forwarded.
func (d *Decider) findTarget(table *lookup.Table, content []byte) (*lookup.Target, Reason) {
	if outcome := d.packetDecoder.DecodeInto(content, &d.summary); outcome != packet.Decoded {
		return nil, reasonOfPacket[outcome]
	}
	target, outcome := table.FindTarget(&d.summary.Flow)
	return target, reasonOfRoute[outcome]
}
