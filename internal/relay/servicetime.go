package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// slowRatio is the ratio of service time to median from which an endpoint counts as slow.
	// Smaller ratios are within chance.
	slowRatio = 1.5
	// serviceTimeRefresh is the maximum age of the service time of a slow endpoint. Such an
	// endpoint gets few new flows whose messages would update it.
	serviceTimeRefresh = 300 * time.Millisecond
	// medianLifetime is how long a median is reused. To compute it takes a pass over all endpoints
	// of the service.
	medianLifetime = 100 * time.Millisecond
	// slowRetention is how long an endpoint counts as slow while its service time does not change.
	// After that it gets flows again and shows whether it has recovered.
	slowRetention = 2 * time.Second
)

// noteServiceTime records the service time that an agent reports. For an endpoint with persistent
// flows the number of flows says little about it.
func (b *Balancer) noteServiceTime(now time.Duration, from segment.Address, load Load) {
	candidate, exists := b.snapshot.CandidateAt(from.IP)
	if !exists || load.ServiceTime == 0 {
		return
	}
	health := b.healthOf(candidate.ID)
	if b.medianServiceTimes[candidate.Endpoint.Service].serviceTime == 0 {
		delete(b.medianServiceTimes, candidate.Endpoint.Service)
	}
	if health.serviceTime != load.ServiceTime {
		health.serviceTime, health.serviceTimeChangedAt = load.ServiceTime, now
	}
	health.serviceTimeRefreshedAt = now
}

// cachedMedian is the median service time of a service, with the time at which it was computed.
type cachedMedian struct {
	serviceTime uint32
	computedAt  time.Duration
}

// medianServiceTime returns the median service time of the endpoints of a service, 0 if none is
// known.
func (b *Balancer) medianServiceTime(now time.Duration, service string) uint32 {
	median, exists := b.medianServiceTimes[service]
	if !exists || now-median.computedAt >= medianLifetime {
		median = cachedMedian{b.computeMedian(service), now}
		b.medianServiceTimes[service] = median
	}
	return median.serviceTime
}

func (b *Balancer) computeMedian(service string) uint32 {
	b.serviceTimeScratch = b.serviceTimeScratch[:0]
	for _, candidate := range b.snapshot.Candidates(service) {
		if health, exists := b.health[candidate.ID]; exists && health.serviceTime > 0 && !candidate.Leaving {
			b.serviceTimeScratch = append(b.serviceTimeScratch, health.serviceTime)
		}
	}
	if len(b.serviceTimeScratch) == 0 {
		return 0
	}
	slices.Sort(b.serviceTimeScratch)
	return b.serviceTimeScratch[(len(b.serviceTimeScratch)-1)/2]
}

// slowness returns the ratio of the endpoint's service time to the median, or 1 if that is within
// chance or unknown.
func (h *endpointHealth) slowness(now time.Duration, median uint32) float64 {
	if median == 0 || now-h.serviceTimeChangedAt >= slowRetention {
		return 1
	}
	ratio := float64(h.serviceTime) / float64(median)
	if ratio < slowRatio {
		return 1
	}
	return ratio
}

// refreshServiceTime pings the agent of a slow endpoint for its current service time.
func (b *Balancer) refreshServiceTime(now time.Duration, candidate directory.Candidate, health *endpointHealth) {
	if now-health.serviceTimeRefreshedAt < serviceTimeRefresh {
		return
	}
	health.serviceTimeRefreshedAt = now
	b.send(b.agentAddress(candidate), Message{Kind: KindPing, Service: candidate.Endpoint.Service})
}
