package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// slowRatio is the ratio of processing time to median from which an endpoint counts as slow.
	// Smaller ratios may be due to chance.
	slowRatio = 1.5
	// processingTimeRefresh is the maximum age of the processing time of a slow endpoint. Such an
	// endpoint gets few new flows whose messages would update it.
	processingTimeRefresh = 300 * time.Millisecond
	// medianLifetime is how long a median is reused. Computing it takes a pass over all endpoints
	// of the service.
	medianLifetime = 100 * time.Millisecond
	// slowRetention is how long an endpoint counts as slow while its processing time does not
	// change. After that it gets flows again and shows whether it has recovered.
	slowRetention = 2 * time.Second
)

// recordProcessingTime records the processing time that an agent reports. The number of flows at an
// endpoint says little about its processing time if many of them are persistent.
func (b *Balancer) recordProcessingTime(now time.Duration, from segment.Address, load Load) {
	candidate, exists := b.snapshot.CandidateAt(from.IP)
	if !exists || load.ProcessingTime == 0 {
		return
	}
	health := b.healthOf(candidate.ID)
	if b.medianProcessingTimes[candidate.Endpoint.Service].processingTime == 0 {
		delete(b.medianProcessingTimes, candidate.Endpoint.Service)
	}
	if health.processingTime != load.ProcessingTime {
		health.processingTime, health.processingTimeChangedAt = load.ProcessingTime, now
	}
	health.processingTimeRefreshedAt = now
}

// cachedMedian is the median processing time of a service, with the time at which it was computed.
type cachedMedian struct {
	processingTime uint32
	computedAt     time.Duration
}

// medianProcessingTime returns the median processing time of the endpoints of a service, 0 if none
// is known.
func (b *Balancer) medianProcessingTime(now time.Duration, service string) uint32 {
	median, exists := b.medianProcessingTimes[service]
	if !exists || now-median.computedAt >= medianLifetime {
		median = cachedMedian{b.computeMedian(service), now}
		b.medianProcessingTimes[service] = median
	}
	return median.processingTime
}

func (b *Balancer) computeMedian(service string) uint32 {
	b.processingTimeScratch = b.processingTimeScratch[:0]
	for _, candidate := range b.snapshot.Candidates(service) {
		if health, exists := b.health[candidate.ID]; exists && health.processingTime > 0 && !candidate.Leaving {
			b.processingTimeScratch = append(b.processingTimeScratch, health.processingTime)
		}
	}
	if len(b.processingTimeScratch) == 0 {
		return 0
	}
	slices.Sort(b.processingTimeScratch)
	return b.processingTimeScratch[(len(b.processingTimeScratch)-1)/2]
}

// slowness returns the ratio of the endpoint's processing time to the median, or 1 if the ratio is
// unknown or may be due to chance.
func (h *endpointHealth) slowness(now time.Duration, median uint32) float64 {
	if median == 0 || now-h.processingTimeChangedAt >= slowRetention {
		return 1
	}
	ratio := float64(h.processingTime) / float64(median)
	if ratio < slowRatio {
		return 1
	}
	return ratio
}

// refreshProcessingTime pings the agent of a slow endpoint for its current processing time.
func (b *Balancer) refreshProcessingTime(now time.Duration, candidate directory.Candidate, health *endpointHealth) {
	if now-health.processingTimeRefreshedAt < processingTimeRefresh {
		return
	}
	health.processingTimeRefreshedAt = now
	b.send(b.agentAddress(candidate), Message{Kind: KindPing, Service: candidate.Endpoint.Service})
}
