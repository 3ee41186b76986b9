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
		persistentFlows = 90
		serviceTime     = 50 * millisecond
	)
	var (
		balancer *relay.Balancer
		builder  *directoryBuilder
		number   int
	)

	// open opens a flow and returns the number of its endpoint.
	open := func(now time.Duration) int {
		number++
		to := onlyMessage(balancer.HandleClientPacket(now, openingPacket(number, 100))).To
		balancer.Receive(now, to, relay.Message{
			Kind: relay.KindPlaced, Service: service, Flow: relay.EncodeFlow(flowKey(number)), Sequence: 100,
			Load: relay.Load{ServiceTime: uint32(serviceTime.Microseconds())},
		})
		return int(to.IP[3])
	}
	closeFlow := func(now time.Duration, flow int) {
		balancer.HandleClientPacket(now, clientPacket(flow, segment.Acknowledge|segment.Finish, 101, 501, ""))
	}
	// sendRequests lets the kept flows make a request in each interval of some seconds.
	sendRequests := func(from, until, interval time.Duration) {
		sequence := uint32(101)
		for now := from; now < until; now += interval {
			for flow := 1; flow <= persistentFlows; flow++ {
				balancer.HandleClientPacket(now, clientPacket(flow, segment.Acknowledge, sequence, 501, "request"))
			}
			sequence += 7
			balancer.Tick(now)
		}
	}

	BeforeEach(func() {
		balancer, builder = newBalancerWithThreeEndpoints()
		number = 0
		counts := make(map[int]int)
		for range persistentFlows {
			counts[open(0)]++
		}
		Expect(counts).To(Equal(map[int]int{0: 30, 1: 30, 2: 30}), "an even share to begin with")
	})

	// flowsToNewEndpoint returns how many of 40 flows under way at a time a fourth endpoint gets that has
	// no kept flow.
	flowsToNewEndpoint := func(now time.Duration) int {
		builder.putEndpoint(now, 3, nil)
		balancer.Install(now, builder.machine.Snapshot())
		got := 0
		for range 40 {
			if open(now) == 3 {
				got++
			}
		}
		return got
	}

	It("gives a new endpoint about its share of the others, as the kept ones mostly rest", func() {
		sendRequests(0, 12*time.Second, time.Second)
		// 30 flows with a request of 50 ms each second take 1.5 slots of an endpoint.
		Expect(flowsToNewEndpoint(12 * time.Second)).To(BeNumerically("~", 11, 1))
	})

	It("gives it more if they are at work", func() {
		sendRequests(0, 12*time.Second, 200*millisecond)
		Expect(flowsToNewEndpoint(12 * time.Second)).To(BeNumerically("~", 15, 2))
	})

	It("counts a flow as one with a request until it knows more", func() {
		Expect(flowsToNewEndpoint(500*millisecond)).To(Equal(32), "a quarter of all")
	})

	It("forgets those that have ended", func() {
		sendRequests(0, 12*time.Second, time.Second)
		for flow := 1; flow <= persistentFlows; flow++ {
			closeFlow(12*time.Second, flow)
		}
		Expect(flowsToNewEndpoint(13 * time.Second)).To(Equal(10))
	})
})
