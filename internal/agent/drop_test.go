package agent_test

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/admission"
	"github.com/vanetiller/vanetiller/internal/agent"
	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/packet"
	"github.com/vanetiller/vanetiller/internal/table"
)

// testDatagram is a datagram for an agent, which a test makes invalid.
type testDatagram struct {
	service table.ServiceID
	routing encap.Routing
	packet  []byte
	// transform changes the encapsulated datagram. It may be nil.
	transform func(datagram []byte) []byte
}

// Offsets and bits of the Geneve header that the tests change (RFC 8926, section
// 3.4).
const (
	geneveVersionByte  = 0
	geneveVersionBit   = 0x40
	geneveFlagsByte    = 1
	geneveCriticalBit  = 0x40
	geneveProtocolByte = 2
	geneveOptionByte   = 8
)

var validRouting = encap.Routing{Version: 1, Backend: lookupRow, Incarnation: 2}

// validOpeningDatagram returns a datagram that the agent accepts. Each invalid
// datagram differs from it in one aspect.
func validOpeningDatagram(caller netip.AddrPort) testDatagram {
	return testDatagram{service: lookupID, routing: validRouting, packet: openingSegment(caller, lookupAddress, 1)}
}

func (d testDatagram) encode() []byte {
	encoded := encap.NewEncoder().AppendRouted(nil, d.service, d.routing, d.packet)
	if d.transform != nil {
		return d.transform(encoded)
	}
	return encoded
}

// flipBits returns a transform that inverts bits of one byte.
func flipBits(offset int, bits byte) func([]byte) []byte {
	return func(datagram []byte) []byte {
		datagram[offset] ^= bits
		return datagram
	}
}

// controlMessage returns a transform that replaces the datagram by a control
// message.
func controlMessage(service table.ServiceID, message admission.Message) func([]byte) []byte {
	encoded, err := message.MarshalMsg(nil)
	Expect(err).NotTo(HaveOccurred())
	return func([]byte) []byte { return encap.NewEncoder().AppendControl(nil, service, encoded) }
}

// mutation makes the datagram invalid in one way.
type mutation func(caller netip.AddrPort, faulty *testDatagram)

func withPacket(make func(caller netip.AddrPort) []byte) mutation {
	return func(caller netip.AddrPort, faulty *testDatagram) { faulty.packet = make(caller) }
}

func withTransform(transform func([]byte) []byte) mutation {
	return func(_ netip.AddrPort, faulty *testDatagram) { faulty.transform = transform }
}

func withTCP(adjust func(*layers.TCP)) mutation {
	return withPacket(func(caller netip.AddrPort) []byte {
		segment := &layers.TCP{
			SrcPort: layers.TCPPort(caller.Port()), DstPort: layers.TCPPort(lookupAddress.Port()), SYN: true,
		}
		adjust(segment)
		return buildPacket(layers.IPProtocolTCP, caller, lookupAddress, segment)
	})
}

func withPacketByte(offset int, bits byte) mutation {
	return func(_ netip.AddrPort, faulty *testDatagram) { faulty.packet[offset] ^= bits }
}

// Offsets and bits of the IPv4 header that the tests change (RFC 791).
const (
	ipv4VersionByte   = 0
	ipv4FragmentsByte = 6
	moreFragments     = 0x20
	ipv4OffsetByte    = 7
)

