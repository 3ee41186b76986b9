package relay

import (
	"math"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
)

// coldStartOf returns what the agent of an endpoint needs for its cold start limit.
func (b *Balancer) coldStartOf(now time.Duration, candidate directory.Candidate) ColdStart {
	start, limited := b.snapshot.ColdStart(candidate.Endpoint.Service)
	if !limited {
		return ColdStart{}
	}
	return ColdStart{
		Rate:       uint32(min(start.RequestsPerSecond*1000, math.MaxUint32)),
		WarmupTime: uint32(start.Duration.Milliseconds()),
		Remaining:  uint32(max(candidate.WarmAt-now, 0).Milliseconds()),
		Revision:   uint64(candidate.WarmAtRevision),
	}
}

// inColdWait reports whether a cold endpoint accepts no request now, according to its agent.
func (h *endpointHealth) inColdWait(now time.Duration) bool { return now < h.coldWaitUntil }

// recordColdWait records until when a cold endpoint accepts no further request.
func (b *Balancer) recordColdWait(now time.Duration, id directory.EndpointID, load Load) {
	b.healthOf(id).coldWaitUntil = now + milliseconds(load.ColdWait)
}

// anyInColdWait reports whether some endpoint of a service accepts no request only because it is
// cold. A new flow that no endpoint takes is then refused with that reason.
func (b *Balancer) anyInColdWait(now time.Duration, service string) bool {
	return slices.ContainsFunc(b.snapshot.Candidates(service), func(candidate directory.Candidate) bool {
		return b.healthOf(candidate.ID).inColdWait(now) && !candidate.Leaving && !candidate.ZoneClosed
	})
}
