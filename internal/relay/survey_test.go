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

var surveyRequest = clientPacket(1, segment.Acknowledge, 101, 501, "request")

// agentGroup returns the agents of the given numbers as a survey lists them.
func agentGroup(numbers ...int) []relay.AgentGroup {
	group := relay.AgentGroup{Service: service, Port: agentPort}
	for _, number := range numbers {
		address := agentAddress(number)
		group.IPs = append(group.IPs, address.IP[:]...)
	}
	return []relay.AgentGroup{group}
}

// addressesIn returns the addresses of the agents in all groups.
func addressesIn(groups []relay.AgentGroup) []segment.Address {
	var addresses []segment.Address
	for _, group := range groups {
		addresses = append(addresses, group.Addresses()...)
	}
	return addresses
}

var _ = Describe("Agent, carrying out a survey", func() {
	var agent *relay.Agent

	// startSurvey sends the agent a survey of agents 1 and 2.
	startSurvey := func(now time.Duration, probe bool) []relay.Effect {
		message := relay.Message{
			Kind: relay.KindSurvey, Service: service, Flow: relay.EncodeFlow(flowKey(1)), Sequence: 5,
			Acknowledgment: 501, Flags: segment.Acknowledge, Targets: agentGroup(1, 2),
		}
		if probe {
			message.Packet = surveyRequest
		}
		return agent.Receive(now, balancerA, message)
	}
	answer := func(now time.Duration, number int, kind relay.MessageKind) []relay.Effect {
		return agent.Receive(now, agentAddress(number), relay.Message{
			Kind: kind, Service: service, Flow: relay.EncodeFlow(flowKey(1)),
		})
	}

	BeforeEach(func() {
		agent = newAgent(true)
		agent.Tick(0)
	})

	It("asks the other agents on behalf of the balancer, and replies for itself", func() {
		queried := sentMessages(startSurvey(0, false))
		Expect(queried).To(HaveLen(3))
		Expect(queried[0].To).To(Equal(balancerA))
		Expect(queried[0].Message.Kind).To(Equal(relay.KindDenied))
		for index, number := range []int{1, 2} {
			each := queried[index+1]
			Expect(each.To).To(Equal(agentAddress(number)))
			Expect(each.Message.Kind).To(Equal(relay.KindVerify))
			Expect(each.Message.Acknowledgment).To(Equal(uint32(501)))
			Expect(each.Message.ReplyTo.Address()).To(Equal(balancerA))
		}
	})

	It("makes the other agents probe if the survey carries a packet", func() {
		for _, each := range sentMessages(startSurvey(0, true))[1:] {
			Expect(each.Message.Kind).To(Equal(relay.KindProbe))
			Expect(each.Message.Packet).To(Equal(surveyRequest))
		}
	})

	It("reports to the balancer once all agents have replied", func() {
		startSurvey(0, false)
		Expect(answer(millisecond, 1, relay.KindDenied)).To(BeEmpty())
		Expect(answer(millisecond, 1, relay.KindDenied)).To(BeEmpty(), "a copy of a reply")
		result := onlyMessage(answer(millisecond, 2, relay.KindDenied))
		Expect(result.To).To(Equal(balancerA))
		Expect(result.Message.Kind).To(Equal(relay.KindSurveyResult))
		Expect(result.Message.Uncertain).To(BeEmpty())
		Expect(result.Message.Unresponsive).To(BeEmpty())
		Expect(result.Message.Sequence).To(Equal(uint32(5)), "the number of the survey")
	})

	It("reports the agents that are uncertain", func() {
		startSurvey(0, false)
		answer(millisecond, 1, relay.KindUncertain)
		Expect(onlyMessage(answer(millisecond, 2, relay.KindDenied)).Message.Uncertain).To(Equal(agentGroup(1)))
	})

	It("reports unresponsive agents after the report delay, and again once all have replied", func() {
		startSurvey(0, false)
		answer(millisecond, 1, relay.KindDenied)
		Expect(sentMessages(agent.Tick(59 * millisecond))).To(BeEmpty())
		Expect(agent.NextTick(59 * millisecond)).To(Equal(60 * millisecond))
		result := onlyMessage(agent.Tick(60 * millisecond)).Message
		Expect(result.Kind).To(Equal(relay.KindSurveyResult))
		Expect(result.Unresponsive).To(Equal(agentGroup(2)))
		Expect(sentMessages(agent.Tick(70*millisecond))).To(BeEmpty(), "the result was reported already")
		Expect(onlyMessage(answer(80*millisecond, 2, relay.KindDenied)).Message.Unresponsive).To(BeEmpty())
	})

	It("ignores replies of agents that were not asked and late replies", func() {
		startSurvey(0, false)
		answer(millisecond, 1, relay.KindDenied)
		Expect(answer(millisecond, 3, relay.KindDenied)).To(BeEmpty())
		agent.Tick(time.Second)
		Expect(answer(time.Second, 2, relay.KindDenied)).To(BeEmpty(), "the survey has expired")
	})

	It("replies to the asking agent if it does not own the flow, and to the balancer if it does", func() {
		query := relay.Message{
			Kind: relay.KindVerify, Service: service, Flow: relay.EncodeFlow(flowKey(1)),
			Flags: segment.Acknowledge, Acknowledgment: 501, ReplyTo: relay.EncodeAddress(balancerA),
		}
		Expect(onlyMessage(agent.Receive(0, agentAddress(1), query)).To).To(Equal(agentAddress(1)))
		offered := relay.Message{Kind: relay.KindOffer, Service: service, Packet: openingPacket(1, 100)}
		agent.Receive(0, balancerB, offered)
		agent.HandleEndpointPacket(0, endpointPacket(1, segment.Synchronize|segment.Acknowledge, 500, 101, ""))
		owned := onlyMessage(agent.Receive(0, agentAddress(1), query))
		Expect(owned.Message.Kind).To(Equal(relay.KindOwned))
		Expect(owned.To).To(Equal(balancerA))
	})
})

