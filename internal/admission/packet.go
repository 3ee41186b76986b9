package admission

import (
	"encoding/binary"
	"net/netip"

	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/packet"
	"github.com/vanetiller/vanetiller/internal/table"
)

// Packet is a caller's packet as it arrived at the agent. The machine may keep
// Data of packets whose flow is undecided, so the caller must not reuse it.
type Packet struct {
	Summary packet.Summary
	Routing encap.Routing
	Data    []byte
}

// FlowKeyOf returns the flow key of a caller's address.
func FlowKeyOf(source netip.AddrPort) FlowKey {
	address := source.Addr().As4()
	return FlowKey(binary.BigEndian.Uint32(address[:]))<<16 | FlowKey(source.Port())
}

// opensFlow reports whether the packet may be the first of a flow.
func (p Packet) opensFlow() bool {
	return p.Summary.Opening || p.Summary.Flow.Protocol == table.ProtocolUDP
}

// sequence returns what tells apart successive flows with one key: the initial
// sequence number of TCP; UDP has nothing of the kind.
func (p Packet) sequence() uint32 {
	if p.Summary.Opening {
		return p.Summary.Sequence
	}
	return 0
}
