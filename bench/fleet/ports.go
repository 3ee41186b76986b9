// This file implements the choice of free loopback ports.

package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// AnyPort is the loopback address with the port left to the system.
func AnyPort() netip.AddrPort { return netip.AddrPortFrom(loopback, 0) }

// Ports are chosen below the range from which Linux takes the ports of
// outgoing connections, so that no connection of the bench takes one between
// the choice and the start of the daemon that is to listen on it.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// FreeAddresses returns loopback addresses whose port is free for TCP and
// for UDP. They are all reserved at once, so that no two are the same, and
// released before the call returns. It fails when too few ports are free.
func FreeAddresses(count int) ([]netip.AddrPort, error) {
	const ports = lastPort - firstPort
	offset := rand.IntN(ports)
	addresses := make([]netip.AddrPort, 0, count)
	for tried := range ports {
		if len(addresses) == count {
			return addresses, nil
		}
		port := firstPort + (offset+tried)%ports
		address := netip.AddrPortFrom(loopback, uint16(port))
		listener, err := net.Listen("tcp4", address.String())
		if err != nil {
			continue
		}
		defer listener.Close()
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			continue
		}
		defer socket.Close()
		addresses = append(addresses, address)
	}
	return nil, errors.Errorf("only %d of %d loopback ports are free", len(addresses), count)
}
