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
	good := segment(5000, servicePort, 100)

	DescribeTable("drops by reason",
		func(want balancer.Reason, datagram []byte) {
			decision := balancer.NewDecider().Decide(built, datagram, nil)
			Expect(decision).To(Equal(balancer.Decision{Reason: want}))
		},
		Entry("nothing", balancer.EncapMalformed, []byte{}),
		Entry("a cut Geneve header", balancer.EncapMalformed, plain(good)[:7]),
		Entry("options longer than the datagram", balancer.EncapMalformed,
			changed(plain(good)[:40], func(b []byte) { b[0] = 63 })),
		Entry("an option that runs over the options", balancer.EncapMalformed,
			changed(plain(good), func(b []byte) { b[0] = 1; b[11] = 2 })),
		Entry("Geneve version 1", balancer.EncapVersion, changed(plain(good), func(b []byte) { b[0] |= 1 << 6 })),
		Entry("an Ethernet payload", balancer.EncapProtocol,
			changed(plain(good), func(b []byte) { b[2], b[3] = 0x65, 0x58 })),
		Entry("an unknown critical option", balancer.EncapCriticalOption,
			changed(plain(good), func(b []byte) { b[0] = 1; b[1] |= 0x40; b[11] = 0 })),
		Entry("a control message", balancer.ControlMessage, encap.NewEncoder().AppendControl(nil, sampleService, []byte("x"))),
		Entry("a routed packet", balancer.AlreadyRouted,
			encap.NewEncoder().AppendRouted(nil, sampleService, encap.Routing{}, good)),
		Entry("no packet", balancer.Truncated, plain(nil)),
		Entry("a cut IPv4 header", balancer.Truncated, plain(good[:19])),
		Entry("a cut TCP header", balancer.Truncated, plain(good[:39])),
		Entry("a cut payload", balancer.Truncated, plain(good[:len(good)-1])),
		Entry("an IPv4 header length below the minimum", balancer.Truncated,
			plain(changed(good, func(b []byte) { b[0] = 0x44 }))),
		Entry("a packet over the limit", balancer.Oversized, plain(segment(5000, servicePort, packet.MaxSize))),
		Entry("a first fragment", balancer.Fragmented, plain(changed(good, func(b []byte) { b[6] |= 0x20 }))),
		Entry("a later fragment", balancer.Fragmented, plain(changed(good, func(b []byte) { b[7] = 8 }))),
		Entry("IPv6", balancer.NotIPv4, plain(changed(good, func(b []byte) { b[0] = 0x65 }))),
		Entry("ICMP", balancer.UnknownTransport, plain(serialize(header(layers.IPProtocolICMPv4), &layers.ICMPv4{}))),
		Entry("SYN with FIN", balancer.BadTCPFlags, plain(changed(good, func(b []byte) { b[33] |= 1 }))),
		Entry("SYN with RST", balancer.BadTCPFlags, plain(changed(good, func(b []byte) { b[33] |= 4 }))),
		Entry("another port", balancer.UnknownService, plain(segment(5000, 80, 0))),
		Entry("UDP to a TCP service", balancer.UnknownService,
			plain(serialize(header(layers.IPProtocolUDP), &layers.UDP{SrcPort: 5000, DstPort: servicePort}))),
		Entry("a service whose rows drain", balancer.NoBackend, plain(segment(5000, drainedPort, 0))),
	)

	It("drops before a table is published", func() {
		decision := balancer.NewDecider().Decide(nil, plain(good), nil)
		Expect(decision).To(Equal(balancer.Decision{Reason: balancer.NoTable}))
	})

	It("adds the routing of the chosen row and keeps the packet", func() {
		decision := balancer.NewDecider().Decide(built, plain(good), make([]byte, 0, 2000))
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

	It("decides the same in two balancers that have the same table", func() {
		other := lookup.Build(configuration.Clone(), lookup.AllAlive)
		one, two := balancer.NewDecider(), balancer.NewDecider()
		rows := map[netip.AddrPort]int{}
		for port := uint16(1024); port < 3024; port++ {
			datagram := plain(segment(port, servicePort, 0))
			decision := one.Decide(built, datagram, nil)
			Expect(two.Decide(other, datagram, nil)).To(Equal(decision))
			rows[decision.Destination]++
		}
		Expect(rows).To(HaveLen(len(agents)))
	})

	It("gives every reason a label of its own", func() {
		labels := map[string]bool{}
		for _, reason := range balancer.Reasons() {
			labels[reason.String()] = true
		}
		Expect(labels).To(HaveLen(len(balancer.Reasons())))
		Expect(labels).NotTo(HaveKey("invalid"))
	})
})
