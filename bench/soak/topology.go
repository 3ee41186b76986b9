package soak

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// The ports of all machines of a site. Each machine has its own loopback address.
const (
	packetPort   = 21001
	peerPort     = 21002
	healthPort   = 21003
	exchangePort = 21004
	appPort      = 21005
	emittedPort  = 21006
	storePort    = 21007
)

// The third byte of the addresses of the kinds of machines.
const (
	netBalancers = 1
	netSides     = 2
	netClients   = 3
	netStore     = 4
	// netLinks holds the proxy before the store of each balancer.
	netLinks = 5
)

const zoneCount = 3

// network is the loopback network of a run. Runs at the same time differ by process.
type network byte

func newNetwork() network { return network(64 + os.Getpid()%128) }

func (n network) ip(kind, number int) [4]byte {
	return [4]byte{127, byte(n), byte(kind), byte(number + 1)}
}

func (n network) address(kind, number, port int) segment.Address {
	return segment.Address{IP: n.ip(kind, number), Port: uint16(port)}
}

func (n network) addrPort(kind, number, port int) netip.AddrPort {
	return n.address(kind, number, port).AddrPort()
}

func zoneName(zone int) string { return fmt.Sprint("zone-", zone+1) }

// serviceSpec is one service of the site.
type serviceSpec struct {
	name      string
	endpoints int
	slots     uint32
}

var services = []serviceSpec{{"lookup", 4, 4}, {"export", 3, 4}}

// routeAddress returns the address of the route of a service.
func routeAddress(service int) segment.Address {
	return segment.Address{IP: [4]byte{198, 51, 100, byte(service + 1)}, Port: 443}
}
