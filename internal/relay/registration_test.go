package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const peerPort = 7000

var _ = Describe("Agent with seeds", func() {
	var agent *relay.Agent

	BeforeEach(func() {
		agent = newAgent(false)
		agent.SetSeeds([]segment.Address{balancerA})
	})

	registrations := func(now time.Duration) []relay.Effect {
		effects := sentMessages(agent.Tick(now))
		for _, each := range effects {
			Expect(each.Message.Kind).To(Equal(relay.KindRegister))
			Expect(each.Message.Service).To(Equal(service))
		}
		return effects
	}
	confirm := func(now time.Duration) {
		Expect(agent.Receive(now, balancerA, relay.Message{Kind: relay.KindRegistered, Service: service})).To(BeEmpty())
	}
	verify := func(now time.Duration) relay.Message {
		return onlyMessage(agent.Receive(now, balancerB, relay.Message{Kind: relay.KindVerify, Service: service, Flow: relay.EncodeFlow(flowKey(1))})).Message
	}

	It("registers at its start and repeats that less and less often until a balancer confirms", func() {
		var sent []time.Duration
		for now := time.Duration(0); now < 10*time.Second; now += 10 * millisecond {
			for _, each := range registrations(now) {
				Expect(each.To).To(Equal(balancerA))
				sent = append(sent, now)
			}
		}
		Expect(sent).To(Equal([]time.Duration{
			0, 50 * millisecond, 150 * millisecond, 350 * millisecond, 750 * millisecond, 1550 * millisecond,
			3150 * millisecond, 5150 * millisecond, 7150 * millisecond, 9150 * millisecond,
		}))
		Expect(agent.NextTick(10 * time.Second)).To(BeNumerically("<=", 12*time.Second))
	})

	It("registers again every two seconds, for balancers that have started since", func() {
		registrations(0)
		confirm(millisecond)
		Expect(registrations(1900 * millisecond)).To(BeEmpty())
		Expect(registrations(2001 * millisecond)).To(HaveLen(1))
	})

	It("registers with balancers that it knows if its seeds are down", func() {
		verify(0)
		receivers := make(map[segment.Address]bool)
		for now := time.Duration(0); now < 30*time.Second; now += 100 * millisecond {
			for _, each := range registrations(now) {
				receivers[each.To] = true
			}
		}
		Expect(receivers).To(Equal(map[segment.Address]bool{balancerA: true, balancerB: true}))
	})

	It("reports in its replies that it is registered once a balancer has confirmed it", func() {
		registrations(0)
		Expect(verify(0).Registered).To(BeFalse())
		confirm(millisecond)
		Expect(verify(2 * millisecond).Registered).To(BeTrue())
	})

	It("does not register without seeds", func() {
		agent.SetSeeds(nil)
		verify(0)
		Expect(sentMessages(agent.Tick(time.Second))).To(BeEmpty())
	})

	It("reports a survey as registered only if all agents that replied are", func() {
		for _, registered := range []bool{true, false} {
			agent.Receive(0, balancerA, relay.Message{
				Kind: relay.KindSurvey, Service: service, Flow: relay.EncodeFlow(flowKey(1)), Sequence: 5, Targets: agentGroup(1, 2),
			})
			reply := relay.Message{Kind: relay.KindDenied, Service: service, Flow: relay.EncodeFlow(flowKey(1)), Registered: true}
			agent.Receive(0, agentAddress(1), reply)
			reply.Registered = registered
			Expect(onlyMessage(agent.Receive(0, agentAddress(2), reply)).Message.Registered).To(Equal(registered))
		}
	})
})

