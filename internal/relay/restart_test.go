package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Agent, whose endpoint restarts under the same name", func() {
	var agent *testAgent
	request := func(number int) []byte { return clientPacket(number, segment.Acknowledge, 101, 501, "request") }

	// The two slots and the spare one are occupied when the endpoint crashes.
	BeforeEach(func() {
		agent = newTestAgent(newAgent(true))
		for number := range 3 {
			agent.open(0, number)
		}
	})

	It("gives new flows to a restarted endpoint although earlier requests were never answered", func() {
		for _, now := range []time.Duration{5 * time.Second, 6 * time.Second} {
			agent.Tick(now)
		}
		Expect(deliveredPackets(agent.offer(6*time.Second, 10, 100))).To(HaveLen(1))
		agent.answer(6*time.Second, 10, 900)
		effects := agent.forward(6*time.Second, relay.KindForward, clientPacket(10, segment.Acknowledge, 101, 901, "request"))
		Expect(deliveredPackets(effects)).To(HaveLen(1), "the request does not wait")
	})

	It("probes all earlier flows at once when one of them shows a restart, and resets those that are lost", func() {
		effects := agent.HandleEndpointPacket(time.Second, returnedCopy(request(0)))
		Expect(resetHeaders(effects)).To(HaveLen(1))
		var probed []segment.Address
		for _, effect := range deliveredPackets(effects) {
			header, _ := codec.Decode(effect.Packet)
			probed = append(probed, header.Source)
		}
		Expect(probed).To(ConsistOf(clientAddress(1), clientAddress(2)))
		for number := 1; number < 3; number++ {
			Expect(resetHeaders(agent.HandleEndpointPacket(time.Second, returnedCopy(request(number))))).To(HaveLen(1), "its client need not wait for a timeout")
		}
		Expect(agent.Load().Running).To(BeZero())
	})

	It("probes earlier flows after a long silence, and keeps them if there was no restart", func() {
		agent.lastResort = true
		agent.offer(time.Second, 10, 100)
		effects := agent.answer(2*time.Second, 10, 900)
		Expect(deliveredPackets(effects)).To(HaveLen(3))
		for number := range 3 {
			again := agent.HandleEndpointPacket(2*time.Second, endpointPacket(number, segment.Acknowledge, 501, 108, ""))
			Expect(resetHeaders(again)).To(BeEmpty())
		}
		Expect(resetHeaders(agent.HandleEndpointPacket(2*time.Second, endpointPacket(0, segment.Acknowledge, 501, 108, "answer")))).To(BeEmpty())
		Expect(agent.Load().Running).To(Equal(uint32(4)))
	})

	It("does not probe flows that were opened after the restart", func() {
		agent.HandleEndpointPacket(time.Second, returnedCopy(request(0)))
		agent.lastResort = true
		agent.open(1100*millisecond, 10)
		effects := agent.HandleEndpointPacket(1200*millisecond, returnedCopy(request(1)))
		Expect(deliveredPackets(effects)).To(BeEmpty())
	})

	It("resets a lost flow at a sequence number that the client accepts, however much was answered", func() {
		agent.HandleEndpointPacket(100*millisecond, endpointPacket(0, segment.Acknowledge, 501, 108, "answer"))
		agent.HandleEndpointPacket(100*millisecond, endpointPacket(0, segment.Acknowledge, 100_501, 108, "more"))
		effects := agent.HandleEndpointPacket(time.Second, returnedCopy(request(0)))
		Expect(resetHeaders(effects)).To(HaveLen(1))
		Expect(resetHeaders(effects)[0].Sequence).To(BeNumerically("~", 100_505, 19_200))
	})

	It("denies a flow from before the restart, and owns a new one from the same client address", func() {
		agent.HandleEndpointPacket(time.Second, returnedCopy(request(0)))
		query := locateQuery(request(0))
		query.Kind = relay.KindVerify
		Expect(onlyMessage(agent.Receive(time.Second, balancerB, query)).Message.Kind).To(Equal(relay.KindDenied))
		agent.lastResort = true
		agent.offer(1100*millisecond, 0, 7000)
		agent.HandleEndpointPacket(1100*millisecond, endpointPacket(0, segment.Synchronize|segment.Acknowledge, 900, 7001, ""))
		again := clientPacket(0, segment.Acknowledge, 7001, 901, "request")
		agent.forward(1200*millisecond, relay.KindForward, again)
		query = locateQuery(again)
		query.Kind = relay.KindVerify
		Expect(onlyMessage(agent.Receive(1200*millisecond, balancerB, query)).Message.Kind).To(Equal(relay.KindOwned))
	})
})

