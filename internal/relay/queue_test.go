package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/requestqueue"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Agent, with a busy endpoint", func() {
	var agent *testAgent

	BeforeEach(func() { agent = newTestAgent(newAgent(true)) })

	// handshake opens a flow without a request.
	handshake := func(now time.Duration, number int) {
		agent.offer(now, number, 100)
		agent.answer(now, number, 500)
		agent.forward(now, relay.KindForward, clientPacket(number, segment.Acknowledge, 101, 501, ""))
	}
	request := func(now time.Duration, number int) []relay.Effect {
		return agent.forward(now, relay.KindForward, clientPacket(number, segment.Acknowledge, 101, 501, "request"))
	}
	// respond lets the endpoint answer the request of a flow.
	respond := func(now time.Duration, number int) []relay.Effect {
		return agent.HandleEndpointPacket(now, endpointPacket(number, segment.Acknowledge, 501, 108, "answer"))
	}
	deliveredNumbers := func(effects []relay.Effect) []int {
		var numbers []int
		for _, effect := range deliveredPackets(effects) {
			header, _ := codec.Decode(effect.Packet)
			numbers = append(numbers, int(header.Source.Port)-40000)
		}
		return numbers
	}

	// refill lets the endpoint answer all of its requests and gives it those of flows 3 to 5.
	refill := func(answeredAt, startedAt time.Duration) {
		for number := range 3 {
			respond(answeredAt, number)
		}
		for number := 3; number < 6; number++ {
			agent.open(startedAt, number)
		}
	}

	// The two slots and the spare one are occupied.
	BeforeEach(func() {
		for number := range 3 {
			agent.open(0, number)
		}
		agent.lastResort = true
	})

	It("returns new flows, since other endpoints may be less busy", func() {
		agent.lastResort = false
		returned := onlyMessage(agent.offer(millisecond, 10, 100)).Message
		Expect(returned.Kind).To(Equal(relay.KindReturned))
		Expect(returned.LastResort).To(BeTrue(), "it takes the flow if all others are as busy")
		Expect(returned.Load.Refusing).To(BeFalse())
		respond(millisecond, 0)
		Expect(deliveredNumbers(agent.offer(2*millisecond, 10, 100))).To(Equal([]int{10}))
	})

	It("counts flows being opened as pending, but not answered requests", func() {
		agent.lastResort = false
		for number := range 3 {
			respond(millisecond, number)
		}
		for number := 10; number < 13; number++ {
			Expect(deliveredNumbers(agent.offer(2*millisecond, number, 100))).To(Equal([]int{number}))
		}
		Expect(onlyMessage(agent.offer(2*millisecond, 13, 100)).Message.Kind).To(Equal(relay.KindReturned))
	})

	It("accepts last resort offers and holds their requests", func() {
		Expect(deliveredNumbers(agent.offer(millisecond, 10, 100))).To(Equal([]int{10}))
		agent.answer(millisecond, 10, 500)
		effects := request(millisecond, 10)
		Expect(deliveredPackets(effects)).To(BeEmpty())
		Expect(eventKinds(effects)).To(ContainElement(relay.EventHeld))
		Expect(agent.Load().Waiting).To(Equal(uint32(1)))
	})

	It("admits the request of the newest flow first when a slot is free", func() {
		handshake(1*millisecond, 10)
		handshake(2*millisecond, 11)
		request(3*millisecond, 11)
		request(4*millisecond, 10)
		Expect(deliveredNumbers(respond(5*millisecond, 0))).To(Equal([]int{11}))
		Expect(deliveredNumbers(respond(6*millisecond, 1))).To(Equal([]int{10}))
	})

	It("counts the time that a client has tried, and serves late requests after those in time", func() {
		agent.parameters.Waited = 300
		handshake(2*millisecond, 10)
		agent.parameters.Waited = 5
		handshake(3*millisecond, 11)
		agent.parameters.Waited = 0
		handshake(1*millisecond, 12)
		for _, number := range []int{10, 11, 12} {
			request(4*millisecond, number)
		}
		Expect(deliveredNumbers(respond(5*millisecond, 0))).To(Equal([]int{12}))
		Expect(deliveredNumbers(respond(6*millisecond, 1))).To(Equal([]int{11}))
		Expect(deliveredNumbers(respond(7*millisecond, 2))).To(Equal([]int{10}), "it can no longer be in time")
	})

	// fill creates an agent with a queue policy and occupies all slots of its endpoint.
	fill := func(policy requestqueue.Policy) {
		agent = newTestAgent(newAgentWith(true, policy))
		for number := range 3 {
			agent.open(0, number)
		}
		agent.lastResort = true
	}

	It("admits the request that is due first under DisciplineEarliestDue if all can be in time", func() {
		fill(requestqueue.Policy{Discipline: requestqueue.DisciplineEarliestDue})
		handshake(1*millisecond, 10)
		handshake(2*millisecond, 11)
		request(3*millisecond, 11)
		request(4*millisecond, 10)
		Expect(deliveredNumbers(respond(5*millisecond, 0))).To(Equal([]int{10}))
		Expect(deliveredNumbers(respond(6*millisecond, 1))).To(Equal([]int{11}))
	})

	It("admits a less urgent request when its fair share is due", func() {
		fill(requestqueue.Policy{FairShare: 0.5})
		for number := 10; number < 14; number++ {
			agent.parameters.Priority = uint8(1 + number%2)
			handshake(1*millisecond, number)
			request(2*millisecond, number)
		}
		Expect(deliveredNumbers(respond(3*millisecond, 0))).To(Equal([]int{10}))
		effects := respond(4*millisecond, 1)
		Expect(deliveredNumbers(effects)).To(Equal([]int{11}), "the fair share of the less urgent requests is due")
		Expect(effectsOfKind(effects, relay.EffectEvent)).To(ContainElement(HaveField("Event", And(
			HaveField("Kind", relay.EventAdmitted), HaveField("Reason", "fair_share")))))
		Expect(deliveredNumbers(respond(5*millisecond, 2))).To(Equal([]int{12}))
	})

	It("admits a more urgent request before a newer one", func() {
		agent.parameters.Priority = 1
		handshake(1*millisecond, 10)
		agent.parameters.Priority = 2
		handshake(2*millisecond, 11)
		agent.parameters.Priority = 0
		request(3*millisecond, 10)
		request(3*millisecond, 11)
		Expect(deliveredNumbers(respond(4*millisecond, 0))).To(Equal([]int{10}))
	})

	It("delivers all packets of a held request in order, and a copy only once", func() {
		handshake(millisecond, 10)
		first := clientPacket(10, segment.Acknowledge, 101, 501, "one")
		second := clientPacket(10, segment.Acknowledge, 104, 501, "two")
		for _, packet := range [][]byte{first, second, first} {
			Expect(deliveredPackets(agent.forward(millisecond, relay.KindForward, packet))).To(BeEmpty())
		}
		effects := deliveredPackets(respond(2*millisecond, 0))
		Expect(effects).To(HaveLen(2))
		Expect(effects[0].Packet).To(Equal(first))
		Expect(effects[1].Packet).To(Equal(second))
	})

	It("delivers a repeated packet of an admitted request at once, without counting it again", func() {
		Expect(deliveredNumbers(request(millisecond, 0))).To(Equal([]int{0}))
		handshake(millisecond, 10)
		request(millisecond, 10)
		Expect(deliveredNumbers(respond(2*millisecond, 0))).To(Equal([]int{10}))
	})

	It("holds further requests of a persistent flow", func() {
		respond(millisecond, 0)
		agent.open(2*millisecond, 5)
		next := clientPacket(0, segment.Acknowledge, 108, 507, "another")
		Expect(deliveredPackets(agent.forward(3*millisecond, relay.KindForward, next))).To(BeEmpty())
		Expect(deliveredNumbers(respond(4*millisecond, 1))).To(Equal([]int{0}))
	})

	It("does not reset an open flow whose request waits for long", func() {
		handshake(millisecond, 10)
		request(millisecond, 10)
		for now := time.Duration(0); now < 3*time.Second; now += 100 * millisecond {
			Expect(resetHeaders(agent.Tick(now))).To(BeEmpty())
		}
	})

	It("drops the request of a client that has reset its flow", func() {
		handshake(millisecond, 10)
		request(millisecond, 10)
		agent.forward(2*millisecond, relay.KindForward, clientPacket(10, segment.Acknowledge|segment.Reset, 108, 501, ""))
		Expect(agent.Load().Waiting).To(BeZero())
		Expect(deliveredNumbers(respond(3*millisecond, 0))).To(BeEmpty())
	})

	It("returns new flows once the waiting requests take longer than the client timeout", func() {
		respond(100*millisecond, 0)
		agent.open(100*millisecond, 3)
		accepted := 0
		for number := 10; number < 200; number++ {
			effects := agent.offer(millisecond, number, 100)
			if len(deliveredPackets(effects)) == 0 {
				Expect(onlyMessage(effects).Message.Kind).To(Equal(relay.KindReturned))
				continue
			}
			agent.answer(millisecond, number, 500)
			request(millisecond, number)
			accepted++
		}
		// At 0.1 s a request and two slots, forty requests take the timeout of two seconds.
		Expect(accepted).To(BeNumerically("~", 41, 1))
	})

	It("frees the slots of requests that the endpoint does not answer", func() {
		handshake(3500*millisecond, 10)
		request(3500*millisecond, 10)
		Expect(deliveredNumbers(agent.Tick(3900 * millisecond))).To(BeEmpty())
		Expect(deliveredNumbers(agent.Tick(4100 * millisecond))).To(Equal([]int{10}))
	})

	It("serves late requests after the others, in the order in which their clients give up", func() {
		refill(20*millisecond, 30*millisecond)
		for number := 10; number < 13; number++ {
			handshake(time.Duration(30+number)*millisecond, number)
			request(time.Duration(30+number)*millisecond, number)
		}
		handshake(400*millisecond, 20)
		request(400*millisecond, 20)
		Expect(deliveredNumbers(respond(401*millisecond, 3))).To(Equal([]int{20}))
		Expect(deliveredNumbers(respond(402*millisecond, 4))).To(Equal([]int{10}))
		Expect(deliveredNumbers(respond(403*millisecond, 5))).To(Equal([]int{11}))
	})

	It("records the request identifier in events if a packet contains one", func() {
		requestIDOf := func(effects []relay.Effect, kind relay.EventKind) string {
			for _, effect := range effectsOfKind(effects, relay.EffectEvent) {
				if effect.Event.Kind == kind {
					return effect.Event.Request
				}
			}
			return "no such event"
		}
		idleAgent := newAgent(true)
		idleAgent.Receive(0, balancerA, relay.Message{Kind: relay.KindOffer, Service: service, Parameters: agent.parameters, Packet: openingPacket(9, 100)})
		idleAgent.HandleEndpointPacket(0, endpointPacket(9, segment.Synchronize|segment.Acknowledge, 500, 101, ""))
		given := idleAgent.Receive(0, balancerA, relay.Message{
			Kind: relay.KindForward, Service: service, Packet: clientPacket(9, segment.Acknowledge, 101, 501, "id=q9 GET"),
		})
		Expect(requestIDOf(given, relay.EventGiven)).To(Equal("q9"))
		handshake(millisecond, 10)
		first := clientPacket(10, segment.Acknowledge, 101, 501, "id=q10 GET")
		Expect(requestIDOf(agent.forward(2*millisecond, relay.KindForward, first), relay.EventHeld)).To(Equal("q10"))
		Expect(requestIDOf(respond(3*millisecond, 0), relay.EventAdmitted)).To(Equal("q10"))
		Expect(requestIDOf(respond(4*millisecond, 10), relay.EventAnswered)).To(Equal("q10"))
		Expect(requestIDOf(agent.HandleEndpointPacket(5*millisecond, returnedCopy(first)), relay.EventEndpointLostFlow)).To(Equal("q10"))
		handshake(6*millisecond, 11)
		agent.open(6*millisecond, 12)
		agent.forward(7*millisecond, relay.KindForward, clientPacket(11, segment.Acknowledge, 101, 501, "id=q11 GET"))
		Expect(requestIDOf(respond(3*time.Second, 1), relay.EventExpired)).To(Equal("q11"))
	})

	It("counts an answer that arrives with the end of its flow or after it, once", func() {
		effects := agent.HandleEndpointPacket(50*millisecond, endpointPacket(0, segment.Acknowledge|segment.Finish, 501, 108, "answer"))
		Expect(eventKinds(effects)).To(ContainElement(relay.EventAnswered))
		Expect(agent.Load().Running).To(Equal(uint32(2)))
		effects = agent.HandleEndpointPacket(50*millisecond, endpointPacket(1, segment.Acknowledge|segment.Finish, 507, 108, ""))
		Expect(eventKinds(effects)).To(ContainElement(relay.EventAnswered))
		effects = agent.HandleEndpointPacket(51*millisecond, endpointPacket(1, segment.Acknowledge, 501, 108, "answer"))
		Expect(eventKinds(effects)).NotTo(ContainElement(relay.EventAnswered), "the answer was counted already")
	})

	It("drops requests whose clients have given up", func() {
		refill(20*millisecond, 30*millisecond)
		handshake(40*millisecond, 10)
		request(40*millisecond, 10)
		handshake(time.Second, 11)
		request(time.Second, 11)
		Expect(deliveredNumbers(respond(2100*millisecond, 3))).To(Equal([]int{11}))
		Expect(agent.Load().Waiting).To(BeZero())
	})
})
