package relay

import (
	"math"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
)

// coldOf returns what the agent of an endpoint has to know of its start.
func (b *Balancer) coldOf(now time.Duration, candidate directory.Candidate) ColdStart {
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

// held reports whether a cold endpoint takes no request now, as its agent has told.
func (h *health) held(now time.Duration) bool { return now < h.heldUntil }

// noteHeld notes until when a cold endpoint takes no further request.
func (b *Balancer) noteHeld(now time.Duration, id directory.EndpointID, load Load) {
	b.healthOf(id).heldUntil = now + milliseconds(load.ColdWait)
}

// anyHeld reports whether an endpoint of a service takes no request only because it is
// cold: then a new flow is refused at once.
func (b *Balancer) anyHeld(now time.Duration, service string) bool {
	return slices.ContainsFunc(b.snapshot.Candidates(service), func(candidate directory.Candidate) bool {
		return b.healthOf(candidate.ID).held(now) && !candidate.Leaving && !candidate.ZoneClosed
	})
}
