package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/placement"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// group is a set of endpoints that are used alike: those of a service, in a zone, that are
// slow or not. Slow ones get less, and each zone has a demand of its own.
type group struct {
	service string
	zone    string
	slow    bool
}

// levelOf returns how far the endpoints like one of some slowness are used.
func (b *Balancer) levelOf(candidate directory.Candidate, slowness float64) *placement.GroupUtilization {
	key := group{candidate.Endpoint.Service, candidate.Endpoint.Zone, slowness > 1}
	known, exists := b.levels[key]
	if !exists {
		known = &placement.GroupUtilization{}
		b.levels[key] = known
	}
	return known
}

// noteUse notes how many requests an endpoint works on, as its agent tells. A flow that it
// returns is not among them, but still among those that this balancer has placed there.
func (b *Balancer) noteUse(now time.Duration, from segment.Address, message Message) {
	candidate, exists := b.snapshot.CandidateAt(from.IP)
	if !exists || candidate.Endpoint.Service != message.Service || candidate.Endpoint.Slots == 0 {
		return
	}
	known := b.healthOf(candidate.ID)
	usual := b.usualPace(now, message.Service)
	own := float64(known.outstanding) + b.demandOf(message.Service).slots(usual)*float64(known.kept)
	if message.Kind == KindReturned {
		own--
	}
	known.news = placement.LoadReport{UsedByOthers: max(float64(message.Load.Pending)-max(own, 0), 0), ReceivedAt: now, Known: true}
	b.levelOf(candidate, known.slowness(now, usual)).Observe(now, known.news.UsedByOthers/float64(candidate.Endpoint.Slots))
}
