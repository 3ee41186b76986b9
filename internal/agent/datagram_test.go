package agent_test

import (
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/table"
)

func useUDPService(published *table.Table) { published.Services[0].Protocol = table.ProtocolUDP }

// expectDatagram reads one datagram, compares its content and returns its sender.
func expectDatagram(socket net.PacketConn, content string) net.Addr {
	GinkgoHelper()
	Expect(socket.SetReadDeadline(time.Now().Add(waitTimeout))).To(Succeed())
	buffer := make([]byte, maxDatagram)
	count, from, err := socket.ReadFrom(buffer)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(buffer[:count])).To(Equal(content))
	return from
}

func listenDatagrams(address netip.AddrPort) *net.UDPConn {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = socket.Close() })
	return socket
}

func addressOf(socket net.PacketConn) netip.AddrPort {
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

var _ = Describe("a UDP flow", func() {
	It("carries datagrams in both directions and keeps the flows of two callers separate", func() {
		service := listenDatagrams(netip.AddrPortFrom(loopback, 0))
		env := startEnvironment(addressOf(service), useUDPService)
		caller := startCaller(env.network)
		first, second := caller.datagrams(lookupAddress), caller.datagrams(lookupAddress)
		senders := make(map[string]bool)
		for _, question := range []string{"one", "two"} {
			for name, socket := range map[string]net.Conn{"first": first, "second": second} {
				_, err := socket.Write([]byte(name + question))
				Expect(err).NotTo(HaveOccurred())
				from := expectDatagram(service, name+question)
				senders[from.String()] = true
				_, err = service.WriteTo([]byte(name+" answered"), from)
				Expect(err).NotTo(HaveOccurred())
				expectDatagram(socket.(net.PacketConn), name+" answered")
			}
		}
		Expect(senders).To(HaveLen(2))
		Expect(env.agent.counts.dropsByReason()).To(BeEmpty())
		Eventually(env.agent.counts.valueOf(openFlows), waitTimeout).Should(BeEquivalentTo(2))
	})
})
