package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// slowRatio is how many times as long as usual an endpoint takes for answers when
	// it counts as slow. Less is chance.
	slowRatio = 1.5
	// serviceTimeRefresh is how old what is known of a slow endpoint may be. It gets few new
	// flows, with which its agent would tell more.
	serviceTimeRefresh = 300 * time.Millisecond
	// medianLifetime is how long the usual pace of a service is taken for unchanged: to find it
	// takes a look at all of its endpoints.
	medianLifetime = 100 * time.Millisecond
	// slowRetention is for how long an endpoint counts as slow by answers that have not changed its
	// pace. Then it gets flows again and shows whether it has recovered.
	slowRetention = 2 * time.Second
)

// noteServiceTime notes how long an endpoint takes for answers, as its agent tells. Flows that
// are kept open for many requests say little about that by their number.
func (b *Balancer) noteServiceTime(now time.Duration, from segment.Address, load Load) {
	candidate, exists := b.snapshot.At(from.IP)
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
	health.serviceTimeAskedAt = now
}

// cachedMedian is the pace that is usual for a service, as found at a time.
type cachedMedian struct {
	serviceTime uint32
	computedAt  time.Duration
}

// medianServiceTime returns the median pace of the endpoints of a service, 0 if none is known.
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

// slowness is how many times as long as usual the endpoint takes for answers, 1 if
// that is within chance or not known.
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

// refreshServiceTime asks the agent of a slow endpoint how long answers take now.
func (b *Balancer) refreshServiceTime(now time.Duration, candidate directory.Candidate, health *endpointHealth) {
	if now-health.serviceTimeAskedAt < serviceTimeRefresh {
		return
	}
	health.serviceTimeAskedAt = now
	b.send(b.agentAddress(candidate), Message{Kind: KindPing, Service: candidate.Endpoint.Service})
}
