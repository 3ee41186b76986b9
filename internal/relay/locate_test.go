package relay_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Balancer, searching for the owner of a flow", func() {
	var (
		balancer *relay.Balancer
		builder  *directoryBuilder
	)

	install := func(now time.Duration) []relay.Effect { return balancer.Install(now, builder.replica.Snapshot()) }

	BeforeEach(func() { balancer, builder = newBalancerWithThreeEndpoints() })

	Describe("with a flow that it has not recorded", func() {
		request := clientPacket(1, segment.Acknowledge, 101, 501, "request")

		// reportOwned delivers the reply of an agent that it owns the flow.
		reportOwned := func(now time.Duration, number int) []relay.Effect {
			return balancer.Receive(now, agentAddress(number), relay.Message{
				Kind: relay.KindOwned, Service: service, Flow: relay.EncodeFlow(flowKey(1)),
			})
		}

		It("asks the agents of all endpoints of the route, including leaving and gone ones", func() {
			builder.putEndpoint(0, 0, func(e *directory.Endpoint) { e.Draining = true })
			builder.remove(0, 1)
			install(0)
			queries := sentMessages(balancer.HandleClientPacket(0, request))
			Expect(queries).To(HaveLen(3))
			for _, each := range queries {
				Expect(each.Message.Kind).To(Equal(relay.KindLocate))
			}
		})

		It("does not reset the flow while no agent has replied", func() {
			for step := range 20 {
				Expect(resetHeaders(balancer.HandleClientPacket(time.Duration(step)*200*millisecond, request))).To(BeEmpty())
			}
		})

		It("forwards packets to the owner once it has replied", func() {
			balancer.HandleClientPacket(0, request)
			forwarded := onlyMessage(reportOwned(millisecond, 2))
			Expect(forwarded.To).To(Equal(agentAddress(2)))
			Expect(forwarded.Message.Kind).To(Equal(relay.KindForward))
			Expect(forwarded.Message.Packet).To(Equal(request), "the held packet")
			Expect(onlyMessage(balancer.HandleClientPacket(2*millisecond, request)).To).To(Equal(agentAddress(2)))
		})

		It("holds each packet once, in order, without a search for each", func() {
			second := clientPacket(1, segment.Acknowledge, 108, 501, "second")
			Expect(sentMessages(balancer.HandleClientPacket(0, request))).To(HaveLen(3))
			for _, packet := range [][]byte{second, request, second} {
				Expect(sentMessages(balancer.HandleClientPacket(10*millisecond, packet))).To(BeEmpty())
			}
			forwarded := sentMessages(reportOwned(20*millisecond, 0))
			Expect(forwarded).To(HaveLen(2))
			Expect(forwarded[0].Message.Packet).To(Equal(request))
			Expect(forwarded[1].Message.Packet).To(Equal(second))
		})

		It("sends no data in the search, since it may be long", func() {
			long := clientPacket(1, segment.Acknowledge, 101, 501, strings.Repeat("x", 1200))
			for _, each := range sentMessages(balancer.HandleClientPacket(0, long)) {
				Expect(each.Message.Packet).To(BeEmpty())
				Expect(each.Message.Acknowledgment).To(Equal(uint32(501)))
				Expect(each.Message.Flow).To(Equal(relay.EncodeFlow(flowKey(1))))
			}
		})

		It("asks only once at an address that several endpoints have had", func() {
			builder.remove(0, 0)
			builder.putEndpoint(0, 9, func(e *directory.Endpoint) { e.IP = endpointAddress(0).IP })
			install(0)
			Expect(sentMessages(balancer.HandleClientPacket(0, request))).To(HaveLen(3))
			Expect(sentMessages(balancer.HandleClientPacket(200*millisecond, request))).To(HaveLen(3))
		})

		It("limits the messages for searches if there are many such flows", func() {
			queryCount := 0
			for number := range 10_000 {
				now := time.Duration(number) * millisecond / 2
				queryCount += len(sentMessages(balancer.HandleClientPacket(now, clientPacket(number%900, segment.Acknowledge, 101, 501, "x"))))
			}
			Expect(queryCount).To(BeNumerically("<=", 1000+5*2000))
			Expect(queryCount).To(BeNumerically(">", 5*1900))
		})

		It("asks all endpoints after an unsuccessful search, since routes may have changed", func() {
			builder.putEndpoint(0, 9, func(e *directory.Endpoint) { e.Service = otherService })
			install(0)
			Expect(sentMessages(balancer.HandleClientPacket(0, request))).To(HaveLen(3))
			Expect(sentMessages(balancer.HandleClientPacket(200*millisecond, request))).To(HaveLen(4))
		})

		It("searches again if the presumed owner has not recorded the flow", func() {
			offer := onlyMessage(balancer.HandleClientPacket(0, openingPacket(1, 100)))
			reportPlaced(balancer, 0, offer.To, 1, 100)
			balancer.HandleClientPacket(millisecond, request)
			queries := sentMessages(balancer.Receive(2*millisecond, offer.To, relay.Message{Kind: relay.KindNotOwned, Packet: request}))
			Expect(queries).To(HaveLen(3))
			for _, each := range queries {
				Expect(each.Message.Kind).To(Equal(relay.KindLocate))
			}
			Expect(onlyMessage(reportOwned(3*millisecond, 1)).Message.Packet).To(Equal(request))
		})
	})

	It("limits a search in which an agent sends the packet back again and again", func() {
		request := clientPacket(1, segment.Acknowledge, 101, 501, "request")
		queryCount := len(sentMessages(balancer.HandleClientPacket(0, request)))
		for range 1000 {
			queryCount += len(sentMessages(balancer.Receive(millisecond, agentAddress(0), relay.Message{Kind: relay.KindNotOwned, Packet: request})))
		}
		Expect(queryCount).To(BeNumerically("<", 200))
	})

	Describe("with a flow that restarted agents may own", func() {
		request := clientPacket(1, segment.Acknowledge, 101, 501, "request")

		probes := func(now time.Duration) []segment.Address {
			var probed []segment.Address
			for _, each := range sentMessages(balancer.HandleClientPacket(now, request)) {
				if each.Message.Kind == relay.KindProbe {
					probed = append(probed, each.To)
				}
			}
			return probed
		}

		BeforeEach(func() {
			Expect(probes(0)).To(BeEmpty())
			for number := range 3 {
				balancer.Receive(millisecond, agentAddress(number), relay.Message{
					Kind: relay.KindUncertain, Service: service, Flow: relay.EncodeFlow(flowKey(1)),
				})
			}
		})

		It("probes at most two endpoints within a probe period, each once", func() {
			first := probes(200 * millisecond)
			Expect(first).To(HaveLen(2))
			Expect(probes(600 * millisecond)).To(BeEmpty())
			Expect(probes(1400 * millisecond)).To(BeEmpty())
			second := probes(3 * time.Second)
			Expect(second).To(HaveLen(1))
			Expect(first).NotTo(ContainElement(second[0]))
			Expect(probes(9 * time.Second)).To(BeEmpty())
		})

		It("does not probe before the client has repeated its packet", func() {
			Expect(probes(50 * millisecond)).To(BeEmpty())
		})
	})
})
