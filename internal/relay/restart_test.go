package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Agent, whose endpoint starts again under its name", func() {
	var agent *drivenAgent
	request := func(number int) []byte { return fromClient(number, segment.Acknowledge, 101, 501, "request") }

	// Two slots and one to spare are taken when the endpoint crashes.
	BeforeEach(func() {
		agent = drive(newAgent(true))
		for number := range 3 {
			agent.open(0, number)
		}
	})

	It("gives it new flows, though the requests of the life before were never answered", func() {
		for _, now := range []time.Duration{5 * time.Second, 6 * time.Second} {
			agent.Tick(now)
		}
		Expect(delivered(agent.offer(6*time.Second, 10, 100))).To(HaveLen(1))
		agent.answer(6*time.Second, 10, 900)
		effects := agent.forward(6*time.Second, relay.KindForward, fromClient(10, segment.Acknowledge, 101, 901, "request"))
		Expect(delivered(effects)).To(HaveLen(1), "the request need not wait")
	})

	It("lets it tell at once which flows it does not hold any more, when one of them shows that it has restarted", func() {
		effects := agent.HandleEndpointPacket(time.Second, returned(request(0)))
		Expect(resets(effects)).To(HaveLen(1))
		var asked []segment.Address
		for _, effect := range delivered(effects) {
			header, _ := codec.Decode(effect.Packet)
			asked = append(asked, header.Source)
		}
		Expect(asked).To(ConsistOf(clientAddress(1), clientAddress(2)))
		for number := 1; number < 3; number++ {
			Expect(resets(agent.HandleEndpointPacket(time.Second, returned(request(number))))).To(HaveLen(1), "its client need not wait for its time-out")
		}
		Expect(agent.Load().Running).To(BeZero())
	})

	It("lets it tell after a silence that looks like a restart, and breaks nothing if it was none", func() {
		agent.lastResort = true
		agent.offer(time.Second, 10, 100)
		effects := agent.answer(2*time.Second, 10, 900)
		Expect(delivered(effects)).To(HaveLen(3))
		for number := range 3 {
			again := agent.HandleEndpointPacket(2*time.Second, fromEndpoint(number, segment.Acknowledge, 501, 108, ""))
			Expect(resets(again)).To(BeEmpty())
		}
		Expect(resets(agent.HandleEndpointPacket(2*time.Second, fromEndpoint(0, segment.Acknowledge, 501, 108, "answer")))).To(BeEmpty())
		Expect(agent.Load().Running).To(Equal(uint32(4)))
	})

	It("does not ask it about flows that it has opened since", func() {
		agent.HandleEndpointPacket(time.Second, returned(request(0)))
		agent.lastResort = true
		agent.open(1100*millisecond, 10)
		effects := agent.HandleEndpointPacket(1200*millisecond, returned(request(1)))
		Expect(delivered(effects)).To(BeEmpty())
	})

	It("resets at a place where the client takes it for one of its flow, however much was answered", func() {
		agent.HandleEndpointPacket(100*millisecond, fromEndpoint(0, segment.Acknowledge, 501, 108, "answer"))
		agent.HandleEndpointPacket(100*millisecond, fromEndpoint(0, segment.Acknowledge, 100_501, 108, "more"))
		effects := agent.HandleEndpointPacket(time.Second, returned(request(0)))
		Expect(resets(effects)).To(HaveLen(1))
		Expect(resets(effects)[0].Sequence).To(BeNumerically("~", 100_505, 19_200))
	})

	It("denies a flow of the life before, and owns the one that its client opens anew at the same address", func() {
		agent.HandleEndpointPacket(time.Second, returned(request(0)))
		asked := question(request(0))
		asked.Kind = relay.KindVerify
		Expect(onlyMessage(agent.Receive(time.Second, balancerB, asked)).Message.Kind).To(Equal(relay.KindDenied))
		agent.lastResort = true
		agent.offer(1100*millisecond, 0, 7000)
		agent.HandleEndpointPacket(1100*millisecond, fromEndpoint(0, segment.Synchronize|segment.Acknowledge, 900, 7001, ""))
		again := fromClient(0, segment.Acknowledge, 7001, 901, "request")
		agent.forward(1200*millisecond, relay.KindForward, again)
		asked = question(again)
		asked.Kind = relay.KindVerify
		Expect(onlyMessage(agent.Receive(1200*millisecond, balancerB, asked)).Message.Kind).To(Equal(relay.KindOwned))
	})
})

