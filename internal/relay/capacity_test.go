package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Agent, telling what its endpoint works on", func() {
	const work = 50 * millisecond
	var agent *drivenAgent

	BeforeEach(func() { agent = drive(newAgent(true)) })

	answerRequest := func(now time.Duration, number int) {
		agent.HandleEndpointPacket(now, fromEndpoint(number, segment.Acknowledge, 501, 108, "answer"))
	}

	It("counts requests at the endpoint, those that wait and those that are about to come", func() {
		agent.open(0, 0)
		agent.offer(0, 1, 100)
		Expect(agent.Load().Pending).To(Equal(uint32(2)), "one at the endpoint and one to come")
		agent.lastResort = true
		for number := 2; number < 5; number++ {
			agent.open(0, number)
		}
		Expect(agent.Load().Waiting).To(Equal(uint32(1)))
		Expect(agent.Load().Pending).To(Equal(uint32(5)))
	})

	It("counts no request that waits and is late already, since a new one goes before it", func() {
		agent.lastResort = true
		for number := range 5 {
			agent.open(0, number)
		}
		Expect(agent.Load().Pending).To(Equal(uint32(5)), "three at the endpoint and two that wait")
		agent.Tick(300 * millisecond)
		Expect(agent.Load().Waiting).To(Equal(uint32(2)))
		Expect(agent.Load().Pending).To(Equal(uint32(3)))
	})

	It("counts no flow that was opened ahead of need", func() {
		agent.offer(0, 0, 100)
		agent.answer(millisecond, 0, 500)
		Expect(agent.Load().Pending).To(Equal(uint32(1)))
		agent.Tick(time.Second)
		Expect(agent.Load().Pending).To(BeZero())
	})

	It("counts neither what is answered nor what has ended", func() {
		agent.open(0, 0)
		answerRequest(work, 0)
		Expect(agent.Load().Pending).To(BeZero())
		agent.offer(work, 1, 100)
		agent.forward(work, relay.KindForward, fromClient(1, segment.Reset, 101, 0, ""))
		agent.answer(work, 1, 500)
		agent.HandleEndpointPacket(work, fromEndpoint(1, segment.Reset, 501, 101, ""))
		Expect(agent.Load().Pending).To(BeZero())
	})

	It("takes the wait at the endpoint out of its pace", func() {
		for number := range 3 {
			agent.open(0, number)
		}
		answerRequest(work, 0)
		answerRequest(work, 1)
		answerRequest(2*work, 2)
		Expect(agent.Load().ServiceTime).To(Equal(uint32(work.Microseconds())))
	})

	It("counts a request that takes long as a slot less, not as slowness", func() {
		agent.open(0, 0)
		now := time.Duration(0)
		for number := 1; number < 20; number++ {
			agent.open(now, number)
			now += work
			answerRequest(now, number)
		}
		Expect(agent.Load().Pending).To(Equal(uint32(1)))
		answerRequest(now, 0)
		Expect(agent.Load().ServiceTime).To(Equal(uint32(work.Microseconds())))
		Expect(agent.Load().Pending).To(BeZero())
	})
})
