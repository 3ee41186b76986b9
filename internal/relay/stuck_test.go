package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Agent, with an endpoint that does not answer requests", func() {
	var agent *testAgent

	BeforeEach(func() { agent = newTestAgent(newAgent(true)) })

	const (
		stuckAt = 400 * millisecond
		quick   = 20 * millisecond
	)
	openAnswered := func(at time.Duration, number int) {
		agent.open(at, number)
		agent.HandleEndpointPacket(at+quick, endpointPacket(number, segment.Acknowledge, 501, 108, "answer"))
	}
	// returnedAsLastResort reports whether an offer is returned with LastResort set.
	returnedAsLastResort := func(at time.Duration, number int) bool {
		messages := messagesTo(balancerA, agent.offer(at, number, 100))
		return len(messages) == 1 && messages[0].Message.Kind == relay.KindReturned && messages[0].Message.LastResort
	}
	closeFlow := func(at time.Duration, number int) {
		agent.forward(at, relay.KindForward, clientPacket(number, segment.Acknowledge|segment.Finish, 108, 501, ""))
	}

	BeforeEach(func() {
		openAnswered(0, 1)
		agent.open(30*millisecond, 2)
	})

	It("returns new flows, and accepts them only as the last resort", func() {
		Expect(returnedAsLastResort(100*millisecond, 3)).To(BeFalse(), "the endpoint does not count as stuck yet")
		Expect(returnedAsLastResort(stuckAt, 4)).To(BeTrue())
		Expect(agent.Load().Report.HoldTime()).To(Equal(time.Second))
		Expect(agent.Load().Report.Reason).To(Equal(outlier.Hang))
		effects := agent.Receive(stuckAt, balancerA, relay.Message{
			Kind: relay.KindOffer, Service: service, Parameters: agent.parameters, LastResort: true, Packet: openingPacket(4, 100),
		})
		Expect(deliveredPackets(effects)).To(HaveLen(1))
	})

	It("gives the endpoint single trial flows after a second, and all flows once these succeed", func() {
		Expect(returnedAsLastResort(stuckAt, 3)).To(BeTrue())
		closeFlow(stuckAt, 2)
		Expect(returnedAsLastResort(stuckAt+900*millisecond, 4)).To(BeTrue())
		now := stuckAt + 2*time.Second
		for number := 10; number < 15; number++ {
			openAnswered(now, number)
			Expect(returnedAsLastResort(now+quick, 100+number)).To(Equal(number < 14), "one trial at a time")
			now += 250 * millisecond
		}
		Expect(returnedAsLastResort(now, 50)).To(BeFalse())
		Expect(returnedAsLastResort(now, 51)).To(BeFalse())
	})

	It("ejects the endpoint for longer if a trial fails", func() {
		Expect(returnedAsLastResort(stuckAt, 3)).To(BeTrue())
		closeFlow(stuckAt, 2)
		trial := stuckAt + 1100*millisecond
		agent.open(trial, 4)
		Expect(returnedAsLastResort(trial+stuckAt, 5)).To(BeTrue())
		closeFlow(trial+stuckAt, 4)
		Expect(returnedAsLastResort(trial+stuckAt+1900*millisecond, 6)).To(BeTrue())
		Expect(returnedAsLastResort(trial+stuckAt+2100*millisecond, 7)).To(BeFalse())
	})

	It("does not count a long upload as an unanswered request", func() {
		agent = newTestAgent(newAgent(true))
		openAnswered(0, 1)
		agent.open(30*millisecond, 2)
		for step := range 20 {
			at := time.Duration(30+100*(step+1)) * millisecond
			agent.forward(at, relay.KindForward, clientPacket(2, segment.Acknowledge, uint32(108+4*step), 501, "more"))
		}
		Expect(returnedAsLastResort(2050*millisecond, 3)).To(BeFalse())
	})
})
