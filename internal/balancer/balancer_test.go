package balancer_test

import (
	"context"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/vanetiller/vanetiller/internal/balancer"
	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/lookup"
)

const waitTimeout = 30 * time.Second

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func listen() *net.UDPConn {
	connection, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	Expect(err).NotTo(HaveOccurred())
	Expect(connection.SetReadBuffer(4 << 20)).To(Succeed())
	DeferCleanup(connection.Close)
	return connection
}

func addressOf(connection *net.UDPConn) netip.AddrPort {
	return connection.LocalAddr().(*net.UDPAddr).AddrPort()
}

func receive(connection *net.UDPConn) []byte {
	buffer := make([]byte, 10_000)
	Expect(connection.SetReadDeadline(time.Now().Add(waitTimeout))).To(Succeed())
	count, err := connection.Read(buffer)
	Expect(err).NotTo(HaveOccurred())
	return buffer[:count]
}

var _ = Describe("Balancer", func() {
	var (
		forwarded, dropped *reasonCounter
		running            *balancer.Balancer
		fabric             *net.UDPConn
		stop               context.CancelFunc
		stopped            chan error
	)

	BeforeEach(func() {
		ignored := goleak.IgnoreCurrent()
		DeferCleanup(func() { goleak.VerifyNone(GinkgoT(), ignored) })
		forwarded = newReasonCounter()
		dropped = newReasonCounter("no_table", "unknown_service", "encap_protocol", "send_failed")
		var err error
		running, err = balancer.New(balancer.Config{
			Listen:  loopback,
			Sockets: 3,
			Metrics: balancer.Metrics{Forwarded: forwarded, Dropped: dropped},
		})
		Expect(err).NotTo(HaveOccurred())
		fabric = listen()
		var ctx context.Context
		ctx, stop = context.WithCancel(context.Background())
		stopped = make(chan error, 1)
		go func() { stopped <- running.Run(ctx) }()
		DeferCleanup(func() {
			stop()
			Eventually(stopped, waitTimeout).Should(Receive(BeNil()))
		})
	})

	send := func(datagram []byte) {
		_, err := fabric.WriteToUDPAddrPort(datagram, running.Address())
		Expect(err).NotTo(HaveOccurred())
	}

	It("sends each packet to the agent of its primary row", func() {
		agents := []*net.UDPConn{listen(), listen()}
		addresses := []netip.AddrPort{addressOf(agents[0]), addressOf(agents[1])}
		configuration := sampleTable(addresses, 1, 1)
		built := lookup.Build(configuration, lookup.AllAlive)
		running.Publish(built)
		for port := uint16(1000); port < 1100; port++ {
			content := tcpPacket(port, servicePort, int(port))
			send(encapsulate(content))
			target, _ := built.Route(flowOf(content))
			decoded, outcome := encap.NewDecoder().Decode(receive(agents[target.Backend-1]))
			Expect(outcome).To(Equal(encap.Decoded))
			Expect(decoded.Packet).To(Equal(content))
			Expect(decoded.Routing.Backend).To(Equal(target.Backend))
		}
		Eventually(forwarded.Value, waitTimeout).Should(Equal(int64(100)))
		Expect(dropped.Value()).To(BeZero())
	})

	It("counts dropped datagrams by reason", func() {
		send(encapsulate(tcpPacket(1000, servicePort, 0)))
		Eventually(dropped.Value, waitTimeout).Should(Equal(int64(1)))
		running.Publish(lookup.Build(sampleTable(nil), lookup.AllAlive))
		send(encapsulate(tcpPacket(1000, 80, 0)))
		send(make([]byte, 20_000))
		Eventually(dropped.Value, waitTimeout).Should(Equal(int64(3)))
		for _, reason := range []string{"no_table", "unknown_service", "encap_protocol"} {
			Expect(dropped.Of(reason)).To(Equal(int64(1)), reason)
		}
		Expect(forwarded.Value()).To(BeZero())
	})

	It("continues after a datagram that cannot be sent", func() {
		agent := listen()
		nowhere := netip.MustParseAddrPort("127.0.0.1:0") // the kernel refuses to send to port 0
		configuration := sampleTable([]netip.AddrPort{addressOf(agent), nowhere}, 1, 1)
		built := lookup.Build(configuration, lookup.AllAlive)
		running.Publish(built)
		sent := [2]int{}
		for port := uint16(1000); port < 1050; port++ {
			content := tcpPacket(port, servicePort, 0)
			target, _ := built.Route(flowOf(content))
			sent[target.Backend-1]++
			send(encapsulate(content))
		}
		Eventually(forwarded.Value, waitTimeout).Should(Equal(int64(sent[0])))
		Eventually(dropped.Value, waitTimeout).Should(Equal(int64(sent[1])))
		Expect(dropped.Of("send_failed")).To(Equal(dropped.Value()))
		Expect(sent[1]).To(BeNumerically(">", 0))
	})

	It("returns an error when the number of sockets is 0", func() {
		_, err := balancer.New(balancer.Config{Listen: loopback})
		Expect(err).To(MatchError(ContainSubstring("at least 1")))
	})

	It("returns an error when the address is in use", func() {
		_, err := balancer.New(balancer.Config{Listen: addressOf(listen()), Sockets: 1})
		Expect(err).To(HaveOccurred())
	})
})