var _ = Describe("Balancer, with an endpoint that has restarted under the same name", func() {
	var (
		balancer *relay.Balancer
		builder  *directoryBuilder
	)

	// startEndpoint writes the store entry of a started endpoint.
	startEndpoint := func(now time.Duration, number int, started int64) {
		builder.revision++
		id := directory.EndpointID{Name: string(rune('a' + number)), Started: started}
		address := endpointAddress(number)
		builder.replica.ApplyChanges(now, []directory.Item{{EndpointID: id, Revision: builder.revision, Endpoint: &directory.Endpoint{
			Service: service, IP: address.IP, Port: address.Port, Zone: ownZone, Slots: 4,
		}}}, builder.revision)
	}

	BeforeEach(func() {
		balancer, builder = newBalancer(), newDirectoryBuilder()
		builder.configure(directory.WeightedService{Service: service, Weight: 1})
		for number := range 2 {
			startEndpoint(0, number, 1_000)
		}
		balancer.Install(0, builder.replica.Snapshot())
		balancer.MarkConfirmed(0)
	})

	// openFlows opens flows and returns how many each endpoint got.
	openFlows := func(now time.Duration, first, count int) map[segment.Address]int {
		given := make(map[segment.Address]int)
		for number := first; number < first+count; number++ {
			offered := onlyMessage(balancer.HandleClientPacket(now, openingPacket(number, 100)))
			reportPlaced(balancer, now, offered.To, number, 100)
			given[offered.To]++
		}
		return given
	}

	It("does not count flows from before the restart", func() {
		openFlows(0, 0, 20)
		startEndpoint(time.Second, 0, 2_000)
		balancer.Install(time.Second, builder.replica.Snapshot())
		Expect(openFlows(time.Second, 100, 8)).To(Equal(map[segment.Address]int{agentAddress(0): 8}))
	})

	It("does not suspect the endpoint for unanswered offers from before the restart", func() {
		for number := range 4 {
			balancer.HandleClientPacket(0, openingPacket(number, 100))
		}
		for step := range 10 {
			balancer.Tick(time.Duration(step) * 50 * millisecond)
		}
		startEndpoint(600*millisecond, 0, 2_000)
		balancer.Install(600*millisecond, builder.replica.Snapshot())
		Expect(onlyMessage(balancer.HandleClientPacket(600*millisecond, openingPacket(50, 100))).To).To(Equal(agentAddress(0)))
	})

	It("forwards packets of a flow from before the restart to the agent, whose endpoint can show that it is lost", func() {
		given := openFlows(0, 0, 2)
		Expect(given).To(HaveLen(2))
		startEndpoint(time.Second, 0, 2_000)
		startEndpoint(time.Second, 1, 2_000)
		balancer.Install(time.Second, builder.replica.Snapshot())
		forwarded := onlyMessage(balancer.HandleClientPacket(time.Second, clientPacket(0, segment.Acknowledge, 101, 501, "request")))
		Expect(forwarded.Message.Kind).To(Equal(relay.KindForward))
	})

	It("does not suspect a restarted endpoint when an offer from before the restart expires", func() {
		for number := range 8 {
			balancer.HandleClientPacket(0, openingPacket(number, 100))
		}
		startEndpoint(10*millisecond, 0, 2_000)
		balancer.Install(10*millisecond, builder.replica.Snapshot())
		effects := balancer.Tick(60 * millisecond)
		for _, effect := range effectsOfKind(effects, relay.EffectEvent) {
			if effect.Event.Kind == relay.EventSuspected {
				Expect(effect.Event.Peer).To(Equal(agentAddress(1)))
			}
		}
		Expect(eventKinds(effects)).To(ContainElement(relay.EventSuspected))
	})

	It("keeps its counts if the entry is written again with the same start", func() {
		openFlows(0, 0, 20)
		openFlows(0, 20, 1)
		startEndpoint(time.Second, 0, 1_000)
		balancer.Install(time.Second, builder.replica.Snapshot())
		given := openFlows(time.Second, 100, 7)
		Expect(given).To(HaveLen(2))
	})
})