var _ = Describe("Balancer, with an agent whose endpoint is not in the directory", func() {
	// start is soon after all processes have started again. Endpoint 9 had left before.
	const (
		start  = time.Second
		former = 9
	)
	request := clientPacket(1, segment.Acknowledge, 101, 501, "request")

	var (
		balancer *relay.Balancer
		builder  *directoryBuilder
	)

	register := func(now time.Duration, number int) []relay.Effect {
		return balancer.Receive(now, agentAddress(number), relay.Message{Kind: relay.KindRegister, Service: service})
	}
	passOn := func(now time.Duration, from, agent segment.Address) []relay.Effect {
		return balancer.Receive(now, from, relay.Message{Kind: relay.KindRegister, Service: service, ReplyTo: relay.EncodeAddress(agent)})
	}
	reply := func(now time.Duration, number int, kind relay.MessageKind, registered bool) []relay.Effect {
		return balancer.Receive(now, agentAddress(number), relay.Message{
			Kind: kind, Service: service, Flow: relay.EncodeFlow(flowKey(1)), Registered: registered,
		})
	}
	// asked returns the numbers of the endpoints whose agents get a message of a kind.
	asked := func(effects []relay.Effect, kind relay.MessageKind) []int {
		var numbers []int
		for _, each := range sentMessages(effects) {
			if each.Message.Kind == kind {
				numbers = append(numbers, int(each.To.IP[3]))
			}
		}
		return numbers
	}

	BeforeEach(func() {
		builder = newDirectoryBuilder()
		builder.configure(directory.WeightedService{Service: service, Weight: 1})
		for number := range 3 {
			builder.putEndpoint(start, number, nil)
		}
		builder.setSince(start)
		balancer = newBalancer()
		balancer.SetPeers(0, []segment.Address{balancerB})
		balancer.Install(start, builder.replica.Snapshot())
	})

	It("confirms a registration and passes it on to the other balancers", func() {
		effects := register(start, former)
		Expect(messagesTo(agentAddress(former), effects)[0].Message.Kind).To(Equal(relay.KindRegistered))
		passedOn := onlyOf(messagesTo(balancerB, effects)).Message
		Expect(passedOn.Kind).To(Equal(relay.KindRegister))
		Expect(passedOn.ReplyTo.Address()).To(Equal(agentAddress(former)))
		Expect(passedOn.Service).To(Equal(service))
	})

	It("passes the registration of an agent on to no other balancer if the directory contains its endpoint", func() {
		effects := register(start, 1)
		Expect(messagesTo(agentAddress(1), effects)).To(HaveLen(1))
		Expect(messagesTo(balancerB, effects)).To(BeEmpty())
	})

	It("passes on what it received before it had a directory, and to balancers that join", func() {
		balancer = newBalancer()
		balancer.SetPeers(0, []segment.Address{balancerB})
		Expect(messagesTo(balancerB, register(0, former))).To(BeEmpty())
		Expect(messagesTo(agentAddress(1), register(0, 1))).To(HaveLen(1), "the agent is registered")
		Expect(onlyOf(messagesTo(balancerB, balancer.Install(start, builder.replica.Snapshot()))).Message.ReplyTo.Address()).To(Equal(agentAddress(former)))
		joined := segment.Address{IP: [4]byte{10, 1, 0, 3}, Port: peerPort}
		effects := balancer.SetPeers(start, []segment.Address{balancerB, joined})
		Expect(messagesTo(joined, effects)).To(HaveLen(1))
		Expect(messagesTo(balancerB, effects)).To(BeEmpty())
	})

	// Guards against requests that are lost although their endpoint, which has left without notice
	// before all processes were killed, serves on and holds their flow.
	It("asks the agent for flows whose owner is being searched for, and forwards their packets to it", func() {
		balancer.HandleClientPacket(start, request)
		balancer.Tick(start + 10*millisecond)
		for number := range 3 {
			reply(start+11*millisecond, number, relay.KindDenied, true)
		}
		Expect(asked(passOn(start+20*millisecond, balancerB, agentAddress(former)), relay.KindVerify)).To(Equal([]int{former}))
		forwarded := onlyMessage(reply(start+21*millisecond, former, relay.KindOwned, true))
		Expect(forwarded.To).To(Equal(agentAddress(former)))
		Expect(forwarded.Message.Kind).To(Equal(relay.KindForward))
		Expect(forwarded.Message.Packet).To(Equal(request))
	})

	It("makes the agent probe its endpoint if it has restarted too", func() {
		balancer.HandleClientPacket(start, request)
		balancer.Tick(start + 10*millisecond)
		for number := range 3 {
			reply(start+11*millisecond, number, relay.KindDenied, true)
		}
		passOn(start+20*millisecond, balancerB, agentAddress(former))
		Expect(asked(reply(start+21*millisecond, former, relay.KindUncertain, true), relay.KindProbe)).To(Equal([]int{former}))
	})

	It("asks the agent for flows that are searched for later, and does not offer it new ones", func() {
		register(start, former)
		Expect(asked(balancer.HandleClientPacket(start, request), relay.KindLocate)).To(ConsistOf(0, 1, 2, former))
		for number := range 20 {
			Expect(asked(balancer.HandleClientPacket(start, openingPacket(2+number, 100)), relay.KindOffer)).NotTo(ContainElement(former))
		}
	})

	It("asks the agent for its own service if an entry names another service at its address", func() {
		builder.putEndpoint(start, former, func(e *directory.Endpoint) { e.Service = otherService })
		balancer.Install(start, builder.replica.Snapshot())
		register(start, former)
		for _, each := range messagesTo(agentAddress(former), balancer.HandleClientPacket(start, request)) {
			Expect(each.Message.Service).To(Equal(service))
		}
	})

	DescribeTable("probes all uncertain agents without knowing all departures only if all are registered, and resets nothing", func(registered bool) {
		balancer.HandleClientPacket(start, request)
		balancer.Tick(start + 10*millisecond)
		balancer.MarkCurrentThrough(start+11*millisecond, start+time.Second)
		reply(start+11*millisecond, 0, relay.KindUncertain, true)
		reply(start+11*millisecond, 1, relay.KindUncertain, registered)
		probed := asked(reply(start+12*millisecond, 2, relay.KindUncertain, true), relay.KindProbe)
		if !registered {
			Expect(probed).To(BeEmpty())
			return
		}
		Expect(probed).To(ConsistOf(0, 1, 2))
		for number := range 3 {
			Expect(resetHeaders(reply(start+14*millisecond, number, relay.KindDenied, true))).To(BeEmpty())
		}
		for now := start + 20*millisecond; now < start+10*time.Second; now += 200 * millisecond {
			Expect(resetHeaders(balancer.HandleClientPacket(now, request))).To(BeEmpty())
			Expect(resetHeaders(balancer.Tick(now))).To(BeEmpty())
			Expect(resetHeaders(balancer.MarkCurrentThrough(now, now))).To(BeEmpty())
		}
	},
		Entry("all are registered", true),
		Entry("one is not", false),
	)

	// Guards against requests that time out after a kill of all processes, because agents had not
	// registered yet when the search began.
	It("probes all uncertain agents in a later round once they are registered", func() {
		balancer.HandleClientPacket(start, request)
		balancer.Tick(start + 10*millisecond)
		for number := range 3 {
			reply(start+11*millisecond, number, relay.KindUncertain, false)
		}
		later := start + 1200*millisecond
		balancer.HandleClientPacket(later, request)
		Expect(asked(balancer.Tick(later+10*millisecond), relay.KindVerify)).To(ConsistOf(0, 1, 2))
		reply(later+11*millisecond, 0, relay.KindDenied, true)
		reply(later+11*millisecond, 1, relay.KindUncertain, true)
		Expect(asked(reply(later+11*millisecond, 2, relay.KindUncertain, true), relay.KindProbe)).To(ConsistOf(1, 2))
	})

	It("forgets an agent that does not repeat its registration, or whose endpoint has appeared in the directory", func() {
		register(start, former)
		balancer.Tick(start + 11*time.Second)
		Expect(asked(balancer.HandleClientPacket(start+11*time.Second, request), relay.KindLocate)).To(ConsistOf(0, 1, 2))
		register(start+11*time.Second, former)
		builder.putEndpoint(start+11*time.Second, former, nil)
		balancer.Install(start+11*time.Second, builder.replica.Snapshot())
		other := clientPacket(2, segment.Acknowledge, 101, 501, "request")
		Expect(asked(balancer.HandleClientPacket(start+11*time.Second, other), relay.KindLocate)).To(ConsistOf(0, 1, 2, former))
	})

	It("ignores registrations from other ports than those of agents and balancers", func() {
		forger := segment.Address{IP: [4]byte{10, 3, 0, 1}, Port: 5000}
		Expect(sentMessages(balancer.Receive(start, forger, relay.Message{Kind: relay.KindRegister, Service: service}))).To(BeEmpty())
		Expect(sentMessages(passOn(start, forger, agentAddress(former)))).To(BeEmpty())
		Expect(asked(balancer.HandleClientPacket(start, request), relay.KindLocate)).To(ConsistOf(0, 1, 2))
	})

	It("keeps a bounded number of registrations, and does not confirm more", func() {
		confirmed := 0
		for number := range 3000 {
			agent := segment.Address{IP: [4]byte{10, 4, byte(number >> 8), byte(number)}, Port: agentPort}
			effects := balancer.Receive(start, agent, relay.Message{Kind: relay.KindRegister, Service: service})
			confirmed += len(messagesTo(agent, effects))
		}
		Expect(confirmed).To(Equal(1024))
	})
})

// onlyOf returns the only element.
func onlyOf(effects []relay.Effect) relay.Effect {
	GinkgoHelper()
	Expect(effects).To(HaveLen(1))
	return effects[0]
}
