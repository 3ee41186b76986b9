// This file implements the choice of free loopback ports.

package fleet

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// AnyPort is the loopback address with the port left to the system.
func AnyPort() netip.AddrPort { return netip.AddrPortFrom(loopback, 0) }

// FreeAddresses returns loopback addresses whose port is free for TCP and
// for UDP. They are all reserved at once, so that no two are the same, and
// released before the call returns.
func FreeAddresses(count int) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, count)
	for len(addresses) < count {
		listener, err := net.Listen("tcp4", AnyPort().String())
		if err != nil {
			return nil, errors.Wrap(err, "free port")
		}
		defer listener.Close()
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			continue
		}
		defer socket.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}
