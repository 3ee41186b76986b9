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

var _ = Describe("Agent, beside an endpoint whose answers are bad", func() {
	var agent *drivenAgent
	number := 0

	BeforeEach(func() { agent, number = drive(newAgent(true)), 0 })

	offerIn := func(zone string, now time.Duration, from segment.Address, insist bool) []relay.Effect {
		number++
		return agent.Receive(now, from, relay.Message{
			Kind: relay.KindOffer, Service: service, Zone: zone, Parameters: agent.terms, IgnoreEjection: insist, Packet: opening(number, 100),
		})
	}
	// answers lets the endpoint answer a new flow of a zone's balancer.
	answers := func(now time.Duration, zone string, from segment.Address, data string) []relay.Effect {
		offerIn(zone, now, from, true)
		agent.answer(now, number, 500)
		agent.forward(now, relay.KindForward, fromClient(number, segment.Acknowledge, 101, 501, "request"))
		return agent.HandleEndpointPacket(now, fromEndpoint(number, segment.Acknowledge, 501, 108, data))
	}
	returnsNew := func(zone string, now time.Duration) bool {
		return len(delivered(offerIn(zone, now, balancerA, false))) == 0
	}

	It("gives it no new flows and tells balancers of that at once", func() {
		answers(0, ownZone, balancerA, segmenttest.FailurePrefix)
		answers(0, otherZone, balancerB, segmenttest.FailurePrefix)
		effects := answers(millisecond, ownZone, balancerA, segmenttest.FailurePrefix)
		Expect(events(effects)).To(ContainElement(relay.EventEjected))
		for _, balancer := range []segment.Address{balancerA, balancerB} {
			told := sentTo(balancer, effects)
			Expect(told).To(HaveLen(1))
			Expect(told[0].Message.Kind).To(Equal(relay.KindPong))
			Expect(told[0].Message.Load.Report).To(Equal(outlier.Report{
				Outcomes: 3, Failures: 3, Reason: outlier.Failure, HoldMilliseconds: 1000,
			}))
		}
		Expect(returnsNew(ownZone, 2*millisecond)).To(BeTrue())
		Expect(delivered(offerIn(ownZone, 2*millisecond, balancerA, true))).To(HaveLen(1), "a balancer insists")
	})

	It("tells only the balancers of a zone whose clients alone get bad answers", func() {
		answers(0, otherZone, balancerB, "answer")
		var effects []relay.Effect
		for range 3 {
			effects = answers(0, ownZone, balancerA, segmenttest.FailurePrefix)
		}
		Expect(sentTo(balancerA, effects)).To(HaveLen(1))
		Expect(sentTo(balancerB, effects)).To(BeEmpty())
		Expect(returnsNew(ownZone, millisecond)).To(BeTrue())
		Expect(returnsNew(otherZone, millisecond)).To(BeFalse())
	})

	It("spares it after a refusal for as long as it asks", func() {
		answers(0, ownZone, balancerA, segmenttest.RefusalPrefix+"700")
		Expect(returnsNew(ownZone, 699*millisecond)).To(BeTrue())
		Expect(returnsNew(ownZone, 700*millisecond)).To(BeFalse())
	})

	It("takes a reset before an answer for a bad one", func() {
		for range 3 {
			offerIn(ownZone, 0, balancerA, true)
			agent.answer(0, number, 500)
			agent.forward(0, relay.KindForward, fromClient(number, segment.Acknowledge, 101, 501, "request"))
			agent.HandleEndpointPacket(0, fromEndpoint(number, segment.Reset, 501, 108, ""))
		}
		Expect(returnsNew(ownZone, 0)).To(BeTrue())
	})

	It("reads an answer once, where it begins, whatever comes before or again", func() {
		for range 6 {
			offerIn(ownZone, 0, balancerA, true)
			agent.answer(0, number, 500)
			agent.forward(0, relay.KindForward, fromClient(number, segment.Acknowledge, 101, 501, "request"))
			agent.HandleEndpointPacket(0, fromEndpoint(number, segment.Acknowledge, 507, 108, segmenttest.FailurePrefix+" in a body that came first"))
			agent.HandleEndpointPacket(0, fromEndpoint(number, segment.Acknowledge, 501, 108, "answer"))
			agent.HandleEndpointPacket(0, fromEndpoint(number, segment.Acknowledge, 501, 108, segmenttest.FailurePrefix))
		}
		Expect(returnsNew(ownZone, 0)).To(BeFalse())
		Expect(agent.Load().Report).To(Equal(outlier.Report{Outcomes: 6}))
	})

	It("reads the later answers of a flow that is kept", func() {
		answers(0, ownZone, balancerA, "answer")
		next, written := uint32(108), uint32(507)
		for range 3 {
			agent.forward(0, relay.KindForward, fromClient(number, segment.Acknowledge, next, written, "request"))
			next += 7
			agent.HandleEndpointPacket(0, fromEndpoint(number, segment.Acknowledge, written, next, segmenttest.FailurePrefix))
			written += uint32(len(segmenttest.FailurePrefix))
		}
		Expect(agent.Load().Report.Failures).To(BeEquivalentTo(3))
		Expect(returnsNew(ownZone, 0)).To(BeTrue())
	})

	It("tells balancers of an endpoint that returns a flow, once each", func() {
		offerIn(otherZone, 0, balancerB, false)
		agent.answer(0, number, 500)
		offerIn(ownZone, 0, balancerA, false)
		effects := agent.HandleEndpointPacket(0, returned(opening(number, 100)))
		Expect(sentTo(balancerA, effects)).To(HaveLen(1))
		Expect(sentTo(balancerA, effects)[0].Message.Kind).To(Equal(relay.KindReturned))
		Expect(sentTo(balancerB, effects)).To(HaveLen(1))
		Expect(sentTo(balancerB, effects)[0].Message.Load.Report.HoldTime()).To(Equal(300 * millisecond))
	})

	It("notices without another packet that opening packets get no answer", func() {
		offerIn(ownZone, 0, balancerA, false)
		offerIn(ownZone, millisecond, balancerA, false)
		due := agent.NextTick(millisecond)
		Expect(due).To(Equal(45 * millisecond))
		Expect(sentTo(balancerA, agent.Tick(due))).To(HaveLen(1))
	})
})

