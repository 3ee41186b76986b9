package fabric_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/bench/fabric"
	"github.com/vanetiller/vanetiller/internal/encap"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// ipv4Packet returns a minimal IPv4 header from 198.51.100.1 to the destination.
func ipv4Packet(destination netip.Addr) []byte {
	header := make([]byte, 20)
	header[0] = 0x45
	copy(header[12:16], []byte{198, 51, 100, 1})
	copy(header[16:20], destination.AsSlice())
	return header
}

func listen() *net.UDPConn {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(socket.Close)
	return socket
}

func addressOf(socket *net.UDPConn) netip.AddrPort {
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

func startFabric(settings fabric.Settings) *fabric.Fabric {
	settings.Listen = loopback
	created, err := fabric.New(settings)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- created.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(done, "30s").Should(Receive(BeNil()))
	})
	return created
}

var _ = Describe("Impairer", func() {
	const packets = 100_000

	type impairedCounts struct{ lost, duplicated, delayed int }

	sequence := func(settings fabric.Impairment, seed uint64) []fabric.Decision {
		impairer := fabric.NewImpairer(settings, seed)
		sequence := make([]fabric.Decision, packets)
		for i := range sequence {
			sequence[i] = impairer.Next()
		}
		return sequence
	}

	count := func(sequence []fabric.Decision) impairedCounts {
		var counted impairedCounts
		for _, decision := range sequence {
			switch decision.Copies {
			case 0:
				counted.lost++
			case 2:
				counted.duplicated++
			}
			if decision.Delay > 0 {
				counted.delayed++
			}
		}
		return counted
	}

	DescribeTable("impairs packets at the configured probabilities",
		func(settings fabric.Impairment, expected impairedCounts) {
			counted := count(sequence(settings, 7))
			Expect(counted.lost).To(BeNumerically("~", expected.lost, packets/200))
			Expect(counted.duplicated).To(BeNumerically("~", expected.duplicated, packets/200))
			Expect(counted.delayed).To(BeNumerically("~", expected.delayed, packets/200))
		},
		Entry("nothing", fabric.Impairment{}, impairedCounts{}),
		Entry("loss", fabric.Impairment{Loss: 0.1}, impairedCounts{lost: packets / 10}),
		Entry("all lost", fabric.Impairment{Loss: 1}, impairedCounts{lost: packets}),
		Entry("duplication", fabric.Impairment{Duplication: 0.2}, impairedCounts{duplicated: packets / 5}),
		Entry("reordering", fabric.Impairment{Reordering: 0.3, ReorderingDelay: time.Millisecond}, impairedCounts{delayed: packets * 3 / 10}),
		Entry("a lost packet is neither duplicated nor delayed",
			fabric.Impairment{Loss: 0.5, Duplication: 1, Reordering: 1, ReorderingDelay: time.Millisecond},
			impairedCounts{lost: packets / 2, duplicated: packets / 2, delayed: packets / 2}),
	)

	It("repeats the sequence for the same seed and not for another", func() {
		settings := fabric.Impairment{Loss: 0.1, Duplication: 0.1}
		Expect(sequence(settings, 1)).To(Equal(sequence(settings, 1)))
		Expect(sequence(settings, 1)).NotTo(Equal(sequence(settings, 2)))
	})
})

