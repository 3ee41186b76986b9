package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Balancer, with a flow whose owner does not answer", func() {
	// asked is when the client's packet comes, and agentAge how long agents have been
	// there then.
	const asked = 20 * time.Second
	request := fromClient(1, segment.Acknowledge, 101, 501, "request")

	var (
		balancer *relay.Balancer
		known    *fleet
		agentAge time.Duration
	)

	install := func() { balancer.Install(asked, known.machine.Snapshot()) }

	BeforeEach(func() {
		balancer = newBalancer()
		known = newFleet()
		known.configure(directory.WeightedService{Service: service, Weight: 1})
		for number := range 3 {
			known.endpoint(0, number, nil)
		}
		known.follow(0)
		install()
		agentAge = asked
	})

	answer := func(kind relay.MessageKind, now time.Duration, number int) []relay.Effect {
		return balancer.Receive(now, agentAddress(number), relay.Message{
			Kind: kind, Service: service, Flow: relay.EncodeFlow(keyOf(1)), Uptime: agentAge,
		})
	}
	// verify lets the client's packet come and the search be verified.
	verify := func() []relay.Effect {
		balancer.HandleClientPacket(asked, request)
		return balancer.Tick(asked + 10*millisecond)
	}
	current := func(through time.Duration) []relay.Effect {
		return balancer.MarkCurrentThrough(asked+12*millisecond, through)
	}
	kindsTo := func(effects []relay.Effect) map[byte]relay.MessageKind {
		kinds := make(map[byte]relay.MessageKind)
		for _, each := range sent(effects) {
			kinds[each.To.IP[3]] = each.Message.Kind
		}
		return kinds
	}

	It("asks all agents for an answer in any case", func() {
		Expect(kindsTo(verify())).To(Equal(map[byte]relay.MessageKind{0: relay.KindVerify, 1: relay.KindVerify, 2: relay.KindVerify}))
	})

	It("asks for a confirmation of the directory once all agents have denied the flow, which costs a call", func() {
		verify()
		Expect(ofKind(answer(relay.KindDenied, asked+11*millisecond, 0), relay.EffectConfirmDirectory)).To(BeEmpty())
		Expect(ofKind(answer(relay.KindDenied, asked+11*millisecond, 1), relay.EffectConfirmDirectory)).To(BeEmpty())
		Expect(ofKind(answer(relay.KindDenied, asked+11*millisecond, 2), relay.EffectConfirmDirectory)).To(HaveLen(1))
	})

	It("asks nobody again if the owner has answered", func() {
		balancer.HandleClientPacket(asked, request)
		answer(relay.KindOwned, asked+millisecond, 1)
		Expect(sent(balancer.Tick(asked + 10*millisecond))).To(BeEmpty())
	})

	It("resets the flow as soon as all have denied it and the directory is confirmed, whichever comes last", func() {
		verify()
		current(asked)
		answer(relay.KindDenied, asked+13*millisecond, 0)
		Expect(resets(answer(relay.KindDenied, asked+13*millisecond, 1))).To(BeEmpty())
		found := resets(answer(relay.KindDenied, asked+13*millisecond, 2))
		Expect(found).To(HaveLen(1))
		Expect(found[0].Sequence).To(Equal(uint32(501)))

		balancer = newBalancer()
		install()
		verify()
		for number := range 3 {
			Expect(resets(answer(relay.KindDenied, asked+11*millisecond, number))).To(BeEmpty())
		}
		Expect(resets(current(asked))).To(HaveLen(1))
	})

	It("resets a further packet of the flow at once, and asks nobody", func() {
		verify()
		current(asked)
		for number := range 3 {
			answer(relay.KindDenied, asked+13*millisecond, number)
		}
		effects := balancer.HandleClientPacket(asked+20*millisecond, request)
		Expect(resets(effects)).To(HaveLen(1))
		Expect(sent(effects)).To(BeEmpty())
	})

	It("resets nothing while the directory is confirmed only for a time before the packet", func() {
		verify()
		for number := range 3 {
			answer(relay.KindDenied, asked+11*millisecond, number)
		}
		Expect(resets(current(asked - millisecond))).To(BeEmpty())
	})

	It("resets nothing if an endpoint that it has just learned of has not denied the flow", func() {
		verify()
		for number := range 3 {
			answer(relay.KindDenied, asked+11*millisecond, number)
		}
		known.endpoint(asked, 3, nil)
		install()
		Expect(resets(current(asked))).To(BeEmpty())
		again := balancer.Tick(asked + 110*millisecond)
		Expect(kindsTo(again)).To(Equal(map[byte]relay.MessageKind{3: relay.KindVerify}), "only that one")
		Expect(resets(answer(relay.KindDenied, asked+111*millisecond, 3))).To(HaveLen(1))
	})

	It("needs the denial of endpoints that are leaving or gone, and of other services", func() {
		known.endpoint(0, 1, func(e *directory.Endpoint) { e.Draining = true })
		known.gone(0, 2)
		known.endpoint(0, 4, func(e *directory.Endpoint) { e.Service = otherService })
		install()
		Expect(kindsTo(verify())).To(HaveLen(4))
		current(asked)
		for number := range 3 {
			Expect(resets(answer(relay.KindDenied, asked+13*millisecond, number))).To(BeEmpty())
		}
		Expect(resets(answer(relay.KindDenied, asked+13*millisecond, 4))).To(HaveLen(1))
	})

	It("resets nothing if agents are older than what it knows of endpoints that have left, however long it waits", func() {
		balancer = newBalancer()
		known.machine = directory.NewReplica()
		known.configure(directory.WeightedService{Service: service, Weight: 1})
		for number := range 3 {
			known.endpoint(asked, number, nil)
		}
		known.follow(asked - time.Second)
		install()
		verify()
		current(asked)
		for number := range 3 {
			Expect(resets(answer(relay.KindDenied, asked+13*millisecond, number))).To(BeEmpty())
		}
		for now := asked + 20*millisecond; now < asked+30*time.Second; now += 200 * millisecond {
			balancer.Tick(now)
			Expect(resets(balancer.MarkCurrentThrough(now, now))).To(BeEmpty())
		}
	})

	It("resets the flow if agents are as young as what it knows, since all were started together", func() {
		known.machine = directory.NewReplica()
		known.configure(directory.WeightedService{Service: service, Weight: 1})
		for number := range 3 {
			known.endpoint(asked, number, nil)
		}
		known.follow(asked - time.Second)
		balancer = newBalancer()
		install()
		agentAge = 2 * time.Second
		verify()
		current(asked)
		answer(relay.KindDenied, asked+13*millisecond, 0)
		answer(relay.KindDenied, asked+13*millisecond, 1)
		Expect(resets(answer(relay.KindDenied, asked+13*millisecond, 2))).To(HaveLen(1))
	})

	It("asks for a confirmation again if the first has failed", func() {
		verify()
		for number := range 3 {
			answer(relay.KindDenied, asked+13*millisecond, number)
		}
		effects := balancer.Tick(asked + 200*millisecond)
		Expect(ofKind(effects, relay.EffectConfirmDirectory)).To(HaveLen(1))
		Expect(sent(effects)).To(BeEmpty(), "all have answered")
		Expect(resets(balancer.MarkCurrentThrough(asked+210*millisecond, asked+200*millisecond))).To(HaveLen(1))
	})

	It("resets nothing if it knows no endpoint, or more than it can ask", func() {
		for _, count := range []int{0, 2100} {
			known = newFleet()
			known.configure(directory.WeightedService{Service: service, Weight: 1})
			for number := range count {
				known.endpoint(0, number, func(e *directory.Endpoint) { e.IP[2] = byte(number >> 8) })
			}
			known.follow(0)
			balancer = newBalancer()
			install()
			verify()
			for number := range count {
				agent := endpointAddress(number)
				agent.IP[2] = byte(number >> 8)
				effects := balancer.Receive(asked+11*millisecond, agent.WithPort(agentPort), relay.Message{
					Kind: relay.KindDenied, Service: service, Flow: relay.EncodeFlow(keyOf(1)), Uptime: agentAge,
				})
				Expect(resets(effects)).To(BeEmpty())
			}
			Expect(resets(current(asked))).To(BeEmpty())
		}
	})

	It("lets all agents that do not know ask their endpoints, once all have answered", func() {
		verify()
		current(asked)
		Expect(sent(answer(relay.KindUncertain, asked+13*millisecond, 0))).To(BeEmpty())
		Expect(sent(answer(relay.KindDenied, asked+13*millisecond, 1))).To(BeEmpty())
		effects := answer(relay.KindUncertain, asked+14*millisecond, 2)
		Expect(kindsTo(effects)).To(Equal(map[byte]relay.MessageKind{0: relay.KindProbe, 2: relay.KindProbe}))
		for _, each := range sent(effects) {
			Expect(each.Message.Packet).To(Equal(request))
			Expect(each.Message.Parameters.Timeout).To(Equal(uint32(2000)), "the agent may know no terms")
		}
		Expect(resets(answer(relay.KindDenied, asked+16*millisecond, 0))).To(BeEmpty())
		Expect(resets(answer(relay.KindDenied, asked+16*millisecond, 2))).To(HaveLen(1))
	})

	It("asks again those that do not answer, for some time, and never resets the flow then", func() {
		verify()
		current(asked)
		answer(relay.KindDenied, asked+13*millisecond, 0)
		answer(relay.KindDenied, asked+13*millisecond, 1)
		rounds := 0
		for now := asked + 20*millisecond; now < asked+10*time.Second; now += 10 * millisecond {
			effects := balancer.Tick(now)
			Expect(resets(effects)).To(BeEmpty())
			rounds += len(sent(effects))
		}
		Expect(rounds).To(And(BeNumerically(">", 5), BeNumerically("<", 30)))
	})
})
