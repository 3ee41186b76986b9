package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// classesOf returns the classes of the events of a kind.
func classesOf(effects []relay.Effect, kind relay.EventKind) []relay.TrafficClass {
	var classes []relay.TrafficClass
	for _, effect := range ofKind(effects, relay.EffectEvent) {
		if effect.Event.Kind == kind {
			classes = append(classes, effect.Event.Class)
		}
	}
	return classes
}

func classOf(priority uint8) relay.TrafficClass {
	return relay.TrafficClass{Service: service, Priority: priority, PriorityKnown: true}
}

var _ = Describe("Load of an endpoint", func() {
	var agent *drivenAgent

	// Two slots and one to spare are taken, and the first answer took 20 ms.
	BeforeEach(func() {
		agent = drive(newAgent(true))
		agent.lastResort = true
		agent.open(0, 0)
		agent.HandleEndpointPacket(20*millisecond, fromEndpoint(0, segment.Acknowledge, 501, 108, "answer"))
		for number := 1; number < 4; number++ {
			agent.open(20*millisecond, number)
		}
	})

	It("is what it can do, what it works on, and what waits by priority and for how long", func() {
		agent.terms.Priority = 1
		agent.open(30*millisecond, 10)
		agent.open(40*millisecond, 11)
		agent.terms.Priority = 2
		agent.open(45*millisecond, 12)
		observed := agent.EndpointLoad(50 * millisecond)
		Expect(observed.Service).To(Equal(service))
		Expect(observed.Slots).To(Equal(uint32(2)))
		Expect(observed.Occupied).To(Equal(uint32(3)))
		Expect(observed.ResponseTime).To(Equal(20 * millisecond))
		Expect(observed.Capacity()).To(BeNumerically("~", 100))
		Expect(observed.Waiting).To(Equal(map[relay.TrafficClass]relay.QueueStats{
			classOf(1): {Requests: 2, LongestWait: 20 * millisecond},
			classOf(2): {Requests: 1, LongestWait: 5 * millisecond},
		}))
	})

	It("has no capacity before the first answer", func() {
		Expect(newAgent(true).EndpointLoad(0).Capacity()).To(BeZero())
	})

	It("is told apart by the priority of a flow, of the offer if that was returned", func() {
		agent.terms.Priority = 3
		agent.lastResort = false
		Expect(classesOf(agent.offer(30*millisecond, 20, 100), relay.EventReturned)).To(Equal([]relay.TrafficClass{classOf(3)}))
		agent.terms.Priority = 0
		answered := agent.HandleEndpointPacket(60*millisecond, fromEndpoint(1, segment.Acknowledge, 501, 108, "answer"))
		Expect(classesOf(answered, relay.EventAnswered)).To(Equal([]relay.TrafficClass{classOf(0)}))
	})

	It("leaves the priority open of a flow that was opened before the agent was started", func() {
		agent := drive(newAgent(false))
		agent.forward(0, relay.KindForward, fromClient(1, segment.Acknowledge, 101, 501, "request"))
		effects := agent.HandleEndpointPacket(millisecond, returned(fromClient(1, segment.Acknowledge, 101, 501, "request")))
		for _, effect := range ofKind(effects, relay.EffectEvent) {
			Expect(effect.Event.Class).To(Equal(relay.TrafficClass{Service: service}))
		}
		Expect(ofKind(effects, relay.EffectEvent)).NotTo(BeEmpty())
	})
})

var _ = Describe("Load of services", func() {
	pace := func(balancer *relay.Balancer, number int, took time.Duration) {
		balancer.Receive(0, agentAddress(number), relay.Message{
			Kind: relay.KindPong, Service: service, Load: relay.Load{ServiceTime: uint32(took.Microseconds())},
		})
	}

	It("takes endpoints of which nothing is known to be as fast as the others", func() {
		balancer, known := balancerOfThree()
		known.endpoint(0, 3, func(each *directory.Endpoint) { each.Service = otherService })
		known.endpoint(0, 4, func(each *directory.Endpoint) { each.Draining = true })
		balancer.Install(0, known.machine.Snapshot())
		Expect(balancer.ServiceLoads()).To(Equal([]relay.ServiceLoad{
			{Service: otherService, Endpoints: 1, Slots: 4},
			{Service: service, Endpoints: 3, Slots: 12},
		}))
		pace(balancer, 0, 20*millisecond)
		pace(balancer, 1, 40*millisecond)
		pace(balancer, 4, millisecond)
		Expect(balancer.ServiceLoads()[1].Capacity).To(BeNumerically("~", (200+100)*1.5))
	})

	It("is told apart by the service and priority of the route of a refused flow", func() {
		balancer, known := newBalancer(), newFleet()
		known.configure(directory.WeightedService{Service: service, Weight: 1})
		balancer.Install(0, known.machine.Snapshot())
		Expect(classesOf(balancer.HandleClientPacket(0, opening(1, 100)), relay.EventNoEndpoint)).To(Equal([]relay.TrafficClass{classOf(0)}))
		known.configure(directory.WeightedService{Service: service, Weight: 1}, directory.WeightedService{Service: otherService, Weight: 1})
		balancer.Install(0, known.machine.Snapshot())
		Expect(classesOf(balancer.HandleClientPacket(0, opening(2, 100)), relay.EventNoEndpoint)[0].Service).To(Equal("several"))
	})

	It("shows how long it took to find out that no endpoint holds a flow", func() {
		const asked = 20 * time.Second
		balancer, known := newBalancer(), newFleet()
		known.configure(directory.WeightedService{Service: service, Weight: 1})
		known.endpoint(0, 0, nil)
		known.follow(0)
		balancer.Install(asked, known.machine.Snapshot())
		balancer.HandleClientPacket(asked, fromClient(1, segment.Acknowledge, 101, 501, "request"))
		balancer.Tick(asked + 10*millisecond)
		balancer.MarkCurrentThrough(asked+12*millisecond, asked)
		effects := balancer.Receive(asked+25*millisecond, agentAddress(0), relay.Message{
			Kind: relay.KindDenied, Service: service, Flow: relay.EncodeFlow(keyOf(1)), Uptime: asked,
		})
		Expect(resets(effects)).To(HaveLen(1))
		found := ofKind(effects, relay.EffectEvent)
		Expect(found).To(HaveLen(1))
		Expect(found[0].Event.Kind).To(Equal(relay.EventOwnerless))
		Expect(found[0].Event.Elapsed).To(Equal(25 * millisecond))
		Expect(found[0].Event.Class).To(Equal(classOf(0)))
	})
})
