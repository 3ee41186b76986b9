package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/placement"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// endpointGroup is a set of endpoints that are expected to be equally busy: those of a service in a
// zone that are slow, or those that are not. Slow endpoints get fewer flows, and the demand differs
// between zones.
type endpointGroup struct {
	service string
	zone    string
	slow    bool
}

// utilizationOf returns the utilization of the group of an endpoint with the given slowness.
func (b *Balancer) utilizationOf(candidate directory.Candidate, slowness float64) *placement.GroupUtilization {
	key := endpointGroup{candidate.Endpoint.Service, candidate.Endpoint.Zone, slowness > 1}
	utilization, exists := b.utilization[key]
	if !exists {
		utilization = &placement.GroupUtilization{}
		b.utilization[key] = utilization
	}
	return utilization
}

// recordUtilization records how many requests an endpoint works on according to its agent. A flow
// that the agent returns is not included, but is still counted among the flows that this balancer
// gave the endpoint.
func (b *Balancer) recordUtilization(now time.Duration, from segment.Address, message Message) {
	candidate, exists := b.snapshot.CandidateAt(from.IP)
	if !exists || candidate.Endpoint.Service != message.Service || candidate.Endpoint.Slots == 0 {
		return
	}
	health := b.healthOf(candidate.ID)
	medianProcessingTime := b.medianProcessingTime(now, message.Service)
	ownRequests := float64(health.outstanding) + b.demandOf(message.Service).slotsPerFlow(medianProcessingTime)*float64(health.persistent)
	if message.Kind == KindReturned {
		ownRequests--
	}
	health.utilization = placement.LoadReport{SlotsUsedByOthers: max(float64(message.Load.Pending)-max(ownRequests, 0), 0), ReceivedAt: now, Received: true}
	b.utilizationOf(candidate, health.slowness(now, medianProcessingTime)).Observe(now, health.utilization.SlotsUsedByOthers/float64(candidate.Endpoint.Slots))
}
