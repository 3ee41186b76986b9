package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Agent", func() {
	var agent *testAgent

	BeforeEach(func() { agent = newTestAgent(newAgent(true)) })

	It("gives an offered packet to its endpoint unchanged and reports the answer to the balancer", func() {
		effects := agent.offer(0, 1, 100)
		Expect(deliveredPackets(effects)[0].Packet).To(Equal(openingPacket(1, 100)))
		effects = agent.answer(millisecond, 1, 500)
		notice := onlyMessage(effects)
		Expect(notice.To).To(Equal(balancerA))
		Expect(notice.Message.Kind).To(Equal(relay.KindPlaced))
		Expect(notice.Message.Flow.Key()).To(Equal(flowKey(1)))
		Expect(effectsOfKind(effects, relay.EffectSendToClient)[0].To).To(Equal(clientAddress(1)))
	})

	It("returns an opening packet for another service", func() {
		effects := agent.Receive(0, balancerA, relay.Message{Kind: relay.KindOffer, Service: otherService, Packet: openingPacket(1, 100)})
		Expect(deliveredPackets(effects)).To(BeEmpty())
		Expect(onlyMessage(effects).Message.Kind).To(Equal(relay.KindReturned))
	})

	It("denies a flow that it does not hold in a search for another service, since returning the packet would restart the search", func() {
		unownedPacket := clientPacket(2, segment.Acknowledge, 101, 501, "request")
		agent.open(0, 1)
		otherQuery := locateQuery(unownedPacket)
		otherQuery.Service = otherService
		Expect(agent.Receive(0, balancerA, otherQuery)).To(BeEmpty())
		probed := agent.Receive(0, balancerA, relay.Message{Kind: relay.KindProbe, Service: otherService, Packet: unownedPacket})
		Expect(deliveredPackets(probed)).To(BeEmpty())
		Expect(onlyMessage(probed).Message.Kind).To(Equal(relay.KindDenied))
	})

	// Guards against resets of open flows whose endpoint's address another entry names, such as a late
	// write of the endpoint that had the address before.
	It("owns its flows in a search for another service", func() {
		agent.open(0, 1)
		owned := clientPacket(1, segment.Acknowledge, 101, 501, "request")
		query := locateQuery(owned)
		query.Service = otherService
		for _, kind := range []relay.MessageKind{relay.KindLocate, relay.KindVerify} {
			query.Kind = kind
			reply := onlyMessage(agent.Receive(0, balancerB, query)).Message
			Expect(reply.Kind).To(Equal(relay.KindOwned))
			Expect(reply.Service).To(Equal(service))
		}
		probe := relay.Message{Kind: relay.KindProbe, Service: otherService, Packet: owned}
		Expect(deliveredPackets(agent.Receive(0, balancerB, probe))).To(HaveLen(1))
	})

	It("returns an opening packet that its endpoint returned, without the mark of the endpoint", func() {
		agent.offer(0, 1, 100)
		effects := agent.HandleEndpointPacket(millisecond, returnedCopy(openingPacket(1, 100)))
		Expect(onlyMessage(effects).Message.Kind).To(Equal(relay.KindReturned))
		Expect(onlyMessage(effects).Message.Packet).To(Equal(openingPacket(1, 100)))
		Expect(agent.FlowCount()).To(BeZero())
	})

	It("sends back packets whose acknowledgment shows that the client chose another endpoint", func() {
		agent.offer(0, 1, 100)
		agent.answer(0, 1, 500)
		for _, acknowledgment := range []uint32{90501, 0x0100_0000, 0x9000_0000, 400} {
			effects := agent.forward(millisecond, relay.KindForward, clientPacket(1, segment.Acknowledge, 101, acknowledgment, "request"))
			Expect(deliveredPackets(effects)).To(BeEmpty(), "%x", acknowledgment)
			Expect(onlyMessage(effects).Message.Kind).To(Equal(relay.KindNotOwned))
		}
		Expect(deliveredPackets(agent.forward(millisecond, relay.KindForward, clientPacket(1, segment.Acknowledge, 101, 501, "request")))).To(HaveLen(1))
		effects := agent.forward(millisecond, relay.KindForward, clientPacket(1, segment.Acknowledge, 101, 90501, "request"))
		Expect(deliveredPackets(effects)).To(HaveLen(1), "the client has received 90,000 bytes")
	})

	It("gives its endpoint no packet of a flow that it does not own", func() {
		unownedPacket := clientPacket(1, segment.Acknowledge, 101, 501, "request")
		Expect(deliveredPackets(agent.forward(0, relay.KindForward, unownedPacket))).To(BeEmpty())
		for step := range 20 {
			effects := agent.locate(time.Duration(step)*200*millisecond, unownedPacket)
			Expect(deliveredPackets(effects)).To(BeEmpty())
			Expect(sentMessages(effects)).To(BeEmpty())
		}
	})

	It("replies to a search for a flow that it owns and delivers later packets", func() {
		agent.open(0, 1)
		more := clientPacket(1, segment.Acknowledge, 108, 501, "more")
		effects := agent.locate(millisecond, more)
		Expect(deliveredPackets(effects)).To(BeEmpty())
		Expect(onlyMessage(effects).To).To(Equal(balancerB))
		Expect(onlyMessage(effects).Message.Kind).To(Equal(relay.KindOwned))
		Expect(deliveredPackets(agent.forward(2*millisecond, relay.KindForward, more))).To(HaveLen(1))
	})

	It("owns a flow after its endpoint has sent more data than the acknowledgment window", func() {
		agent.open(0, 1)
		sequence := uint32(501)
		for range 20 {
			sequence += 1 << 24
			agent.HandleEndpointPacket(0, endpointPacket(1, segment.Acknowledge, sequence, 108, "data"))
			late := clientPacket(1, segment.Acknowledge, 108, sequence-1000, "")
			Expect(onlyMessage(agent.locate(0, late)).Message.Kind).To(Equal(relay.KindOwned))
		}
	})

	It("does not reply to a search for a flow whose client chose another endpoint", func() {
		agent.offer(0, 1, 100)
		agent.answer(0, 1, 500)
		Expect(agent.locate(millisecond, clientPacket(1, segment.Acknowledge, 101, 0x0100_0000, "request"))).To(BeEmpty())
		Expect(sentMessages(agent.locate(millisecond, clientPacket(1, segment.Acknowledge, 101, 501, "request")))).To(HaveLen(1))
	})

	It("returns new flows and serves open ones while its endpoint drains", func() {
		agent.open(0, 1)
		agent.Receive(0, balancerA, relay.Message{Kind: relay.KindDrain, Service: service})
		Expect(onlyMessage(agent.offer(millisecond, 2, 100)).Message.Kind).To(Equal(relay.KindReturned))
		Expect(deliveredPackets(agent.forward(millisecond, relay.KindForward, clientPacket(1, segment.Acknowledge, 108, 501, "x")))).To(HaveLen(1))
	})

	It("accepts new flows again after the drain has expired, since the address may have a new endpoint", func() {
		agent.Receive(0, balancerA, relay.Message{Kind: relay.KindDrain, Service: service})
		Expect(deliveredPackets(agent.offer(20*time.Second, 1, 100))).To(BeEmpty())
		Expect(deliveredPackets(agent.offer(time.Minute, 2, 100))).To(HaveLen(1))
	})

	It("notifies all balancers when it stops, returns new flows and serves open ones", func() {
		agent.open(0, 1)
		notices := sentMessages(agent.Stop(millisecond))
		Expect(notices).To(HaveLen(2))
		Expect(notices[0].Message.Kind).To(Equal(relay.KindLeaving))
		Expect(sentMessages(agent.offer(2*millisecond, 2, 100))[0].Message.Kind).To(Equal(relay.KindReturned))
		Expect(deliveredPackets(agent.forward(millisecond, relay.KindForward, clientPacket(1, segment.Acknowledge, 108, 501, "x")))).To(HaveLen(1))
	})

	It("resets a flow that its endpoint has lost, but not a flow that it has not recorded", func() {
		agent.open(0, 1)
		unownedPacket := clientPacket(2, segment.Acknowledge, 101, 501, "x")
		Expect(resetHeaders(agent.HandleEndpointPacket(0, returnedCopy(unownedPacket)))).To(BeEmpty())
		request := clientPacket(1, segment.Acknowledge, 101, 501, "request")
		lost := resetHeaders(agent.HandleEndpointPacket(millisecond, returnedCopy(request)))
		Expect(lost).To(HaveLen(1))
		Expect(lost[0].Sequence).To(Equal(uint32(501)))
	})

	It("keeps an open flow when its endpoint returns a copy of the opening packet", func() {
		agent.open(0, 1)
		effects := agent.HandleEndpointPacket(millisecond, returnedCopy(openingPacket(1, 100)))
		Expect(effects).To(BeEmpty())
		Expect(deliveredPackets(agent.forward(millisecond, relay.KindForward, clientPacket(1, segment.Acknowledge, 108, 501, "x")))).To(HaveLen(1))
	})

	Describe("after a restart beside a running endpoint", func() {
		request := clientPacket(1, segment.Acknowledge, 101, 501, "request")

		BeforeEach(func() { agent = newTestAgent(newAgent(false)) })

		It("owns a flow in which its endpoint has written", func() {
			agent.HandleEndpointPacket(0, endpointPacket(1, segment.Acknowledge, 501, 108, "answer"))
			Expect(deliveredPackets(agent.forward(millisecond, relay.KindForward, request))).To(HaveLen(1))
		})

		It("replies that it is uncertain to a search, and gives its endpoint no packet", func() {
			effects := agent.locate(0, request)
			Expect(deliveredPackets(effects)).To(BeEmpty())
			Expect(onlyMessage(effects).Message.Kind).To(Equal(relay.KindUncertain))
		})

		It("gives its endpoint one packet of an unknown flow when it is probed or taken for the owner", func() {
			for _, kind := range []relay.MessageKind{relay.KindProbe, relay.KindForward} {
				agent = newTestAgent(newAgent(false))
				Expect(deliveredPackets(agent.forward(0, kind, request))).To(HaveLen(1))
				Expect(resetHeaders(agent.HandleEndpointPacket(millisecond, returnedCopy(request)))).To(BeEmpty())
				for _, again := range []relay.MessageKind{relay.KindProbe, relay.KindForward} {
					Expect(deliveredPackets(agent.forward(200*millisecond, again, request))).To(BeEmpty())
				}
				Expect(agent.locate(200*millisecond, request)).To(BeEmpty())
			}
		})

		It("owns a probed flow once its endpoint writes in it, and reports that to the balancer", func() {
			agent.forward(200*millisecond, relay.KindProbe, request)
			effects := agent.HandleEndpointPacket(201*millisecond, endpointPacket(1, segment.Acknowledge, 501, 108, ""))
			Expect(onlyMessage(effects).Message.Kind).To(Equal(relay.KindOwned))
			Expect(onlyMessage(effects).To).To(Equal(balancerB))
		})
	})

	Describe("asked to verify that no endpoint holds a flow", func() {
		request := clientPacket(1, segment.Acknowledge, 101, 501, "request")

		verify := func(now time.Duration, ofService string) relay.Message {
			GinkgoHelper()
			query := locateQuery(request)
			query.Kind, query.Service = relay.KindVerify, ofService
			return onlyMessage(agent.Receive(now, balancerB, query)).Message
		}

		It("replies that it owns the flow", func() {
			agent.open(0, 1)
			Expect(verify(millisecond, service).Kind).To(Equal(relay.KindOwned))
		})

		// Guards against a reset of a flow that is open at another endpoint, whose initial sequence
		// number is near that of this one.
		It("denies a flow whose client acknowledges a sequence number near that of its endpoint", func() {
			agent.Tick(0)
			agent.offer(0, 1, 100)
			agent.answer(0, 1, 499)
			Expect(verify(millisecond, service).Kind).To(Equal(relay.KindDenied))
			agent = newTestAgent(newAgent(true))
			agent.offer(0, 1, 100)
			agent.answer(0, 1, 500)
			Expect(verify(millisecond, service).Kind).To(Equal(relay.KindOwned))
		})

		It("denies an unknown flow if it was started with its endpoint", func() {
			agent.Tick(0)
			denied := verify(3*time.Second, service)
			Expect(denied.Kind).To(Equal(relay.KindDenied))
			Expect(denied.Flow).To(Equal(relay.EncodeFlow(flowKey(1))))
		})

		It("denies a flow whose client chose another endpoint, also after a restart", func() {
			agent = newTestAgent(newAgent(false))
			agent.offer(0, 1, 100)
			agent.answer(0, 1, 900)
			Expect(verify(millisecond, service).Kind).To(Equal(relay.KindDenied))
		})

		It("denies a flow of another service whose endpoint had its address before, once its own does not hold it", func() {
			agent = newTestAgent(newAgent(false))
			Expect(verify(0, otherService).Kind).To(Equal(relay.KindUncertain))
			probe := relay.Message{Kind: relay.KindProbe, Service: otherService, Packet: request}
			Expect(deliveredPackets(agent.Receive(0, balancerB, probe))).To(HaveLen(1))
			Expect(onlyMessage(agent.HandleEndpointPacket(0, returnedCopy(request))).Message.Kind).To(Equal(relay.KindDenied))
			Expect(verify(0, otherService).Kind).To(Equal(relay.KindDenied))
		})

		It("is uncertain after a restart until its endpoint has returned the packet of a probe", func() {
			agent = newTestAgent(newAgent(false))
			agent.Tick(0)
			Expect(verify(time.Second, service)).To(HaveField("Kind", relay.KindUncertain))
			Expect(deliveredPackets(agent.forward(time.Second, relay.KindProbe, request))).To(HaveLen(1))
			Expect(verify(time.Second, service).Kind).To(Equal(relay.KindUncertain))
			Expect(deliveredPackets(agent.forward(time.Second, relay.KindProbe, request))).To(HaveLen(1), "the endpoint may not have been running")
			reply := onlyMessage(agent.HandleEndpointPacket(time.Second, returnedCopy(request)))
			Expect(reply.To).To(Equal(balancerB))
			Expect(reply.Message.Kind).To(Equal(relay.KindDenied))
			Expect(verify(time.Second, service).Kind).To(Equal(relay.KindDenied))
		})

		It("delivers forwarded packets of a probed flow until its endpoint returns one", func() {
			agent = newTestAgent(newAgent(false))
			withoutData := clientPacket(1, segment.Acknowledge, 101, 501, "")
			Expect(deliveredPackets(agent.forward(0, relay.KindForward, withoutData))).To(HaveLen(1), "an endpoint that holds the flow need not answer a packet without data")
			effects := agent.forward(400*millisecond, relay.KindForward, request)
			Expect(deliveredPackets(effects)).To(HaveLen(1))
			Expect(sentMessages(effects)).To(BeEmpty())
			reply := onlyMessage(agent.HandleEndpointPacket(401*millisecond, returnedCopy(request)))
			Expect(reply.Message.Kind).To(Equal(relay.KindNotOwned), "the endpoint certainly does not hold the flow")
			Expect(deliveredPackets(agent.forward(500*millisecond, relay.KindForward, request))).To(BeEmpty())
		})

		It("replies to the last prober, in the form that fits its query, when its endpoint returns a packet", func() {
			agent = newTestAgent(newAgent(false))
			agent.forward(0, relay.KindForward, clientPacket(1, segment.Acknowledge, 101, 501, ""))
			agent.Receive(10*millisecond, balancerA, relay.Message{Kind: relay.KindProbe, Service: service, Packet: request})
			reply := onlyMessage(agent.HandleEndpointPacket(11*millisecond, returnedCopy(request)))
			Expect(reply.To).To(Equal(balancerA))
			Expect(reply.Message.Kind).To(Equal(relay.KindDenied))
		})

		It("sends back a forwarded packet that its endpoint returns", func() {
			agent = newTestAgent(newAgent(false))
			agent.forward(0, relay.KindForward, request)
			reply := onlyMessage(agent.HandleEndpointPacket(0, returnedCopy(request)))
			Expect(reply.Message.Kind).To(Equal(relay.KindNotOwned))
			Expect(reply.Message.Packet).To(Equal(request))
		})

		It("counts the packet of a successful probe as a request given to its endpoint", func() {
			agent = newTestAgent(newAgent(false))
			agent.forward(0, relay.KindProbe, request)
			agent.HandleEndpointPacket(millisecond, endpointPacket(1, segment.Acknowledge, 501, 108, ""))
			Expect(eventKinds(agent.forward(2*millisecond, relay.KindForward, request))).NotTo(ContainElement(relay.EventGiven))
			answered := agent.HandleEndpointPacket(40*millisecond, endpointPacket(1, segment.Acknowledge, 501, 108, "answer"))
			Expect(eventKinds(answered)).To(ContainElement(relay.EventAnswered))
			next := clientPacket(1, segment.Acknowledge, 108, 507, "next")
			Expect(eventKinds(agent.forward(50*millisecond, relay.KindForward, next))).To(ContainElement(relay.EventGiven))
		})

		It("does not count a copy of an acknowledged request as a new request", func() {
			agent = newTestAgent(newAgent(false))
			agent.HandleEndpointPacket(0, endpointPacket(1, segment.Acknowledge, 501, 108, "answer"))
			Expect(eventKinds(agent.forward(millisecond, relay.KindForward, request))).NotTo(ContainElement(relay.EventGiven))
		})
	})

	It("does not probe if it was started with its endpoint", func() {
		unownedPacket := clientPacket(1, segment.Acknowledge, 101, 501, "request")
		Expect(deliveredPackets(agent.forward(0, relay.KindProbe, unownedPacket))).To(BeEmpty())
	})

	It("removes flows that have ended", func() {
		agent.open(0, 1)
		agent.forward(0, relay.KindForward, clientPacket(1, segment.Acknowledge|segment.Finish, 108, 501, ""))
		agent.Tick(20 * time.Second)
		Expect(agent.FlowCount()).To(BeZero())
		Expect(agent.Load().Running).To(BeZero())
	})
})
