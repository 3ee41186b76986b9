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
	coldRate   = 12.0
	warmupTime = 2 * time.Second
)

// coldStartLimit is the limit of the agents in these specs.
var coldStartLimit = relay.ColdStartLimit{Overrun: 1.5, Slack: 5}

func newColdAgent(startedWithEndpoint bool, limit relay.ColdStartLimit) *relay.Agent {
	return relay.NewAgent(relay.AgentConfig{
		Service: service, Codec: codec, StartedWithEndpoint: startedWithEndpoint, FlowLifetime: flowLifetime, FlowLimit: 100000, ColdStartLimit: limit,
		OutlierDetection: outlier.DefaultConfig(),
	})
}

// coldEndpoint is an agent that gets more flows than its endpoint can serve, with the times at
// which the endpoint was given flows.
type coldEndpoint struct {
	agent      *relay.Agent
	lastNumber int
	// coldStart is what balancers report about the endpoint.
	coldStart   relay.ColdStart
	priority    uint8
	deliveredAt []time.Duration
	// down is set while the endpoint answers nothing. With returnsPackets it returns all packets in
	// that time.
	down           bool
	returnsPackets bool
}

func (c *coldEndpoint) offer(now time.Duration) []relay.Effect {
	c.lastNumber++
	return c.offerCopy(now, c.lastNumber, 0)
}

// offerCopy offers a copy of the opening packet of a client.
func (c *coldEndpoint) offerCopy(now time.Duration, number int, copyNumber uint32) []relay.Effect {
	effects := c.agent.Receive(now, balancerA, relay.Message{
		Kind: relay.KindOffer, Service: service, Parameters: relay.FlowParameters{ColdStart: c.coldStart, Priority: c.priority},
		Packet: clientPacket(number, segment.Synchronize, 100, copyNumber, ""),
	})
	if len(effectsOfKind(effects, relay.EffectSendToEndpoint)) > 0 {
		if c.down && c.returnsPackets {
			packet := clientPacket(number, segment.Synchronize, 100, copyNumber, "")
			codec.MarkReturned(packet)
			return append(effects, c.agent.HandleEndpointPacket(now, packet)...)
		}
		c.deliveredAt = append(c.deliveredAt, now)
		if !c.down {
			c.agent.HandleEndpointPacket(now, endpointPacket(number, segment.Synchronize|segment.Acknowledge, 500, 101, ""))
		}
	}
	return effects
}

// offerContinuously offers a flow in each millisecond of a period.
func (c *coldEndpoint) offerContinuously(from, to time.Duration) {
	for now := from; now < to; now += millisecond {
		c.offer(now)
	}
}

