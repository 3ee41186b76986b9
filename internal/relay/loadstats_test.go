package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// classesOf returns the traffic classes of the events of a kind.
func classesOf(effects []relay.Effect, kind relay.EventKind) []relay.TrafficClass {
	var classes []relay.TrafficClass
	for _, effect := range effectsOfKind(effects, relay.EffectEvent) {
		if effect.Event.Kind == kind {
			classes = append(classes, effect.Event.Class)
		}
	}
	return classes
}

func classOf(priority uint8) relay.TrafficClass {
	return relay.TrafficClass{Service: service, Priority: priority, PriorityKnown: true}
}

var _ = Describe("Agent, reporting the load of its endpoint", func() {
	var agent *testAgent

	// The two slots and the spare one are occupied. The first answer took 20 ms.
	BeforeEach(func() {
		agent = newTestAgent(newAgent(true))
		agent.lastResort = true
		agent.open(0, 0)
		agent.HandleEndpointPacket(20*millisecond, endpointPacket(0, segment.Acknowledge, 501, 108, "answer"))
		for number := 1; number < 4; number++ {
			agent.open(20*millisecond, number)
		}
	})

	It("reports slots, occupied slots, response time and the waiting requests by priority", func() {
		agent.parameters.Priority = 1
		agent.open(30*millisecond, 10)
		agent.open(40*millisecond, 11)
		agent.parameters.Priority = 2
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

	It("reports no capacity before the first answer", func() {
		Expect(newAgent(true).EndpointLoad(0).Capacity()).To(BeZero())
	})

	It("classifies events by the priority of the flow, or of the offer if that was returned", func() {
		agent.parameters.Priority = 3
		agent.lastResort = false
		Expect(classesOf(agent.offer(30*millisecond, 20, 100), relay.EventReturned)).To(Equal([]relay.TrafficClass{classOf(3)}))
		agent.parameters.Priority = 0
		answered := agent.HandleEndpointPacket(60*millisecond, endpointPacket(1, segment.Acknowledge, 501, 108, "answer"))
		Expect(classesOf(answered, relay.EventAnswered)).To(Equal([]relay.TrafficClass{classOf(0)}))
	})

	It("reports no priority for a flow that was opened before the agent was started", func() {
		agent := newTestAgent(newAgent(false))
		agent.forward(0, relay.KindForward, clientPacket(1, segment.Acknowledge, 101, 501, "request"))
		effects := agent.HandleEndpointPacket(millisecond, returnedCopy(clientPacket(1, segment.Acknowledge, 101, 501, "request")))
		for _, effect := range effectsOfKind(effects, relay.EffectEvent) {
			Expect(effect.Event.Class).To(Equal(relay.TrafficClass{Service: service}))
		}
		Expect(effectsOfKind(effects, relay.EffectEvent)).NotTo(BeEmpty())
	})
})

var _ = Describe("Balancer, reporting the load of services", func() {
	reportProcessingTime := func(balancer *relay.Balancer, number int, processingTime time.Duration) {
		balancer.Receive(0, agentAddress(number), relay.Message{
			Kind: relay.KindPong, Service: service, Load: relay.Load{ProcessingTime: uint32(processingTime.Microseconds())},
		})
	}

	It("counts endpoints without measurements as fast as the others", func() {
		balancer, builder := newBalancerWithThreeEndpoints()
		builder.putEndpoint(0, 3, func(each *directory.Endpoint) { each.Service = otherService })
		builder.putEndpoint(0, 4, func(each *directory.Endpoint) { each.Draining = true })
		balancer.Install(0, builder.replica.Snapshot())
		Expect(balancer.ServiceLoads()).To(Equal([]relay.ServiceLoad{
			{Service: otherService, Endpoints: 1, Slots: 4},
			{Service: service, Endpoints: 3, Slots: 12},
		}))
		reportProcessingTime(balancer, 0, 20*millisecond)
		reportProcessingTime(balancer, 1, 40*millisecond)
		reportProcessingTime(balancer, 4, millisecond)
		Expect(balancer.ServiceLoads()[1].Capacity).To(BeNumerically("~", (200+100)*1.5))
	})

	It("classifies a refused flow by the service and priority of its route", func() {
		balancer, builder := newBalancer(), newDirectoryBuilder()
		builder.configure(directory.WeightedService{Service: service, Weight: 1})
		balancer.Install(0, builder.replica.Snapshot())
		Expect(classesOf(balancer.HandleClientPacket(0, openingPacket(1, 100)), relay.EventNoEndpoint)).To(Equal([]relay.TrafficClass{classOf(0)}))
		builder.configure(directory.WeightedService{Service: service, Weight: 1}, directory.WeightedService{Service: otherService, Weight: 1})
		balancer.Install(0, builder.replica.Snapshot())
		Expect(classesOf(balancer.HandleClientPacket(0, openingPacket(2, 100)), relay.EventNoEndpoint)[0].Service).To(Equal("several"))
	})

	It("reports the time from the first query to the reset of an ownerless flow", func() {
		const start = 70 * time.Second
		balancer, builder := newBalancer(), newDirectoryBuilder()
		builder.configure(directory.WeightedService{Service: service, Weight: 1})
		builder.putEndpoint(0, 0, nil)
		builder.setSince(0)
		balancer.Install(start, builder.replica.Snapshot())
		balancer.HandleClientPacket(start, clientPacket(1, segment.Acknowledge, 101, 501, "request"))
		balancer.Tick(start + 10*millisecond)
		balancer.MarkCurrentThrough(start+12*millisecond, start)
		effects := balancer.Receive(start+25*millisecond, agentAddress(0), relay.Message{
			Kind: relay.KindDenied, Service: service, Flow: relay.EncodeFlow(flowKey(1)),
		})
		Expect(resetHeaders(effects)).To(HaveLen(1))
		found := effectsOfKind(effects, relay.EffectEvent)
		Expect(found).To(HaveLen(1))
		Expect(found[0].Event.Kind).To(Equal(relay.EventOwnerless))
		Expect(found[0].Event.Elapsed).To(Equal(25 * millisecond))
		Expect(found[0].Event.Class).To(Equal(classOf(0)))
	})
})