var _ = Describe("Fabric", func() {
	caller := netip.MustParseAddr("203.0.113.9")

	It("sprays packets over all balancers and sends none to a removed balancer", func() {
		created := startFabric(fabric.Settings{Seed: 3})
		first, second := listen(), listen()
		created.SetBalancers([]netip.AddrPort{addressOf(first), addressOf(second)})
		packet := ipv4Packet(caller)
		for range 64 {
			created.Inject(packet)
		}
		created.RemoveBalancer(addressOf(first))
		decoder := encap.NewDecoder()
		buffer := make([]byte, 2048)
		for _, socket := range []*net.UDPConn{first, second} {
			size, _, err := socket.ReadFromUDPAddrPort(buffer)
			Expect(err).NotTo(HaveOccurred())
			datagram, outcome := decoder.Decode(buffer[:size])
			Expect(outcome).To(Equal(encap.Decoded))
			Expect(datagram.HasRouting).To(BeFalse())
			Expect(datagram.Packet).To(Equal(packet))
		}
		created.RemoveBalancer(addressOf(second))
		created.Inject(packet)
		Expect(created.Counters()).To(Equal(fabric.Counters{Injected: 65, Sprayed: 64, NoBalancer: 1}))
	})

	It("counts lost and duplicated packets", func() {
		created := startFabric(fabric.Settings{Requests: fabric.Impairment{Loss: 0.25, Duplication: 0.5}, Seed: 5})
		created.AddBalancer(addressOf(listen()))
		packet := ipv4Packet(caller)
		for range 1000 {
			created.Inject(packet)
		}
		counters := created.Counters()
		Expect(counters.Lost).To(BeNumerically("~", 250, 75))
		Expect(counters.Duplicated).To(BeNumerically("~", 375, 75))
		Expect(counters.Sprayed).To(Equal(1000 - counters.Lost + counters.Duplicated))
	})

	DescribeTable("reports an accepted connection only for a TCP segment with SYN and ACK",
		func(protocol, flags byte, expected int) {
			observed := make(chan fabric.AcceptedConnection, 1)
			created := startFabric(fabric.Settings{OnAccept: func(connection fabric.AcceptedConnection) { observed <- connection }})
			agent := listen()
			packet := append(ipv4Packet(caller), make([]byte, 20)...)
			packet[9] = protocol
			copy(packet[20:], []byte{0, 80, 0x0f, 0xa0})
			copy(packet[28:], []byte{0, 0, 1, 2})
			packet[33] = flags
			_, err := agent.WriteToUDPAddrPort(encap.NewEncoder().AppendPlain(nil, packet), created.Address())
			Expect(err).NotTo(HaveOccurred())
			Eventually(created.Counters, "30s").Should(HaveField("UnknownCaller", uint64(1)))
			Expect(observed).To(HaveLen(expected))
			if expected == 1 {
				Expect(<-observed).To(Equal(fabric.AcceptedConnection{
					Agent:        addressOf(agent),
					Caller:       netip.AddrPortFrom(caller, 4000),
					Service:      netip.MustParseAddrPort("198.51.100.1:80"),
					Acknowledged: 0x102,
				}))
			}
		},
		Entry("SYN and ACK", byte(6), byte(0x12), 1),
		Entry("ACK", byte(6), byte(0x10), 0),
		Entry("RST and ACK", byte(6), byte(0x14), 0),
		Entry("UDP", byte(17), byte(0x12), 0),
	)

	It("delivers answers to the caller they are addressed to and counts all others", func() {
		created := startFabric(fabric.Settings{})
		var received atomic.Value
		created.Attach(caller, func(packet []byte) { received.Store(string(packet)) })
		agent := listen()
		encoder := encap.NewEncoder()
		send := func(datagram []byte) {
			_, err := agent.WriteToUDPAddrPort(datagram, created.Address())
			Expect(err).NotTo(HaveOccurred())
		}
		packet := ipv4Packet(caller)
		send(encoder.AppendPlain(nil, ipv4Packet(netip.MustParseAddr("203.0.113.10"))))
		send(encoder.AppendPlain(nil, []byte("too short")))
		send([]byte("not encapsulated"))
		send(encoder.AppendControl(nil, 1, packet))
		send(encoder.AppendPlain(nil, packet))
		Eventually(created.Counters, "30s").Should(Equal(fabric.Counters{
			Answers: 5, Delivered: 1, Malformed: 3, UnknownCaller: 1,
		}))
		Expect(received.Load()).To(Equal(string(packet)))
	})
})
