package balancer

import (
	"net/netip"

	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/packet"
)

// Decision is what becomes of one datagram. Destination and Datagram are set
// only when Reason is Forwarded.
type Decision struct {
	Reason Reason
	// Destination is the agent to send Datagram to.
	Destination netip.AddrPort
	// Datagram is the UDP payload to send; it uses the output buffer given to
	// Decide if that is large enough.
	Datagram []byte
}

// Decider decides about one datagram at a time. It does no I/O, reads no
// clock and keeps nothing between datagrams but buffers that it reuses, so it
// is not safe for concurrent use.
type Decider struct {
	outer    *encap.Decoder
	inner    *packet.Decoder
	encap    *encap.Encoder
	datagram encap.Datagram
	summary  packet.Summary
}

// NewDecider returns a decider.
func NewDecider() *Decider {
	return &Decider{outer: encap.NewDecoder(), inner: packet.NewDecoder(), encap: encap.NewEncoder()}
}

// Decide reads a datagram from the fabric, looks up its target in table, which
// may be nil, and encapsulates the packet for it in output[:0].
func (d *Decider) Decide(table *lookup.Table, datagram, output []byte) Decision {
	if table == nil {
		return Decision{Reason: NoTable}
	}
	content, reason := d.unwrap(datagram)
	if reason != Forwarded {
		return Decision{Reason: reason}
	}
	target, reason := d.target(table, content)
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
		Datagram:    d.encap.AppendRouted(output[:0], target.Service, routing, content),
	}
}

// unwrap returns the IPv4 packet inside a datagram from the fabric.
func (d *Decider) unwrap(datagram []byte) ([]byte, Reason) {
	if outcome := d.outer.DecodeInto(datagram, &d.datagram); outcome != encap.Decoded {
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

// target returns the row for a packet; it is nil unless the reason is
// Forwarded.
func (d *Decider) target(table *lookup.Table, content []byte) (*lookup.Target, Reason) {
	if outcome := d.inner.DecodeInto(content, &d.summary); outcome != packet.Decoded {
		return nil, reasonOfPacket[outcome]
	}
	target, outcome := table.FindTarget(&d.summary.Flow)
	return target, reasonOfRoute[outcome]
}
