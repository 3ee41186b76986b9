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
		// stuckTime is later than the start of a request at 30 ms plus minStuckTime, which is
		// 300 ms.
		stuckTime    = 400 * millisecond
		responseTime = 20 * millisecond
	)
	openAnswered := func(at time.Duration, number int) {
		agent.open(at, number)
		agent.HandleEndpointPacket(at+responseTime, endpointPacket(number, segment.Acknowledge, 501, 108, "answer"))
	}
	// returnsAsLastResort offers a new flow and reports whether the agent returns it with
	// LastResort set, which means that it accepts the flow only if no other endpoint does.
	returnsAsLastResort := func(at time.Duration, number int) bool {
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

	It("returns new flows, and accepts a flow only if no other endpoint does", func() {
		Expect(returnsAsLastResort(100*millisecond, 3)).To(BeFalse(), "the endpoint does not count as stuck yet")
		Expect(returnsAsLastResort(stuckTime, 4)).To(BeTrue())
		Expect(agent.Load().Report.HoldTime()).To(Equal(time.Second))
		Expect(agent.Load().Report.Reason).To(Equal(outlier.Hang))
		effects := agent.Receive(stuckTime, balancerA, relay.Message{
			Kind: relay.KindOffer, Service: service, Parameters: agent.parameters, LastResort: true, Packet: openingPacket(4, 100),
		})
		Expect(deliveredPackets(effects)).To(HaveLen(1))
	})

	It("admits one trial flow at a time after an ejection of one second, and all flows after five successful trials", func() {
		Expect(returnsAsLastResort(stuckTime, 3)).To(BeTrue())
		closeFlow(stuckTime, 2)
		Expect(returnsAsLastResort(stuckTime+900*millisecond, 4)).To(BeTrue())
		// The ejection has ended: it lasts one second after the last detection at stuckTime.
		now := stuckTime + 2*time.Second
		for number := 10; number < 15; number++ {
			openAnswered(now, number)
			Expect(returnsAsLastResort(now+responseTime, 100+number)).To(Equal(number < 14), "trials are 200 ms apart until the fifth succeeds")
			now += 250 * millisecond
		}
		Expect(returnsAsLastResort(now, 50)).To(BeFalse())
		Expect(returnsAsLastResort(now, 51)).To(BeFalse())
	})

	It("doubles the ejection time if a trial fails", func() {
		Expect(returnsAsLastResort(stuckTime, 3)).To(BeTrue())
		closeFlow(stuckTime, 2)
		trial := stuckTime + 1100*millisecond
		agent.open(trial, 4)
		Expect(returnsAsLastResort(trial+stuckTime, 5)).To(BeTrue())
		closeFlow(trial+stuckTime, 4)
		// The second ejection lasts two seconds.
		Expect(returnsAsLastResort(trial+stuckTime+1900*millisecond, 6)).To(BeTrue())
		Expect(returnsAsLastResort(trial+stuckTime+2100*millisecond, 7)).To(BeFalse())
	})

	It("does not count a long upload as an unanswered request", func() {
		agent = newTestAgent(newAgent(true))
		openAnswered(0, 1)
		agent.open(30*millisecond, 2)
		for step := range 20 {
			at := time.Duration(30+100*(step+1)) * millisecond
			agent.forward(at, relay.KindForward, clientPacket(2, segment.Acknowledge, uint32(108+4*step), 501, "more"))
		}
		Expect(returnsAsLastResort(2050*millisecond, 3)).To(BeFalse())
	})
})
