package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Balancer, on a network that loses packets", func() {
	const (
		endpoints = 10
		interval  = 50 * millisecond
	)
	var (
		balancer *relay.Balancer
		now      time.Duration
		number   int
	)

	BeforeEach(func() {
		known := newFleet()
		balancer, now, number = newBalancer(), 0, 0
		known.configure(directory.Share{Service: service, Weight: 1})
		for each := range endpoints {
			known.endpoint(0, each, nil)
		}
		balancer.Install(0, known.machine.Snapshot())
		balancer.Confirm(0)
	})

	// open offers a flow and lets the agent answer after a time; never is not at all, and
	// then the agent that is asked next answers at once.
	open := func(answersAfter time.Duration) {
		number++
		now += interval
		offered := onlyMessage(balancer.Arrive(now, opening(number, 100))).To
		if answersAfter < 45*millisecond {
			placed(balancer, now+answersAfter, offered, number, 100)
			return
		}
		further := sent(balancer.Tick(now + 45*millisecond))
		for _, effect := range further {
			if effect.Message.Kind == relay.KindOffer {
				placed(balancer, now+46*millisecond, effect.To, number, 100)
			}
		}
		if answersAfter < time.Second {
			placed(balancer, now+answersAfter, offered, number, 100)
		}
	}
	// copies returns how many packets a request of the last flow makes.
	copies := func() []relay.Effect {
		return sent(balancer.Arrive(now+49*millisecond, fromClient(number, segment.Acknowledge, 101, 501, "request")))
	}
	const lost = time.Hour

	It("sends packets of requests once where next to nothing is lost", func() {
		for each := range 600 {
			after := millisecond
			if each%300 == 299 {
				after = lost
			}
			open(after)
			Expect(copies()).To(HaveLen(1))
		}
	})

	It("sends them twice, marked, while one offer in twenty or its answer is lost, and stops when none is", func() {
		for each := range 400 {
			after := millisecond
			if each%20 == 19 {
				after = lost
			}
			open(after)
		}
		open(millisecond)
		twice := copies()
		Expect(twice).To(HaveLen(2))
		Expect(twice[0].To).To(Equal(twice[1].To))
		Expect(twice[0].Message.Copy).To(BeFalse())
		Expect(twice[1].Message.Copy).To(BeTrue())
		acknowledgment := fromClient(number, segment.Acknowledge, 108, 501, "")
		Expect(sent(balancer.Arrive(now+49*millisecond, acknowledgment))).To(HaveLen(1), "only data")
		for range 200 {
			open(millisecond)
		}
		Expect(copies()).To(HaveLen(1))
	})

	It("does not take slow agents for losses, which copies would make slower", func() {
		for each := range 400 {
			after := millisecond
			if each%5 == 4 {
				after = 47 * millisecond
			}
			open(after)
			Expect(copies()).To(HaveLen(1))
		}
	})

	It("does not take an agent that is away for losses", func() {
		answer := func(at time.Duration, effects []relay.Effect) {
			for _, effect := range sent(effects) {
				if effect.Message.Kind != relay.KindOffer || effect.To.IP[3] < 4 {
					continue
				}
				header, _ := codec.Decode(effect.Message.Packet)
				placed(balancer, at, effect.To, int(header.Source.Port)-40000, 100)
			}
		}
		for range 400 {
			number++
			now += interval
			answer(now, balancer.Arrive(now, opening(number, 100)))
			answer(now+45*millisecond, balancer.Tick(now+45*millisecond))
		}
		now += time.Second
		balancer.Tick(now)
		open(millisecond)
		Expect(copies()).To(HaveLen(1))
	})
})

var _ = Describe("Agent, given copies of packets", func() {
	It("gives its endpoint each packet once, and a packet whose original was lost", func() {
		agent := drive(newAgent(true))
		agent.open(0, 1)
		give := func(copied bool, sequence uint32, data string) []relay.Effect {
			return delivered(agent.Receive(millisecond, balancerA, relay.Message{
				Kind: relay.KindForward, Service: service, Copy: copied, Packet: fromClient(1, segment.Acknowledge, sequence, 501, data),
			}))
		}
		Expect(give(false, 108, "one")).To(HaveLen(1))
		Expect(give(true, 108, "one")).To(BeEmpty())
		Expect(give(true, 111, "two")).To(HaveLen(1), "its original was lost")
		Expect(give(false, 111, "two")).To(HaveLen(1), "the client sends it again")
	})

	It("sends the answer to an opening packet to the client twice if it is asked to, and no other packet", func() {
		agent := drive(newAgent(true))
		agent.Receive(0, balancerA, relay.Message{
			Kind: relay.KindOffer, Service: service, Terms: agent.terms, Repeat: true, Packet: opening(1, 100),
		})
		Expect(ofKind(agent.answer(0, 1, 500), relay.EffectClient)).To(HaveLen(2))
		answer := agent.Emitted(0, fromEndpoint(1, segment.Acknowledge, 501, 108, "answer"))
		Expect(ofKind(answer, relay.EffectClient)).To(HaveLen(1))
		agent.offer(0, 2, 100)
		Expect(ofKind(agent.answer(0, 2, 500), relay.EffectClient)).To(HaveLen(1))
	})

	It("says nothing about a copy for a flow that it does not know, which it has said of the packet", func() {
		agent := drive(newAgent(true))
		stray := relay.Message{
			Kind: relay.KindForward, Service: service, Packet: fromClient(1, segment.Acknowledge, 101, 501, "x"),
		}
		Expect(sent(agent.Receive(0, balancerA, stray))).To(HaveLen(1))
		stray.Copy = true
		Expect(agent.Receive(0, balancerA, stray)).To(BeEmpty())
	})
})
