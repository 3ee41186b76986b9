package relay_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var surveyRequest = fromClient(1, segment.Acknowledge, 101, 501, "request")

// targets returns the agents with some numbers as a survey names them.
func targets(numbers ...int) []relay.AgentGroup {
	group := relay.AgentGroup{Service: service, Port: agentPort}
	for _, number := range numbers {
		address := agentAddress(number)
		group.IPs = append(group.IPs, address.IP[:]...)
	}
	return []relay.AgentGroup{group}
}

// namedIn returns the addresses of all agents that a message names.
func namedIn(groups []relay.AgentGroup) []segment.Address {
	var addresses []segment.Address
	for _, group := range groups {
		addresses = append(addresses, group.Addresses()...)
	}
	return addresses
}

var _ = Describe("Agent, asked for a survey", func() {
	var agent *relay.Agent

	// survey makes the agent ask agents 1 and 2.
	survey := func(now time.Duration, probing bool) []relay.Effect {
		message := relay.Message{
			Kind: relay.KindSurvey, Service: service, Flow: relay.EncodeFlow(keyOf(1)), Sequence: 5,
			Acknowledgment: 501, Flags: segment.Acknowledge, Targets: targets(1, 2),
		}
		if probing {
			message.Packet = surveyRequest
		}
		return agent.Receive(now, balancerA, message)
	}
	answer := func(now time.Duration, number int, kind relay.MessageKind, age time.Duration) []relay.Effect {
		return agent.Receive(now, agentAddress(number), relay.Message{
			Kind: kind, Service: service, Flow: relay.EncodeFlow(keyOf(1)), Uptime: age,
		})
	}

	BeforeEach(func() {
		agent = newAgent(true)
		agent.Tick(0)
	})

	It("asks the others for the balancer, and answers for itself", func() {
		asked := sent(survey(0, false))
		Expect(asked).To(HaveLen(3))
		Expect(asked[0].To).To(Equal(balancerA))
		Expect(asked[0].Message.Kind).To(Equal(relay.KindDenied))
		for index, number := range []int{1, 2} {
			each := asked[index+1]
			Expect(each.To).To(Equal(agentAddress(number)))
			Expect(each.Message.Kind).To(Equal(relay.KindVerify))
			Expect(each.Message.Acknowledgment).To(Equal(uint32(501)))
			Expect(each.Message.ReplyTo.Address()).To(Equal(balancerA))
		}
	})

	It("makes the others ask their endpoints if the balancer wants that", func() {
		for _, each := range sent(survey(0, true))[1:] {
			Expect(each.Message.Kind).To(Equal(relay.KindProbe))
			Expect(each.Message.Packet).To(Equal(surveyRequest))
		}
	})

	It("tells the balancer once all have answered, with the age of the oldest", func() {
		survey(0, false)
		Expect(answer(millisecond, 1, relay.KindDenied, 7*time.Second)).To(BeEmpty())
		Expect(answer(millisecond, 1, relay.KindDenied, 7*time.Second)).To(BeEmpty(), "a copy")
		told := onlyMessage(answer(millisecond, 2, relay.KindDenied, 5*time.Second))
		Expect(told.To).To(Equal(balancerA))
		Expect(told.Message.Kind).To(Equal(relay.KindSurveyResult))
		Expect(told.Message.Uptime).To(Equal(7 * time.Second))
		Expect(told.Message.Uncertain).To(BeEmpty())
		Expect(told.Message.Unresponsive).To(BeEmpty())
		Expect(told.Message.Sequence).To(Equal(uint32(5)), "the number of the survey")
	})

	It("tells the balancer who do not know", func() {
		survey(0, false)
		answer(millisecond, 1, relay.KindUncertain, time.Second)
		Expect(onlyMessage(answer(millisecond, 2, relay.KindDenied, time.Second)).Message.Uncertain).To(Equal(targets(1)))
	})

	It("tells the balancer in time who have not answered, and again once all have", func() {
		survey(0, false)
		answer(millisecond, 1, relay.KindDenied, time.Second)
		Expect(sent(agent.Tick(59 * millisecond))).To(BeEmpty())
		Expect(agent.NextTick(59 * millisecond)).To(Equal(60 * millisecond))
		told := onlyMessage(agent.Tick(60 * millisecond)).Message
		Expect(told.Kind).To(Equal(relay.KindSurveyResult))
		Expect(told.Unresponsive).To(Equal(targets(2)))
		Expect(sent(agent.Tick(70*millisecond))).To(BeEmpty(), "once")
		Expect(onlyMessage(answer(80*millisecond, 2, relay.KindDenied, time.Second)).Message.Unresponsive).To(BeEmpty())
	})

	It("believes nobody that was not asked, and nobody who answers late", func() {
		survey(0, false)
		answer(millisecond, 1, relay.KindDenied, time.Second)
		Expect(answer(millisecond, 3, relay.KindDenied, time.Second)).To(BeEmpty())
		agent.Tick(time.Second)
		Expect(answer(time.Second, 2, relay.KindDenied, time.Second)).To(BeEmpty(), "that is too late")
	})

	It("answers another agent that it does not own the flow, and the balancer that it does", func() {
		question := relay.Message{
			Kind: relay.KindVerify, Service: service, Flow: relay.EncodeFlow(keyOf(1)),
			Flags: segment.Acknowledge, Acknowledgment: 501, ReplyTo: relay.EncodeAddress(balancerA),
		}
		Expect(onlyMessage(agent.Receive(0, agentAddress(1), question)).To).To(Equal(agentAddress(1)))
		offered := relay.Message{Kind: relay.KindOffer, Service: service, Packet: opening(1, 100)}
		agent.Receive(0, balancerB, offered)
		agent.HandleEndpointPacket(0, fromEndpoint(1, segment.Synchronize|segment.Acknowledge, 500, 101, ""))
		owned := onlyMessage(agent.Receive(0, agentAddress(1), question))
		Expect(owned.Message.Kind).To(Equal(relay.KindOwned))
		Expect(owned.To).To(Equal(balancerA))
	})
})

