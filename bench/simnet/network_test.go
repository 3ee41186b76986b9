package simnet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/bench/simnet"
)

const payloadSize = 100

// recorder records received messages and the times of messages and timers.
type recorder struct {
	received []time.Duration
	messages []int
	woken    []time.Duration
}

func (r *recorder) Receive(now time.Duration, _ simnet.NodeID, message int) {
	r.received = append(r.received, now)
	r.messages = append(r.messages, message)
}

func (r *recorder) HandleTimer(now time.Duration, _ uint32) { r.woken = append(r.woken, now) }

func topologyWith(within simnet.Link) simnet.Topology {
	return simnet.Topology{
		Zones: []simnet.Zone{
			{Name: "a1", Region: "a"}, {Name: "a2", Region: "a"}, {Name: "b1", Region: "b"},
		},
		WithinZone:     within,
		BetweenZones:   simnet.Link{Delay: time.Millisecond},
		BetweenRegions: simnet.Link{Delay: 50 * time.Millisecond},
	}
}

// pair is a sender and a receiver in the first zone.
type pair struct {
	network  *simnet.Network[int]
	sender   simnet.NodeID
	receiver simnet.NodeID
	recorder *recorder
}

func newPair(link simnet.Link, seed uint64) pair {
	network := simnet.New[int](topologyWith(link), seed)
	recorder := &recorder{}
	return pair{network, network.AddNode(0, recorder), network.AddNode(0, recorder), recorder}
}

// sendMany sends one datagram per millisecond.
func (p pair) sendMany(count int) {
	for index := range count {
		p.network.At(time.Duration(index)*time.Millisecond, func() {
			p.network.Send(p.sender, p.receiver, simnet.Control, payloadSize, index)
		})
	}
	p.network.Run(time.Duration(count) * time.Millisecond * 2)
}

