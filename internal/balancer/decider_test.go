package balancer_test

import (
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gopacket/gopacket/layers"

	"github.com/vanetiller/vanetiller/internal/balancer"
	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/packet"
)

var _ = Describe("Decider", func() {
	agents := unusedAgents(4)
	configuration := sampleTable(agents, 1, 1, 1, 1)
	built := lookup.Build(configuration, lookup.AllAlive)
	good := tcpPacket(5000, servicePort, 100)

	DescribeTable("drops a datagram that cannot be forwarded and returns the reason",
		func(want balancer.Reason, datagram []byte) {
			decision := balancer.NewDecider().Decide(built, datagram, nil)
			Expect(decision).To(Equal(balancer.Decision{Reason: want}))
		},
		Entry("an empty datagram", balancer.EncapMalformed, []byte{}),
		Entry("a truncated Geneve header", balancer.EncapMalformed, encapsulate(good)[:7]),
		Entry("options longer than the datagram", balancer.EncapMalformed,
			modified(encapsulate(good)[:40], func(b []byte) { b[0] = 63 })),
		Entry("an option longer than the options field", balancer.EncapMalformed,
			modified(encapsulate(good), func(b []byte) { b[0] = 1; b[11] = 2 })),
		Entry("Geneve version 1", balancer.EncapVersion, modified(encapsulate(good), func(b []byte) { b[0] |= 1 << 6 })),
		Entry("an Ethernet payload", balancer.EncapProtocol,
			modified(encapsulate(good), func(b []byte) { b[2], b[3] = 0x65, 0x58 })),
		Entry("an unknown critical option", balancer.EncapCriticalOption,
			modified(encapsulate(good), func(b []byte) { b[0] = 1; b[1] |= 0x40; b[11] = 0 })),
		Entry("a control message", balancer.ControlMessage, encap.NewEncoder().AppendControl(nil, sampleService, []byte("x"))),
		Entry("a routed packet", balancer.AlreadyRouted,
			encap.NewEncoder().AppendRouted(nil, sampleService, encap.Routing{}, good)),
		Entry("a datagram without a packet", balancer.Truncated, encapsulate(nil)),
		Entry("a truncated IPv4 header", balancer.Truncated, encapsulate(good[:19])),
		Entry("a truncated TCP header", balancer.Truncated, encapsulate(good[:39])),
		Entry("a truncated payload", balancer.Truncated, encapsulate(good[:len(good)-1])),
		Entry("an IPv4 header length below the minimum", balancer.Truncated,
			encapsulate(modified(good, func(b []byte) { b[0] = 0x44 }))),
		Entry("a packet above the largest size", balancer.Oversized, encapsulate(tcpPacket(5000, servicePort, packet.MaxSize))),
		Entry("a first fragment", balancer.Fragmented, encapsulate(modified(good, func(b []byte) { b[6] |= 0x20 }))),
		Entry("a later fragment", balancer.Fragmented, encapsulate(modified(good, func(b []byte) { b[7] = 8 }))),
		Entry("an IPv6 packet", balancer.NotIPv4, encapsulate(modified(good, func(b []byte) { b[0] = 0x65 }))),
		Entry("an ICMP packet", balancer.UnknownTransport, encapsulate(serialize(ipv4Header(layers.IPProtocolICMPv4), &layers.ICMPv4{}))),
		Entry("SYN with FIN", balancer.BadTCPFlags, encapsulate(modified(good, func(b []byte) { b[33] |= 1 }))),
		Entry("SYN with RST", balancer.BadTCPFlags, encapsulate(modified(good, func(b []byte) { b[33] |= 4 }))),
		Entry("a port without a service", balancer.UnknownService, encapsulate(tcpPacket(5000, 80, 0))),
		Entry("UDP to a TCP service", balancer.UnknownService,
			encapsulate(serialize(ipv4Header(layers.IPProtocolUDP), &layers.UDP{SrcPort: 5000, DstPort: servicePort}))),
		Entry("a service whose rows are all drained", balancer.NoBackend, encapsulate(tcpPacket(5000, drainedPort, 0))),
	)

	It("drops a valid datagram if there is no table", func() {
		decision := balancer.NewDecider().Decide(nil, encapsulate(good), nil)
		Expect(decision).To(Equal(balancer.Decision{Reason: balancer.NoTable}))
	})

	It("adds the routing of the primary row and leaves the packet unchanged", func() {
		decision := balancer.NewDecider().Decide(built, encapsulate(good), make([]byte, 0, 2000))
		Expect(decision.Reason).To(Equal(balancer.Forwarded))
		target, outcome := built.Route(flowOf(good))
		Expect(outcome).To(Equal(lookup.Routed))
		Expect(decision.Destination).To(Equal(target.Agent))
		decoded, read := encap.NewDecoder().Decode(decision.Datagram)
		Expect(read).To(Equal(encap.Decoded))
		Expect(decoded).To(Equal(encap.Datagram{
			Service:    sampleService,
			HasRouting: true,
			Routing:    encap.Routing{Version: 3, Backend: target.Backend, Incarnation: target.Incarnation},
			Packet:     good,
		}))
	})

	It("makes the same decisions in two deciders with equal tables", func() {
		other := lookup.Build(configuration.Clone(), lookup.AllAlive)
		one, two := balancer.NewDecider(), balancer.NewDecider()
		rows := map[netip.AddrPort]int{}
		for port := uint16(1024); port < 3024; port++ {
			datagram := encapsulate(tcpPacket(port, servicePort, 0))
			decision := one.Decide(built, datagram, nil)
			Expect(two.Decide(other, datagram, nil)).To(Equal(decision))
			rows[decision.Destination]++
		}
		Expect(rows).To(HaveLen(len(agents)))
	})

	It("has a different label for every reason", func() {
		labels := map[string]bool{}
		for _, reason := range balancer.Reasons() {
			labels[reason.String()] = true
		}
		Expect(labels).To(HaveLen(len(balancer.Reasons())))
		Expect(labels).NotTo(HaveKey("invalid"))
	})
})
