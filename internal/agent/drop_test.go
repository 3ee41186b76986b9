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

// fault is a datagram that an agent must not act on.
type fault struct {
	service table.ServiceID
	routing encap.Routing
	packet  []byte
	// mangle changes the encapsulated datagram, if set.
	mangle func(datagram []byte) []byte
}

// The offsets of the Geneve header that the faults change (RFC 8926, section
// 3.4).
const (
	geneveVersionByte  = 0
	geneveVersionBit   = 0x40
	geneveFlagsByte    = 1
	geneveCriticalBit  = 0x40
	geneveProtocolByte = 2
	geneveOptionByte   = 8
)

var wellRouted = encap.Routing{Version: 1, Backend: lookupRow, Incarnation: 2}

// validOpening returns what the agent would take: the faults differ from it in
// one thing each.
func validOpening(caller netip.AddrPort) fault {
	return fault{service: lookupID, routing: wellRouted, packet: opening(caller, lookupAddress, 1)}
}

func (f fault) encode() []byte {
	encoded := encap.NewEncoder().AppendRouted(nil, f.service, f.routing, f.packet)
	if f.mangle != nil {
		return f.mangle(encoded)
	}
	return encoded
}

// flip returns a mangle that changes bits of one byte.
func flip(offset int, bits byte) func([]byte) []byte {
	return func(datagram []byte) []byte {
		datagram[offset] ^= bits
		return datagram
	}
}

// controlMessage returns a mangle that puts a control message in place of everything.
func controlMessage(service table.ServiceID, message admission.Message) func([]byte) []byte {
	encoded, err := message.MarshalMsg(nil)
	Expect(err).NotTo(HaveOccurred())
	return func([]byte) []byte { return encap.NewEncoder().AppendControl(nil, service, encoded) }
}

// change is one way to make the datagram faulty.
type change func(caller netip.AddrPort, faulty *fault)

func withPacket(make func(caller netip.AddrPort) []byte) change {
	return func(caller netip.AddrPort, faulty *fault) { faulty.packet = make(caller) }
}

func withMangle(mangle func([]byte) []byte) change {
	return func(_ netip.AddrPort, faulty *fault) { faulty.mangle = mangle }
}

func withTCP(adjust func(*layers.TCP)) change {
	return withPacket(func(caller netip.AddrPort) []byte {
		segment := &layers.TCP{
			SrcPort: layers.TCPPort(caller.Port()), DstPort: layers.TCPPort(lookupAddress.Port()), SYN: true,
		}
		adjust(segment)
		return craft(layers.IPProtocolTCP, caller, lookupAddress, segment)
	})
}

func withPacketByte(offset int, bits byte) change {
	return func(_ netip.AddrPort, faulty *fault) { faulty.packet[offset] ^= bits }
}

// The offsets of the IPv4 header that the faults change (RFC 791).
const (
	ipv4VersionByte   = 0
	ipv4FragmentsByte = 6
	moreFragments     = 0x20
	ipv4OffsetByte    = 7
)

