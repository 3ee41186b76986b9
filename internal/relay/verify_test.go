package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Balancer, with a flow whose owner does not reply", func() {
	// start is when the client's packet arrives.
	const start = 70 * time.Second
	request := clientPacket(1, segment.Acknowledge, 101, 501, "request")

	var (
		balancer *relay.Balancer
		builder  *directoryBuilder
	)

	install := func() { balancer.Install(start, builder.replica.Snapshot()) }

	BeforeEach(func() {
		balancer = newBalancer()
		builder = newDirectoryBuilder()
		builder.configure(directory.WeightedService{Service: service, Weight: 1})
		for number := range 3 {
			builder.putEndpoint(0, number, nil)
		}
		builder.setSince(0)
		install()
	})

	answer := func(kind relay.MessageKind, now time.Duration, number int) []relay.Effect {
		return balancer.Receive(now, agentAddress(number), relay.Message{
			Kind: kind, Service: service, Flow: relay.EncodeFlow(flowKey(1)),
		})
	}
	// startVerification handles the client's packet and runs the first verification of the search.
	startVerification := func() []relay.Effect {
		balancer.HandleClientPacket(start, request)
		return balancer.Tick(start + 10*millisecond)
	}
	confirmThrough := func(through time.Duration) []relay.Effect {
		return balancer.MarkCurrentThrough(start+12*millisecond, through)
	}
	kindsByEndpoint := func(effects []relay.Effect) map[byte]relay.MessageKind {
		kinds := make(map[byte]relay.MessageKind)
		for _, each := range sentMessages(effects) {
			kinds[each.To.IP[3]] = each.Message.Kind
		}
		return kinds
	}

	It("asks all agents to own or deny the flow", func() {
		Expect(kindsByEndpoint(startVerification())).To(Equal(map[byte]relay.MessageKind{0: relay.KindVerify, 1: relay.KindVerify, 2: relay.KindVerify}))
	})

	It("requests a confirmation of the directory only once all agents have denied the flow, since it costs a call to the store", func() {
		startVerification()
		Expect(effectsOfKind(answer(relay.KindDenied, start+11*millisecond, 0), relay.EffectConfirmDirectory)).To(BeEmpty())
		Expect(effectsOfKind(answer(relay.KindDenied, start+11*millisecond, 1), relay.EffectConfirmDirectory)).To(BeEmpty())
		Expect(effectsOfKind(answer(relay.KindDenied, start+11*millisecond, 2), relay.EffectConfirmDirectory)).To(HaveLen(1))
	})

	It("asks no agent again if the owner has replied", func() {
		balancer.HandleClientPacket(start, request)
		answer(relay.KindOwned, start+millisecond, 1)
		Expect(sentMessages(balancer.Tick(start + 10*millisecond))).To(BeEmpty())
	})

	It("resets the flow once all agents have denied it and the directory is confirmed, in either order", func() {
		startVerification()
		confirmThrough(start)
		answer(relay.KindDenied, start+13*millisecond, 0)
		Expect(resetHeaders(answer(relay.KindDenied, start+13*millisecond, 1))).To(BeEmpty())
		found := resetHeaders(answer(relay.KindDenied, start+13*millisecond, 2))
		Expect(found).To(HaveLen(1))
		Expect(found[0].Sequence).To(Equal(uint32(501)))

		balancer = newBalancer()
		install()
		startVerification()
		for number := range 3 {
			Expect(resetHeaders(answer(relay.KindDenied, start+11*millisecond, number))).To(BeEmpty())
		}
		Expect(resetHeaders(confirmThrough(start))).To(HaveLen(1))
	})

	It("resets the flow again for a further packet without asking any agent", func() {
		startVerification()
		confirmThrough(start)
		for number := range 3 {
			answer(relay.KindDenied, start+13*millisecond, number)
		}
		effects := balancer.HandleClientPacket(start+20*millisecond, request)
		Expect(resetHeaders(effects)).To(HaveLen(1))
		Expect(sentMessages(effects)).To(BeEmpty())
	})

	It("does not reset the flow if the directory is confirmed only for a time before the packet", func() {
		startVerification()
		for number := range 3 {
			answer(relay.KindDenied, start+11*millisecond, number)
		}
		Expect(resetHeaders(confirmThrough(start - millisecond))).To(BeEmpty())
	})

	It("does not reset the flow until an endpoint that was just added has denied it", func() {
		startVerification()
		for number := range 3 {
			answer(relay.KindDenied, start+11*millisecond, number)
		}
		builder.putEndpoint(start, 3, nil)
		install()
		Expect(resetHeaders(confirmThrough(start))).To(BeEmpty())
		again := balancer.Tick(start + 110*millisecond)
		Expect(kindsByEndpoint(again)).To(Equal(map[byte]relay.MessageKind{3: relay.KindVerify}), "only the added endpoint is asked")
		Expect(resetHeaders(answer(relay.KindDenied, start+111*millisecond, 3))).To(HaveLen(1))
	})

	It("requires denials from endpoints that are leaving or gone, and from those of other services", func() {
		builder.putEndpoint(0, 1, func(e *directory.Endpoint) { e.Draining = true })
		builder.remove(0, 2)
		builder.putEndpoint(0, 4, func(e *directory.Endpoint) { e.Service = otherService })
		install()
		Expect(kindsByEndpoint(startVerification())).To(HaveLen(4))
		confirmThrough(start)
		for number := range 3 {
			Expect(resetHeaders(answer(relay.KindDenied, start+13*millisecond, number))).To(BeEmpty())
		}
		Expect(resetHeaders(answer(relay.KindDenied, start+13*millisecond, 4))).To(HaveLen(1))
	})

	// installRecent installs a directory that knows departures only since the given time, like that of
	// a balancer that has listed the store at that time.
	installRecent := func(since time.Duration) {
		balancer = newBalancer()
		builder.replica = directory.NewReplica()
		builder.configure(directory.WeightedService{Service: service, Weight: 1})
		for number := range 3 {
			builder.putEndpoint(start, number, nil)
		}
		builder.setSince(since)
		install()
	}

	// Guards against a reset of open flows of an endpoint that had left before all processes were
	// killed, and that serves on.
	It("does not reset the flow while an endpoint may have left before the directory's history, however long it waits", func() {
		installRecent(start - time.Second)
		startVerification()
		confirmThrough(start)
		for number := range 3 {
			Expect(resetHeaders(answer(relay.KindDenied, start+13*millisecond, number))).To(BeEmpty())
		}
		for now := start + 20*millisecond; now < start+30*time.Second; now += 200 * millisecond {
			balancer.Tick(now)
			Expect(resetHeaders(balancer.MarkCurrentThrough(now, now))).To(BeEmpty())
		}
	})

	It("resets the flow only if the history spans the lifetime of a flow", func() {
		for _, each := range []struct {
			since  time.Duration
			resets int
		}{{start - time.Minute + 14*millisecond, 0}, {start - time.Minute, 1}} {
			installRecent(each.since)
			startVerification()
			confirmThrough(start)
			answer(relay.KindDenied, start+13*millisecond, 0)
			answer(relay.KindDenied, start+13*millisecond, 1)
			Expect(resetHeaders(answer(relay.KindDenied, start+13*millisecond, 2))).To(HaveLen(each.resets))
		}
	})

	It("requests another confirmation if the first has failed", func() {
		startVerification()
		for number := range 3 {
			answer(relay.KindDenied, start+13*millisecond, number)
		}
		effects := balancer.Tick(start + 200*millisecond)
		Expect(effectsOfKind(effects, relay.EffectConfirmDirectory)).To(HaveLen(1))
		Expect(sentMessages(effects)).To(BeEmpty(), "all agents have replied")
		Expect(resetHeaders(balancer.MarkCurrentThrough(start+210*millisecond, start+200*millisecond))).To(HaveLen(1))
	})

	It("does not reset the flow if it lists no endpoint, or more endpoints than it can ask", func() {
		for _, count := range []int{0, 2100} {
			builder = newDirectoryBuilder()
			builder.configure(directory.WeightedService{Service: service, Weight: 1})
			for number := range count {
				builder.putEndpoint(0, number, func(e *directory.Endpoint) { e.IP[2] = byte(number >> 8) })
			}
			builder.setSince(0)
			balancer = newBalancer()
			install()
			startVerification()
			for number := range count {
				agent := endpointAddress(number)
				agent.IP[2] = byte(number >> 8)
				effects := balancer.Receive(start+11*millisecond, agent.WithPort(agentPort), relay.Message{
					Kind: relay.KindDenied, Service: service, Flow: relay.EncodeFlow(flowKey(1)),
				})
				Expect(resetHeaders(effects)).To(BeEmpty())
			}
			Expect(resetHeaders(confirmThrough(start))).To(BeEmpty())
		}
	})

	It("probes all uncertain agents once all agents have replied", func() {
		startVerification()
		confirmThrough(start)
		Expect(sentMessages(answer(relay.KindUncertain, start+13*millisecond, 0))).To(BeEmpty())
		Expect(sentMessages(answer(relay.KindDenied, start+13*millisecond, 1))).To(BeEmpty())
		effects := answer(relay.KindUncertain, start+14*millisecond, 2)
		Expect(kindsByEndpoint(effects)).To(Equal(map[byte]relay.MessageKind{0: relay.KindProbe, 2: relay.KindProbe}))
		for _, each := range sentMessages(effects) {
			Expect(each.Message.Packet).To(Equal(request))
			Expect(each.Message.Parameters.Timeout).To(Equal(uint32(2000)), "the agent may not have the parameters")
		}
		Expect(resetHeaders(answer(relay.KindDenied, start+16*millisecond, 0))).To(BeEmpty())
		Expect(resetHeaders(answer(relay.KindDenied, start+16*millisecond, 2))).To(HaveLen(1))
	})

	It("asks unresponsive agents again for some time, and does not reset the flow", func() {
		startVerification()
		confirmThrough(start)
		answer(relay.KindDenied, start+13*millisecond, 0)
		answer(relay.KindDenied, start+13*millisecond, 1)
		rounds := 0
		for now := start + 20*millisecond; now < start+10*time.Second; now += 10 * millisecond {
			effects := balancer.Tick(now)
			Expect(resetHeaders(effects)).To(BeEmpty())
			rounds += len(sentMessages(effects))
		}
		Expect(rounds).To(And(BeNumerically(">", 5), BeNumerically("<", 30)))
	})
})