var _ = Describe("Balancer, among many agents", func() {
	const (
		agents = 60
		start  = 70 * time.Second
	)
	var (
		balancer *relay.Balancer
		builder  *directoryBuilder
	)

	install := func() { balancer.Install(start, builder.replica.Snapshot()) }

	BeforeEach(func() {
		balancer = newBalancer()
		builder = newDirectoryBuilder()
		builder.configure(directory.WeightedService{Service: service, Weight: 1})
		for number := range agents {
			builder.putEndpoint(0, number, nil)
		}
		builder.setSince(0)
		install()
	})

	reportSurvey := func(from segment.Address, uncertain, unresponsive []relay.AgentGroup) []relay.Effect {
		return balancer.Receive(start+3*millisecond, from, relay.Message{
			Kind: relay.KindSurveyResult, Service: service, Flow: relay.EncodeFlow(flowKey(1)), Sequence: 1,
			Uncertain: uncertain, Unresponsive: unresponsive,
		})
	}
	deny := func(from segment.Address) []relay.Effect {
		return balancer.Receive(start+3*millisecond, from, relay.Message{
			Kind: relay.KindDenied, Service: service, Flow: relay.EncodeFlow(flowKey(1)),
		})
	}

	It("delegates a search to one of them", func() {
		surveyor := onlyMessage(balancer.HandleClientPacket(start, surveyRequest))
		Expect(surveyor.Message.Kind).To(Equal(relay.KindSurvey))
		Expect(addressesIn(surveyor.Message.Targets)).To(HaveLen(agents - 1))
		Expect(addressesIn(surveyor.Message.Targets)).NotTo(ContainElement(surveyor.To))
		Expect(surveyor.Message.Packet).To(BeEmpty(), "no endpoint gets a packet that may belong to another")
		Expect(surveyor.Message.Acknowledgment).To(Equal(uint32(501)))
		Expect(surveyor.Message.Flags).To(Equal(segment.Acknowledge))
	})

	It("delegates the search in each zone to one agent of the zone", func() {
		for number := range agents {
			builder.putEndpoint(0, number, func(e *directory.Endpoint) { e.Zone = []string{ownZone, otherZone}[number%2] })
		}
		install()
		parts := sentMessages(balancer.HandleClientPacket(start, surveyRequest))
		Expect(parts).To(HaveLen(2))
		for _, part := range parts {
			agentsAsked := append(addressesIn(part.Message.Targets), part.To)
			Expect(agentsAsked).To(HaveLen(agents / 2))
			for _, agent := range agentsAsked {
				Expect(agent.IP[3]%2).To(Equal(part.To.IP[3]%2), "it asks agents of its own zone")
			}
		}
	})

	It("resets the flow once the surveyor and all others have denied it and the directory is confirmed", func() {
		surveyor := onlyMessage(balancer.HandleClientPacket(start, surveyRequest)).To
		Expect(resetHeaders(reportSurvey(surveyor, nil, nil))).To(BeEmpty())
		Expect(effectsOfKind(deny(surveyor), relay.EffectConfirmDirectory)).To(HaveLen(1))
		Expect(resetHeaders(balancer.MarkCurrentThrough(start+9*millisecond, start+4*millisecond))).To(HaveLen(1))
	})

	It("probes by another survey if agents are uncertain", func() {
		first := onlyMessage(balancer.HandleClientPacket(start, surveyRequest))
		Expect(sentMessages(reportSurvey(first.To, first.Message.Targets, nil))).To(BeEmpty(), "the surveyor has not replied for itself")
		second := onlyMessage(deny(first.To))
		Expect(second.Message.Kind).To(Equal(relay.KindSurvey))
		Expect(second.Message.Packet).To(Equal(surveyRequest))
		Expect(addressesIn(second.Message.Targets)).To(HaveLen(agents - 2))
	})

	It("probes only the agents that are uncertain", func() {
		first := onlyMessage(balancer.HandleClientPacket(start, surveyRequest))
		uncertain := first.Message.Targets[0].Addresses()[3]
		deny(first.To)
		probed := onlyMessage(reportSurvey(first.To, []relay.AgentGroup{{Service: service, Port: agentPort, IPs: uncertain.IP[:]}}, nil))
		Expect(probed.Message.Kind).To(Equal(relay.KindProbe))
		Expect(probed.To).To(Equal(uncertain))
	})

	It("asks again only the agents that have not replied", func() {
		first := onlyMessage(balancer.HandleClientPacket(start, surveyRequest))
		unresponsive := first.Message.Targets[0].Addresses()[5]
		deny(first.To)
		Expect(sentMessages(reportSurvey(first.To, nil, []relay.AgentGroup{{Service: service, Port: agentPort, IPs: unresponsive.IP[:]}}))).To(BeEmpty())
		again := onlyMessage(balancer.Tick(start + 100*millisecond))
		Expect(again.To).To(Equal(unresponsive))
		Expect(again.Message.Kind).To(Equal(relay.KindVerify))
	})

	It("ignores a survey result from an agent that is not the surveyor", func() {
		surveyor := onlyMessage(balancer.HandleClientPacket(start, surveyRequest))
		reportSurvey(surveyor.Message.Targets[0].Addresses()[0], nil, nil)
		Expect(effectsOfKind(deny(surveyor.To), relay.EffectConfirmDirectory)).To(BeEmpty())
	})

	It("ignores the result of a survey with another number", func() {
		surveyor := onlyMessage(balancer.HandleClientPacket(start, surveyRequest)).To
		balancer.Receive(start+3*millisecond, surveyor, relay.Message{
			Kind: relay.KindSurveyResult, Service: service, Flow: relay.EncodeFlow(flowKey(1)), Sequence: 7,
		})
		Expect(effectsOfKind(deny(surveyor), relay.EffectConfirmDirectory)).To(BeEmpty())
	})

	It("chooses another surveyor when one does not reply", func() {
		surveyors := map[segment.Address]bool{onlyMessage(balancer.HandleClientPacket(start, surveyRequest)).To: true}
		for round := range 8 {
			again := onlyMessage(balancer.Tick(start + time.Duration(round+1)*100*millisecond))
			Expect(again.Message.Kind).To(Equal(relay.KindSurvey))
			Expect(addressesIn(again.Message.Targets)).To(HaveLen(agents - 1))
			surveyors[again.To] = true
		}
		Expect(len(surveyors)).To(BeNumerically(">", 5))
	})

	It("sends no further survey when the client repeats its packet, until all rounds have failed", func() {
		balancer.HandleClientPacket(start, surveyRequest)
		Expect(sentMessages(balancer.HandleClientPacket(start+50*millisecond, surveyRequest))).To(BeEmpty())
		Expect(sentMessages(balancer.HandleClientPacket(start+150*millisecond, surveyRequest))).To(BeEmpty())
		ended := start
		for range 20 {
			ended += 100 * millisecond
			balancer.Tick(ended)
		}
		Expect(sentMessages(balancer.Tick(ended + 100*millisecond))).To(BeEmpty())
		Expect(onlyMessage(balancer.HandleClientPacket(ended+200*millisecond, surveyRequest)).Message.Kind).To(Equal(relay.KindSurvey))
	})

	It("limits surveys when the replies prove nothing because the directory's history is short", func() {
		balancer = newBalancer()
		builder.replica = directory.NewReplica()
		builder.configure(directory.WeightedService{Service: service, Weight: 1})
		for number := range agents {
			builder.putEndpoint(start, number, nil)
		}
		builder.setSince(start - millisecond)
		install()
		surveys := 0
		answerAll := func(now time.Duration, effects []relay.Effect) {
			for _, effect := range slices.Clone(sentMessages(effects)) {
				if effect.Message.Kind != relay.KindSurvey {
					continue
				}
				surveys++
				balancer.Receive(now+millisecond, effect.To, relay.Message{
					Kind: relay.KindUncertain, Service: service, Flow: relay.EncodeFlow(flowKey(1)),
				})
				balancer.Receive(now+millisecond, effect.To, relay.Message{
					Kind: relay.KindSurveyResult, Service: service, Flow: relay.EncodeFlow(flowKey(1)),
					Sequence: effect.Message.Sequence, Uncertain: effect.Message.Targets,
				})
			}
		}
		for step := range 40 {
			now := start + time.Duration(step)*100*millisecond
			answerAll(now, balancer.Tick(now))
			answerAll(now, balancer.HandleClientPacket(now, surveyRequest))
		}
		Expect(surveys).To(BeNumerically("<=", 3))
	})

	It("fits a search into one message, whatever the size of the packet", func() {
		for length := range 1200 {
			balancer = newBalancer()
			install()
			packet := clientPacket(1, segment.Acknowledge, 101, 501, string(make([]byte, length)))
			Expect(encodedSize(onlyMessage(balancer.HandleClientPacket(start, packet)))).To(BeNumerically("<=", relay.MaxMessageSize))
		}
	})
})