var _ = Describe("Network", func() {
	const count = 20_000

	It("delays datagrams within the bounds of a link with jitter and reorders some", func() {
		p := newPair(simnet.Link{Delay: 2 * time.Millisecond, Jitter: 4 * time.Millisecond}, 1)
		p.sendMany(count)
		Expect(p.recorder.received).To(HaveLen(count))
		var sum time.Duration
		overtaken := 0
		for index, at := range p.recorder.received {
			delay := at - time.Duration(p.recorder.messages[index])*time.Millisecond
			Expect(delay).To(BeNumerically(">=", 2*time.Millisecond))
			Expect(delay).To(BeNumerically("<", 6*time.Millisecond))
			sum += delay
			if index > 0 && p.recorder.messages[index] < p.recorder.messages[index-1] {
				overtaken++
			}
		}
		Expect(sum / count).To(BeNumerically("~", 4*time.Millisecond, 50*time.Microsecond))
		Expect(overtaken).To(BeNumerically(">", count/10))
	})

	It("loses and duplicates datagrams at the rates of the link", func() {
		p := newPair(simnet.Link{Delay: time.Millisecond, Loss: 0.1, Duplication: 0.05}, 2)
		p.sendMany(count)
		counters := p.network.Counters()
		Expect(float64(counters.Lost) / count).To(BeNumerically("~", 0.1, 0.01))
		Expect(float64(counters.Duplicated) / (0.9 * count)).To(BeNumerically("~", 0.05, 0.01))
		Expect(counters.Delivered).To(Equal(counters.Sent - counters.Lost + counters.Duplicated))
	})

	It("uses the links of the topology between zones and between regions", func() {
		network := simnet.New[int](topologyWith(simnet.Link{}), 1)
		recorder := &recorder{}
		sender := network.AddNode(0, recorder)
		for zone := range 3 {
			network.Send(sender, network.AddNode(simnet.ZoneID(zone), recorder), simnet.Control, payloadSize, zone)
		}
		network.Run(time.Second)
		Expect(recorder.received).To(Equal([]time.Duration{0, time.Millisecond, 50 * time.Millisecond}))
	})

	It("blocks datagrams between partitioned regions until they are healed", func() {
		network := simnet.New[int](topologyWith(simnet.Link{}), 1)
		recorder := &recorder{}
		near := network.AddNode(0, recorder)
		far := network.AddNode(2, recorder)
		network.Partition("a", "b")
		network.Send(near, far, simnet.Control, payloadSize, 1)
		network.Send(far, near, simnet.Control, payloadSize, 2)
		network.Run(time.Second)
		Expect(recorder.messages).To(BeEmpty())
		Expect(network.Counters().Partitioned).To(BeEquivalentTo(2))
		network.Heal("a", "b")
		network.Send(near, far, simnet.Control, payloadSize, 3)
		network.Run(2 * time.Second)
		Expect(recorder.messages).To(Equal([]int{3}))
	})

	It("holds datagrams and timers of a paused node until it resumes", func() {
		p := newPair(simnet.Link{Delay: time.Millisecond}, 1)
		p.network.Pause(p.receiver)
		p.network.Send(p.sender, p.receiver, simnet.Control, payloadSize, 7)
		p.network.Schedule(p.receiver, time.Millisecond, 0)
		p.network.Run(time.Second)
		Expect(p.recorder.messages).To(BeEmpty())
		p.network.Resume(p.receiver)
		Expect(p.recorder.received).To(Equal([]time.Duration{time.Second}))
		Expect(p.recorder.woken).To(Equal([]time.Duration{time.Second}))
	})

	It("discards the timers of a process that was replaced", func() {
		p := newPair(simnet.Link{Delay: time.Millisecond}, 1)
		replacement := &recorder{}
		p.network.Schedule(p.receiver, time.Second, 0)
		p.network.Restart(p.receiver, replacement)
		p.network.Send(p.sender, p.receiver, simnet.Control, payloadSize, 7)
		p.network.Run(2 * time.Second)
		Expect(p.recorder.woken).To(BeEmpty())
		Expect(replacement.woken).To(BeEmpty())
		Expect(replacement.messages).To(Equal([]int{7}))
		p.network.Stop(p.receiver)
		p.network.Send(p.sender, p.receiver, simnet.Control, payloadSize, 8)
		p.network.Run(3 * time.Second)
		Expect(p.network.Counters().Undelivered).To(BeEquivalentTo(1))
	})

	It("meters control bytes with headers and their worst window", func() {
		p := newPair(simnet.Link{}, 1)
		send := func() { p.network.Send(p.sender, p.receiver, simnet.Control, payloadSize, 0) }
		for _, at := range []time.Duration{0, 9 * time.Second, 15 * time.Second, 18 * time.Second, 40 * time.Second} {
			p.network.At(at, send)
		}
		p.network.At(16*time.Second, func() {
			p.network.Send(p.sender, p.receiver, simnet.Payload, payloadSize, 0)
		})
		p.network.Run(time.Minute)
		const each = payloadSize + simnet.HeaderSize
		usage := p.network.Usage(p.receiver)
		Expect(usage.ReceivedBytes).To(BeEquivalentTo(5 * each))
		Expect(usage.WorstWindowBytes).To(BeEquivalentTo(3 * each))
		Expect(p.network.Usage(p.sender).SentDatagrams).To(BeEquivalentTo(5))
	})

	It("repeats a run exactly for the same seed and not for another", func() {
		trace := func(seed uint64) string {
			p := newPair(simnet.Link{Delay: time.Millisecond, Jitter: time.Millisecond, Loss: 0.2, Duplication: 0.2}, seed)
			p.sendMany(1000)
			var text strings.Builder
			for index, at := range p.recorder.received {
				fmt.Fprintln(&text, at, p.recorder.messages[index])
			}
			return text.String()
		}
		Expect(trace(5)).To(Equal(trace(5)))
		Expect(trace(5)).NotTo(Equal(trace(6)))
	})
})

// repeater sends a datagram at each timer and sets the timer again.
type repeater struct {
	network *simnet.Network[int]
	id      simnet.NodeID
	peer    simnet.NodeID
}

func (r *repeater) Receive(time.Duration, simnet.NodeID, int) {}

func (r *repeater) HandleTimer(time.Duration, uint32) {
	r.network.Send(r.id, r.peer, simnet.Control, payloadSize, 0)
	r.network.Schedule(r.id, 100*time.Millisecond, 0)
}

// BenchmarkEvents measures events per second with 1,100 nodes, each of which sends ten
// datagrams per second of virtual time.
func BenchmarkEvents(b *testing.B) {
	const nodes = 1100
	network := simnet.New[int](topologyWith(simnet.Link{Delay: time.Millisecond, Jitter: time.Millisecond, Loss: 0.01}), 1)
	for index := range nodes {
		handler := &repeater{network: network, peer: simnet.NodeID((index + 1) % nodes)}
		handler.id = network.AddNode(0, handler)
		network.Schedule(handler.id, time.Duration(index)*100*time.Microsecond, 0)
	}
	before := network.Counters().Events
	for b.Loop() {
		network.Run(network.Now() + time.Second)
	}
	events := network.Counters().Events - before
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}
