package admission

import (
	"encoding/binary"
	"net/netip"

	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/packet"
	"github.com/vanetiller/vanetiller/internal/table"
)

// Packet is a caller's packet as the agent received it. The machine may keep
// Data while the owner of the flow is undecided, so it must not be reused.
type Packet struct {
	Summary packet.Summary
	Routing encap.Routing
	Data    []byte
}

// FlowKeyOf returns the key of the flow that the caller at source opens.
func FlowKeyOf(source netip.AddrPort) FlowKey {
	address := source.Addr().As4()
	return FlowKey(binary.BigEndian.Uint32(address[:]))<<16 | FlowKey(source.Port())
}

// opensFlow reports whether the packet may be the first of a flow: a TCP
// segment that opens a connection, or any UDP datagram.
func (p Packet) opensFlow() bool {
	return p.Summary.Opening || p.Summary.Flow.Protocol == table.ProtocolUDP
}

// sequence returns the TCP initial sequence number of an opening segment, which
// distinguishes successive flows with the same key. It returns 0 for other
// packets; UDP has no equivalent.
func (p Packet) sequence() uint32 {
	if p.Summary.Opening {
		return p.Summary.Sequence
	}
	return 0
}
