package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// keptAfter is how long a flow has to be open to count as kept for many requests; one
	// for a single request has mostly ended by then.
	keptAfter = time.Second
	// requestGap is the least time between the packets of two requests of a flow; those of
	// one request follow each other faster.
	requestGap = 20 * time.Millisecond
	// demandWeight is the weight of a new second in what is known of a service's kept flows.
	demandWeight = 0.2
	// leastDemand bounds from below what a kept flow counts, so that flows which all rest
	// are still spread evenly.
	leastDemand = 0.01
)

// demand is what the kept flows of a service ask for: at rest they cost an endpoint nothing,
// and a flow with a request costs a slot. If each counts as one with a request, endpoints
// without kept flows, such as those that have just come back, get all new flows.
type demand struct {
	// flows is the number of kept flows at the last sweep, and requests how many requests
	// they have made since.
	flows    int
	requests int
	// rate is the mean number of requests a second of one kept flow, 0 if not known.
	rate float64
}

// measure takes account of what was seen since the last sweep.
func (d *demand) measure(elapsed time.Duration) {
	if d.flows > 0 && elapsed > 0 {
		seen := float64(d.requests) / float64(d.flows) / elapsed.Seconds()
		if d.rate == 0 {
			d.rate = seen
		}
		d.rate += demandWeight * (seen - d.rate)
	}
	d.flows, d.requests = 0, 0
}

// slots is the mean number of slots that one kept flow takes if an answer takes as long as
// usual, in microseconds (Little's law). A flow counts as one with a request until its
// service is known.
func (d *demand) slots(usual uint32) float64 {
	if d.rate == 0 || usual == 0 {
		return 1
	}
	return min(max(d.rate*float64(usual)/microsecondsInSecond, leastDemand), 1)
}

func (b *Balancer) demandOf(service string) *demand {
	known, exists := b.demands[service]
	if !exists {
		known = &demand{}
		b.demands[service] = known
	}
	return known
}

// keepOld makes a flow that has been open for long count as kept.
func (b *Balancer) keepOld(now time.Duration, flow *balancerFlow) {
	if flow.state != flowPlaced || !flow.counted {
		return
	}
	if !flow.kept && now-flow.opened >= keptAfter {
		b.uncount(flow)
		flow.kept = true
		b.count(flow)
	}
	if flow.kept {
		b.demandOf(flow.service).flows++
	}
}

// noteRequest counts a request of a kept flow.
func (b *Balancer) noteRequest(now time.Duration, flow *balancerFlow, header segment.Header) {
	if header.Length == 0 {
		return
	}
	if flow.kept && now-flow.asked >= requestGap {
		b.demandOf(flow.service).requests++
	}
	flow.asked = now
}
