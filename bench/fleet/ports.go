// This file chooses free loopback ports.

package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// AnyPort returns the loopback address with port 0, for which the system chooses a port.
func AnyPort() netip.AddrPort { return netip.AddrPortFrom(loopback, 0) }

// The range of ports is below the range that Linux uses for outgoing connections. So no connection
// of the bench can take a chosen port before the daemon listens on it.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// FreeAddresses returns different loopback addresses whose ports are free for TCP and UDP. It binds
// all of them at the same time and releases them before it returns. It fails if too few ports are
// free.
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
