package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	coldRate  = 12.0
	coldLasts = 2 * time.Second
)

// coldBound is what the agents of the specs may exceed the rate by.
var coldBound = relay.ColdStartLimit{Overrun: 1.5, Slack: 5}

func newColdAgent(complete bool, bound relay.ColdStartLimit) *relay.Agent {
	return relay.NewAgent(relay.AgentConfig{
		Service: service, Codec: codec, StartedWithEndpoint: complete, FlowLifetime: flowLifetime, FlowLimit: 100000, ColdStartLimit: bound,
		OutlierLimits: outlier.DefaultConfig(),
	})
}

// coldEndpoint is an agent under more flows than its endpoint carries, and what the
// endpoint got.
type coldEndpoint struct {
	agent  *relay.Agent
	number int
	// told is what balancers tell of the endpoint.
	told     relay.ColdStart
	priority uint8
	got      []time.Duration
	// down is set while the endpoint answers nothing or, with bounces, takes nothing.
	down    bool
	bounces bool
}

func (c *coldEndpoint) offer(now time.Duration) []relay.Effect {
	c.number++
	return c.deliver(now, c.number, 0)
}

// deliver offers a copy of the opening packet with a number.
func (c *coldEndpoint) deliver(now time.Duration, number int, copied uint32) []relay.Effect {
	effects := c.agent.Receive(now, balancerA, relay.Message{
		Kind: relay.KindOffer, Service: service, Parameters: relay.FlowParameters{ColdStart: c.told, Priority: c.priority},
		Packet: fromClient(number, segment.Synchronize, 100, copied, ""),
	})
	if len(ofKind(effects, relay.EffectSendToEndpoint)) > 0 {
		if c.down && c.bounces {
			packet := fromClient(number, segment.Synchronize, 100, copied, "")
			codec.MarkReturned(packet)
			return append(effects, c.agent.HandleEndpointPacket(now, packet)...)
		}
		c.got = append(c.got, now)
		if !c.down {
			c.agent.HandleEndpointPacket(now, fromEndpoint(number, segment.Synchronize|segment.Acknowledge, 500, 101, ""))
		}
	}
	return effects
}

// press offers a flow in each millisecond of a time.
func (c *coldEndpoint) press(from, to time.Duration) {
	for now := from; now < to; now += millisecond {
		c.offer(now)
	}
}

