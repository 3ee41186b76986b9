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
	// paceRefresh is how old what is known of a slow endpoint may be. It gets few new
	// flows, with which its agent would tell more.
	paceRefresh = 300 * time.Millisecond
	// usualLasts is how long the usual pace of a service is taken for unchanged: to find it
	// takes a look at all of its endpoints.
	usualLasts = 100 * time.Millisecond
	// slowLasts is for how long an endpoint counts as slow by answers that have not changed its
	// pace. Then it gets flows again and shows whether it has recovered.
	slowLasts = 2 * time.Second
)

// notePace notes how long an endpoint takes for answers, as its agent tells. Flows that
// are kept open for many requests say little about that by their number.
func (b *Balancer) notePace(now time.Duration, from segment.Address, load Load) {
	candidate, exists := b.snapshot.CandidateAt(from.IP)
	if !exists || load.ServiceTime == 0 {
		return
	}
	known := b.healthOf(candidate.ID)
	if b.usual[candidate.Endpoint.Service].pace == 0 {
		delete(b.usual, candidate.Endpoint.Service)
	}
	if known.pace != load.ServiceTime {
		known.pace, known.paceChanged = load.ServiceTime, now
	}
	known.told = now
}

// usualPace is the pace that is usual for a service, as found at a time.
type usualPace struct {
	pace  uint32
	found time.Duration
}

// usualPace returns the median pace of the endpoints of a service, 0 if none is known.
func (b *Balancer) usualPace(now time.Duration, service string) uint32 {
	known, exists := b.usual[service]
	if !exists || now-known.found >= usualLasts {
		known = usualPace{b.medianPace(service), now}
		b.usual[service] = known
	}
	return known.pace
}

func (b *Balancer) medianPace(service string) uint32 {
	b.paces = b.paces[:0]
	for _, candidate := range b.snapshot.Candidates(service) {
		if known, exists := b.health[candidate.ID]; exists && known.pace > 0 && !candidate.Leaving {
			b.paces = append(b.paces, known.pace)
		}
	}
	if len(b.paces) == 0 {
		return 0
	}
	slices.Sort(b.paces)
	return b.paces[(len(b.paces)-1)/2]
}

// slowness is how many times as long as usual the endpoint takes for answers, 1 if
// that is within chance or not known.
func (h *health) slowness(now time.Duration, usual uint32) float64 {
	if usual == 0 || now-h.paceChanged >= slowLasts {
		return 1
	}
	ratio := float64(h.pace) / float64(usual)
	if ratio < slowRatio {
		return 1
	}
	return ratio
}

// refreshPace asks the agent of a slow endpoint how long answers take now.
func (b *Balancer) refreshPace(now time.Duration, candidate directory.Candidate, known *health) {
	if now-known.told < paceRefresh {
		return
	}
	known.told = now
	b.send(b.agentOf(candidate), Message{Kind: KindPing, Service: candidate.Endpoint.Service})
}
