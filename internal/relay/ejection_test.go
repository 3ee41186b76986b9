package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
	"github.com/vanetiller/vanetiller/internal/segment/segmenttest"
)

var _ = Describe("Agent, with an endpoint whose answers fail", func() {
	var agent *testAgent
	number := 0

	BeforeEach(func() { agent, number = newTestAgent(newAgent(true)), 0 })

	offerIn := func(zone string, now time.Duration, from segment.Address, ignoreEjection bool) []relay.Effect {
		number++
		return agent.Receive(now, from, relay.Message{
			Kind: relay.KindOffer, Service: service, Zone: zone, Parameters: agent.parameters, IgnoreEjection: ignoreEjection, Packet: openingPacket(number, 100),
		})
	}
	// answerNewFlow opens a flow from a balancer in a zone and lets the endpoint answer its
	// request.
	answerNewFlow := func(now time.Duration, zone string, from segment.Address, data string) []relay.Effect {
		offerIn(zone, now, from, true)
		agent.answer(now, number, 500)
		agent.forward(now, relay.KindForward, clientPacket(number, segment.Acknowledge, 101, 501, "request"))
		return agent.HandleEndpointPacket(now, endpointPacket(number, segment.Acknowledge, 501, 108, data))
	}
	returnsNewFlow := func(zone string, now time.Duration) bool {
		return len(deliveredPackets(offerIn(zone, now, balancerA, false))) == 0
	}

	It("ejects the endpoint and reports that to all balancers at once", func() {
		answerNewFlow(0, ownZone, balancerA, segmenttest.FailurePrefix)
		answerNewFlow(0, otherZone, balancerB, segmenttest.FailurePrefix)
		effects := answerNewFlow(millisecond, ownZone, balancerA, segmenttest.FailurePrefix)
		Expect(eventKinds(effects)).To(ContainElement(relay.EventEjected))
		for _, balancer := range []segment.Address{balancerA, balancerB} {
			notices := messagesTo(balancer, effects)
			Expect(notices).To(HaveLen(1))
			Expect(notices[0].Message.Kind).To(Equal(relay.KindPong))
			Expect(notices[0].Message.Load.Report).To(Equal(outlier.Report{
				Outcomes: 3, Failures: 3, Reason: outlier.Failure, HoldMilliseconds: 1000,
			}))
		}
		Expect(returnsNewFlow(ownZone, 2*millisecond)).To(BeTrue())
		Expect(deliveredPackets(offerIn(ownZone, 2*millisecond, balancerA, true))).To(HaveLen(1), "the balancer overrides the ejection")
	})

	It("ejects the endpoint for one zone, and reports that to its balancers, if only clients of that zone get failures", func() {
		answerNewFlow(0, otherZone, balancerB, "answer")
		var effects []relay.Effect
		for range 3 {
			effects = answerNewFlow(0, ownZone, balancerA, segmenttest.FailurePrefix)
		}
		Expect(messagesTo(balancerA, effects)).To(HaveLen(1))
		Expect(messagesTo(balancerB, effects)).To(BeEmpty())
		Expect(returnsNewFlow(ownZone, millisecond)).To(BeTrue())
		Expect(returnsNewFlow(otherZone, millisecond)).To(BeFalse())
	})

	It("gives the endpoint no new flows after a refusal until its retry time is over", func() {
		answerNewFlow(0, ownZone, balancerA, segmenttest.RefusalPrefix+"700")
		Expect(returnsNewFlow(ownZone, 699*millisecond)).To(BeTrue())
		Expect(returnsNewFlow(ownZone, 700*millisecond)).To(BeFalse())
	})

	It("counts a reset before an answer as a failure", func() {
		for range 3 {
			offerIn(ownZone, 0, balancerA, true)
			agent.answer(0, number, 500)
			agent.forward(0, relay.KindForward, clientPacket(number, segment.Acknowledge, 101, 501, "request"))
			agent.HandleEndpointPacket(0, endpointPacket(number, segment.Reset, 501, 108, ""))
		}
		Expect(returnsNewFlow(ownZone, 0)).To(BeTrue())
	})

	It("reads the outcome of an answer once, from its first packet, regardless of other packets and copies", func() {
		for range 6 {
			offerIn(ownZone, 0, balancerA, true)
			agent.answer(0, number, 500)
			agent.forward(0, relay.KindForward, clientPacket(number, segment.Acknowledge, 101, 501, "request"))
			agent.HandleEndpointPacket(0, endpointPacket(number, segment.Acknowledge, 507, 108, segmenttest.FailurePrefix+" in a body that came first"))
			agent.HandleEndpointPacket(0, endpointPacket(number, segment.Acknowledge, 501, 108, "answer"))
			agent.HandleEndpointPacket(0, endpointPacket(number, segment.Acknowledge, 501, 108, segmenttest.FailurePrefix))
		}
		Expect(returnsNewFlow(ownZone, 0)).To(BeFalse())
		Expect(agent.Load().Report).To(Equal(outlier.Report{Outcomes: 6}))
	})

	It("reads the outcome of each answer in a persistent flow", func() {
		answerNewFlow(0, ownZone, balancerA, "answer")
		next, written := uint32(108), uint32(507)
		for range 3 {
			agent.forward(0, relay.KindForward, clientPacket(number, segment.Acknowledge, next, written, "request"))
			next += 7
			agent.HandleEndpointPacket(0, endpointPacket(number, segment.Acknowledge, written, next, segmenttest.FailurePrefix))
			written += uint32(len(segmenttest.FailurePrefix))
		}
		Expect(agent.Load().Report.Failures).To(BeEquivalentTo(3))
		Expect(returnsNewFlow(ownZone, 0)).To(BeTrue())
	})

	It("notifies each balancer once when the endpoint returns a flow", func() {
		offerIn(otherZone, 0, balancerB, false)
		agent.answer(0, number, 500)
		offerIn(ownZone, 0, balancerA, false)
		effects := agent.HandleEndpointPacket(0, returnedCopy(openingPacket(number, 100)))
		Expect(messagesTo(balancerA, effects)).To(HaveLen(1))
		Expect(messagesTo(balancerA, effects)[0].Message.Kind).To(Equal(relay.KindReturned))
		Expect(messagesTo(balancerB, effects)).To(HaveLen(1))
		Expect(messagesTo(balancerB, effects)[0].Message.Load.Report.HoldTime()).To(Equal(300 * millisecond))
	})

	It("reports an endpoint that leaves opening packets unanswered at the time that NextTick returned", func() {
		offerIn(ownZone, 0, balancerA, false)
		offerIn(ownZone, millisecond, balancerA, false)
		due := agent.NextTick(millisecond)
		Expect(due).To(Equal(45 * millisecond))
		Expect(messagesTo(balancerA, agent.Tick(due))).To(HaveLen(1))
	})
})