var _ = Describe("an agent", Ordered, func() {
	var (
		lookup, export *backend
		network        *testNetwork
		callers        *caller
		served         *runningAgent
		endpoint       table.Endpoint
		nextPort       uint16 = 3000
	)

	BeforeAll(func() {
		lookup, export = startBackend(), startBackend()
		network = startNetwork()
		callers = startCaller(network)
		daemon := startDaemon()
		endpoint = freeEndpoint()
		lookupBackend := rowAt(lookupRow, lookupID, "lookup-1", endpoint)
		lookupBackend.Incarnation = validRouting.Incarnation
		daemon.publish(&table.Table{
			Version: 1,
			Services: []table.Service{
				testService(lookupID, "lookup", lookupAddress),
				testService(exportID, "export", exportAddress),
			},
			Backends: []table.Backend{lookupBackend, rowAt(exportRow, exportID, "export-1", endpoint)},
		})
		served = startAgent(endpoint, network, daemon, immediateStopTimeout,
			agent.Backend{Service: "lookup", Name: "lookup-1", Address: lookup.address()},
			agent.Backend{Service: "export", Name: "export-1", Address: export.address()})
		network.setRoute(routeToRow(lookupBackend, 1))
		awaitVersion(daemon, endpoint, 1)
	})

	// expectOnlyValidFlow opens a flow after everything sent so far, and checks
	// that no back end has received another connection.
	expectOnlyValidFlow := func() {
		GinkgoHelper()
		flow := callers.open(lookupAddress)
		taken := lookup.nextConnection()
		_, err := flow.Write([]byte("good"))
		Expect(err).NotTo(HaveOccurred())
		expectMessage(taken, "good")
		Expect(lookup.accepted).To(BeEmpty())
		Expect(export.accepted).To(BeEmpty())
	}

	DescribeTable("drops and counts an invalid datagram without answering it",
		func(reason string, apply mutation) {
			nextPort++
			source := craftedCaller(nextPort)
			faulty := validOpeningDatagram(source)
			apply(source, &faulty)
			expected := served.counts.dropsByReason()
			expected[reason]++
			network.sendRaw(faulty.encode(), endpoint)
			Eventually(served.counts.dropsByReason, waitTimeout).Should(Equal(expected))
			expectOnlyValidFlow()
			Expect(served.counts.dropsByReason()).To(Equal(expected))
			Expect(network.responsesTo(source)).To(BeEmpty())
		},
		Entry("a packet for another service", "misaddressed", func(_ netip.AddrPort, f *testDatagram) { f.service = exportID }),
		Entry("a packet for an unknown service", "misaddressed", func(_ netip.AddrPort, f *testDatagram) { f.service = 99 }),
		Entry("a packet for a row of another service", "misaddressed", func(_ netip.AddrPort, f *testDatagram) {
			f.routing.Backend, f.routing.Incarnation = exportRow, 1
		}),
		Entry("a packet for an unknown row", "misaddressed", func(_ netip.AddrPort, f *testDatagram) { f.routing.Backend = 99 }),
		Entry("an old incarnation", "misaddressed", func(_ netip.AddrPort, f *testDatagram) { f.routing.Incarnation-- }),
		Entry("a future incarnation", "misaddressed", func(_ netip.AddrPort, f *testDatagram) { f.routing.Incarnation++ }),
		Entry("the address of another service", "misaddressed",
			withPacket(func(caller netip.AddrPort) []byte { return openingSegment(caller, exportAddress, 1) })),
		Entry("another port of the service's address", "misaddressed",
			withPacket(func(caller netip.AddrPort) []byte {
				return openingSegment(caller, netip.AddrPortFrom(lookupAddress.Addr(), 81), 1)
			})),
		Entry("another protocol at the service's address", "misaddressed",
			withPacket(func(caller netip.AddrPort) []byte { return udpPacket(caller, lookupAddress, "hello") })),
		Entry("an empty packet", "truncated", withPacket(func(netip.AddrPort) []byte { return nil })),
		Entry("half an IPv4 header", "truncated", func(_ netip.AddrPort, f *testDatagram) { f.packet = f.packet[:10] }),
		Entry("half a TCP header", "truncated", func(_ netip.AddrPort, f *testDatagram) { f.packet = f.packet[:30] }),
		Entry("a packet above the largest size", "oversized", func(_ netip.AddrPort, f *testDatagram) {
			f.packet = append(f.packet, make([]byte, packet.MaxSize)...)
		}),
		Entry("a first fragment", "fragmented", withPacketByte(ipv4FragmentsByte, moreFragments)),
		Entry("a later fragment", "fragmented", withPacketByte(ipv4OffsetByte, 1)),
		Entry("an IPv6 packet", "not_ipv4", withPacketByte(ipv4VersionByte, 0x20)),
		Entry("a transport other than TCP and UDP", "unknown_transport", withPacket(func(caller netip.AddrPort) []byte {
			return buildPacket(layers.IPProtocolICMPv4, caller, lookupAddress, gopacket.Payload("ping"))
		})),
		Entry("SYN with FIN", "bad_tcp_flags", withTCP(func(segment *layers.TCP) { segment.FIN = true })),
		Entry("SYN with RST", "bad_tcp_flags", withTCP(func(segment *layers.TCP) { segment.RST = true })),
		Entry("a packet directly from the fabric", "no_routing", func(_ netip.AddrPort, f *testDatagram) {
			plain := encap.NewEncoder().AppendPlain(nil, f.packet)
			f.transform = func([]byte) []byte { return plain }
		}),
		Entry("an empty datagram", "malformed", withTransform(func([]byte) []byte { return nil })),
		Entry("half a Geneve header", "malformed", withTransform(func(whole []byte) []byte { return whole[:4] })),
		Entry("half a Geneve option", "malformed", withTransform(func(whole []byte) []byte { return whole[:encap.Overhead-4] })),
		Entry("an unsupported Geneve version", "wrong_version", withTransform(flipBits(geneveVersionByte, geneveVersionBit))),
		Entry("a payload other than IPv4", "wrong_protocol", withTransform(flipBits(geneveProtocolByte, 0xff))),
		Entry("an unknown critical option", "unknown_critical_option", withTransform(func(whole []byte) []byte {
			return flipBits(geneveFlagsByte, geneveCriticalBit)(flipBits(geneveOptionByte, 0x01)(whole))
		})),
		Entry("an unknown option that is not critical, instead of the routing", "no_routing", withTransform(flipBits(geneveOptionByte, 0x01))),
		Entry("a malformed control message", "bad_message", withTransform(func([]byte) []byte {
			return encap.NewEncoder().AppendControl(nil, lookupID, []byte("forged"))
		})),
		Entry("a control message for an unknown row", "misaddressed",
			func(_ netip.AddrPort, f *testDatagram) {
				f.transform = controlMessage(lookupID, admission.Message{From: 72, To: 99, Query: &admission.Query{}})
			}),
		Entry("a control message for a row of another service", "misaddressed",
			func(_ netip.AddrPort, f *testDatagram) {
				f.transform = controlMessage(lookupID, admission.Message{From: 72, To: exportRow, Query: &admission.Query{}})
			}),
		Entry("a query from an unknown row", "no_peer",
			func(_ netip.AddrPort, f *testDatagram) {
				f.transform = controlMessage(lookupID, admission.Message{From: 72, To: lookupRow, Query: &admission.Query{}})
			}),
	)

	It("opens a flow although unsolicited replies claimed that it was owned, closed or refused", func() {
		source := craftedCaller(2000)
		for _, answer := range []admission.Answer{admission.AnswerOwned, admission.AnswerClosed, admission.AnswerRefused} {
			network.sendRaw(controlMessage(lookupID, admission.Message{From: 72, To: lookupRow, Reply: &admission.Reply{
				Flow: admission.FlowKeyOf(source), Sequence: 1, Answer: answer, Owner: exportRow,
			}})(nil), endpoint)
		}
		network.send(openingSegment(source, lookupAddress, 1))
		lookup.nextConnection()
	})
})
