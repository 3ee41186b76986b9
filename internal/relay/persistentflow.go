package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// persistentAfter is the age from which a flow counts as persistent, that is, as open for many
	// requests. Most flows for a single request have ended by then.
	persistentAfter = time.Second
	// minRequestGap is the minimum time between the packets of two requests of a flow. Packets of
	// one request follow each other faster.
	minRequestGap = 20 * time.Millisecond
	// demandWeight is the weight of the latest second in the average demand of a service.
	demandWeight = 0.2
	// minDemand is the minimum demand of a persistent flow in slots, so that idle flows are still
	// spread evenly.
	minDemand = 0.01
)

// persistentDemand is the demand of the persistent flows of a service. Such a flow uses no slot of
// its endpoint while idle and one slot during a request. If each flow always counted as one slot,
// endpoints without persistent flows, such as restarted ones, would get all new flows.
type persistentDemand struct {
	// flows is the number of persistent flows at the last sweep. requests is the number of requests
	// in them since then.
	flows    int
	requests int
	// requestRate is the mean number of requests a second of one persistent flow, 0 if unknown.
	requestRate float64
}

// update adds the requests since the last sweep to the average request rate.
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

// slotsPerFlow returns the mean number of slots that one persistent flow uses at a processing time
// in microseconds (Little's law). It is 1 until the request rate and the processing time are known.
func (d *persistentDemand) slotsPerFlow(processingTime uint32) float64 {
	if d.requestRate == 0 || processingTime == 0 {
		return 1
	}
	return min(max(d.requestRate*float64(processingTime)/microsecondsPerSecond, minDemand), 1)
}

func (b *Balancer) demandOf(service string) *persistentDemand {
	demand, exists := b.demand[service]
	if !exists {
		demand = &persistentDemand{}
		b.demand[service] = demand
	}
	return demand
}

// markPersistent counts a flow as persistent once it is old enough.
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

// recordRequest counts a request of a persistent flow.
func (b *Balancer) recordRequest(now time.Duration, flow *balancerFlow, header segment.Header) {
	if header.Length == 0 {
		return
	}
	if flow.persistent && now-flow.lastRequestAt >= minRequestGap {
		b.demandOf(flow.service).requests++
	}
	flow.lastRequestAt = now
}
