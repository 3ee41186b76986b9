package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const millisecond = time.Millisecond

var _ = Describe("Balancer", func() {
	var (
		balancer *relay.Balancer
		known    *fleet
	)

	install := func(now time.Duration) []relay.Effect { return balancer.Install(now, known.machine.Snapshot()) }

	BeforeEach(func() { balancer, known = balancerOfThree() })

	It("sends nobody anything before it has a directory", func() {
		starting := newBalancer()
		Expect(starting.HandleClientPacket(0, opening(1, 100))).To(BeEmpty())
		Expect(starting.HandleClientPacket(0, fromClient(1, segment.Acknowledge, 101, 7, ""))).To(BeEmpty())
		Expect(starting.Tick(time.Second)).To(BeEmpty())
	})

	It("offers a flow that busy agents return to others, and after three to the least busy of them", func() {
		offer := onlyMessage(balancer.HandleClientPacket(0, opening(1, 100)))
		loads := []uint32{7, 4, 9}
		tried := make(map[segment.Address]uint32)
		for index, waiting := range loads {
			Expect(tried).NotTo(HaveKey(offer.To))
			Expect(offer.Message.LastResort).To(BeFalse())
			tried[offer.To] = waiting
			offer = onlyMessage(balancer.Receive(time.Duration(index+1)*millisecond, offer.To, relay.Message{
				Kind: relay.KindReturned, LastResort: true, Load: relay.Load{Waiting: waiting, Pending: waiting}, Packet: opening(1, 100),
			}))
		}
		Expect(tried[offer.To]).To(Equal(uint32(4)))
		Expect(offer.Message.LastResort).To(BeTrue())
	})

	It("gives a slow endpoint flows again, after a while in which its pace has not changed", func() {
		tell := func(now time.Duration, number int, pace uint32) {
			balancer.Receive(now, agentAddress(number), relay.Message{
				Kind: relay.KindPong, Service: service, Load: relay.Load{ServiceTime: pace},
			})
		}
		offeredToSlow := func(now time.Duration, first int) (count int) {
			for number := first; number < first+30; number++ {
				for _, effect := range sent(balancer.HandleClientPacket(now, opening(number, 100))) {
					if effect.Message.Kind == relay.KindOffer && effect.To == agentAddress(0) {
						count++
					}
				}
				balancer.HandleClientPacket(now, fromClient(number, segment.Reset, 101, 0, ""))
			}
			return count
		}
		tell(0, 0, 250_000)
		tell(0, 1, 50_000)
		tell(0, 2, 50_000)
		Expect(offeredToSlow(time.Second, 0)).To(BeZero())
		tell(2*time.Second, 0, 250_000)
		Expect(offeredToSlow(2500*millisecond, 100)).To(BeNumerically(">", 0))
	})

	It("goes elsewhere while an endpoint is told to be full, and comes back as the news ages", func() {
		tell := func(now time.Duration, number int, used uint32) {
			load := relay.Load{Pending: used, ServiceTime: 50_000}
			balancer.Receive(now, agentAddress(number), relay.Message{Kind: relay.KindPong, Service: service, Load: load})
		}
		for number := range 3 {
			tell(0, number, 1)
		}
		tell(0, 0, 5)
		number := 0
		offeredTo := func(now time.Duration) map[segment.Address]int {
			counts := make(map[segment.Address]int)
			for range 30 {
				number++
				to := onlyMessage(balancer.HandleClientPacket(now, opening(number, 100))).To
				counts[to]++
				balancer.HandleClientPacket(now, fromClient(number, segment.Reset, 101, 0, ""))
			}
			return counts
		}
		Expect(offeredTo(millisecond)).NotTo(HaveKey(agentAddress(0)))
		Expect(offeredTo(time.Second)).To(HaveKey(agentAddress(0)))
	})

	It("tells agents for how long the client has tried, by the copy of its packet and by earlier offers", func() {
		offer := onlyMessage(balancer.HandleClientPacket(0, fromClient(1, segment.Synchronize, 100, 600, "")))
		Expect(offer.Message.Parameters.Waited).To(Equal(uint32(600)))
		Expect(onlyMessage(balancer.Tick(50 * millisecond)).Message.Parameters.Waited).To(Equal(uint32(650)))
	})

	It("offers a new flow to one endpoint and its later packets to the same", func() {
		offer := onlyMessage(balancer.HandleClientPacket(0, opening(1, 100)))
		Expect(offer.Message.Kind).To(Equal(relay.KindOffer))
		Expect(offer.Message.Service).To(Equal(service))
		Expect(offer.Message.Parameters).To(Equal(relay.FlowParameters{Slots: 4, LatencyTarget: 250, Timeout: 2000}))
		placed(balancer, millisecond, offer.To, 1, 100)
		forward := onlyMessage(balancer.HandleClientPacket(2*millisecond, fromClient(1, segment.Acknowledge, 101, 501, "request")))
		Expect(forward.To).To(Equal(offer.To))
		Expect(forward.Message.Kind).To(Equal(relay.KindForward))
	})

	It("spreads flows evenly by what is outstanding", func() {
		counts := map[segment.Address]int{}
		for number := range 30 {
			offer := onlyMessage(balancer.HandleClientPacket(0, opening(number, 100)))
			counts[offer.To]++
			placed(balancer, 0, offer.To, number, 100)
		}
		Expect(counts).To(HaveLen(3))
		for _, count := range counts {
			Expect(count).To(Equal(10))
		}
	})

	It("gives an endpoint that is slow after its start fewer flows", func() {
		known.endpoint(0, 0, func(e *directory.Endpoint) { e.ColdRemaining = time.Second })
		install(0)
		counts := map[segment.Address]int{}
		for number := range 39 {
			offer := onlyMessage(balancer.HandleClientPacket(0, opening(number, 100)))
			counts[offer.To]++
			placed(balancer, 0, offer.To, number, 100)
		}
		Expect(counts[agentAddress(0)]).To(BeNumerically("~", 9, 1))
	})

	// tell lets an agent tell how long its endpoint takes for answers.
	tell := func(now time.Duration, number int, pace time.Duration) {
		load := relay.Load{ServiceTime: uint32(pace.Microseconds())}
		balancer.Receive(now, agentAddress(number), relay.Message{Kind: relay.KindPong, Service: service, Load: load})
	}
	// offered counts the flows offered by endpoint, among count that stay open.
	offered := func(now time.Duration, count int) map[byte]int {
		counted := make(map[byte]int)
		for number := range count {
			for _, each := range sent(balancer.HandleClientPacket(now, opening(number, 1))) {
				if each.Message.Kind == relay.KindOffer {
					counted[each.To.IP[3]]++
				}
			}
		}
		return counted
	}

	It("gives an endpoint that takes longer for answers than others fewer flows in proportion", func() {
		for number, pace := range []time.Duration{40, 45, 200} {
			tell(0, number, pace*millisecond)
		}
		counted := offered(millisecond, 110)
		Expect(counted[2]).To(BeNumerically("~", 10, 3))
		Expect(counted[0]).To(BeNumerically("~", 50, 3))
	})

	It("takes small differences between endpoints for chance", func() {
		for number, pace := range []time.Duration{40, 50, 55} {
			tell(0, number, pace*millisecond)
		}
		Expect(offered(millisecond, 90)).To(Equal(map[byte]int{0: 30, 1: 30, 2: 30}))
	})

	It("asks the agent of a slow endpoint now and then whether it still is, and believes it", func() {
		for number, pace := range []time.Duration{40, 40, 400} {
			tell(0, number, pace*millisecond)
		}
		pings := 0
		for number := range 100 {
			for _, each := range sent(balancer.HandleClientPacket(time.Duration(number)*10*millisecond, opening(number, 1))) {
				if each.Message.Kind == relay.KindPing {
					Expect(each.To).To(Equal(agentAddress(2)))
					pings++
				}
			}
		}
		Expect(pings).To(BeNumerically("~", 3, 1))
		tell(time.Second, 2, 40*millisecond)
		Expect(offered(time.Second, 130)[2]).To(BeNumerically(">", 30))
	})

	It("keeps the weights of a route within one flow", func() {
		known.endpoint(0, 7, func(e *directory.Endpoint) { e.Service = otherService })
		known.configure(directory.WeightedService{Service: service, Weight: 90}, directory.WeightedService{Service: otherService, Weight: 10})
		install(0)
		other := 0
		for number := range 100 {
			if onlyMessage(balancer.HandleClientPacket(0, opening(number, 100))).Message.Service == otherService {
				other++
			}
			Expect(other).To(BeNumerically("~", float64(number+1)/10, 1))
		}
		Expect(other).To(Equal(10))
	})

	It("takes another service of the route if the one whose turn it is has no endpoint", func() {
		known.configure(directory.WeightedService{Service: otherService, Weight: 90}, directory.WeightedService{Service: service, Weight: 10})
		install(0)
		for number := range 10 {
			Expect(onlyMessage(balancer.HandleClientPacket(0, opening(number, 100))).Message.Service).To(Equal(service))
		}
	})

	It("repeats an opening packet to the same endpoint", func() {
		first := onlyMessage(balancer.HandleClientPacket(0, opening(1, 100)))
		placed(balancer, millisecond, first.To, 1, 100)
		again := onlyMessage(balancer.HandleClientPacket(200*millisecond, opening(1, 100)))
		Expect(again.To).To(Equal(first.To))
	})

	It("offers a silent opening packet to another endpoint before the client repeats it", func() {
		first := onlyMessage(balancer.HandleClientPacket(0, opening(1, 100)))
		balancer.Tick(millisecond)
		next := balancer.NextTick(millisecond)
		Expect(next).To(BeNumerically("<", 200*millisecond))
		second := onlyMessage(balancer.Tick(next))
		Expect(second.Message.Kind).To(Equal(relay.KindOffer))
		Expect(second.To).NotTo(Equal(first.To))
		Expect(second.Message.Packet).To(Equal(opening(1, 100)))
	})

	It("bounds what it offers again for silence", func() {
		offers := 0
		for number := range 200 {
			balancer.HandleClientPacket(0, opening(number, 100))
		}
		for now := time.Duration(0); now < time.Second; now += 10 * millisecond {
			for _, each := range sent(balancer.Tick(now)) {
				if each.Message.Kind == relay.KindOffer {
					offers++
				}
			}
		}
		Expect(offers).To(BeNumerically("<=", 50))
	})

	It("offers a returned packet to all others, then refuses the client at once", func() {
		tried := map[segment.Address]bool{}
		effects := balancer.HandleClientPacket(0, opening(1, 100))
		for range 3 {
			offer := onlyMessage(effects)
			Expect(tried).NotTo(HaveKey(offer.To))
			tried[offer.To] = true
			effects = balancer.Receive(millisecond, offer.To, relay.Message{Kind: relay.KindReturned, Packet: opening(1, 100)})
		}
		Expect(resets(effects)).To(HaveLen(1))
		Expect(balancer.FlowCount()).To(BeZero())
	})

	It("gives no new flow to an endpoint that is draining or gone", func() {
		known.endpoint(0, 0, func(e *directory.Endpoint) { e.Draining = true })
		known.gone(0, 1)
		told := install(0)
		Expect(onlyMessage(told).To).To(Equal(agentAddress(0)))
		Expect(onlyMessage(told).Message.Kind).To(Equal(relay.KindDrain))
		for number := range 20 {
			Expect(onlyMessage(balancer.HandleClientPacket(0, opening(number, 100))).To).To(Equal(agentAddress(2)))
		}
	})

	It("does not tell the agent of an endpoint that took over the address of one that drained", func() {
		known.endpoint(0, 0, func(e *directory.Endpoint) { e.Draining = true })
		known.gone(0, 0)
		known.endpoint(0, 8, func(e *directory.Endpoint) { e.IP = endpointAddress(0).IP })
		starting := newBalancer()
		Expect(sent(starting.Install(0, known.machine.Snapshot()))).To(BeEmpty())
	})

	It("uses endpoints whose entries have just lapsed if there are no others, but not for long", func() {
		for number := range 3 {
			known.gone(time.Second, number)
		}
		install(time.Second)
		Expect(sent(balancer.HandleClientPacket(2*time.Second, opening(1, 100)))).To(HaveLen(1))
		Expect(resets(balancer.HandleClientPacket(3*time.Second, opening(2, 100)))).To(HaveLen(1))
	})

	It("spreads flows over all endpoints while their entries return one by one after an outage of the store", func() {
		for number := range 3 {
			known.gone(time.Second, number)
		}
		known.endpoint(time.Second, 1, nil)
		install(time.Second)
		offered := make(map[segment.Address]int)
		for number := range 30 {
			offered[onlyMessage(balancer.HandleClientPacket(time.Second, opening(number, 100))).To]++
		}
		Expect(offered).To(Equal(map[segment.Address]int{agentAddress(0): 10, agentAddress(1): 10, agentAddress(2): 10}))
		now := 2600 * time.Millisecond
		for number := range 20 {
			Expect(onlyMessage(balancer.HandleClientPacket(now, opening(100+number, 100))).To).To(Equal(agentAddress(1)), "but not for long")
		}
	})

	It("takes one entry that lapses alone for an endpoint that has left", func() {
		known.gone(time.Second, 0)
		install(time.Second)
		for number := range 20 {
			Expect(onlyMessage(balancer.HandleClientPacket(time.Second, opening(number, 100))).To).NotTo(Equal(agentAddress(0)))
		}
	})

	It("does not take a lapsed entry for one that may return if another endpoint has come to its address", func() {
		for number := range 3 {
			known.gone(time.Second, number)
		}
		known.endpoint(time.Second, 7, func(e *directory.Endpoint) { e.IP = endpointAddress(0).IP; e.Service = "other" })
		install(time.Second)
		for number := range 20 {
			Expect(onlyMessage(balancer.HandleClientPacket(time.Second, opening(number, 100))).To).NotTo(Equal(agentAddress(0)))
		}
	})

	It("never gives an endpoint that drained a new flow, even if there are no others", func() {
		for number := range 3 {
			known.endpoint(0, number, func(e *directory.Endpoint) { e.Draining = true })
			known.gone(0, number)
		}
		install(0)
		Expect(sent(balancer.HandleClientPacket(0, opening(1, 100)))).To(BeEmpty())
	})

	It("leaves out an endpoint that does not answer, and tries it again later with one flow", func() {
		victim := agentAddress(0)
		now := time.Duration(0)
		answer := func(effects []relay.Effect, number int) int {
			offered := 0
			for _, offer := range sent(effects) {
				if offer.To == victim {
					offered++
					continue
				}
				placed(balancer, now, offer.To, number, 100)
			}
			return offered
		}
		toVictim := 0
		for number := range 200 {
			now += 10 * millisecond
			toVictim += answer(balancer.HandleClientPacket(now, opening(number, 100)), number)
			for _, offer := range sent(balancer.Tick(now)) {
				header, _ := codec.Decode(offer.Message.Packet)
				placed(balancer, now, offer.To, int(header.Source.Port)-40000, 100)
			}
		}
		Expect(toVictim).To(BeNumerically(">=", 3))
		Expect(toVictim).To(BeNumerically("<=", 25))
	})

	It("offers a flow last to endpoints that take it only if no other does", func() {
		bring := func(from segment.Address, last bool) []relay.Effect {
			return balancer.Receive(millisecond, from, relay.Message{
				Kind: relay.KindReturned, Service: service, Sequence: 100, LastResort: last, Packet: opening(1, 100),
			})
		}
		first := onlyMessage(balancer.HandleClientPacket(0, opening(1, 100)))
		second := onlyMessage(bring(first.To, true))
		Expect(second.Message.LastResort).To(BeFalse())
		third := onlyMessage(bring(second.To, false))
		last := onlyMessage(bring(third.To, false))
		Expect(last.To).To(Equal(first.To))
		Expect(last.Message.LastResort).To(BeTrue())
		Expect(last.Message.Packet).To(Equal(opening(1, 100)))
		Expect(resets(bring(first.To, true))).To(HaveLen(1), "it is asked once")
	})

	Describe("an address without a route", func() {
		unrouted := codec.Encode(segment.Header{Source: clientAddress(1), Destination: noRoute, Flags: segment.Synchronize}, nil)

		It("is reset while the directory is current", func() {
			Expect(resets(balancer.HandleClientPacket(time.Second, unrouted))).To(HaveLen(1))
		})

		It("is not reset if the directory may be out of date", func() {
			Expect(resets(balancer.HandleClientPacket(time.Minute, unrouted))).To(BeEmpty())
		})
	})

	It("keeps open flows of a route that a configuration drops where they are", func() {
		offer := onlyMessage(balancer.HandleClientPacket(0, opening(1, 100)))
		placed(balancer, 0, offer.To, 1, 100)
		known.configure()
		install(0)
		Expect(onlyMessage(balancer.HandleClientPacket(0, fromClient(1, segment.Acknowledge, 101, 501, "x"))).To).To(Equal(offer.To))
	})

	DescribeTable("drops what no client can have written", func(packet []byte, expected relay.EventKind) {
		effects := balancer.HandleClientPacket(0, packet)
		Expect(events(effects)).To(ConsistOf(expected))
		Expect(sent(effects)).To(BeEmpty())
	},
		Entry("an endpoint's answer", fromClient(1, segment.Synchronize|segment.Acknowledge, 1, 2, ""), relay.EventForged),
		Entry("a returned packet", fromClient(1, segment.Synchronize|segment.Returned, 1, 2, ""), relay.EventForged),
		Entry("a truncated packet", []byte{1, 2, 3}, relay.EventMalformed),
	)

	Describe("cut off from all agents", func() {
		// endure lets time pass while flows arrive and nobody answers.
		endure := func(from, to time.Duration) int {
			pings := 0
			for now := from; now < to; now += 10 * millisecond {
				balancer.HandleClientPacket(now, opening(int(now/millisecond), 100))
				for _, each := range sent(balancer.Tick(now)) {
					if each.Message.Kind == relay.KindPing {
						pings++
					}
				}
			}
			return pings
		}

		It("says so after it has pinged agents in vain, and takes it back at the first answer", func() {
			endure(0, 500*millisecond)
			Expect(balancer.Isolated()).To(BeFalse())
			Expect(endure(500*millisecond, time.Second)).To(BeNumerically(">", 3))
			Expect(balancer.Isolated()).To(BeTrue())
			balancer.Receive(time.Second, agentAddress(1), relay.Message{Kind: relay.KindPong})
			Expect(balancer.Isolated()).To(BeFalse())
		})

		It("does not believe others than agents", func() {
			endure(0, time.Second)
			balancer.Receive(time.Second, balancerB, relay.Message{Kind: relay.KindPong})
			Expect(balancer.Isolated()).To(BeTrue())
		})

		It("does not take calm for being cut off", func() {
			offer := onlyMessage(balancer.HandleClientPacket(0, opening(1, 100)))
			placed(balancer, millisecond, offer.To, 1, 100)
			balancer.Tick(time.Minute)
			Expect(sent(balancer.Tick(2 * time.Minute))).To(BeEmpty())
			Expect(balancer.Isolated()).To(BeFalse())
		})
	})

	It("forgets flows whose clients have closed them", func() {
		offer := onlyMessage(balancer.HandleClientPacket(0, opening(1, 100)))
		placed(balancer, 0, offer.To, 1, 100)
		balancer.HandleClientPacket(millisecond, fromClient(1, segment.Acknowledge|segment.Finish, 101, 501, ""))
		Expect(onlyMessage(balancer.HandleClientPacket(2*millisecond, fromClient(1, segment.Acknowledge, 102, 502, ""))).To).To(Equal(offer.To))
		balancer.Tick(10 * time.Second)
		Expect(balancer.FlowCount()).To(BeZero())
	})
})