var _ = Describe("Balancer, among many agents", func() {
	const (
		agents = 60
		asked  = 20 * time.Second
	)
	var (
		balancer *relay.Balancer
		known    *fleet
	)

	install := func() { balancer.Install(asked, known.machine.Snapshot()) }

	BeforeEach(func() {
		balancer = newBalancer()
		known = newFleet()
		known.configure(directory.WeightedService{Service: service, Weight: 1})
		for number := range agents {
			known.endpoint(0, number, nil)
		}
		known.follow(0)
		install()
	})

	report := func(from segment.Address, unsure, silent []relay.AgentGroup) []relay.Effect {
		return balancer.Receive(asked+3*millisecond, from, relay.Message{
			Kind: relay.KindSurveyResult, Service: service, Flow: relay.EncodeFlow(keyOf(1)), Sequence: 1, Uptime: asked,
			Uncertain: unsure, Unresponsive: silent,
		})
	}
	deny := func(from segment.Address) []relay.Effect {
		return balancer.Receive(asked+3*millisecond, from, relay.Message{
			Kind: relay.KindDenied, Service: service, Flow: relay.EncodeFlow(keyOf(1)), Uptime: asked,
		})
	}

	It("leaves a search to one of them", func() {
		surveyor := onlyMessage(balancer.HandleClientPacket(asked, surveyRequest))
		Expect(surveyor.Message.Kind).To(Equal(relay.KindSurvey))
		Expect(namedIn(surveyor.Message.Targets)).To(HaveLen(agents - 1))
		Expect(namedIn(surveyor.Message.Targets)).NotTo(ContainElement(surveyor.To))
		Expect(surveyor.Message.Packet).To(BeEmpty(), "no endpoint gets a packet that may be another's")
		Expect(surveyor.Message.Acknowledgment).To(Equal(uint32(501)))
		Expect(surveyor.Message.Flags).To(Equal(segment.Acknowledge))
	})

	It("leaves the agents of each zone to one of them", func() {
		for number := range agents {
			known.endpoint(0, number, func(e *directory.Endpoint) { e.Zone = []string{ownZone, otherZone}[number%2] })
		}
		install()
		parts := sent(balancer.HandleClientPacket(asked, surveyRequest))
		Expect(parts).To(HaveLen(2))
		for _, part := range parts {
			asked := append(namedIn(part.Message.Targets), part.To)
			Expect(asked).To(HaveLen(agents / 2))
			for _, agent := range asked {
				Expect(agent.IP[3]%2).To(Equal(part.To.IP[3]%2), "it asks those of its own zone")
			}
		}
	})

	It("resets the flow once that one and all others have denied it, and the directory is confirmed", func() {
		surveyor := onlyMessage(balancer.HandleClientPacket(asked, surveyRequest)).To
		Expect(resets(report(surveyor, nil, nil))).To(BeEmpty())
		Expect(ofKind(deny(surveyor), relay.EffectConfirmDirectory)).To(HaveLen(1))
		Expect(resets(balancer.MarkCurrentThrough(asked+9*millisecond, asked+4*millisecond))).To(HaveLen(1))
	})

	It("makes them ask their endpoints if some do not know, again through one of them", func() {
		first := onlyMessage(balancer.HandleClientPacket(asked, surveyRequest))
		Expect(sent(report(first.To, first.Message.Targets, nil))).To(BeEmpty(), "that one has not answered for itself")
		second := onlyMessage(deny(first.To))
		Expect(second.Message.Kind).To(Equal(relay.KindSurvey))
		Expect(second.Message.Packet).To(Equal(surveyRequest))
		Expect(namedIn(second.Message.Targets)).To(HaveLen(agents - 2))
	})

	It("makes only those ask their endpoints that do not know", func() {
		first := onlyMessage(balancer.HandleClientPacket(asked, surveyRequest))
		unsure := first.Message.Targets[0].Addresses()[3]
		deny(first.To)
		probed := onlyMessage(report(first.To, []relay.AgentGroup{{Service: service, Port: agentPort, IPs: unsure.IP[:]}}, nil))
		Expect(probed.Message.Kind).To(Equal(relay.KindProbe))
		Expect(probed.To).To(Equal(unsure))
	})

	It("asks only those again that have not answered", func() {
		first := onlyMessage(balancer.HandleClientPacket(asked, surveyRequest))
		silent := first.Message.Targets[0].Addresses()[5]
		deny(first.To)
		Expect(sent(report(first.To, nil, []relay.AgentGroup{{Service: service, Port: agentPort, IPs: silent.IP[:]}}))).To(BeEmpty())
		again := onlyMessage(balancer.Tick(asked + 100*millisecond))
		Expect(again.To).To(Equal(silent))
		Expect(again.Message.Kind).To(Equal(relay.KindVerify))
	})

	It("believes no other agent that says so", func() {
		surveyor := onlyMessage(balancer.HandleClientPacket(asked, surveyRequest))
		report(surveyor.Message.Targets[0].Addresses()[0], nil, nil)
		Expect(ofKind(deny(surveyor.To), relay.EffectConfirmDirectory)).To(BeEmpty())
	})

	It("does not take the answer to an earlier survey for one about those that it asks now", func() {
		surveyor := onlyMessage(balancer.HandleClientPacket(asked, surveyRequest)).To
		balancer.Receive(asked+3*millisecond, surveyor, relay.Message{
			Kind: relay.KindSurveyResult, Service: service, Flow: relay.EncodeFlow(keyOf(1)), Sequence: 7, Uptime: asked,
		})
		Expect(ofKind(deny(surveyor), relay.EffectConfirmDirectory)).To(BeEmpty())
	})

	It("asks another each time that one does not answer", func() {
		asking := map[segment.Address]bool{onlyMessage(balancer.HandleClientPacket(asked, surveyRequest)).To: true}
		for round := range 8 {
			again := onlyMessage(balancer.Tick(asked + time.Duration(round+1)*100*millisecond))
			Expect(again.Message.Kind).To(Equal(relay.KindSurvey))
			Expect(namedIn(again.Message.Targets)).To(HaveLen(agents - 1))
			asking[again.To] = true
		}
		Expect(len(asking)).To(BeNumerically(">", 5))
	})

	It("leaves nothing more to them while the client repeats its packet, and begins again when all rounds were in vain", func() {
		balancer.HandleClientPacket(asked, surveyRequest)
		Expect(sent(balancer.HandleClientPacket(asked+50*millisecond, surveyRequest))).To(BeEmpty())
		Expect(sent(balancer.HandleClientPacket(asked+150*millisecond, surveyRequest))).To(BeEmpty())
		ended := asked
		for range 20 {
			ended += 100 * millisecond
			balancer.Tick(ended)
		}
		Expect(sent(balancer.Tick(ended + 100*millisecond))).To(BeEmpty())
		Expect(onlyMessage(balancer.HandleClientPacket(ended+200*millisecond, surveyRequest)).Message.Kind).To(Equal(relay.KindSurvey))
	})

	It("does not ask all agents again and again if their answers prove nothing, since they are older than the directory", func() {
		balancer = newBalancer()
		known.machine = directory.NewReplica()
		known.configure(directory.WeightedService{Service: service, Weight: 1})
		for number := range agents {
			known.endpoint(asked, number, nil)
		}
		known.follow(asked - millisecond)
		install()
		surveys := 0
		answerAll := func(now time.Duration, effects []relay.Effect) {
			for _, effect := range slices.Clone(sent(effects)) {
				if effect.Message.Kind != relay.KindSurvey {
					continue
				}
				surveys++
				balancer.Receive(now+millisecond, effect.To, relay.Message{
					Kind: relay.KindUncertain, Service: service, Flow: relay.EncodeFlow(keyOf(1)), Uptime: asked,
				})
				balancer.Receive(now+millisecond, effect.To, relay.Message{
					Kind: relay.KindSurveyResult, Service: service, Flow: relay.EncodeFlow(keyOf(1)),
					Sequence: effect.Message.Sequence, Uptime: asked, Uncertain: effect.Message.Targets,
				})
			}
		}
		for step := range 40 {
			now := asked + time.Duration(step)*100*millisecond
			answerAll(now, balancer.Tick(now))
			answerAll(now, balancer.HandleClientPacket(now, surveyRequest))
		}
		Expect(surveys).To(BeNumerically("<=", 3))
	})

	It("fits a search into one message, whatever the packet carries", func() {
		for length := range 1200 {
			balancer = newBalancer()
			install()
			packet := fromClient(1, segment.Acknowledge, 101, 501, string(make([]byte, length)))
			Expect(sizeOf(onlyMessage(balancer.HandleClientPacket(asked, packet)))).To(BeNumerically("<=", relay.MaxMessageSize))
		}
	})
})

