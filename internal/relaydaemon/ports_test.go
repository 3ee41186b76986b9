package relaydaemon_test

import (
	"net"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// freePorts returns ports that are free for TCP and UDP on all addresses of these specs. It
// holds all of them open until the last is chosen. If they were closed one by one, the
// system could return the same port twice, and a daemon that is configured with it for two
// sockets could not bind the second.
func freePorts(count int) []int {
	GinkgoHelper()
	var ports []int
	var held []interface{ Close() error }
	for len(ports) < count {
		listener, err := net.Listen("tcp4", "0.0.0.0:0")
		Expect(err).NotTo(HaveOccurred())
		held = append(held, listener)
		port := listener.Addr().(*net.TCPAddr).Port
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(port))))
		if err != nil {
			continue
		}
		held = append(held, socket)
		ports = append(ports, port)
	}
	for _, closer := range held {
		Expect(closer.Close()).To(Succeed())
	}
	return ports
}

func freePort() int { return freePorts(1)[0] }

var _ = Describe("freePorts", func() {
	It("returns no port twice in one call", func() {
		for range 200 {
			seen := make(map[int]bool)
			for _, port := range freePorts(7) {
				Expect(seen).NotTo(HaveKey(port))
				seen[port] = true
			}
		}
	})
})