var _ = Describe("an agent", Ordered, func() {
	var (
		lookup, export *backend
		carrier        *network
		callers        *caller
		served         *running
		endpoint       table.Endpoint
		nextPort       uint16 = 3000
	)

	BeforeAll(func() {
		lookup, export = startBackend(), startBackend()
		carrier = startNetwork()
		callers = startCaller(carrier)
		daemon := startDaemon()
		endpoint = freeEndpoint()
		lookupBackend := rowAt(lookupRow, lookupID, "lookup-1", endpoint)
		lookupBackend.Incarnation = wellRouted.Incarnation
		daemon.publish(&table.Table{
			Version: 1,
			Services: []table.Service{
				serviceAt(lookupID, "lookup", lookupAddress),
				serviceAt(exportID, "export", exportAddress),
			},
			Backends: []table.Backend{lookupBackend, rowAt(exportRow, exportID, "export-1", endpoint)},
		})
		served = startAgent(endpoint, carrier, daemon, cutAtOnce,
			agent.Backend{Service: "lookup", Name: "lookup-1", Address: lookup.address()},
			agent.Backend{Service: "export", Name: "export-1", Address: export.address()})
		carrier.use(routeTo(lookupBackend, 1))
		awaitVersion(daemon, endpoint, 1)
	})

	// expectOnlyGood opens a flow behind everything sent so far, and checks
	// that no back end has seen anything else.
	expectOnlyGood := func() {
		GinkgoHelper()
		flow := callers.open(lookupAddress)
		taken := lookup.take()
		_, err := flow.Write([]byte("good"))
		Expect(err).NotTo(HaveOccurred())
		expectMessage(taken, "good")
		Expect(lookup.accepted).To(BeEmpty())
		Expect(export.accepted).To(BeEmpty())
	}

	DescribeTable("drops, counts and does not answer",
		func(reason string, apply change) {
			nextPort++
			source := crafted(nextPort)
			faulty := validOpening(source)
			apply(source, &faulty)
			expected := served.counts.drops()
			expected[reason]++
			carrier.sendRaw(faulty.encode(), endpoint)
			Eventually(served.counts.drops, generous).Should(Equal(expected))
			expectOnlyGood()
			Expect(served.counts.drops()).To(Equal(expected))
			Expect(carrier.answersTo(source)).To(BeEmpty())
		},
		Entry("a packet for another service", "misaddressed", func(_ netip.AddrPort, f *fault) { f.service = exportID }),
		Entry("a packet for an unknown service", "misaddressed", func(_ netip.AddrPort, f *fault) { f.service = 99 }),
		Entry("a packet for a row of another service", "misaddressed", func(_ netip.AddrPort, f *fault) {
			f.routing.Backend, f.routing.Incarnation = exportRow, 1
		}),
		Entry("a packet for an unknown row", "misaddressed", func(_ netip.AddrPort, f *fault) { f.routing.Backend = 99 }),
		Entry("an old incarnation", "misaddressed", func(_ netip.AddrPort, f *fault) { f.routing.Incarnation-- }),
		Entry("an incarnation to come", "misaddressed", func(_ netip.AddrPort, f *fault) { f.routing.Incarnation++ }),
		Entry("the address of another service", "misaddressed",
			withPacket(func(caller netip.AddrPort) []byte { return opening(caller, exportAddress, 1) })),
		Entry("another port of the service's address", "misaddressed",
			withPacket(func(caller netip.AddrPort) []byte {
				return opening(caller, netip.AddrPortFrom(lookupAddress.Addr(), 81), 1)
			})),
		Entry("another protocol at the service's address", "misaddressed",
			withPacket(func(caller netip.AddrPort) []byte { return datagram(caller, lookupAddress, "hello") })),
		Entry("a packet without content", "truncated", withPacket(func(netip.AddrPort) []byte { return nil })),
		Entry("half an IPv4 header", "truncated", func(_ netip.AddrPort, f *fault) { f.packet = f.packet[:10] }),
		Entry("half a TCP header", "truncated", func(_ netip.AddrPort, f *fault) { f.packet = f.packet[:30] }),
		Entry("more than the largest packet", "oversized", func(_ netip.AddrPort, f *fault) {
			f.packet = append(f.packet, make([]byte, packet.MaxSize)...)
		}),
		Entry("a first fragment", "fragmented", withPacketByte(ipv4FragmentsByte, moreFragments)),
		Entry("a later fragment", "fragmented", withPacketByte(ipv4OffsetByte, 1)),
		Entry("IPv6", "not_ipv4", withPacketByte(ipv4VersionByte, 0x20)),
		Entry("another transport", "unknown_transport", withPacket(func(caller netip.AddrPort) []byte {
			return craft(layers.IPProtocolICMPv4, caller, lookupAddress, gopacket.Payload("ping"))
		})),
		Entry("SYN with FIN", "bad_tcp_flags", withTCP(func(segment *layers.TCP) { segment.FIN = true })),
		Entry("SYN with RST", "bad_tcp_flags", withTCP(func(segment *layers.TCP) { segment.RST = true })),
		Entry("a packet straight from the fabric", "no_routing", func(_ netip.AddrPort, f *fault) {
			plain := encap.NewEncoder().AppendPlain(nil, f.packet)
			f.mangle = func([]byte) []byte { return plain }
		}),
		Entry("an empty datagram", "malformed", withMangle(func([]byte) []byte { return nil })),
		Entry("half a Geneve header", "malformed", withMangle(func(whole []byte) []byte { return whole[:4] })),
		Entry("half a Geneve option", "malformed", withMangle(func(whole []byte) []byte { return whole[:encap.Overhead-4] })),
		Entry("another version of Geneve", "wrong_version", withMangle(flip(geneveVersionByte, geneveVersionBit))),
		Entry("another payload than IPv4", "wrong_protocol", withMangle(flip(geneveProtocolByte, 0xff))),
		Entry("an unknown option that is critical", "unknown_critical_option", withMangle(func(whole []byte) []byte {
			return flip(geneveFlagsByte, geneveCriticalBit)(flip(geneveOptionByte, 0x01)(whole))
		})),
		Entry("an unknown option that is not critical", "no_routing", withMangle(flip(geneveOptionByte, 0x01))),
		Entry("a control message that cannot be read", "bad_message", withMangle(func([]byte) []byte {
			return encap.NewEncoder().AppendControl(nil, lookupID, []byte("forged"))
		})),
		Entry("a control message for an unknown row", "misaddressed",
			func(_ netip.AddrPort, f *fault) {
				f.mangle = controlMessage(lookupID, admission.Message{From: 72, To: 99, Query: &admission.Query{}})
			}),
		Entry("a control message for a row of another service", "misaddressed",
			func(_ netip.AddrPort, f *fault) {
				f.mangle = controlMessage(lookupID, admission.Message{From: 72, To: exportRow, Query: &admission.Query{}})
			}),
		Entry("a query of an unknown row", "no_peer",
			func(_ netip.AddrPort, f *fault) {
				f.mangle = controlMessage(lookupID, admission.Message{From: 72, To: lookupRow, Query: &admission.Query{}})
			}),
	)

	It("does not let a reply that nobody asked for change a flow", func() {
		source := crafted(2000)
		for _, answered := range []admission.Answer{admission.AnswerOwned, admission.AnswerClosed, admission.AnswerRefused} {
			carrier.sendRaw(controlMessage(lookupID, admission.Message{From: 72, To: lookupRow, Reply: &admission.Reply{
				Flow: admission.FlowKeyOf(source), Sequence: 1, Answer: answered, Owner: exportRow,
			}})(nil), endpoint)
		}
		carrier.send(opening(source, lookupAddress, 1))
		lookup.take()
	})
})