// sizeOf returns the encoded size of a message.
func sizeOf(effect relay.Effect) int {
	GinkgoHelper()
	encoded, err := effect.Message.MarshalMsg(nil)
	Expect(err).NotTo(HaveOccurred())
	return len(encoded)
}

var _ = Describe("Balancer, among hundreds of agents", func() {
	const (
		agents = 330
		asked  = 20 * time.Second
	)
	var (
		balancer *relay.Balancer
		known    *fleet
	)

	BeforeEach(func() {
		balancer = newBalancer()
		known = newFleet()
		known.configure(directory.WeightedService{Service: service, Weight: 1})
		for number := range agents {
			known.endpoint(0, number, func(endpoint *directory.Endpoint) {
				endpoint.IP[2] = byte(number >> 8)
				if number%5 == 0 {
					endpoint.Service = otherService
				}
			})
		}
		known.follow(0)
		balancer.Install(asked, known.machine.Snapshot())
	})

	It("finds an owner by a handful of messages, each of which fits", func() {
		searches := 0
		for number := range 100 {
			packet := fromClient(number, segment.Acknowledge, 101, 501, string(make([]byte, 900)))
			for _, effect := range sent(balancer.HandleClientPacket(asked, packet)) {
				Expect(effect.Message.Kind).To(Equal(relay.KindSurvey))
				Expect(sizeOf(effect)).To(BeNumerically("<=", relay.MaxMessageSize))
				searches++
			}
		}
		Expect(searches).To(Equal(100))
	})

	It("hears of each agent once from several of them if the packet leaves little room", func() {
		long := fromClient(1, segment.Acknowledge, 101, 501, string(make([]byte, 1200)))
		first := onlyMessage(balancer.HandleClientPacket(asked, long))
		balancer.Receive(asked, first.To, relay.Message{Kind: relay.KindUncertain, Flow: relay.EncodeFlow(keyOf(1)), Uptime: asked})
		parts := sent(balancer.Receive(asked, first.To, relay.Message{
			Kind: relay.KindSurveyResult, Flow: relay.EncodeFlow(keyOf(1)), Sequence: 1, Uptime: asked, Uncertain: first.Message.Targets,
		}))
		Expect(len(parts)).To(BeNumerically("~", 3, 1))
		reached := make(map[segment.Address]int)
		for _, part := range parts {
			Expect(part.Message.Packet).To(Equal(long))
			Expect(sizeOf(part)).To(BeNumerically("<=", relay.MaxMessageSize))
			reached[part.To]++
			for _, target := range namedIn(part.Message.Targets) {
				reached[target]++
			}
		}
		Expect(reached).To(HaveLen(agents))
		for _, times := range reached {
			Expect(times).To(Equal(1))
		}
	})

	It("resets the flow once every part has denied it", func() {
		long := fromClient(1, segment.Acknowledge, 101, 501, string(make([]byte, 1200)))
		first := onlyMessage(balancer.HandleClientPacket(asked, long))
		balancer.Receive(asked, first.To, relay.Message{Kind: relay.KindUncertain, Flow: relay.EncodeFlow(keyOf(1)), Uptime: asked})
		probing := slices.Clone(balancer.Receive(asked, first.To, relay.Message{
			Kind: relay.KindSurveyResult, Flow: relay.EncodeFlow(keyOf(1)), Sequence: 1, Uptime: asked, Uncertain: first.Message.Targets,
		}))
		Expect(ofKind(probing, relay.EffectConfirmDirectory)).To(HaveLen(1), "the directory is confirmed while endpoints are asked")
		for _, part := range sent(probing) {
			answered := func(kind relay.MessageKind) []relay.Effect {
				return balancer.Receive(asked+millisecond, part.To, relay.Message{
					Kind: kind, Flow: relay.EncodeFlow(keyOf(1)), Sequence: part.Message.Sequence, Uptime: asked,
				})
			}
			for _, kind := range []relay.MessageKind{relay.KindDenied, relay.KindSurveyResult} {
				effects := answered(kind)
				Expect(ofKind(effects, relay.EffectConfirmDirectory)).To(BeEmpty(), "one confirmation is under way")
				Expect(resets(effects)).To(BeEmpty(), "it has not come")
			}
		}
		Expect(resets(balancer.MarkCurrentThrough(asked+9*millisecond, asked+4*millisecond))).To(HaveLen(1))
	})
})