// maxPerSecond returns the largest number of flows given to the endpoint in any second of a period.
func (c *coldEndpoint) maxPerSecond(from, to time.Duration) int {
	most := 0
	for index, first := range c.deliveredAt {
		count := 0
		for _, later := range c.deliveredAt[index:] {
			if first >= from && later <= first+time.Second && later < to {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

var _ = Describe("Agent, with a cold endpoint", func() {
	rate := uint32(coldRate * 1000)
	coldStart := func(remaining time.Duration, revision uint64) relay.ColdStart {
		return relay.ColdStart{
			Rate: rate, WarmupTime: uint32(warmupTime.Milliseconds()), Remaining: uint32(remaining.Milliseconds()), Revision: revision,
		}
	}
	maxAdmitted := int(coldStartLimit.Overrun*coldRate + coldStartLimit.Slack)

	It("admits requests at the rate and never above the limit while the endpoint is cold, and all afterwards", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldStartLimit), coldStart: coldStart(warmupTime, 7)}
		endpoint.offerContinuously(0, time.Second)
		endpoint.coldStart = coldStart(time.Second, 7)
		endpoint.offerContinuously(time.Second, warmupTime)
		Expect(endpoint.maxPerSecond(0, warmupTime)).To(BeNumerically("<=", maxAdmitted))
		Expect(len(endpoint.deliveredAt)).To(BeNumerically("~", 2*coldRate, 3))
		endpoint.coldStart = coldStart(0, 7)
		endpoint.offerContinuously(warmupTime, warmupTime+100*millisecond)
		Expect(len(endpoint.deliveredAt)).To(BeNumerically(">", 100))
	})

	DescribeTable("keeps to the configured limit", func(limit relay.ColdStartLimit, perSecond float64) {
		cold := coldStart(warmupTime, 7)
		cold.Rate = uint32(perSecond * 1000)
		endpoint := &coldEndpoint{agent: newColdAgent(true, limit), coldStart: cold}
		endpoint.offerContinuously(0, warmupTime)
		Expect(endpoint.maxPerSecond(0, warmupTime)).To(BeNumerically("<=", limit.Overrun*perSecond+limit.Slack))
		Expect(len(endpoint.deliveredAt)).To(BeNumerically(">=", perSecond*warmupTime.Seconds()/2))
	},
		Entry("no slack", relay.ColdStartLimit{Overrun: 1}, 8.0),
		Entry("overrun only", relay.ColdStartLimit{Overrun: 1.5}, 20.0),
		Entry("slack only", relay.ColdStartLimit{Overrun: 1, Slack: 3}, 30.0),
	)

	It("keeps to the limit when it is restarted and has no record of what it has admitted", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldStartLimit), coldStart: coldStart(warmupTime, 7)}
		endpoint.offerContinuously(0, 500*millisecond)
		endpoint.agent = newColdAgent(false, coldStartLimit)
		endpoint.coldStart = coldStart(1500*millisecond, 7)
		endpoint.offerContinuously(500*millisecond, warmupTime)
		Expect(endpoint.maxPerSecond(0, warmupTime)).To(BeNumerically("<=", maxAdmitted))
	})

	It("treats its endpoint as cold after its own start until the store entry gives the end of the cold phase", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(false, coldStartLimit), coldStart: coldStart(0, 3)}
		endpoint.offerContinuously(0, time.Second)
		Expect(len(endpoint.deliveredAt)).To(BeNumerically("<=", maxAdmitted))
		endpoint.coldStart = coldStart(500*millisecond, 9)
		endpoint.offerContinuously(time.Second, 1500*millisecond)
		Expect(len(endpoint.deliveredAt)).To(BeNumerically("<=", maxAdmitted+int(coldRate)))
		endpoint.offerContinuously(1501*millisecond, 1600*millisecond)
		Expect(len(endpoint.deliveredAt)).To(BeNumerically(">", 100), "the entry gives the end of the cold phase")
	})

	It("limits the endpoint again when its entry shows a new start", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldStartLimit), coldStart: coldStart(0, 3)}
		endpoint.offerContinuously(0, 100*millisecond)
		Expect(len(endpoint.deliveredAt)).To(Equal(100))
		endpoint.coldStart = coldStart(warmupTime, 8)
		endpoint.offerContinuously(10*time.Second, 11*time.Second)
		Expect(len(endpoint.deliveredAt)).To(BeNumerically("<=", 100+maxAdmitted))
	})

	It("ignores an older entry in which the endpoint is warm, and a later message that extends the same cold phase", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldStartLimit), coldStart: coldStart(warmupTime, 8)}
		endpoint.offer(0)
		endpoint.coldStart = coldStart(0, 3)
		endpoint.offerContinuously(0, time.Second)
		Expect(len(endpoint.deliveredAt)).To(BeNumerically("<=", maxAdmitted))
		endpoint.coldStart = coldStart(warmupTime, 8)
		endpoint.offerContinuously(warmupTime, warmupTime+100*millisecond)
		Expect(len(endpoint.deliveredAt)).To(BeNumerically(">", 100))
	})

	It("limits an endpoint that answers again after a silence, before its entry shows the start", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldStartLimit), coldStart: coldStart(0, 3)}
		endpoint.offerContinuously(0, 10*millisecond)
		endpoint.down = true
		endpoint.offer(time.Second)
		endpoint.down = false
		endpoint.offerContinuously(2*time.Second, 3*time.Second)
		Expect(endpoint.maxPerSecond(2*time.Second, 3*time.Second)).To(BeNumerically("<=", maxAdmitted))
	})

	// Guards against too many flows for an endpoint that crashes before its cold start has ended and
	// whose first write after its next start is late.
	It("limits an endpoint that restarts while cold for a whole cold start, although its entry is that of the start before", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldStartLimit), coldStart: coldStart(warmupTime, 3)}
		endpoint.offer(0)
		endpoint.down = true
		endpoint.coldStart = coldStart(warmupTime-time.Second, 3)
		endpoint.offer(time.Second)
		endpoint.down = false
		endpoint.coldStart = coldStart(warmupTime-1500*millisecond, 3)
		endpoint.offerContinuously(1500*millisecond, 3500*millisecond)
		Expect(endpoint.maxPerSecond(1500*millisecond, 3500*millisecond)).To(BeNumerically("<=", maxAdmitted))
	})

	It("limits an endpoint that has lost a flow", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldStartLimit), coldStart: coldStart(0, 3)}
		endpoint.offer(0)
		request := clientPacket(1, segment.Acknowledge, 101, 501, "request")
		endpoint.agent.Receive(time.Second, balancerA, relay.Message{Kind: relay.KindForward, Service: service, Packet: request})
		codec.MarkReturned(request)
		endpoint.agent.HandleEndpointPacket(time.Second, request)
		endpoint.offerContinuously(time.Second, 2*time.Second)
		Expect(endpoint.maxPerSecond(time.Second, 2*time.Second)).To(BeNumerically("<=", maxAdmitted))
	})

	It("applies the limit to copies of opening packets that a restarted endpoint has not received", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldStartLimit), coldStart: coldStart(0, 3), down: true}
		endpoint.offerContinuously(0, 100*millisecond)
		endpoint.down = false
		endpoint.offerCopy(400*millisecond, 1, 1)
		before := len(endpoint.deliveredAt)
		for number := 2; number <= 100; number++ {
			endpoint.offerCopy(401*millisecond, number, 1)
		}
		Expect(len(endpoint.deliveredAt) - before).To(BeNumerically("<=", maxAdmitted))
	})

	It("prefers the most urgent requests and still admits some others", func() {
		const remaining = 5 * time.Second
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldStartLimit), coldStart: coldStart(remaining, 7)}
		urgent, others := 0, 0
		for now := time.Duration(0); now < remaining; now += millisecond {
			endpoint.priority = uint8(1 + now/millisecond%2)
			before := len(endpoint.deliveredAt)
			endpoint.offer(now)
			delivered := len(endpoint.deliveredAt) - before
			if endpoint.priority == 1 {
				urgent += delivered
			} else {
				others += delivered
			}
		}
		Expect(urgent).To(BeNumerically(">", 2*others))
		Expect(others).To(BeNumerically(">=", 4))
	})

	// crashingEndpoint fails within warmupTime of a start if it was given more than its
	// capacity within a second, and restarts after a second.
	type crashingEndpoint struct {
		coldEndpoint
		capacity int
		started  time.Duration
		failed   time.Duration
		crashes  int
	}
	step := func(endpoint *crashingEndpoint, now time.Duration) {
		recent := 0
		for _, at := range endpoint.deliveredAt {
			if at >= endpoint.started && now-at <= time.Second {
				recent++
			}
		}
		switch {
		case endpoint.down && now-endpoint.failed >= time.Second:
			endpoint.down = false
			endpoint.started = now
		case !endpoint.down && now-endpoint.started < warmupTime && recent > endpoint.capacity:
			endpoint.down = true
			endpoint.failed = now
			endpoint.crashes++
			if endpoint.returnsPackets {
				lost := clientPacket(endpoint.lastNumber, segment.Acknowledge, 101, 501, "request")
				endpoint.agent.Receive(now, balancerA, relay.Message{Kind: relay.KindForward, Service: service, Packet: lost})
				codec.MarkReturned(lost)
				endpoint.agent.HandleEndpointPacket(now, lost)
			}
		}
		endpoint.offer(now)
	}

	DescribeTable("lets an endpoint with no configured rate recover", func(capacity int, returnsPackets bool) {
		endpoint := &crashingEndpoint{capacity: capacity}
		endpoint.returnsPackets = returnsPackets
		endpoint.agent = newColdAgent(false, relay.ColdStartLimit{Overrun: 1})
		for now := time.Duration(0); now < 12*time.Second; now += 5 * millisecond {
			step(endpoint, now)
		}
		Expect(endpoint.down).To(BeFalse())
		Expect(endpoint.crashes).To(BeNumerically("<=", 2))
		Expect(endpoint.maxPerSecond(11*time.Second, 12*time.Second)).To(BeNumerically(">", 100), "all requests are admitted once it stays up")
	},
		Entry("8 a second", 8, false),
		Entry("12 a second", 12, false),
		Entry("30 a second", 30, false),
		Entry("8 a second, returning packets while it is down", 8, true),
		Entry("12 a second, returning packets while it is down", 12, true),
		Entry("30 a second, returning packets while it is down", 30, true),
	)

	It("does not limit an endpoint that fails long after its start", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(false, relay.ColdStartLimit{Overrun: 1})}
		endpoint.offerContinuously(0, 10*millisecond)
		endpoint.offerContinuously(20*time.Second, 20*time.Second+10*millisecond)
		endpoint.down = true
		endpoint.offerContinuously(20*time.Second+10*millisecond, 20*time.Second+50*millisecond)
		endpoint.down = false
		endpoint.offerContinuously(22*time.Second, 22*time.Second+100*millisecond)
		Expect(endpoint.maxPerSecond(22*time.Second, 23*time.Second)).To(Equal(100))
	})

	It("counts the flows lost in one restart as one failure", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, relay.ColdStartLimit{Overrun: 1})}
		endpoint.offerContinuously(0, 10*millisecond)
		for number := 1; number <= 10; number++ {
			request := clientPacket(number, segment.Acknowledge, 101, 501, "request")
			endpoint.agent.Receive(time.Second, balancerA, relay.Message{Kind: relay.KindForward, Service: service, Packet: request})
			codec.MarkReturned(request)
			endpoint.agent.HandleEndpointPacket(time.Second, request)
		}
		endpoint.offerContinuously(time.Second, 1100*millisecond)
		Expect(endpoint.deliveredAt).To(HaveLen(110))
	})

	It("returns excess flows at once and reports how long to wait", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(true, coldStartLimit), coldStart: coldStart(warmupTime, 7)}
		endpoint.offerContinuously(0, 100*millisecond)
		answer := onlyMessage(endpoint.offer(100 * millisecond))
		Expect(answer.Message.Kind).To(Equal(relay.KindReturned))
		Expect(answer.Message.LastResort).To(BeFalse())
		Expect(answer.Message.Load.ColdWait).To(BeNumerically(">", 0))
		Expect(answer.Message.Load.ColdWait).To(BeNumerically("<=", 1000/coldRate+1))
	})

	It("does not limit an endpoint without a rate", func() {
		endpoint := &coldEndpoint{agent: newColdAgent(false, coldStartLimit)}
		endpoint.offerContinuously(0, 100*millisecond)
		Expect(endpoint.deliveredAt).To(HaveLen(100))
	})
})

