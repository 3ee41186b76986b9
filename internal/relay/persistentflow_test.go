package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Balancer, with flows that are kept", func() {
	const (
		keptFlows = 90
		pace      = 50 * millisecond
	)
	var (
		balancer *relay.Balancer
		known    *fleet
		number   int
	)

	// open opens a flow and returns the number of its endpoint.
	open := func(now time.Duration) int {
		number++
		to := onlyMessage(balancer.HandleClientPacket(now, opening(number, 100))).To
		balancer.Receive(now, to, relay.Message{
			Kind: relay.KindPlaced, Service: service, Flow: relay.EncodeFlow(keyOf(number)), Sequence: 100,
			Load: relay.Load{ServiceTime: uint32(pace.Microseconds())},
		})
		return int(to.IP[3])
	}
	end := func(now time.Duration, flow int) {
		balancer.HandleClientPacket(now, fromClient(flow, segment.Acknowledge|segment.Finish, 101, 501, ""))
	}
	// keep lets the kept flows make a request in each interval of some seconds.
	keep := func(from, until, interval time.Duration) {
		sequence := uint32(101)
		for now := from; now < until; now += interval {
			for flow := 1; flow <= keptFlows; flow++ {
				balancer.HandleClientPacket(now, fromClient(flow, segment.Acknowledge, sequence, 501, "request"))
			}
			sequence += 7
			balancer.Tick(now)
		}
	}

	BeforeEach(func() {
		balancer, known = balancerOfThree()
		number = 0
		counts := make(map[int]int)
		for range keptFlows {
			counts[open(0)]++
		}
		Expect(counts).To(Equal(map[int]int{0: 30, 1: 30, 2: 30}), "an even share to begin with")
	})

	// shareOfNew returns how many of 40 flows under way at a time a fourth endpoint gets that has
	// no kept flow.
	shareOfNew := func(now time.Duration) int {
		known.endpoint(now, 3, nil)
		balancer.Install(now, known.machine.Snapshot())
		got := 0
		for range 40 {
			if open(now) == 3 {
				got++
			}
		}
		return got
	}

	It("gives a new endpoint about its share of the others, as the kept ones mostly rest", func() {
		keep(0, 12*time.Second, time.Second)
		// 30 flows with a request of 50 ms each second take 1.5 slots of an endpoint.
		Expect(shareOfNew(12 * time.Second)).To(BeNumerically("~", 11, 1))
	})

	It("gives it more if they are at work", func() {
		keep(0, 12*time.Second, 200*millisecond)
		Expect(shareOfNew(12 * time.Second)).To(BeNumerically("~", 15, 2))
	})

	It("counts a flow as one with a request until it knows more", func() {
		Expect(shareOfNew(500*millisecond)).To(Equal(32), "a quarter of all")
	})

	It("forgets those that have ended", func() {
		keep(0, 12*time.Second, time.Second)
		for flow := 1; flow <= keptFlows; flow++ {
			end(12*time.Second, flow)
		}
		Expect(shareOfNew(13 * time.Second)).To(Equal(10))
	})
})