// most returns the largest number of flows that the endpoint got in any second of a time.
func (c *coldEndpoint) most(from, to time.Duration) int {
	most := 0
	for index, first := range c.got {
		count := 0
		for _, later := range c.got[index:] {
			if first >= from && later <= first+time.Second && later < to {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

var _ = Describe("Agent, beside a cold endpoint", func() {
	rate := uint32(coldRate * 1000)
	told := func(remains time.Duration, revision uint64) relay.ColdStart {
		return relay.ColdStart{
			Rate: rate, WarmupTime: uint32(coldLasts.Milliseconds()), Remaining: uint32(remains.Milliseconds()), Revision: revision,
		}
	}
	allowed := int(coldBound.Overrun*coldRate + coldBound.Slack)

	It("gives it its rate in the long run and never more than the bound, then all", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldBound), told: told(coldLasts, 7)}
		endpoint.press(0, time.Second)
		endpoint.told = told(time.Second, 7)
		endpoint.press(time.Second, coldLasts)
		Expect(endpoint.most(0, coldLasts)).To(BeNumerically("<=", allowed))
		Expect(len(endpoint.got)).To(BeNumerically("~", 2*coldRate, 3))
		endpoint.told = told(0, 7)
		endpoint.press(coldLasts, coldLasts+100*millisecond)
		Expect(len(endpoint.got)).To(BeNumerically(">", 100))
	})

	DescribeTable("keeps to other bounds", func(bound relay.ColdStartLimit, perSecond float64) {
		cold := told(coldLasts, 7)
		cold.Rate = uint32(perSecond * 1000)
		endpoint := &coldEndpoint{agent: newColdAgent(true, bound), told: cold}
		endpoint.press(0, coldLasts)
		Expect(endpoint.most(0, coldLasts)).To(BeNumerically("<=", bound.Overrun*perSecond+bound.Slack))
		Expect(len(endpoint.got)).To(BeNumerically(">=", perSecond*coldLasts.Seconds()/2))
	},
		Entry("no slack", relay.ColdStartLimit{Overrun: 1}, 8.0),
		Entry("a factor only", relay.ColdStartLimit{Overrun: 1.5}, 20.0),
		Entry("slack only", relay.ColdStartLimit{Overrun: 1, Slack: 3}, 30.0),
	)

	It("keeps to the bound though it is restarted itself and does not know what it let through", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldBound), told: told(coldLasts, 7)}
		endpoint.press(0, 500*millisecond)
		endpoint.agent = newColdAgent(false, coldBound)
		endpoint.told = told(1500*millisecond, 7)
		endpoint.press(500*millisecond, coldLasts)
		Expect(endpoint.most(0, coldLasts)).To(BeNumerically("<=", allowed))
	})

	It("takes its endpoint for cold after its own start, until it is told of a start that was", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(false, coldBound), told: told(0, 3)}
		endpoint.press(0, time.Second)
		Expect(len(endpoint.got)).To(BeNumerically("<=", allowed))
		endpoint.told = told(500*millisecond, 9)
		endpoint.press(time.Second, 1500*millisecond)
		Expect(len(endpoint.got)).To(BeNumerically("<=", allowed+int(coldRate)))
		endpoint.press(1501*millisecond, 1600*millisecond)
		Expect(len(endpoint.got)).To(BeNumerically(">", 100), "the entry tells when it is warm")
	})

	It("limits it again when it becomes cold again, as its entry tells", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldBound), told: told(0, 3)}
		endpoint.press(0, 100*millisecond)
		Expect(len(endpoint.got)).To(Equal(100))
		endpoint.told = told(coldLasts, 8)
		endpoint.press(10*time.Second, 11*time.Second)
		Expect(len(endpoint.got)).To(BeNumerically("<=", 100+allowed))
	})

	It("does not believe an older entry that says it is warm, nor a later word of the same for longer", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldBound), told: told(coldLasts, 8)}
		endpoint.offer(0)
		endpoint.told = told(0, 3)
		endpoint.press(0, time.Second)
		Expect(len(endpoint.got)).To(BeNumerically("<=", allowed))
		endpoint.told = told(coldLasts, 8)
		endpoint.press(coldLasts, coldLasts+100*millisecond)
		Expect(len(endpoint.got)).To(BeNumerically(">", 100))
	})

	It("limits an endpoint that answers again after a silence, before its entry tells of the start", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldBound), told: told(0, 3)}
		endpoint.press(0, 10*millisecond)
		endpoint.down = true
		endpoint.offer(time.Second)
		endpoint.down = false
		endpoint.press(2*time.Second, 3*time.Second)
		Expect(endpoint.most(2*time.Second, 3*time.Second)).To(BeNumerically("<=", allowed))
	})

	It("limits an endpoint that no longer knows a flow that it held", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldBound), told: told(0, 3)}
		endpoint.offer(0)
		request := fromClient(1, segment.Acknowledge, 101, 501, "request")
		endpoint.agent.Receive(time.Second, balancerA, relay.Message{Kind: relay.KindForward, Service: service, Packet: request})
		codec.MarkReturned(request)
		endpoint.agent.HandleEndpointPacket(time.Second, request)
		endpoint.press(time.Second, 2*time.Second)
		Expect(endpoint.most(time.Second, 2*time.Second)).To(BeNumerically("<=", allowed))
	})

	It("counts the copies of opening packets that a restarted endpoint has not seen", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldBound), told: told(0, 3), down: true}
		endpoint.press(0, 100*millisecond)
		endpoint.down = false
		endpoint.deliver(400*millisecond, 1, 1)
		before := len(endpoint.got)
		for number := 2; number <= 100; number++ {
			endpoint.deliver(401*millisecond, number, 1)
		}
		Expect(len(endpoint.got) - before).To(BeNumerically("<=", allowed))
	})

	It("gives the most urgent first, and the others something", func() {
		const lasts = 5 * time.Second
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldBound), told: told(lasts, 7)}
		urgent, others := 0, 0
		for now := time.Duration(0); now < lasts; now += millisecond {
			endpoint.priority = uint8(1 + now/millisecond%2)
			before := len(endpoint.got)
			endpoint.offer(now)
			taken := len(endpoint.got) - before
			if endpoint.priority == 1 {
				urgent += taken
			} else {
				others += taken
			}
		}
		Expect(urgent).To(BeNumerically(">", 2*others))
		Expect(others).To(BeNumerically(">=", 4))
	})

	// relapsing is an endpoint that fails half a second after each start, for as long as it
	// gets more than it carries a second, and is away for a second.
	type relapsing struct {
		coldEndpoint
		carries int
		started time.Duration
		failed  time.Duration
		falls   int
	}
	step := func(endpoint *relapsing, now time.Duration) {
		recent := 0
		for _, at := range endpoint.got {
			if at >= endpoint.started && now-at <= time.Second {
				recent++
			}
		}
		switch {
		case endpoint.down && now-endpoint.failed >= time.Second:
			endpoint.down = false
			endpoint.started = now
		case !endpoint.down && now-endpoint.started < coldLasts && recent > endpoint.carries:
			endpoint.down = true
			endpoint.failed = now
			endpoint.falls++
			if endpoint.bounces {
				lost := fromClient(endpoint.number, segment.Acknowledge, 101, 501, "request")
				endpoint.agent.Receive(now, balancerA, relay.Message{Kind: relay.KindForward, Service: service, Packet: lost})
				codec.MarkReturned(lost)
				endpoint.agent.HandleEndpointPacket(now, lost)
			}
		}
		endpoint.offer(now)
	}

	DescribeTable("lets an endpoint recover whose rate nobody has told", func(carries int, bounces bool) {
		endpoint := &relapsing{carries: carries}
		endpoint.bounces = bounces
		endpoint.agent = newColdAgent(false, relay.ColdStartLimit{Overrun: 1})
		for now := time.Duration(0); now < 12*time.Second; now += 5 * millisecond {
			step(endpoint, now)
		}
		Expect(endpoint.down).To(BeFalse())
		Expect(endpoint.falls).To(BeNumerically("<=", 2))
		Expect(endpoint.most(11*time.Second, 12*time.Second)).To(BeNumerically(">", 100), "it gets all once it holds")
	},
		Entry("8 a second", 8, false),
		Entry("12 a second", 12, false),
		Entry("30 a second", 30, false),
		Entry("8 a second, which returns what comes while it is down", 8, true),
		Entry("12 a second, which returns what comes while it is down", 12, true),
		Entry("30 a second, which returns what comes while it is down", 30, true),
	)

	It("does not bound an endpoint that fails long after its start", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(false, relay.ColdStartLimit{Overrun: 1})}
		endpoint.press(0, 10*millisecond)
		endpoint.press(20*time.Second, 20*time.Second+10*millisecond)
		endpoint.down = true
		endpoint.press(20*time.Second+10*millisecond, 20*time.Second+50*millisecond)
		endpoint.down = false
		endpoint.press(22*time.Second, 22*time.Second+100*millisecond)
		Expect(endpoint.most(22*time.Second, 23*time.Second)).To(Equal(100))
	})

	It("takes the flows that one restart has lost for one", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, relay.ColdStartLimit{Overrun: 1})}
		endpoint.press(0, 10*millisecond)
		for number := 1; number <= 10; number++ {
			request := fromClient(number, segment.Acknowledge, 101, 501, "request")
			endpoint.agent.Receive(time.Second, balancerA, relay.Message{Kind: relay.KindForward, Service: service, Packet: request})
			codec.MarkReturned(request)
			endpoint.agent.HandleEndpointPacket(time.Second, request)
		}
		endpoint.press(time.Second, 1100*millisecond)
		Expect(endpoint.got).To(HaveLen(110))
	})

	It("returns what is too much at once and tells for how long", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldBound), told: told(coldLasts, 7)}
		endpoint.press(0, 100*millisecond)
		answer := onlyMessage(endpoint.offer(100 * millisecond))
		Expect(answer.Message.Kind).To(Equal(relay.KindReturned))
		Expect(answer.Message.LastResort).To(BeFalse())
		Expect(answer.Message.Load.ColdWait).To(BeNumerically(">", 0))
		Expect(answer.Message.Load.ColdWait).To(BeNumerically("<=", 1000/coldRate+1))
	})

	It("limits nothing where there is no rate", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(false, coldBound)}
		endpoint.press(0, 100*millisecond)
		Expect(endpoint.got).To(HaveLen(100))
	})
})