var _ = Describe("Balancer, with cold endpoints", func() {
	var (
		balancer *relay.Balancer
		builder  *directoryBuilder
	)

	returned := func(now time.Duration, from segment.Address, number int, coldWait uint32) []relay.Effect {
		return balancer.Receive(now, from, relay.Message{
			Kind: relay.KindReturned, Service: service, Load: relay.Load{ColdWait: coldWait}, Packet: openingPacket(number, 100),
		})
	}

	BeforeEach(func() {
		balancer = newBalancer()
		builder = newDirectoryBuilder()
		builder.configure(directory.WeightedService{Service: service, Weight: 1})
		builder.version++
		builder.revision++
		builder.replica.ApplyChanges(0, []directory.Item{{Revision: builder.revision, Configuration: &directory.Configuration{
			Version: builder.version,
			Routes: []directory.Route{{
				IP: routeAddress.IP, Port: routeAddress.Port, WeightedServices: []directory.WeightedService{{Service: service, Weight: 1}},
			}},
			ColdStarts: []directory.ColdStart{{Service: service, Duration: warmupTime, RequestsPerSecond: coldRate}},
		}}}, builder.revision)
		for number := range 2 {
			builder.putEndpoint(0, number, func(e *directory.Endpoint) { e.ColdRemaining = warmupTime })
		}
		balancer.Install(0, builder.replica.Snapshot())
	})

	It("reports to agents the rate of a cold endpoint, the remaining time and the revision of its entry", func() {
		offer := onlyMessage(balancer.HandleClientPacket(500*millisecond, openingPacket(1, 100)))
		Expect(offer.Message.Parameters.ColdStart.Rate).To(Equal(uint32(12000)))
		Expect(offer.Message.Parameters.ColdStart.WarmupTime).To(Equal(uint32(2000)))
		Expect(offer.Message.Parameters.ColdStart.Remaining).To(Equal(uint32(1500)))
		Expect(offer.Message.Parameters.ColdStart.Revision).To(BeNumerically(">", 0))
	})

	It("offers a returned flow to another endpoint, and resets it at once if all are waiting", func() {
		first := onlyMessage(balancer.HandleClientPacket(0, openingPacket(1, 100)))
		second := onlyMessage(returned(millisecond, first.To, 1, 80))
		Expect(second.To).NotTo(Equal(first.To))
		refused := returned(2*millisecond, second.To, 1, 50)
		Expect(sentMessages(refused)).To(BeEmpty())
		Expect(resetHeaders(refused)).To(HaveLen(1))
		Expect(effectsOfKind(refused, relay.EffectEvent)[0].Event.Reason).To(Equal("cold"))
		Expect(resetHeaders(balancer.HandleClientPacket(3*millisecond, openingPacket(2, 100)))).To(HaveLen(1))
	})

	It("offers flows again once the wait of an endpoint is over", func() {
		first := onlyMessage(balancer.HandleClientPacket(0, openingPacket(1, 100)))
		second := onlyMessage(returned(millisecond, first.To, 1, 80))
		returned(2*millisecond, second.To, 1, 50)
		Expect(onlyMessage(balancer.HandleClientPacket(60*millisecond, openingPacket(3, 100))).To).To(Equal(second.To))
	})

	It("treats the endpoints of a reopened zone as cold before their entries show it", func() {
		for number := range 2 {
			builder.putEndpoint(0, number, inZone(otherZone))
		}
		builder.setZone(time.Second, otherZone, true)
		builder.setZone(5*time.Second, otherZone, false)
		balancer.Install(5*time.Second, builder.replica.Snapshot())
		offer := onlyMessage(balancer.HandleClientPacket(5*time.Second, openingPacket(1, 100)))
		Expect(offer.Message.Parameters.ColdStart.Remaining).To(Equal(uint32(2000)))
		Expect(offer.Message.Parameters.ColdStart.Revision).To(Equal(uint64(builder.revision)))
	})
})
