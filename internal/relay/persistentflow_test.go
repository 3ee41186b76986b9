package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Balancer, with persistent flows", func() {
	const (
		persistentFlows = 90
		processingTime  = 50 * millisecond
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
			Load: relay.Load{ProcessingTime: uint32(processingTime.Microseconds())},
		})
		return int(to.IP[3])
	}
	closeFlow := func(now time.Duration, flow int) {
		balancer.HandleClientPacket(now, clientPacket(flow, segment.Acknowledge|segment.Finish, 101, 501, ""))
	}
	// sendRequests sends a request in each persistent flow at regular intervals.
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
		Expect(counts).To(Equal(map[int]int{0: 30, 1: 30, 2: 30}), "flows start evenly spread")
	})

	// flowsToNewEndpoint adds a fourth endpoint without persistent flows and returns how many of 40
	// concurrent new flows it gets.
	flowsToNewEndpoint := func(now time.Duration) int {
		builder.putEndpoint(now, 3, nil)
		balancer.Install(now, builder.replica.Snapshot())
		got := 0
		for range 40 {
			if open(now) == 3 {
				got++
			}
		}
		return got
	}

	It("gives a new endpoint about an even share of new flows while persistent flows are mostly idle", func() {
		sendRequests(0, 12*time.Second, time.Second)
		// In 30 flows, one request of 50 ms each second occupies 1.5 slots of an endpoint.
		Expect(flowsToNewEndpoint(12 * time.Second)).To(BeNumerically("~", 11, 1))
	})

	It("gives a new endpoint more new flows while persistent flows are busy", func() {
		sendRequests(0, 12*time.Second, 200*millisecond)
		Expect(flowsToNewEndpoint(12 * time.Second)).To(BeNumerically("~", 15, 2))
	})

	It("counts each flow as one slot until the demand is known", func() {
		Expect(flowsToNewEndpoint(500*millisecond)).To(Equal(32), "a quarter of all flows")
	})

	It("does not count persistent flows that have ended", func() {
		sendRequests(0, 12*time.Second, time.Second)
		for flow := 1; flow <= persistentFlows; flow++ {
			closeFlow(12*time.Second, flow)
		}
		Expect(flowsToNewEndpoint(13 * time.Second)).To(Equal(10))
	})
})