var _ = Describe("Balancer, with cold endpoints", func() {
	var (
		balancer *relay.Balancer
		known    *fleet
	)

	returned := func(now time.Duration, from segment.Address, number int, hold uint32) []relay.Effect {
		return balancer.Receive(now, from, relay.Message{
			Kind: relay.KindReturned, Service: service, Load: relay.Load{ColdWait: hold}, Packet: opening(number, 100),
		})
	}

	BeforeEach(func() {
		balancer = newBalancer()
		known = newFleet()
		known.configure(directory.WeightedService{Service: service, Weight: 1})
		known.version++
		known.revision++
		known.machine.ApplyChanges(0, []directory.Item{{Revision: known.revision, Configuration: &directory.Configuration{
			Version: known.version,
			Routes: []directory.Route{{
				IP: routeAddress.IP, Port: routeAddress.Port, WeightedServices: []directory.WeightedService{{Service: service, Weight: 1}},
			}},
			ColdStarts: []directory.ColdStart{{Service: service, Duration: coldLasts, RequestsPerSecond: coldRate}},
		}}}, known.revision)
		for number := range 2 {
			known.endpoint(0, number, func(e *directory.Endpoint) { e.ColdRemaining = coldLasts })
		}
		balancer.Install(0, known.machine.Snapshot())
	})

	It("tells agents what their endpoints carry, for how long, and when that was announced", func() {
		offer := onlyMessage(balancer.HandleClientPacket(500*millisecond, opening(1, 100)))
		Expect(offer.Message.Parameters.ColdStart.Rate).To(Equal(uint32(12000)))
		Expect(offer.Message.Parameters.ColdStart.WarmupTime).To(Equal(uint32(2000)))
		Expect(offer.Message.Parameters.ColdStart.Remaining).To(Equal(uint32(1500)))
		Expect(offer.Message.Parameters.ColdStart.Revision).To(BeNumerically(">", 0))
	})

	It("offers a returned flow to another, and refuses at once what none takes for now", func() {
		first := onlyMessage(balancer.HandleClientPacket(0, opening(1, 100)))
		second := onlyMessage(returned(millisecond, first.To, 1, 80))
		Expect(second.To).NotTo(Equal(first.To))
		refused := returned(2*millisecond, second.To, 1, 50)
		Expect(sent(refused)).To(BeEmpty())
		Expect(resets(refused)).To(HaveLen(1))
		Expect(ofKind(refused, relay.EffectEvent)[0].Event.Reason).To(Equal("cold"))
		Expect(resets(balancer.HandleClientPacket(3*millisecond, opening(2, 100)))).To(HaveLen(1))
	})

	It("offers flows again once an endpoint takes another", func() {
		first := onlyMessage(balancer.HandleClientPacket(0, opening(1, 100)))
		second := onlyMessage(returned(millisecond, first.To, 1, 80))
		returned(2*millisecond, second.To, 1, 50)
		Expect(onlyMessage(balancer.HandleClientPacket(60*millisecond, opening(3, 100))).To).To(Equal(second.To))
	})

	It("takes the endpoints of a zone that was opened again for cold before they say so", func() {
		for number := range 2 {
			known.endpoint(0, number, inZone(otherZone))
		}
		known.zone(time.Second, otherZone, true)
		known.zone(5*time.Second, otherZone, false)
		balancer.Install(5*time.Second, known.machine.Snapshot())
		offer := onlyMessage(balancer.HandleClientPacket(5*time.Second, opening(1, 100)))
		Expect(offer.Message.Parameters.ColdStart.Remaining).To(Equal(uint32(2000)))
		Expect(offer.Message.Parameters.ColdStart.Revision).To(Equal(uint64(known.revision)))
	})
})