// encodedSize returns the size of the encoded message of an effect.
func encodedSize(effect relay.Effect) int {
	GinkgoHelper()
	encoded, err := effect.Message.MarshalMsg(nil)
	Expect(err).NotTo(HaveOccurred())
	return len(encoded)
}

var _ = Describe("Balancer, among hundreds of agents", func() {
	const (
		agents = 330
		start  = 70 * time.Second
	)
	var (
		balancer *relay.Balancer
		builder  *directoryBuilder
	)

	BeforeEach(func() {
		balancer = newBalancer()
		builder = newDirectoryBuilder()
		builder.configure(directory.WeightedService{Service: service, Weight: 1})
		for number := range agents {
			builder.putEndpoint(0, number, func(endpoint *directory.Endpoint) {
				endpoint.IP[2] = byte(number >> 8)
				if number%5 == 0 {
					endpoint.Service = otherService
				}
			})
		}
		builder.setSince(0)
		balancer.Install(start, builder.replica.Snapshot())
	})

	It("sends one survey that fits into a message for each search", func() {
		searches := 0
		for number := range 100 {
			packet := clientPacket(number, segment.Acknowledge, 101, 501, string(make([]byte, 900)))
			for _, effect := range sentMessages(balancer.HandleClientPacket(start, packet)) {
				Expect(effect.Message.Kind).To(Equal(relay.KindSurvey))
				Expect(encodedSize(effect)).To(BeNumerically("<=", relay.MaxMessageSize))
				searches++
			}
		}
		Expect(searches).To(Equal(100))
	})

	It("splits a survey into parts that cover each agent once if the packet leaves little room", func() {
		long := clientPacket(1, segment.Acknowledge, 101, 501, string(make([]byte, 1200)))
		first := onlyMessage(balancer.HandleClientPacket(start, long))
		balancer.Receive(start, first.To, relay.Message{Kind: relay.KindUncertain, Flow: relay.EncodeFlow(flowKey(1))})
		parts := sentMessages(balancer.Receive(start, first.To, relay.Message{
			Kind: relay.KindSurveyResult, Flow: relay.EncodeFlow(flowKey(1)), Sequence: 1, Uncertain: first.Message.Targets,
		}))
		Expect(len(parts)).To(BeNumerically("~", 3, 1))
		reached := make(map[segment.Address]int)
		for _, part := range parts {
			Expect(part.Message.Packet).To(Equal(long))
			Expect(encodedSize(part)).To(BeNumerically("<=", relay.MaxMessageSize))
			reached[part.To]++
			for _, target := range addressesIn(part.Message.Targets) {
				reached[target]++
			}
		}
		Expect(reached).To(HaveLen(agents))
		for _, times := range reached {
			Expect(times).To(Equal(1))
		}
	})

	It("resets the flow once every part has denied it and the directory is confirmed", func() {
		long := clientPacket(1, segment.Acknowledge, 101, 501, string(make([]byte, 1200)))
		first := onlyMessage(balancer.HandleClientPacket(start, long))
		balancer.Receive(start, first.To, relay.Message{Kind: relay.KindUncertain, Flow: relay.EncodeFlow(flowKey(1))})
		probes := slices.Clone(balancer.Receive(start, first.To, relay.Message{
			Kind: relay.KindSurveyResult, Flow: relay.EncodeFlow(flowKey(1)), Sequence: 1, Uncertain: first.Message.Targets,
		}))
		Expect(effectsOfKind(probes, relay.EffectConfirmDirectory)).To(HaveLen(1), "a confirmation is requested while endpoints are probed")
		for _, part := range sentMessages(probes) {
			answered := func(kind relay.MessageKind) []relay.Effect {
				return balancer.Receive(start+millisecond, part.To, relay.Message{
					Kind: kind, Flow: relay.EncodeFlow(flowKey(1)), Sequence: part.Message.Sequence,
				})
			}
			for _, kind := range []relay.MessageKind{relay.KindDenied, relay.KindSurveyResult} {
				effects := answered(kind)
				Expect(effectsOfKind(effects, relay.EffectConfirmDirectory)).To(BeEmpty(), "a confirmation was requested already")
				Expect(resetHeaders(effects)).To(BeEmpty(), "the confirmation has not arrived")
			}
		}
		Expect(resetHeaders(balancer.MarkCurrentThrough(start+9*millisecond, start+4*millisecond))).To(HaveLen(1))
	})
})
