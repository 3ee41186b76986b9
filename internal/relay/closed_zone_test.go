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

// zone closes a zone or opens it again.
func (f *fleet) zone(now time.Duration, name string, closed bool) {
	f.revision++
	f.machine.ApplyChanges(now, []directory.Item{{Key: name, Zone: name, ZoneClosed: closed, Revision: f.revision}}, f.revision)
}

var _ = Describe("Balancer, with a closed zone", func() {
	var (
		balancer *relay.Balancer
		known    *fleet
	)

	install := func(now time.Duration) []relay.Effect { return balancer.Install(now, known.machine.Snapshot()) }
	closeZone := func(now time.Duration, zone string) {
		known.zone(now, zone, true)
		install(now)
	}
	returnedBy := func(now time.Duration, agent segment.Address, lastResort bool) []relay.Effect {
		return balancer.Receive(now, agent, relay.Message{
			Kind: relay.KindReturned, Service: service, LastResort: lastResort, Packet: opening(1, 100),
		})
	}
	offeredTo := func(effects []relay.Effect) []segment.Address {
		var agents []segment.Address
		for _, each := range sent(effects) {
			if each.Message.Kind == relay.KindOffer {
				agents = append(agents, each.To)
			}
		}
		return agents
	}
	opened, shut := agentAddress(0), agentAddress(1)

	BeforeEach(func() {
		balancer = newBalancer()
		known = newFleet()
		known.configure(directory.WeightedService{Service: service, Weight: 1})
		known.endpoint(0, 0, inZone(ownZone))
		known.endpoint(0, 1, inZone(otherZone))
	})

	It("offers new flows to the endpoints of other zones only, and again once it is open", func() {
		closeZone(0, otherZone)
		for number := range 20 {
			Expect(offeredTo(balancer.HandleClientPacket(0, opening(number, 100)))).To(Equal([]segment.Address{opened}))
		}
		known.zone(time.Second, otherZone, false)
		install(time.Second)
		Expect(offeredTo(balancer.HandleClientPacket(time.Second, opening(21, 100)))).To(Equal([]segment.Address{shut}))
	})

	It("makes no further offer to it when others return a flow or are silent", func() {
		closeZone(0, otherZone)
		balancer.HandleClientPacket(0, opening(1, 100))
		Expect(offeredTo(balancer.Tick(50 * millisecond))).To(BeEmpty())
		effects := returnedBy(60*millisecond, opened, false)
		Expect(offeredTo(effects)).To(BeEmpty())
		Expect(resets(effects)).To(HaveLen(1))
	})

	It("does not ask an endpoint there as the last resort that has returned the flow before", func() {
		known.endpoint(0, 2, inZone(ownZone))
		install(0)
		tried := offeredTo(balancer.HandleClientPacket(0, opening(1, 100)))
		for len(tried) < 3 {
			last := tried[len(tried)-1]
			tried = append(tried, offeredTo(returnedBy(millisecond, last, last == shut))...)
		}
		closeZone(millisecond, otherZone)
		effects := returnedBy(2*millisecond, tried[2], tried[2] == shut)
		Expect(offeredTo(effects)).To(BeEmpty())
		Expect(resets(effects)).To(HaveLen(1))
	})

	It("offers a copy of an opening packet elsewhere if the zone was closed since the first", func() {
		known.endpoint(0, 0, func(e *directory.Endpoint) { e.Draining = true })
		install(0)
		Expect(offeredTo(balancer.HandleClientPacket(0, opening(1, 100)))).To(Equal([]segment.Address{shut}))
		known.endpoint(0, 2, inZone(ownZone))
		closeZone(100*millisecond, otherZone)
		copied := balancer.HandleClientPacket(200*millisecond, fromClient(1, segment.Synchronize, 100, 1, ""))
		Expect(offeredTo(copied)).To(Equal([]segment.Address{agentAddress(2)}))
	})

	It("offers a packet that came before the directory was known to another zone", func() {
		balancer.HandleClientPacket(0, opening(1, 100))
		known.zone(0, otherZone, true)
		Expect(offeredTo(install(10 * millisecond))).To(Equal([]segment.Address{opened}))
	})

	It("doubts the store about lapsed entries of other zones only", func() {
		install(0)
		closeZone(0, otherZone)
		known.gone(0, 0)
		known.gone(0, 1)
		install(0)
		for number := range 10 {
			Expect(offeredTo(balancer.HandleClientPacket(millisecond, opening(number, 100)))).To(Equal([]segment.Address{opened}))
		}
	})

	It("refuses a flow at once if all endpoints of its service are in it", func() {
		known.gone(0, 0)
		closeZone(0, otherZone)
		effects := balancer.HandleClientPacket(10*time.Second, opening(1, 100))
		Expect(sent(effects)).To(BeEmpty())
		Expect(resets(effects)).To(HaveLen(1))
		Expect(effects[0].Event.Reason).To(Equal("zone_closed"))
	})

	It("gives new flows to another service of the route if all endpoints of one are in it", func() {
		known.endpoint(0, 0, func(e *directory.Endpoint) { e.Service = otherService })
		known.configure(directory.WeightedService{Service: service, Weight: 9}, directory.WeightedService{Service: otherService, Weight: 1})
		closeZone(0, otherZone)
		for number := range 10 {
			Expect(offeredTo(balancer.HandleClientPacket(0, opening(number, 100)))).To(Equal([]segment.Address{opened}))
		}
	})

	It("carries on the open flows of its endpoints", func() {
		known.endpoint(0, 0, func(e *directory.Endpoint) { e.Draining = true })
		install(0)
		balancer.HandleClientPacket(0, opening(1, 100))
		balancer.Receive(0, shut, relay.Message{Kind: relay.KindPlaced, Service: service, Flow: relay.EncodeFlow(keyOf(1)), Sequence: 100})
		closeZone(time.Second, otherZone)
		forward := onlyMessage(balancer.HandleClientPacket(2*time.Second, fromClient(1, segment.Acknowledge, 101, 501, "request")))
		Expect(forward.To).To(Equal(shut))
		Expect(forward.Message.Kind).To(Equal(relay.KindForward))
	})
})
