package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// inZone returns a change that puts an endpoint into a zone.
func inZone(zone string) func(*directory.Endpoint) {
	return func(e *directory.Endpoint) { e.Zone = zone }
}

// setZone closes or opens a zone.
func (b *directoryBuilder) setZone(now time.Duration, name string, closed bool) {
	b.revision++
	b.replica.ApplyChanges(now, []directory.Item{{Key: name, Zone: name, ZoneClosed: closed, Revision: b.revision}}, b.revision)
}

var _ = Describe("Balancer, with a closed zone", func() {
	var (
		balancer *relay.Balancer
		builder  *directoryBuilder
	)

	install := func(now time.Duration) []relay.Effect { return balancer.Install(now, builder.replica.Snapshot()) }
	closeZone := func(now time.Duration, zone string) {
		builder.setZone(now, zone, true)
		install(now)
	}
	returnedBy := func(now time.Duration, agent segment.Address, lastResort bool) []relay.Effect {
		return balancer.Receive(now, agent, relay.Message{
			Kind: relay.KindReturned, Service: service, LastResort: lastResort, Packet: openingPacket(1, 100),
		})
	}
	offeredTo := func(effects []relay.Effect) []segment.Address {
		var agents []segment.Address
		for _, each := range sentMessages(effects) {
			if each.Message.Kind == relay.KindOffer {
				agents = append(agents, each.To)
			}
		}
		return agents
	}
	openAgent, closedAgent := agentAddress(0), agentAddress(1)

	BeforeEach(func() {
		balancer = newBalancer()
		builder = newDirectoryBuilder()
		builder.configure(directory.WeightedService{Service: service, Weight: 1})
		builder.putEndpoint(0, 0, inZone(ownZone))
		builder.putEndpoint(0, 1, inZone(otherZone))
	})

	It("offers new flows only to endpoints of other zones until the zone is opened", func() {
		closeZone(0, otherZone)
		for number := range 20 {
			Expect(offeredTo(balancer.HandleClientPacket(0, openingPacket(number, 100)))).To(Equal([]segment.Address{openAgent}))
		}
		builder.setZone(time.Second, otherZone, false)
		install(time.Second)
		Expect(offeredTo(balancer.HandleClientPacket(time.Second, openingPacket(21, 100)))).To(Equal([]segment.Address{closedAgent}))
	})

	It("makes no further offer to the zone when other endpoints return a flow or do not answer", func() {
		closeZone(0, otherZone)
		balancer.HandleClientPacket(0, openingPacket(1, 100))
		Expect(offeredTo(balancer.Tick(50 * millisecond))).To(BeEmpty())
		effects := returnedBy(60*millisecond, openAgent, false)
		Expect(offeredTo(effects)).To(BeEmpty())
		Expect(resetHeaders(effects)).To(HaveLen(1))
	})

	It("makes no last resort offer to an endpoint of the zone that returned the flow before", func() {
		builder.putEndpoint(0, 2, inZone(ownZone))
		install(0)
		tried := offeredTo(balancer.HandleClientPacket(0, openingPacket(1, 100)))
		for len(tried) < 3 {
			last := tried[len(tried)-1]
			tried = append(tried, offeredTo(returnedBy(millisecond, last, last == closedAgent))...)
		}
		closeZone(millisecond, otherZone)
		effects := returnedBy(2*millisecond, tried[2], tried[2] == closedAgent)
		Expect(offeredTo(effects)).To(BeEmpty())
		Expect(resetHeaders(effects)).To(HaveLen(1))
	})

	It("offers a copy of an opening packet to another zone if the zone was closed after the first offer", func() {
		builder.putEndpoint(0, 0, func(e *directory.Endpoint) { e.Draining = true })
		install(0)
		Expect(offeredTo(balancer.HandleClientPacket(0, openingPacket(1, 100)))).To(Equal([]segment.Address{closedAgent}))
		builder.putEndpoint(0, 2, inZone(ownZone))
		closeZone(100*millisecond, otherZone)
		copied := balancer.HandleClientPacket(200*millisecond, clientPacket(1, segment.Synchronize, 100, 1, ""))
		Expect(offeredTo(copied)).To(Equal([]segment.Address{agentAddress(2)}))
	})

	It("offers a buffered packet to another zone", func() {
		balancer.HandleClientPacket(0, openingPacket(1, 100))
		builder.setZone(0, otherZone, true)
		Expect(offeredTo(install(10 * millisecond))).To(Equal([]segment.Address{openAgent}))
	})

	It("tolerates expired entries only in open zones", func() {
		install(0)
		closeZone(0, otherZone)
		builder.remove(0, 0)
		builder.remove(0, 1)
		install(0)
		for number := range 10 {
			Expect(offeredTo(balancer.HandleClientPacket(millisecond, openingPacket(number, 100)))).To(Equal([]segment.Address{openAgent}))
		}
	})

	It("resets a flow at once if all endpoints of its service are in the zone", func() {
		builder.remove(0, 0)
		closeZone(0, otherZone)
		effects := balancer.HandleClientPacket(10*time.Second, openingPacket(1, 100))
		Expect(sentMessages(effects)).To(BeEmpty())
		Expect(resetHeaders(effects)).To(HaveLen(1))
		Expect(effects[0].Event.Reason).To(Equal("zone_closed"))
	})

	It("gives new flows to another service of the route if all endpoints of one service are in the zone", func() {
		builder.putEndpoint(0, 0, func(e *directory.Endpoint) { e.Service = otherService })
		builder.configure(directory.WeightedService{Service: service, Weight: 9}, directory.WeightedService{Service: otherService, Weight: 1})
		closeZone(0, otherZone)
		for number := range 10 {
			Expect(offeredTo(balancer.HandleClientPacket(0, openingPacket(number, 100)))).To(Equal([]segment.Address{openAgent}))
		}
	})

	It("continues open flows of endpoints in the zone", func() {
		builder.putEndpoint(0, 0, func(e *directory.Endpoint) { e.Draining = true })
		install(0)
		balancer.HandleClientPacket(0, openingPacket(1, 100))
		balancer.Receive(0, closedAgent, relay.Message{Kind: relay.KindPlaced, Service: service, Flow: relay.EncodeFlow(flowKey(1)), Sequence: 100})
		closeZone(time.Second, otherZone)
		forward := onlyMessage(balancer.HandleClientPacket(2*time.Second, clientPacket(1, segment.Acknowledge, 101, 501, "request")))
		Expect(forward.To).To(Equal(closedAgent))
		Expect(forward.Message.Kind).To(Equal(relay.KindForward))
	})
})
