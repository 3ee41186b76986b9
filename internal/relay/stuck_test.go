package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Agent, with an endpoint that leaves requests without an answer", func() {
	var agent *drivenAgent

	BeforeEach(func() { agent = drive(newAgent(true)) })

	const (
		stuckAt = 400 * millisecond
		quick   = 20 * millisecond
	)
	answered := func(at time.Duration, number int) {
		agent.open(at, number)
		agent.HandleEndpointPacket(at+quick, fromEndpoint(number, segment.Acknowledge, 501, 108, "answer"))
	}
	// returnedAsLast reports whether an opening packet is returned for want of trust.
	returnedAsLast := func(at time.Duration, number int) bool {
		messages := sentTo(balancerA, agent.offer(at, number, 100))
		return len(messages) == 1 && messages[0].Message.Kind == relay.KindReturned && messages[0].Message.LastResort
	}
	close := func(at time.Duration, number int) {
		agent.forward(at, relay.KindForward, fromClient(number, segment.Acknowledge|segment.Finish, 108, 501, ""))
	}

	BeforeEach(func() {
		answered(0, 1)
		agent.open(30*millisecond, 2)
	})

	It("returns new flows, which it takes only if nobody else does", func() {
		Expect(returnedAsLast(100*millisecond, 3)).To(BeFalse(), "not before it is sure")
		Expect(returnedAsLast(stuckAt, 4)).To(BeTrue())
		Expect(agent.Load().Report.HoldTime()).To(Equal(time.Second))
		Expect(agent.Load().Report.Reason).To(Equal(outlier.Hang))
		effects := agent.Receive(stuckAt, balancerA, relay.Message{
			Kind: relay.KindOffer, Service: service, Parameters: agent.terms, LastResort: true, Packet: opening(4, 100),
		})
		Expect(delivered(effects)).To(HaveLen(1))
	})

	It("lets the endpoint prove itself with a few flows after a second, and trusts it then", func() {
		Expect(returnedAsLast(stuckAt, 3)).To(BeTrue())
		close(stuckAt, 2)
		Expect(returnedAsLast(stuckAt+900*millisecond, 4)).To(BeTrue())
		now := stuckAt + 2*time.Second
		for number := 10; number < 15; number++ {
			answered(now, number)
			Expect(returnedAsLast(now+quick, 100+number)).To(Equal(number < 14), "one trial at a time")
			now += 250 * millisecond
		}
		Expect(returnedAsLast(now, 50)).To(BeFalse())
		Expect(returnedAsLast(now, 51)).To(BeFalse())
	})

	It("leaves the endpoint out for longer if a trial fails", func() {
		Expect(returnedAsLast(stuckAt, 3)).To(BeTrue())
		close(stuckAt, 2)
		trial := stuckAt + 1100*millisecond
		agent.open(trial, 4)
		Expect(returnedAsLast(trial+stuckAt, 5)).To(BeTrue())
		close(trial+stuckAt, 4)
		Expect(returnedAsLast(trial+stuckAt+1900*millisecond, 6)).To(BeTrue())
		Expect(returnedAsLast(trial+stuckAt+2100*millisecond, 7)).To(BeFalse())
	})

	It("does not take a long upload for a request without an answer", func() {
		agent = drive(newAgent(true))
		answered(0, 1)
		agent.open(30*millisecond, 2)
		for step := range 20 {
			at := time.Duration(30+100*(step+1)) * millisecond
			agent.forward(at, relay.KindForward, fromClient(2, segment.Acknowledge, uint32(108+4*step), 501, "more"))
		}
		Expect(returnedAsLast(2050*millisecond, 3)).To(BeFalse())
	})
})