var _ = Describe("Balancer, with an endpoint that has started again under its name", func() {
	var (
		balancer *relay.Balancer
		known    *fleet
	)

	// start writes the entry of a start of the endpoint with a number.
	start := func(now time.Duration, number int, started int64) {
		known.revision++
		id := directory.EndpointID{Name: string(rune('a' + number)), Started: started}
		address := endpointAddress(number)
		known.machine.ApplyChanges(now, []directory.Item{{EndpointID: id, Revision: known.revision, Endpoint: &directory.Endpoint{
			Service: service, IP: address.IP, Port: address.Port, Zone: ownZone, Slots: 4,
		}}}, known.revision)
	}

	BeforeEach(func() {
		balancer, known = newBalancer(), newFleet()
		known.configure(directory.WeightedService{Service: service, Weight: 1})
		for number := range 2 {
			start(0, number, 1_000)
		}
		balancer.Install(0, known.machine.Snapshot())
		balancer.MarkConfirmed(0)
	})

	// fill gives flows to both endpoints and returns how many each got.
	fill := func(now time.Duration, first, count int) map[segment.Address]int {
		given := make(map[segment.Address]int)
		for number := first; number < first+count; number++ {
			offered := onlyMessage(balancer.HandleClientPacket(now, opening(number, 100)))
			placed(balancer, now, offered.To, number, 100)
			given[offered.To]++
		}
		return given
	}

	It("counts no flow of the life before against it", func() {
		fill(0, 0, 20)
		start(time.Second, 0, 2_000)
		balancer.Install(time.Second, known.machine.Snapshot())
		Expect(fill(time.Second, 100, 8)).To(Equal(map[segment.Address]int{agentAddress(0): 8}))
	})

	It("holds nothing against it that the life before has done", func() {
		for number := range 4 {
			balancer.HandleClientPacket(0, opening(number, 100))
		}
		for step := range 10 {
			balancer.Tick(time.Duration(step) * 50 * millisecond)
		}
		start(600*millisecond, 0, 2_000)
		balancer.Install(600*millisecond, known.machine.Snapshot())
		Expect(onlyMessage(balancer.HandleClientPacket(600*millisecond, opening(50, 100))).To).To(Equal(agentAddress(0)))
	})

	It("lets packets of a flow of the life before reach its agent, whose endpoint proves that it is dead", func() {
		given := fill(0, 0, 2)
		Expect(given).To(HaveLen(2))
		start(time.Second, 0, 2_000)
		start(time.Second, 1, 2_000)
		balancer.Install(time.Second, known.machine.Snapshot())
		forwarded := onlyMessage(balancer.HandleClientPacket(time.Second, fromClient(0, segment.Acknowledge, 101, 501, "request")))
		Expect(forwarded.Message.Kind).To(Equal(relay.KindForward))
	})

	It("does not hold an offer against it that the life before left without an answer", func() {
		for number := range 8 {
			balancer.HandleClientPacket(0, opening(number, 100))
		}
		start(10*millisecond, 0, 2_000)
		balancer.Install(10*millisecond, known.machine.Snapshot())
		effects := balancer.Tick(60 * millisecond)
		for _, effect := range ofKind(effects, relay.EffectEvent) {
			if effect.Event.Kind == relay.EventSuspected {
				Expect(effect.Event.Peer).To(Equal(agentAddress(1)))
			}
		}
		Expect(events(effects)).To(ContainElement(relay.EventSuspected))
	})

	It("keeps what it counts if the entry tells the same start again", func() {
		fill(0, 0, 20)
		fill(0, 20, 1)
		start(time.Second, 0, 1_000)
		balancer.Install(time.Second, known.machine.Snapshot())
		given := fill(time.Second, 100, 7)
		Expect(given).To(HaveLen(2))
	})
})
