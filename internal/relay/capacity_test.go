package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Agent, reporting the requests of its endpoint", func() {
	const work = 50 * millisecond
	var agent *testAgent

	BeforeEach(func() { agent = newTestAgent(newAgent(true)) })

	answerRequest := func(now time.Duration, number int) {
		agent.HandleEndpointPacket(now, endpointPacket(number, segment.Acknowledge, 501, 108, "answer"))
	}

	It("counts requests at the endpoint, waiting requests and expected requests as pending", func() {
		agent.open(0, 0)
		agent.offer(0, 1, 100)
		Expect(agent.Load().Pending).To(Equal(uint32(2)), "one at the endpoint and one expected")
		agent.lastResort = true
		for number := 2; number < 5; number++ {
			agent.open(0, number)
		}
		Expect(agent.Load().Waiting).To(Equal(uint32(1)))
		Expect(agent.Load().Pending).To(Equal(uint32(5)))
	})

	It("does not count a late waiting request, since a new one goes before it", func() {
		agent.lastResort = true
		for number := range 5 {
			agent.open(0, number)
		}
		Expect(agent.Load().Pending).To(Equal(uint32(5)), "three at the endpoint and two waiting")
		agent.Tick(300 * millisecond)
		Expect(agent.Load().Waiting).To(Equal(uint32(2)))
		Expect(agent.Load().Pending).To(Equal(uint32(3)))
	})

	It("does not count a flow that was opened in advance", func() {
		agent.offer(0, 0, 100)
		agent.answer(millisecond, 0, 500)
		Expect(agent.Load().Pending).To(Equal(uint32(1)))
		agent.Tick(time.Second)
		Expect(agent.Load().Pending).To(BeZero())
	})

	It("counts neither answered requests nor ended flows", func() {
		agent.open(0, 0)
		answerRequest(work, 0)
		Expect(agent.Load().Pending).To(BeZero())
		agent.offer(work, 1, 100)
		agent.forward(work, relay.KindForward, clientPacket(1, segment.Reset, 101, 0, ""))
		agent.answer(work, 1, 500)
		agent.HandleEndpointPacket(work, endpointPacket(1, segment.Reset, 501, 101, ""))
		Expect(agent.Load().Pending).To(BeZero())
	})

	It("excludes the wait at the endpoint from the processing time", func() {
		for number := range 3 {
			agent.open(0, number)
		}
		answerRequest(work, 0)
		answerRequest(work, 1)
		answerRequest(2*work, 2)
		Expect(agent.Load().ProcessingTime).To(Equal(uint32(work.Microseconds())))
	})

	It("counts a long request as an occupied slot without raising the processing time", func() {
		agent.open(0, 0)
		now := time.Duration(0)
		for number := 1; number < 20; number++ {
			agent.open(now, number)
			now += work
			answerRequest(now, number)
		}
		Expect(agent.Load().Pending).To(Equal(uint32(1)))
		answerRequest(now, 0)
		Expect(agent.Load().ProcessingTime).To(Equal(uint32(work.Microseconds())))
		Expect(agent.Load().Pending).To(BeZero())
	})
})
