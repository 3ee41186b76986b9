package agent_test

import (
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// echo returns every datagram to its sender until the socket is closed.
func echo(socket *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		count, from, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		_, _ = socket.WriteToUDPAddrPort(buffer[:count], from)
	}
}

var _ = Describe("a UDP flow whose back end restarts", func() {
	It("is answered again once the back end has returned", func() {
		service := listenDatagrams(netip.AddrPortFrom(loopback, 0))
		address := addressOf(service)
		env := startEnvironment(address, useUDPService)
		flow := startCaller(env.network).datagrams(lookupAddress)
		_, err := flow.Write([]byte("before"))
		Expect(err).NotTo(HaveOccurred())
		expectDatagram(service, "before")
		Expect(service.Close()).To(Succeed())
		// The kernel answers the agent with an ICMP message, because no socket
		// listens.
		_, err = flow.Write([]byte("lost"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(env.agent.counts.valueOf(delivered), waitTimeout).Should(BeEquivalentTo(2))
		go echo(listenDatagrams(address))
		Eventually(func() error {
			if _, err := flow.Write([]byte("again")); err != nil {
				return err
			}
			if err := flow.SetReadDeadline(time.Now().Add(answerWait)); err != nil {
				return err
			}
			_, err := flow.Read(make([]byte, maxDatagram))
			return err
		}, waitTimeout).Should(Succeed())
	})
})

// answerWait is how long the caller waits for an answer before it sends its
// datagram again.
const answerWait = 200 * time.Millisecond
