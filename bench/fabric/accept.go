// This file recognizes the packets with which agents accept TCP connections.

package fabric

import (
	"encoding/binary"
	"net/netip"

	"github.com/vanetiller/vanetiller/internal/table"
)

// AcceptedConnection is a TCP connection that an agent accepted.
type AcceptedConnection struct {
	// Agent is the UDP address from which the answer came.
	Agent netip.AddrPort
	// Caller and Service are the endpoints of the connection.
	Caller  netip.AddrPort
	Service netip.AddrPort
	// Acknowledged distinguishes successive connections between the same endpoints.
	Acknowledged uint32
}

const (
	ipv4ProtocolOffset       = 9
	ipv4SourceOffset         = 12
	ipv4HeaderLengthMask     = 0x0f
	ipv4HeaderLengthUnit     = 4
	tcpMinimumHeader         = 20
	tcpDestinationPortOffset = 2
	tcpAcknowledgedOffset    = 8
	tcpFlagsOffset           = 13
	tcpFlagSYN               = 0x02
	tcpFlagRST               = 0x04
	tcpFlagACK               = 0x10
)

// parseAccept parses an answer whose IPv4 header has been checked. It returns false unless
// the answer is a TCP segment with SYN and ACK and without RST.
func parseAccept(agent netip.AddrPort, packet []byte) (AcceptedConnection, bool) {
	header := int(packet[0]&ipv4HeaderLengthMask) * ipv4HeaderLengthUnit
	if table.Protocol(packet[ipv4ProtocolOffset]) != table.ProtocolTCP || len(packet) < header+tcpMinimumHeader {
		return AcceptedConnection{}, false
	}
	segment := packet[header:]
	const examined = tcpFlagSYN | tcpFlagACK | tcpFlagRST
	if segment[tcpFlagsOffset]&examined != tcpFlagSYN|tcpFlagACK {
		return AcceptedConnection{}, false
	}
	source := netip.AddrFrom4([4]byte(packet[ipv4SourceOffset:ipv4DestinationOffset]))
	destination := netip.AddrFrom4([4]byte(packet[ipv4DestinationOffset:ipv4HeaderSize]))
	return AcceptedConnection{
		Agent:        agent,
		Caller:       netip.AddrPortFrom(destination, binary.BigEndian.Uint16(segment[tcpDestinationPortOffset:])),
		Service:      netip.AddrPortFrom(source, binary.BigEndian.Uint16(segment)),
		Acknowledged: binary.BigEndian.Uint32(segment[tcpAcknowledgedOffset:]),
	}, true
}
