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

var _ = Describe("Balancer, in a search for the owner of a flow", func() {
	var (
		balancer *relay.Balancer
		known    *fleet
	)

	install := func(now time.Duration) []relay.Effect { return balancer.Install(now, known.machine.Snapshot()) }

	BeforeEach(func() { balancer, known = balancerOfThree() })

	Describe("a flow that it does not know", func() {
		request := fromClient(1, segment.Acknowledge, 101, 501, "request")

		// own lets an agent answer that it owns the flow.
		own := func(now time.Duration, number int) []relay.Effect {
			return balancer.Receive(now, agentAddress(number), relay.Message{
				Kind: relay.KindOwned, Service: service, Flow: relay.EncodeFlow(keyOf(1)),
			})
		}

		It("asks all endpoints of the route, leaving and gone ones included", func() {
			known.endpoint(0, 0, func(e *directory.Endpoint) { e.Draining = true })
			known.gone(0, 1)
			install(0)
			asked := sent(balancer.HandleClientPacket(0, request))
			Expect(asked).To(HaveLen(3))
			for _, each := range asked {
				Expect(each.Message.Kind).To(Equal(relay.KindLocate))
			}
		})

		It("is never reset", func() {
			for step := range 20 {
				Expect(resets(balancer.HandleClientPacket(time.Duration(step)*200*millisecond, request))).To(BeEmpty())
			}
		})

		It("goes to its owner once that has answered", func() {
			balancer.HandleClientPacket(0, request)
			forwarded := onlyMessage(own(millisecond, 2))
			Expect(forwarded.To).To(Equal(agentAddress(2)))
			Expect(forwarded.Message.Kind).To(Equal(relay.KindForward))
			Expect(forwarded.Message.Packet).To(Equal(request), "the packet that waited")
			Expect(onlyMessage(balancer.HandleClientPacket(2*millisecond, request)).To).To(Equal(agentAddress(2)))
		})

		It("has its packets held in their order, each once, and no search for each", func() {
			second := fromClient(1, segment.Acknowledge, 108, 501, "second")
			Expect(sent(balancer.HandleClientPacket(0, request))).To(HaveLen(3))
			for _, packet := range [][]byte{second, request, second} {
				Expect(sent(balancer.HandleClientPacket(10*millisecond, packet))).To(BeEmpty())
			}
			forwarded := sent(own(20*millisecond, 0))
			Expect(forwarded).To(HaveLen(2))
			Expect(forwarded[0].Message.Packet).To(Equal(request))
			Expect(forwarded[1].Message.Packet).To(Equal(second))
		})

		It("is sought without its data, which may be long", func() {
			long := fromClient(1, segment.Acknowledge, 101, 501, strings.Repeat("x", 1200))
			for _, each := range sent(balancer.HandleClientPacket(0, long)) {
				Expect(each.Message.Packet).To(BeEmpty())
				Expect(each.Message.Acknowledgment).To(Equal(uint32(501)))
				Expect(each.Message.Flow).To(Equal(relay.EncodeFlow(keyOf(1))))
			}
		})

		It("is sought once at an address that several endpoints have had", func() {
			known.gone(0, 0)
			known.endpoint(0, 9, func(e *directory.Endpoint) { e.IP = endpointAddress(0).IP })
			install(0)
			Expect(sent(balancer.HandleClientPacket(0, request))).To(HaveLen(3))
			Expect(sent(balancer.HandleClientPacket(200*millisecond, request))).To(HaveLen(3))
		})

		It("takes no more than a part of the network if there are many such flows", func() {
			asked := 0
			for number := range 10_000 {
				now := time.Duration(number) * millisecond / 2
				asked += len(sent(balancer.HandleClientPacket(now, fromClient(number%900, segment.Acknowledge, 101, 501, "x"))))
			}
			Expect(asked).To(BeNumerically("<=", 1000+5*2000))
			Expect(asked).To(BeNumerically(">", 5*1900))
		})

		It("is sought among all endpoints after a search in vain, since routes may have changed", func() {
			known.endpoint(0, 9, func(e *directory.Endpoint) { e.Service = otherService })
			install(0)
			Expect(sent(balancer.HandleClientPacket(0, request))).To(HaveLen(3))
			Expect(sent(balancer.HandleClientPacket(200*millisecond, request))).To(HaveLen(4))
		})

		It("is sought again if the believed owner does not know it", func() {
			offer := onlyMessage(balancer.HandleClientPacket(0, opening(1, 100)))
			placed(balancer, 0, offer.To, 1, 100)
			balancer.HandleClientPacket(millisecond, request)
			asked := sent(balancer.Receive(2*millisecond, offer.To, relay.Message{Kind: relay.KindNotOwned, Packet: request}))
			Expect(asked).To(HaveLen(3))
			for _, each := range asked {
				Expect(each.Message.Kind).To(Equal(relay.KindLocate))
			}
			Expect(onlyMessage(own(3*millisecond, 1)).Message.Packet).To(Equal(request))
		})
	})

	It("ends a search that agents answer with its packet again and again", func() {
		request := fromClient(1, segment.Acknowledge, 101, 501, "request")
		asked := len(sent(balancer.HandleClientPacket(0, request)))
		for range 1000 {
			asked += len(sent(balancer.Receive(millisecond, agentAddress(0), relay.Message{Kind: relay.KindNotOwned, Packet: request})))
		}
		Expect(asked).To(BeNumerically("<", 200))
	})

	Describe("a flow of which restarted agents may be the owners", func() {
		request := fromClient(1, segment.Acknowledge, 101, 501, "request")

		probes := func(now time.Duration) []segment.Address {
			var probed []segment.Address
			for _, each := range sent(balancer.HandleClientPacket(now, request)) {
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
					Kind: relay.KindUncertain, Service: service, Flow: relay.EncodeFlow(keyOf(1)),
				})
			}
		})

		It("is probed at no more than two endpoints in two seconds, each once", func() {
			first := probes(200 * millisecond)
			Expect(first).To(HaveLen(2))
			Expect(probes(600 * millisecond)).To(BeEmpty())
			Expect(probes(1400 * millisecond)).To(BeEmpty())
			second := probes(3 * time.Second)
			Expect(second).To(HaveLen(1))
			Expect(first).NotTo(ContainElement(second[0]))
			Expect(probes(9 * time.Second)).To(BeEmpty())
		})

		It("is not probed before the client has repeated its packet", func() {
			Expect(probes(50 * millisecond)).To(BeEmpty())
		})
	})
})
