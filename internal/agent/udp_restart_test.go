package agent_test

import (
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// echo answers every datagram with its content until the socket is closed.
func echo(socket *net.UDPConn) {
	buffer := make([]byte, maximumDatagram)
	for {
		count, from, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		_, _ = socket.WriteToUDPAddrPort(buffer[:count], from)
	}
}

var _ = Describe("a UDP flow whose back end restarts", func() {
	It("is answered again once its back end is back", func() {
		service := listenDatagrams(netip.AddrPortFrom(loopback, 0))
		address := addressOf(service)
		site := startSite(address, overUDP)
		flow := startCaller(site.carrier).datagrams(lookupAddress)
		_, err := flow.Write([]byte("before"))
		Expect(err).NotTo(HaveOccurred())
		expectDatagram(service, "before")
		Expect(service.Close()).To(Succeed())
		// The kernel tells the agent with an ICMP message that nobody listens.
		_, err = flow.Write([]byte("lost"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(site.agent.counts.of(delivered), generous).Should(BeEquivalentTo(2))
		go echo(listenDatagrams(address))
		Eventually(func() error {
			if _, err := flow.Write([]byte("again")); err != nil {
				return err
			}
			if err := flow.SetReadDeadline(time.Now().Add(answerWait)); err != nil {
				return err
			}
			_, err := flow.Read(make([]byte, maximumDatagram))
			return err
		}, generous).Should(Succeed())
	})
})

// answerWait is how long a caller waits for an answer before it repeats its
// datagram.
const answerWait = 200 * time.Millisecond
