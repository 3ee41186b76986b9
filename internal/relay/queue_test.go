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
	var agent *drivenAgent

	BeforeEach(func() { agent = drive(newAgent(true)) })

	// handshake opens a flow without a request.
	handshake := func(now time.Duration, number int) {
		agent.offer(now, number, 100)
		agent.answer(now, number, 500)
		agent.forward(now, relay.KindForward, fromClient(number, segment.Acknowledge, 101, 501, ""))
	}
	request := func(now time.Duration, number int) []relay.Effect {
		return agent.forward(now, relay.KindForward, fromClient(number, segment.Acknowledge, 101, 501, "request"))
	}
	// respond lets the endpoint answer the request of a flow.
	respond := func(now time.Duration, number int) []relay.Effect {
		return agent.HandleEndpointPacket(now, fromEndpoint(number, segment.Acknowledge, 501, 108, "answer"))
	}
	given := func(effects []relay.Effect) []int {
		var numbers []int
		for _, effect := range delivered(effects) {
			header, _ := codec.Decode(effect.Packet)
			numbers = append(numbers, int(header.Source.Port)-40000)
		}
		return numbers
	}

	// refill lets the endpoint answer all it works on and begin three others,
	// of the numbers 3 to 5.
	refill := func(answered, begun time.Duration) {
		for number := range 3 {
			respond(answered, number)
		}
		for number := 3; number < 6; number++ {
			agent.open(begun, number)
		}
	}

	// Two slots and one to spare are taken.
	BeforeEach(func() {
		for number := range 3 {
			agent.open(0, number)
		}
		agent.lastResort = true
	})

	It("returns new flows, since another endpoint may be less busy", func() {
		agent.lastResort = false
		returned := onlyMessage(agent.offer(millisecond, 10, 100)).Message
		Expect(returned.Kind).To(Equal(relay.KindReturned))
		Expect(returned.LastResort).To(BeTrue(), "it would take the flow if all others are as busy")
		Expect(returned.Load.Refusing).To(BeFalse())
		respond(millisecond, 0)
		Expect(given(agent.offer(2*millisecond, 10, 100))).To(Equal([]int{10}))
	})

	It("counts flows that are just being opened, and none that has been answered", func() {
		agent.lastResort = false
		for number := range 3 {
			respond(millisecond, number)
		}
		for number := 10; number < 13; number++ {
			Expect(given(agent.offer(2*millisecond, number, 100))).To(Equal([]int{number}))
		}
		Expect(onlyMessage(agent.offer(2*millisecond, 13, 100)).Message.Kind).To(Equal(relay.KindReturned))
	})

	It("opens new flows that all others have returned, and holds their requests back", func() {
		Expect(given(agent.offer(millisecond, 10, 100))).To(Equal([]int{10}))
		agent.answer(millisecond, 10, 500)
		effects := request(millisecond, 10)
		Expect(delivered(effects)).To(BeEmpty())
		Expect(events(effects)).To(ContainElement(relay.EventHeld))
		Expect(agent.Load().Waiting).To(Equal(uint32(1)))
	})

	It("admits the newest flow first when a slot is free", func() {
		handshake(1*millisecond, 10)
		handshake(2*millisecond, 11)
		request(3*millisecond, 11)
		request(4*millisecond, 10)
		Expect(given(respond(5*millisecond, 0))).To(Equal([]int{11}))
		Expect(given(respond(6*millisecond, 1))).To(Equal([]int{10}))
	})

	It("counts the time for which a client has tried before, and serves the late after those in time", func() {
		agent.terms.Waited = 300
		handshake(2*millisecond, 10)
		agent.terms.Waited = 5
		handshake(3*millisecond, 11)
		agent.terms.Waited = 0
		handshake(1*millisecond, 12)
		for _, number := range []int{10, 11, 12} {
			request(4*millisecond, number)
		}
		Expect(given(respond(5*millisecond, 0))).To(Equal([]int{12}))
		Expect(given(respond(6*millisecond, 1))).To(Equal([]int{11}))
		Expect(given(respond(7*millisecond, 2))).To(Equal([]int{10}), "it can only be late")
	})

	// fill begins the requests that an agent with a policy gives to its endpoint at once.
	fill := func(policy requestqueue.Policy) {
		agent = drive(newAgentWith(true, policy))
		for number := range 3 {
			agent.open(0, number)
		}
		agent.lastResort = true
	}

	It("admits the flow whose objective ends first, if that is set and all can be in time", func() {
		fill(requestqueue.Policy{Discipline: requestqueue.DisciplineEarliestDue})
		handshake(1*millisecond, 10)
		handshake(2*millisecond, 11)
		request(3*millisecond, 11)
		request(4*millisecond, 10)
		Expect(given(respond(5*millisecond, 0))).To(Equal([]int{10}))
		Expect(given(respond(6*millisecond, 1))).To(Equal([]int{11}))
	})

	It("admits a less urgent flow for its fair share, if that is set", func() {
		fill(requestqueue.Policy{FairShare: 0.5})
		for number := 10; number < 14; number++ {
			agent.terms.Priority = uint8(1 + number%2)
			handshake(1*millisecond, number)
			request(2*millisecond, number)
		}
		Expect(given(respond(3*millisecond, 0))).To(Equal([]int{10}))
		effects := respond(4*millisecond, 1)
		Expect(given(effects)).To(Equal([]int{11}), "less urgent")
		Expect(ofKind(effects, relay.EffectEvent)).To(ContainElement(HaveField("Event", And(
			HaveField("Kind", relay.EventAdmitted), HaveField("Reason", "fair_share")))))
		Expect(given(respond(5*millisecond, 2))).To(Equal([]int{12}))
	})

	It("admits the more urgent before the newer", func() {
		agent.terms.Priority = 1
		handshake(1*millisecond, 10)
		agent.terms.Priority = 2
		handshake(2*millisecond, 11)
		agent.terms.Priority = 0
		request(3*millisecond, 10)
		request(3*millisecond, 11)
		Expect(given(respond(4*millisecond, 0))).To(Equal([]int{10}))
	})

	It("gives all packets of a held request in their order, and a copy only once", func() {
		handshake(millisecond, 10)
		first := fromClient(10, segment.Acknowledge, 101, 501, "one")
		second := fromClient(10, segment.Acknowledge, 104, 501, "two")
		for _, packet := range [][]byte{first, second, first} {
			Expect(delivered(agent.forward(millisecond, relay.KindForward, packet))).To(BeEmpty())
		}
		effects := delivered(respond(2*millisecond, 0))
		Expect(effects).To(HaveLen(2))
		Expect(effects[0].Packet).To(Equal(first))
		Expect(effects[1].Packet).To(Equal(second))
	})

	It("gives a repeated packet of an admitted request at once, without counting it again", func() {
		Expect(given(request(millisecond, 0))).To(Equal([]int{0}))
		handshake(millisecond, 10)
		request(millisecond, 10)
		Expect(given(respond(2*millisecond, 0))).To(Equal([]int{10}))
	})

	It("holds further requests of a flow that is kept open too", func() {
		respond(millisecond, 0)
		agent.open(2*millisecond, 5)
		next := fromClient(0, segment.Acknowledge, 108, 507, "another")
		Expect(delivered(agent.forward(3*millisecond, relay.KindForward, next))).To(BeEmpty())
		Expect(given(respond(4*millisecond, 1))).To(Equal([]int{0}))
	})

	It("never resets an open flow, however long its request waits", func() {
		handshake(millisecond, 10)
		request(millisecond, 10)
		for now := time.Duration(0); now < 3*time.Second; now += 100 * millisecond {
			Expect(resets(agent.Tick(now))).To(BeEmpty())
		}
	})

	It("forgets the request of a client that has left", func() {
		handshake(millisecond, 10)
		request(millisecond, 10)
		agent.forward(2*millisecond, relay.KindForward, fromClient(10, segment.Acknowledge|segment.Reset, 108, 501, ""))
		Expect(agent.Load().Waiting).To(BeZero())
		Expect(given(respond(3*millisecond, 0))).To(BeEmpty())
	})

	It("returns new flows at once when those that wait would take longer than a client does", func() {
		respond(100*millisecond, 0)
		agent.open(100*millisecond, 3)
		waited := 0
		for number := 10; number < 200; number++ {
			effects := agent.offer(millisecond, number, 100)
			if len(delivered(effects)) == 0 {
				Expect(onlyMessage(effects).Message.Kind).To(Equal(relay.KindReturned))
				continue
			}
			agent.answer(millisecond, number, 500)
			request(millisecond, number)
			waited++
		}
		// 0.1 s a request at two slots: forty take the two seconds.
		Expect(waited).To(BeNumerically("~", 41, 1))
	})

	It("frees the slots of requests that the endpoint never answers", func() {
		handshake(3500*millisecond, 10)
		request(3500*millisecond, 10)
		Expect(given(agent.Tick(3900 * millisecond))).To(BeEmpty())
		Expect(given(agent.Tick(4100 * millisecond))).To(Equal([]int{10}))
	})

	It("serves those that are late already after the others, in the order in which their clients give up", func() {
		refill(20*millisecond, 30*millisecond)
		for number := 10; number < 13; number++ {
			handshake(time.Duration(30+number)*millisecond, number)
			request(time.Duration(30+number)*millisecond, number)
		}
		handshake(400*millisecond, 20)
		request(400*millisecond, 20)
		Expect(given(respond(401*millisecond, 3))).To(Equal([]int{20}))
		Expect(given(respond(402*millisecond, 4))).To(Equal([]int{10}))
		Expect(given(respond(403*millisecond, 5))).To(Equal([]int{11}))
	})

	It("names the request in its decisions, if a packet shows its identifier", func() {
		named := func(effects []relay.Effect, kind relay.EventKind) string {
			for _, effect := range ofKind(effects, relay.EffectEvent) {
				if effect.Event.Kind == kind {
					return effect.Event.Request
				}
			}
			return "no such event"
		}
		fresh := newAgent(true)
		fresh.Receive(0, balancerA, relay.Message{Kind: relay.KindOffer, Service: service, Parameters: agent.terms, Packet: opening(9, 100)})
		fresh.HandleEndpointPacket(0, fromEndpoint(9, segment.Synchronize|segment.Acknowledge, 500, 101, ""))
		given := fresh.Receive(0, balancerA, relay.Message{
			Kind: relay.KindForward, Service: service, Packet: fromClient(9, segment.Acknowledge, 101, 501, "id=q9 GET"),
		})
		Expect(named(given, relay.EventGiven)).To(Equal("q9"))
		handshake(millisecond, 10)
		first := fromClient(10, segment.Acknowledge, 101, 501, "id=q10 GET")
		Expect(named(agent.forward(2*millisecond, relay.KindForward, first), relay.EventHeld)).To(Equal("q10"))
		Expect(named(respond(3*millisecond, 0), relay.EventAdmitted)).To(Equal("q10"))
		Expect(named(respond(4*millisecond, 10), relay.EventAnswered)).To(Equal("q10"))
		Expect(named(agent.HandleEndpointPacket(5*millisecond, returned(first)), relay.EventEndpointLostFlow)).To(Equal("q10"))
		handshake(6*millisecond, 11)
		agent.open(6*millisecond, 12)
		agent.forward(7*millisecond, relay.KindForward, fromClient(11, segment.Acknowledge, 101, 501, "id=q11 GET"))
		Expect(named(respond(3*time.Second, 1), relay.EventExpired)).To(Equal("q11"))
	})

	It("takes an answer for one that comes with the end of its flow, or after it", func() {
		effects := agent.HandleEndpointPacket(50*millisecond, fromEndpoint(0, segment.Acknowledge|segment.Finish, 501, 108, "answer"))
		Expect(events(effects)).To(ContainElement(relay.EventAnswered))
		Expect(agent.Load().Running).To(Equal(uint32(2)))
		effects = agent.HandleEndpointPacket(50*millisecond, fromEndpoint(1, segment.Acknowledge|segment.Finish, 507, 108, ""))
		Expect(events(effects)).To(ContainElement(relay.EventAnswered))
		effects = agent.HandleEndpointPacket(51*millisecond, fromEndpoint(1, segment.Acknowledge, 501, 108, "answer"))
		Expect(events(effects)).NotTo(ContainElement(relay.EventAnswered), "once")
	})

	It("does not serve requests whose clients have given up", func() {
		refill(20*millisecond, 30*millisecond)
		handshake(40*millisecond, 10)
		request(40*millisecond, 10)
		handshake(time.Second, 11)
		request(time.Second, 11)
		Expect(given(respond(2100*millisecond, 3))).To(Equal([]int{11}))
		Expect(agent.Load().Waiting).To(BeZero())
	})
})
