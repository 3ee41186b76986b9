package virtualnet_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/membership/virtualnet"
)

func TestVirtualnet(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "virtualnet")
}

// recorder records the messages it receives and the times.
type recorder struct {
	ticks    int
	received []string
	at       []time.Duration
}

func (r *recorder) Tick(time.Duration) { r.ticks++ }

func (r *recorder) Receive(now time.Duration, _ virtualnet.NodeID, message string) {
	r.received = append(r.received, message)
	r.at = append(r.at, now)
}

var _ = ginkgo.Describe("Network", func() {
	var network *virtualnet.Network[string]
	var receiver *recorder

	build := func(config virtualnet.Config) {
		config.TickInterval = 100 * time.Millisecond
		network = virtualnet.New[string](config)
		receiver = &recorder{}
		network.Attach(1, &recorder{})
		network.Attach(2, receiver)
	}

	ginkgo.It("delivers a datagram after the delay and counts its bytes at both ends", func() {
		build(virtualnet.Config{Delay: func(virtualnet.NodeID, virtualnet.NodeID) time.Duration { return time.Second }})
		network.Send(1, 2, 72, "hello")
		network.Run(2 * time.Second)
		gomega.Expect(receiver.at).To(gomega.Equal([]time.Duration{time.Second}))
		gomega.Expect(network.Traffic(1).Mean(0, 2*time.Second)).To(gomega.Equal(50.0))
		gomega.Expect(network.Traffic(2).Peak(0, 20*time.Second)).To(gomega.Equal(10.0))
	})

	ginkgo.It("queues datagrams for a paused process and does not tick it", func() {
		build(virtualnet.Config{})
		network.Pause(2)
		network.Send(1, 2, 1, "waiting")
		network.Run(time.Second)
		gomega.Expect(receiver.received).To(gomega.BeEmpty())
		gomega.Expect(receiver.ticks).To(gomega.BeZero())
		network.Resume(2)
		gomega.Expect(receiver.received).To(gomega.Equal([]string{"waiting"}))
		network.Run(time.Second)
		gomega.Expect(receiver.ticks).To(gomega.Equal(10))
	})

	ginkgo.DescribeTable("delivers, drops or duplicates a datagram as configured",
		func(config virtualnet.Config, partitioned bool, expected int) {
			build(config)
			if partitioned {
				network.SetPartition(func(from, _ virtualnet.NodeID) bool { return from == 1 })
			}
			network.Send(1, 2, 1, "once")
			network.Run(time.Second)
			gomega.Expect(receiver.received).To(gomega.HaveLen(expected))
		},
		ginkgo.Entry("without faults", virtualnet.Config{}, false, 1),
		ginkgo.Entry("with loss", virtualnet.Config{Loss: 1}, false, 0),
		ginkgo.Entry("with duplication", virtualnet.Config{Duplication: 1}, false, 2),
		ginkgo.Entry("with a partition", virtualnet.Config{}, true, 0),
	)

	ginkgo.It("does not tick a node that was replaced", func() {
		build(virtualnet.Config{})
		network.Attach(2, &recorder{})
		network.Run(time.Second)
		gomega.Expect(receiver.ticks).To(gomega.BeZero())
	})
})
