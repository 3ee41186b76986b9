package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// persistentAfter is how long a flow has to be open to count as kept for many requests; one
	// for a single request has mostly ended by then.
	persistentAfter = time.Second
	// minRequestGap is the least time between the packets of two requests of a flow; those of
	// one request follow each other faster.
	minRequestGap = 20 * time.Millisecond
	// demandWeight is the weight of a new second in what is known of a service's kept flows.
	demandWeight = 0.2
	// minDemand bounds from below what a kept flow counts, so that flows which all rest
	// are still spread evenly.
	minDemand = 0.01
)

// persistentDemand is what the kept flows of a service ask for: at rest they cost an endpoint nothing,
// and a flow with a request costs a slot. If each counts as one with a request, endpoints
// without kept flows, such as those that have just come back, get all new flows.
type persistentDemand struct {
	// flows is the number of kept flows at the last sweep, and requests how many requests
	// they have made since.
	flows    int
	requests int
	// requestRate is the mean number of requests a second of one kept flow, 0 if not known.
	requestRate float64
}

// update takes account of what was seen since the last sweep.
func (d *persistentDemand) update(elapsed time.Duration) {
	if d.flows > 0 && elapsed > 0 {
		rate := float64(d.requests) / float64(d.flows) / elapsed.Seconds()
		if d.requestRate == 0 {
			d.requestRate = rate
		}
		d.requestRate += demandWeight * (rate - d.requestRate)
	}
	d.flows, d.requests = 0, 0
}

// slotsPerFlow is the mean number of slotsPerFlow that one kept flow takes if an answer takes as long as
// usual, in microseconds (Little's law). A flow counts as one with a request until its
// service is known.
func (d *persistentDemand) slotsPerFlow(serviceTime uint32) float64 {
	if d.requestRate == 0 || serviceTime == 0 {
		return 1
	}
	return min(max(d.requestRate*float64(serviceTime)/microsecondsPerSecond, minDemand), 1)
}

func (b *Balancer) demandOf(service string) *persistentDemand {
	demand, exists := b.demand[service]
	if !exists {
		demand = &persistentDemand{}
		b.demand[service] = demand
	}
	return demand
}

// markPersistent makes a flow that has been open for long count as kept.
func (b *Balancer) markPersistent(now time.Duration, flow *balancerFlow) {
	if flow.state != flowPlaced || !flow.counted {
		return
	}
	if !flow.persistent && now-flow.openedAt >= persistentAfter {
		b.uncountFlow(flow)
		flow.persistent = true
		b.countFlow(flow)
	}
	if flow.persistent {
		b.demandOf(flow.service).flows++
	}
}

// noteRequest counts a request of a kept flow.
func (b *Balancer) noteRequest(now time.Duration, flow *balancerFlow, header segment.Header) {
	if header.Length == 0 {
		return
	}
	if flow.persistent && now-flow.lastRequestAt >= minRequestGap {
		b.demandOf(flow.service).requests++
	}
	flow.lastRequestAt = now
}
