package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Agent", func() {
	var agent *drivenAgent

	BeforeEach(func() { agent = drive(newAgent(true)) })

	It("gives an offered packet to its endpoint unchanged and tells of the answer", func() {
		effects := agent.offer(0, 1, 100)
		Expect(delivered(effects)[0].Packet).To(Equal(opening(1, 100)))
		effects = agent.answer(millisecond, 1, 500)
		told := onlyMessage(effects)
		Expect(told.To).To(Equal(balancerA))
		Expect(told.Message.Kind).To(Equal(relay.KindPlaced))
		Expect(told.Message.Flow.Key()).To(Equal(keyOf(1)))
		Expect(ofKind(effects, relay.EffectSendToClient)[0].To).To(Equal(clientAddress(1)))
	})

	It("does not take packets for another service", func() {
		effects := agent.Receive(0, balancerA, relay.Message{Kind: relay.KindOffer, Service: otherService, Packet: opening(1, 100)})
		Expect(delivered(effects)).To(BeEmpty())
		Expect(onlyMessage(effects).Message.Kind).To(Equal(relay.KindReturned))
	})

	It("does not answer a search for another service, which would begin the search again", func() {
		stray := fromClient(1, segment.Acknowledge, 101, 501, "request")
		agent.open(0, 1)
		foreign := question(stray)
		foreign.Service = otherService
		Expect(agent.Receive(0, balancerA, foreign)).To(BeEmpty())
		Expect(agent.Receive(0, balancerA, relay.Message{Kind: relay.KindProbe, Service: otherService, Packet: stray})).To(BeEmpty())
	})

	It("brings back an opening packet that its endpoint did not take, as the client wrote it", func() {
		agent.offer(0, 1, 100)
		effects := agent.HandleEndpointPacket(millisecond, returned(opening(1, 100)))
		Expect(onlyMessage(effects).Message.Kind).To(Equal(relay.KindReturned))
		Expect(onlyMessage(effects).Message.Packet).To(Equal(opening(1, 100)))
		Expect(agent.FlowCount()).To(BeZero())
	})

	It("knows by the acknowledgment that the client chose another endpoint", func() {
		agent.offer(0, 1, 100)
		agent.answer(0, 1, 500)
		for _, elsewhere := range []uint32{90501, 0x0100_0000, 0x9000_0000, 400} {
			effects := agent.forward(millisecond, relay.KindForward, fromClient(1, segment.Acknowledge, 101, elsewhere, "request"))
			Expect(delivered(effects)).To(BeEmpty(), "%x", elsewhere)
			Expect(onlyMessage(effects).Message.Kind).To(Equal(relay.KindNotOwned))
		}
		Expect(delivered(agent.forward(millisecond, relay.KindForward, fromClient(1, segment.Acknowledge, 101, 501, "request")))).To(HaveLen(1))
		effects := agent.forward(millisecond, relay.KindForward, fromClient(1, segment.Acknowledge, 101, 90501, "request"))
		Expect(delivered(effects)).To(HaveLen(1), "the client has received 90,000 bytes")
	})

	It("never gives its endpoint a packet of a flow that it does not own", func() {
		stray := fromClient(1, segment.Acknowledge, 101, 501, "request")
		Expect(delivered(agent.forward(0, relay.KindForward, stray))).To(BeEmpty())
		for step := range 20 {
			effects := agent.locate(time.Duration(step)*200*millisecond, stray)
			Expect(delivered(effects)).To(BeEmpty())
			Expect(sent(effects)).To(BeEmpty())
		}
	})

	It("answers a search for a flow that it owns, and delivers the packets that follow", func() {
		agent.open(0, 1)
		more := fromClient(1, segment.Acknowledge, 108, 501, "more")
		effects := agent.locate(millisecond, more)
		Expect(delivered(effects)).To(BeEmpty())
		Expect(onlyMessage(effects).To).To(Equal(balancerB))
		Expect(onlyMessage(effects).Message.Kind).To(Equal(relay.KindOwned))
		Expect(delivered(agent.forward(2*millisecond, relay.KindForward, more))).To(HaveLen(1))
	})

	It("owns a flow however much its endpoint has sent", func() {
		agent.open(0, 1)
		sequence := uint32(501)
		for range 20 {
			sequence += 1 << 24
			agent.HandleEndpointPacket(0, fromEndpoint(1, segment.Acknowledge, sequence, 108, "data"))
			late := fromClient(1, segment.Acknowledge, 108, sequence-1000, "")
			Expect(onlyMessage(agent.locate(0, late)).Message.Kind).To(Equal(relay.KindOwned))
		}
	})

	It("does not answer a search for a flow whose client chose another endpoint", func() {
		agent.offer(0, 1, 100)
		agent.answer(0, 1, 500)
		Expect(agent.locate(millisecond, fromClient(1, segment.Acknowledge, 101, 0x0100_0000, "request"))).To(BeEmpty())
		Expect(sent(agent.locate(millisecond, fromClient(1, segment.Acknowledge, 101, 501, "request")))).To(HaveLen(1))
	})

	It("takes no new flow once its endpoint drains, and goes on with those it has", func() {
		agent.open(0, 1)
		agent.Receive(0, balancerA, relay.Message{Kind: relay.KindDrain, Service: service})
		Expect(onlyMessage(agent.offer(millisecond, 2, 100)).Message.Kind).To(Equal(relay.KindReturned))
		Expect(delivered(agent.forward(millisecond, relay.KindForward, fromClient(1, segment.Acknowledge, 108, 501, "x")))).To(HaveLen(1))
	})

	It("takes new flows again long after a drain, since another endpoint may have come", func() {
		agent.Receive(0, balancerA, relay.Message{Kind: relay.KindDrain, Service: service})
		Expect(delivered(agent.offer(20*time.Second, 1, 100))).To(BeEmpty())
		Expect(delivered(agent.offer(time.Minute, 2, 100))).To(HaveLen(1))
	})

	It("tells balancers that it stops, and goes on with the flows it has", func() {
		agent.open(0, 1)
		told := sent(agent.Stop(millisecond))
		Expect(told).To(HaveLen(2))
		Expect(told[0].Message.Kind).To(Equal(relay.KindLeaving))
		Expect(sent(agent.offer(2*millisecond, 2, 100))[0].Message.Kind).To(Equal(relay.KindReturned))
		Expect(delivered(agent.forward(millisecond, relay.KindForward, fromClient(1, segment.Acknowledge, 108, 501, "x")))).To(HaveLen(1))
	})

	It("resets a flow that its endpoint has lost, and only such a one", func() {
		agent.open(0, 1)
		stray := fromClient(2, segment.Acknowledge, 101, 501, "x")
		Expect(resets(agent.HandleEndpointPacket(0, returned(stray)))).To(BeEmpty())
		request := fromClient(1, segment.Acknowledge, 101, 501, "request")
		lost := resets(agent.HandleEndpointPacket(millisecond, returned(request)))
		Expect(lost).To(HaveLen(1))
		Expect(lost[0].Sequence).To(Equal(uint32(501)))
	})

	It("does not take a bounced copy of an opening packet for the loss of an open flow", func() {
		agent.open(0, 1)
		effects := agent.HandleEndpointPacket(millisecond, returned(opening(1, 100)))
		Expect(effects).To(BeEmpty())
		Expect(delivered(agent.forward(millisecond, relay.KindForward, fromClient(1, segment.Acknowledge, 108, 501, "x")))).To(HaveLen(1))
	})

	Describe("restarted beside a running endpoint", func() {
		request := fromClient(1, segment.Acknowledge, 101, 501, "request")

		BeforeEach(func() { agent = drive(newAgent(false)) })

		It("learns of flows from what its endpoint writes", func() {
			agent.HandleEndpointPacket(0, fromEndpoint(1, segment.Acknowledge, 501, 108, "answer"))
			Expect(delivered(agent.forward(millisecond, relay.KindForward, request))).To(HaveLen(1))
		})

		It("answers a search that it does not know, and gives its endpoint nothing", func() {
			effects := agent.locate(0, request)
			Expect(delivered(effects)).To(BeEmpty())
			Expect(onlyMessage(effects).Message.Kind).To(Equal(relay.KindUncertain))
		})

		It("lets its endpoint tell, once, when it is asked to or taken for the owner", func() {
			for _, kind := range []relay.MessageKind{relay.KindProbe, relay.KindForward} {
				agent = drive(newAgent(false))
				Expect(delivered(agent.forward(0, kind, request))).To(HaveLen(1))
				Expect(resets(agent.HandleEndpointPacket(millisecond, returned(request)))).To(BeEmpty())
				for _, again := range []relay.MessageKind{relay.KindProbe, relay.KindForward} {
					Expect(delivered(agent.forward(200*millisecond, again, request))).To(BeEmpty())
				}
				Expect(agent.locate(200*millisecond, request)).To(BeEmpty())
			}
		})

		It("owns the flow once its endpoint has answered, and tells the balancer", func() {
			agent.forward(200*millisecond, relay.KindProbe, request)
			effects := agent.HandleEndpointPacket(201*millisecond, fromEndpoint(1, segment.Acknowledge, 501, 108, ""))
			Expect(onlyMessage(effects).Message.Kind).To(Equal(relay.KindOwned))
			Expect(onlyMessage(effects).To).To(Equal(balancerB))
		})
	})

	Describe("asked to verify that nobody holds a flow", func() {
		request := fromClient(1, segment.Acknowledge, 101, 501, "request")

		verify := func(now time.Duration, ofService string) relay.Message {
			GinkgoHelper()
			asked := question(request)
			asked.Kind, asked.Service = relay.KindVerify, ofService
			return onlyMessage(agent.Receive(now, balancerB, asked)).Message
		}

		It("says that it owns the flow", func() {
			agent.open(0, 1)
			Expect(verify(millisecond, service).Kind).To(Equal(relay.KindOwned))
		})

		It("denies it if it has known all flows of its endpoint, and tells how long it has been there", func() {
			agent.Tick(0)
			denied := verify(3*time.Second, service)
			Expect(denied.Kind).To(Equal(relay.KindDenied))
			Expect(denied.Flow).To(Equal(relay.EncodeFlow(keyOf(1))))
			Expect(denied.Uptime).To(Equal(3 * time.Second))
		})

		It("denies it if its client chose another endpoint, also after a restart", func() {
			agent = drive(newAgent(false))
			agent.offer(0, 1, 100)
			agent.answer(0, 1, 900)
			Expect(verify(millisecond, service).Kind).To(Equal(relay.KindDenied))
		})

		It("denies it for an endpoint of another service, which had its address before", func() {
			agent = drive(newAgent(false))
			Expect(verify(0, otherService).Kind).To(Equal(relay.KindDenied))
		})

		It("does not know after a restart, until its endpoint has told", func() {
			agent = drive(newAgent(false))
			agent.Tick(0)
			Expect(verify(time.Second, service)).To(And(HaveField("Kind", relay.KindUncertain), HaveField("Uptime", time.Second)))
			Expect(delivered(agent.forward(time.Second, relay.KindProbe, request))).To(HaveLen(1))
			Expect(verify(time.Second, service).Kind).To(Equal(relay.KindUncertain))
			Expect(delivered(agent.forward(time.Second, relay.KindProbe, request))).To(HaveLen(1), "the endpoint may not have been there")
			told := onlyMessage(agent.HandleEndpointPacket(time.Second, returned(request)))
			Expect(told.To).To(Equal(balancerB))
			Expect(told.Message.Kind).To(Equal(relay.KindDenied))
			Expect(verify(time.Second, service).Kind).To(Equal(relay.KindDenied))
		})

		It("goes on giving its endpoint packets of a flow of which that has returned none, if it is taken for the owner", func() {
			agent = drive(newAgent(false))
			bare := fromClient(1, segment.Acknowledge, 101, 501, "")
			Expect(delivered(agent.forward(0, relay.KindForward, bare))).To(HaveLen(1), "an endpoint that holds the flow need not answer this")
			effects := agent.forward(400*millisecond, relay.KindForward, request)
			Expect(delivered(effects)).To(HaveLen(1))
			Expect(sent(effects)).To(BeEmpty())
			told := onlyMessage(agent.HandleEndpointPacket(401*millisecond, returned(request)))
			Expect(told.Message.Kind).To(Equal(relay.KindNotOwned), "now it is certain that it does not")
			Expect(delivered(agent.forward(500*millisecond, relay.KindForward, request))).To(BeEmpty())
		})

		It("answers who asked last if its endpoint does not take the packet, as that was asked", func() {
			agent = drive(newAgent(false))
			agent.forward(0, relay.KindForward, fromClient(1, segment.Acknowledge, 101, 501, ""))
			agent.Receive(10*millisecond, balancerA, relay.Message{Kind: relay.KindProbe, Service: service, Packet: request})
			told := onlyMessage(agent.HandleEndpointPacket(11*millisecond, returned(request)))
			Expect(told.To).To(Equal(balancerA))
			Expect(told.Message.Kind).To(Equal(relay.KindDenied))
		})

		It("brings a packet back that its endpoint does not take, if it was taken for the owner", func() {
			agent = drive(newAgent(false))
			agent.forward(0, relay.KindForward, request)
			told := onlyMessage(agent.HandleEndpointPacket(0, returned(request)))
			Expect(told.Message.Kind).To(Equal(relay.KindNotOwned))
			Expect(told.Message.Packet).To(Equal(request))
		})

		It("counts what it gave its endpoint as a probe as given once, for a flow that turns out to be its own", func() {
			agent = drive(newAgent(false))
			agent.forward(0, relay.KindProbe, request)
			agent.HandleEndpointPacket(millisecond, fromEndpoint(1, segment.Acknowledge, 501, 108, ""))
			Expect(events(agent.forward(2*millisecond, relay.KindForward, request))).NotTo(ContainElement(relay.EventGiven))
			answered := agent.HandleEndpointPacket(40*millisecond, fromEndpoint(1, segment.Acknowledge, 501, 108, "answer"))
			Expect(events(answered)).To(ContainElement(relay.EventAnswered))
			next := fromClient(1, segment.Acknowledge, 108, 507, "next")
			Expect(events(agent.forward(50*millisecond, relay.KindForward, next))).To(ContainElement(relay.EventGiven))
		})

		It("does not take a copy of a request that its endpoint has acknowledged for a new one", func() {
			agent = drive(newAgent(false))
			agent.HandleEndpointPacket(0, fromEndpoint(1, segment.Acknowledge, 501, 108, "answer"))
			Expect(events(agent.forward(millisecond, relay.KindForward, request))).NotTo(ContainElement(relay.EventGiven))
		})
	})

	It("is never made to probe if it was there before its endpoint", func() {
		stray := fromClient(1, segment.Acknowledge, 101, 501, "request")
		Expect(delivered(agent.forward(0, relay.KindProbe, stray))).To(BeEmpty())
	})

	It("forgets flows that have ended", func() {
		agent.open(0, 1)
		agent.forward(0, relay.KindForward, fromClient(1, segment.Acknowledge|segment.Finish, 108, 501, ""))
		agent.Tick(20 * time.Second)
		Expect(agent.FlowCount()).To(BeZero())
		Expect(agent.Load().Running).To(BeZero())
	})
})
