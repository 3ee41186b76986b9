package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var surveyRequest = fromClient(1, segment.Acknowledge, 101, 501, "request")

var _ = Describe("Agent, asked for a survey", func() {
	var agent *relay.Agent

	// survey makes the agent ask agents 1 and 2.
	survey := func(now time.Duration, probing bool) []relay.Effect {
		message := relay.Message{
			Kind: relay.KindSurvey, Service: service, Flow: relay.FlowOf(keyOf(1)), Sequence: 5, Probing: probing,
			Packet: surveyRequest,
		}
		for _, number := range []int{1, 2} {
			to := agentAddress(number)
			message.Targets = append(message.Targets, relay.Target{IP: to.IP, Port: to.Port, Service: service})
		}
		return agent.Receive(now, balancerA, message)
	}
	answer := func(now time.Duration, number int, kind relay.Kind, age time.Duration) []relay.Effect {
		return agent.Receive(now, agentAddress(number), relay.Message{
			Kind: kind, Service: service, Flow: relay.FlowOf(keyOf(1)), Age: age,
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
		Expect(told.Message.Kind).To(Equal(relay.KindSurveyed))
		Expect(told.Message.Age).To(Equal(7 * time.Second))
		Expect(told.Message.Unsure).To(BeFalse())
		Expect(told.Message.Sequence).To(Equal(uint32(5)), "the number of the survey")
	})

	It("tells the balancer if some do not know", func() {
		survey(0, false)
		answer(millisecond, 1, relay.KindUncertain, time.Second)
		Expect(onlyMessage(answer(millisecond, 2, relay.KindDenied, time.Second)).Message.Unsure).To(BeTrue())
	})

	It("tells nothing if one does not answer, and believes nobody that was not asked", func() {
		survey(0, false)
		answer(millisecond, 1, relay.KindDenied, time.Second)
		Expect(answer(millisecond, 3, relay.KindDenied, time.Second)).To(BeEmpty())
		agent.Tick(time.Second)
		Expect(answer(time.Second, 2, relay.KindDenied, time.Second)).To(BeEmpty(), "that is too late")
	})

	It("answers another agent that it does not own the flow, and the balancer that it does", func() {
		question := relay.Message{
			Kind: relay.KindVerify, Service: service, Flow: relay.FlowOf(keyOf(1)),
			Flags: segment.Acknowledge, Acknowledgment: 501, ReplyTo: relay.EncodeAddress(balancerA),
		}
		Expect(onlyMessage(agent.Receive(0, agentAddress(1), question)).To).To(Equal(agentAddress(1)))
		offered := relay.Message{Kind: relay.KindOffer, Service: service, Packet: opening(1, 100)}
		agent.Receive(0, balancerB, offered)
		agent.Emitted(0, fromEndpoint(1, segment.Synchronize|segment.Acknowledge, 500, 101, ""))
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
		known.configure(directory.Share{Service: service, Weight: 1})
		for number := range agents {
			known.endpoint(0, number, nil)
		}
		known.follow(0)
		install()
	})

	tell := func(from segment.Address, kind relay.Kind, unsure bool) []relay.Effect {
		return balancer.Receive(asked+3*millisecond, from, relay.Message{
			Kind: kind, Service: service, Flow: relay.FlowOf(keyOf(1)), Sequence: 1, Age: asked, Unsure: unsure,
		})
	}

	It("leaves a search to one of them", func() {
		surveyor := onlyMessage(balancer.Arrive(asked, surveyRequest))
		Expect(surveyor.Message.Kind).To(Equal(relay.KindSurvey))
		Expect(surveyor.Message.Targets).To(HaveLen(agents - 1))
		Expect(surveyor.Message.Probing).To(BeFalse(), "no endpoint gets a packet that may be another's")
		for _, target := range surveyor.Message.Targets {
			Expect(target.Address()).NotTo(Equal(surveyor.To))
		}
	})

	It("resets the flow once that one and all others have denied it, and the directory is confirmed", func() {
		surveyor := onlyMessage(balancer.Arrive(asked, surveyRequest)).To
		Expect(resets(tell(surveyor, relay.KindSurveyed, false))).To(BeEmpty())
		Expect(ofKind(tell(surveyor, relay.KindDenied, false), relay.EffectConfirm)).To(HaveLen(1))
		Expect(resets(balancer.Current(asked+9*millisecond, asked+4*millisecond))).To(HaveLen(1))
	})

	It("makes them ask their endpoints if some do not know, again through one of them", func() {
		surveyor := onlyMessage(balancer.Arrive(asked, surveyRequest)).To
		Expect(sent(tell(surveyor, relay.KindSurveyed, true))).To(BeEmpty(), "that one has not answered for itself")
		second := onlyMessage(tell(surveyor, relay.KindDenied, false))
		Expect(second.Message.Kind).To(Equal(relay.KindSurvey))
		Expect(second.Message.Probing).To(BeTrue())
		Expect(second.Message.Targets).To(HaveLen(agents - 2))
	})

	It("believes no other agent that says so", func() {
		surveyor := onlyMessage(balancer.Arrive(asked, surveyRequest))
		tell(surveyor.Message.Targets[0].Address(), relay.KindSurveyed, false)
		Expect(ofKind(tell(surveyor.To, relay.KindDenied, false), relay.EffectConfirm)).To(BeEmpty())
	})

	It("does not take the answer to an earlier survey for one about those that it asks now", func() {
		surveyor := onlyMessage(balancer.Arrive(asked, surveyRequest)).To
		balancer.Receive(asked+3*millisecond, surveyor, relay.Message{
			Kind: relay.KindSurveyed, Service: service, Flow: relay.FlowOf(keyOf(1)), Sequence: 7, Age: asked,
		})
		Expect(ofKind(tell(surveyor, relay.KindDenied, false), relay.EffectConfirm)).To(BeEmpty())
	})

	It("asks them itself if the one does not answer", func() {
		balancer.Arrive(asked, surveyRequest)
		second := sent(balancer.Tick(asked + 100*millisecond))
		Expect(second).To(HaveLen(1), "another may answer")
		Expect(sent(balancer.Tick(asked + 200*millisecond))).To(HaveLen(agents))
	})

	It("asks them itself about a packet that is too long for that", func() {
		long := fromClient(1, segment.Acknowledge, 101, 501, string(make([]byte, 1200)))
		Expect(sent(balancer.Arrive(asked, long))).To(HaveLen(agents))
	})

	It("fits a survey into one message, whatever it carries", func() {
		for length := range 1200 {
			balancer = newBalancer()
			install()
			packet := fromClient(1, segment.Acknowledge, 101, 501, string(make([]byte, length)))
			effects := sent(balancer.Arrive(asked, packet))
			if len(effects) > 1 {
				Expect(length).To(BeNumerically(">", 500))
				return
			}
			encoded, err := effects[0].Message.MarshalMsg(nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(encoded)).To(BeNumerically("<=", relay.MaximumMessage))
		}
		Fail("no packet was too long")
	})
})