var _ = Describe("Balancer, with endpoints that are not well", func() {
	const endpoints = 12
	var (
		balancer *relay.Balancer
		known    *fleet
		number   int
	)

	BeforeEach(func() {
		balancer, known, number = newBalancer(), newFleet(), 0
		known.configure(directory.WeightedService{Service: service, Weight: 1})
		for each := range endpoints {
			known.endpoint(0, each, nil)
		}
		balancer.Install(0, known.machine.Snapshot())
		balancer.MarkConfirmed(0)
	})

	report := func(now time.Duration, endpoint int, report outlier.Report) []relay.Effect {
		return balancer.Receive(now, agentAddress(endpoint), relay.Message{
			Kind: relay.KindPong, Service: service, Load: relay.Load{Report: report},
		})
	}
	failing := outlier.Report{Outcomes: 10, Failures: 6, Reason: outlier.Failure, HoldMilliseconds: 1000}
	arrive := func(now time.Duration) []relay.Effect {
		number++
		return balancer.HandleClientPacket(now, opening(number, 100))
	}
	// offers counts the offers among effects by the number of the endpoint.
	offers := func(effects []relay.Effect, counts map[int]int) {
		for _, effect := range sent(effects) {
			if effect.Message.Kind == relay.KindOffer {
				counts[int(effect.To.IP[3])]++
			}
		}
	}

	// shareOf returns how much of its even share of 240 flows an endpoint gets.
	shareOf := func(endpoint int) float64 {
		counts := make(map[int]int)
		for range 240 {
			offers(arrive(millisecond), counts)
		}
		return float64(counts[endpoint]) / (240 / endpoints)
	}

	DescribeTable("opens every flow while some endpoint takes it, whichever return everything",
		func(returns func(endpoint int) bool, wasted int) {
			refused, attempts := 0, 0
			for range 300 {
				now := time.Duration(number) * millisecond
				effects := arrive(now)
				for {
					messages := sent(effects)
					if len(messages) == 0 {
						refused++
						break
					}
					attempts++
					to := messages[0].To
					if !returns(int(to.IP[3])) {
						placed(balancer, now, to, number, 100)
						break
					}
					effects = balancer.Receive(now, to, relay.Message{
						Kind: relay.KindReturned, Service: service, Packet: opening(number, 100),
					})
				}
			}
			Expect(refused).To(BeZero())
			Expect(attempts-300).To(BeNumerically("<=", wasted), "an endpoint that returns a flow is not chosen at once again")
		},
		Entry("the first third", func(endpoint int) bool { return endpoint < 4 }, 8),
		Entry("every third", func(endpoint int) bool { return endpoint%3 == 1 }, 8),
		Entry("all but one", func(endpoint int) bool { return endpoint != 7 }, 22),
	)

	It("refuses a flow at once that every endpoint returns", func() {
		effects := arrive(0)
		for range endpoints - 1 {
			to := sent(effects)[0].To
			effects = balancer.Receive(0, to, relay.Message{Kind: relay.KindReturned, Service: service, Packet: opening(number, 100)})
			Expect(resets(effects)).To(BeEmpty())
		}
		to := sent(effects)[0].To
		effects = balancer.Receive(0, to, relay.Message{Kind: relay.KindReturned, Service: service, Packet: opening(number, 100)})
		Expect(resets(effects)).To(HaveLen(1))
		Expect(sent(arrive(millisecond))).To(HaveLen(1), "the next flow is a trial")
	})

	It("gives no new flow to an endpoint that its agent holds back, until that ends", func() {
		report(0, 3, failing)
		counts := make(map[int]int)
		for range 120 {
			offers(arrive(millisecond), counts)
		}
		Expect(counts).To(HaveLen(endpoints - 1))
		Expect(counts).NotTo(HaveKey(3))
		offers(arrive(1001*millisecond), counts)
		Expect(counts).To(HaveKeyWithValue(3, 1))
	})

	It("overrules the agents if most endpoints of a service look bad, and says so", func() {
		for endpoint := range 7 {
			report(0, endpoint, failing)
		}
		insisted := 0
		counts := make(map[int]int)
		for range 120 {
			effects := arrive(millisecond)
			offers(effects, counts)
			if onlyMessage(effects).Message.IgnoreEjection {
				insisted++
			}
		}
		Expect(counts).To(HaveLen(endpoints))
		Expect(insisted).To(Equal(70))
	})

	It("overrules the agents if requests fail by their nature", func() {
		for endpoint := range endpoints {
			report(0, endpoint, outlier.Report{Outcomes: 10, Failures: 2})
		}
		report(0, 3, outlier.Report{Outcomes: 10, Failures: 3, Reason: outlier.Failure, HoldMilliseconds: 1000})
		Expect(shareOf(3)).To(BeNumerically("~", 1, 0.15))
	})

	It("asks no more than three endpoints that are held back if there are no others", func() {
		for endpoint := range endpoints {
			report(0, endpoint, outlier.Report{Reason: outlier.PacketReturned, HoldMilliseconds: 300})
		}
		effects := arrive(millisecond)
		for range 3 {
			message := onlyMessage(effects)
			Expect(message.Message.IgnoreEjection).To(BeFalse())
			effects = balancer.Receive(millisecond, message.To, relay.Message{
				Kind: relay.KindReturned, Service: service, LastResort: true, Packet: opening(number, 100),
				Load: relay.Load{Report: outlier.Report{Reason: outlier.PacketReturned, HoldMilliseconds: 299}},
			})
		}
		lastResort := onlyMessage(effects)
		Expect(lastResort.Message.LastResort).To(BeTrue())
		effects = balancer.Receive(millisecond, lastResort.To, relay.Message{
			Kind: relay.KindReturned, Service: service, Packet: opening(number, 100),
		})
		Expect(resets(effects)).To(HaveLen(1))
	})

	It("does not believe an agent that counts more failures than outcomes", func() {
		effects := report(0, 3, outlier.Report{Outcomes: 3, Failures: 9, Reason: outlier.Failure, HoldMilliseconds: 1000})
		Expect(events(effects)).To(Equal([]relay.EventKind{relay.EventForged}))
		Expect(shareOf(3)).To(BeNumerically("~", 1, 0.15))
	})

	It("holds nothing against another endpoint at the address of one that was ejected", func() {
		report(0, 3, failing)
		known.gone(0, 3)
		known.endpoint(0, endpoints, func(endpoint *directory.Endpoint) {
			endpoint.IP = endpointAddress(3).IP
		})
		balancer.Install(0, known.machine.Snapshot())
		Expect(shareOf(3)).To(BeNumerically("~", 1, 0.15))
	})

	It("does not take the word of an agent of another service for its endpoint", func() {
		balancer.Receive(0, agentAddress(3), relay.Message{
			Kind: relay.KindPong, Service: otherService, Load: relay.Load{Report: failing},
		})
		Expect(shareOf(3)).To(BeNumerically("~", 1, 0.15))
	})
})