var _ = Describe("Balancer, with unhealthy endpoints", func() {
	const endpoints = 12
	var (
		balancer *relay.Balancer
		builder  *directoryBuilder
		number   int
	)

	BeforeEach(func() {
		balancer, builder, number = newBalancer(), newDirectoryBuilder(), 0
		builder.configure(directory.WeightedService{Service: service, Weight: 1})
		for each := range endpoints {
			builder.putEndpoint(0, each, nil)
		}
		balancer.Install(0, builder.replica.Snapshot())
		balancer.MarkConfirmed(0)
	})

	report := func(now time.Duration, endpoint int, report outlier.Report) []relay.Effect {
		return balancer.Receive(now, agentAddress(endpoint), relay.Message{
			Kind: relay.KindPong, Service: service, Load: relay.Load{Report: report},
		})
	}
	failing := outlier.Report{Outcomes: 10, Failures: 6, Reason: outlier.Failure, HoldMilliseconds: 1000}
	openFlow := func(now time.Duration) []relay.Effect {
		number++
		return balancer.HandleClientPacket(now, openingPacket(number, 100))
	}
	// countOffers adds the offers among effects to counts, by the number of the endpoint.
	countOffers := func(effects []relay.Effect, counts map[int]int) {
		for _, effect := range sentMessages(effects) {
			if effect.Message.Kind == relay.KindOffer {
				counts[int(effect.To.IP[3])]++
			}
		}
	}

	// shareOf returns the flows that an endpoint gets of 240, relative to an even share.
	shareOf := func(endpoint int) float64 {
		counts := make(map[int]int)
		for range 240 {
			countOffers(openFlow(millisecond), counts)
		}
		return float64(counts[endpoint]) / (240 / endpoints)
	}

	DescribeTable("opens every flow while some endpoint accepts flows, whichever others return them",
		func(returns func(endpoint int) bool, wasted int) {
			refused, attempts := 0, 0
			for range 300 {
				now := time.Duration(number) * millisecond
				effects := openFlow(now)
				for {
					messages := sentMessages(effects)
					if len(messages) == 0 {
						refused++
						break
					}
					attempts++
					to := messages[0].To
					if !returns(int(to.IP[3])) {
						reportPlaced(balancer, now, to, number, 100)
						break
					}
					effects = balancer.Receive(now, to, relay.Message{
						Kind: relay.KindReturned, Service: service, Packet: openingPacket(number, 100),
					})
				}
			}
			Expect(refused).To(BeZero())
			Expect(attempts-300).To(BeNumerically("<=", wasted), "an endpoint that returns a flow is not chosen again at once")
		},
		Entry("the first third return flows", func(endpoint int) bool { return endpoint < 4 }, 8),
		Entry("every third returns flows", func(endpoint int) bool { return endpoint%3 == 1 }, 8),
		Entry("all but one return flows", func(endpoint int) bool { return endpoint != 7 }, 22),
	)

	It("resets a flow at once if every endpoint returns it", func() {
		effects := openFlow(0)
		for range endpoints - 1 {
			to := sentMessages(effects)[0].To
			effects = balancer.Receive(0, to, relay.Message{Kind: relay.KindReturned, Service: service, Packet: openingPacket(number, 100)})
			Expect(resetHeaders(effects)).To(BeEmpty())
		}
		to := sentMessages(effects)[0].To
		effects = balancer.Receive(0, to, relay.Message{Kind: relay.KindReturned, Service: service, Packet: openingPacket(number, 100)})
		Expect(resetHeaders(effects)).To(HaveLen(1))
		Expect(sentMessages(openFlow(millisecond))).To(HaveLen(1), "the next flow tests an endpoint")
	})

	It("gives no new flow to an ejected endpoint until the ejection ends", func() {
		report(0, 3, failing)
		counts := make(map[int]int)
		for range 120 {
			countOffers(openFlow(millisecond), counts)
		}
		Expect(counts).To(HaveLen(endpoints - 1))
		Expect(counts).NotTo(HaveKey(3))
		countOffers(openFlow(1001*millisecond), counts)
		Expect(counts).To(HaveKeyWithValue(3, 1))
	})

	It("ignores ejections if most endpoints of a service are ejected, and sets IgnoreEjection in its offers", func() {
		for endpoint := range 7 {
			report(0, endpoint, failing)
		}
		ignored := 0
		counts := make(map[int]int)
		for range 120 {
			effects := openFlow(millisecond)
			countOffers(effects, counts)
			if onlyMessage(effects).Message.IgnoreEjection {
				ignored++
			}
		}
		Expect(counts).To(HaveLen(endpoints))
		Expect(ignored).To(Equal(70))
	})

	It("ignores an ejection if the other endpoints fail nearly as often, since the requests are then the cause", func() {
		for endpoint := range endpoints {
			report(0, endpoint, outlier.Report{Outcomes: 10, Failures: 2})
		}
		report(0, 3, outlier.Report{Outcomes: 10, Failures: 3, Reason: outlier.Failure, HoldMilliseconds: 1000})
		Expect(shareOf(3)).To(BeNumerically("~", 1, 0.15))
	})

	It("offers a flow to at most three ejected endpoints if there are no others", func() {
		for endpoint := range endpoints {
			report(0, endpoint, outlier.Report{Reason: outlier.PacketReturned, HoldMilliseconds: 300})
		}
		effects := openFlow(millisecond)
		for range 3 {
			message := onlyMessage(effects)
			Expect(message.Message.IgnoreEjection).To(BeFalse())
			effects = balancer.Receive(millisecond, message.To, relay.Message{
				Kind: relay.KindReturned, Service: service, LastResort: true, Packet: openingPacket(number, 100),
				Load: relay.Load{Report: outlier.Report{Reason: outlier.PacketReturned, HoldMilliseconds: 299}},
			})
		}
		lastResort := onlyMessage(effects)
		Expect(lastResort.Message.LastResort).To(BeTrue())
		effects = balancer.Receive(millisecond, lastResort.To, relay.Message{
			Kind: relay.KindReturned, Service: service, Packet: openingPacket(number, 100),
		})
		Expect(resetHeaders(effects)).To(HaveLen(1))
	})

	It("rejects a report with more failures than outcomes", func() {
		effects := report(0, 3, outlier.Report{Outcomes: 3, Failures: 9, Reason: outlier.Failure, HoldMilliseconds: 1000})
		Expect(eventKinds(effects)).To(Equal([]relay.EventKind{relay.EventForged}))
		Expect(shareOf(3)).To(BeNumerically("~", 1, 0.15))
	})

	It("gives an even share to an endpoint that took over the address of an ejected one", func() {
		report(0, 3, failing)
		builder.remove(0, 3)
		builder.putEndpoint(0, endpoints, func(endpoint *directory.Endpoint) {
			endpoint.IP = endpointAddress(3).IP
		})
		balancer.Install(0, builder.replica.Snapshot())
		Expect(shareOf(3)).To(BeNumerically("~", 1, 0.15))
	})

	It("ignores a report for another service", func() {
		balancer.Receive(0, agentAddress(3), relay.Message{
			Kind: relay.KindPong, Service: otherService, Load: relay.Load{Report: failing},
		})
		Expect(shareOf(3)).To(BeNumerically("~", 1, 0.15))
	})
})
