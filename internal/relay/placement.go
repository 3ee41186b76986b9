package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/placement"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// silencesToSuspect is the number of offers in a row without an answer
	// after which an endpoint gets no new flows.
	silencesToSuspect = 2
	// firstSuspicion is how long an endpoint is left out at first; the time
	// doubles up to longestSuspicion while its answers stay out.
	firstSuspicion   = 300 * time.Millisecond
	longestSuspicion = 2400 * time.Millisecond
)

// health is what a balancer believes of one endpoint.
type health struct {
	// outstanding is the number of flows that this balancer gave the endpoint
	// and whose clients have not closed them.
	outstanding int
	// kept is the number of those that are kept open for many requests; they are not among
	// outstanding.
	kept        int
	silences    int
	suspicion   time.Duration
	suspectEnds time.Duration
	// pace is what the agent told last of the time to an answer, told when that
	// was, or when it was asked.
	pace uint32
	// paceChanged is when it told another pace than before.
	paceChanged time.Duration
	told        time.Duration
	// news is what it told last of how far the endpoint is used.
	news placement.LoadReport
	// report is what its agent told last of its health, and ejectionEnds until when it
	// holds the endpoint back.
	report       outlier.Report
	ejectionEnds time.Duration
	// avoidedUntil is until when it is left out since it has returned a flow.
	avoidedUntil time.Duration
	// heldUntil is until when it takes no request since it is cold.
	heldUntil time.Duration
}

func (h *health) suspected(now time.Duration) bool {
	return now < h.suspectEnds || now < h.avoidedUntil
}

// avoid leaves the endpoint out for a while, since it has returned a flow. Else it would be
// chosen again at once, as it has the fewest flows, and get the next one in vain.
func (h *health) avoid(now time.Duration) { h.avoidedUntil = now + firstSuspicion }

// suspect leaves the endpoint out for a while, then lets one flow find out.
func (h *health) suspect(now time.Duration) {
	h.suspicion = min(max(2*h.suspicion, firstSuspicion), longestSuspicion)
	h.suspectEnds = now + h.suspicion
}

func (h *health) trust() {
	h.silences = 0
	h.suspicion = 0
	h.suspectEnds = 0
}

func (b *Balancer) healthOf(id directory.EndpointID) *health {
	known, exists := b.health[id]
	if !exists {
		known = &health{}
		b.health[id] = known
	}
	return known
}

func (b *Balancer) count(flow *balancerFlow) {
	if flow.counted {
		return
	}
	flow.counted = true
	if flow.kept {
		b.healthOf(flow.endpoint).kept++
		return
	}
	b.healthOf(flow.endpoint).outstanding++
}

func (b *Balancer) uncount(flow *balancerFlow) {
	if !flow.counted {
		return
	}
	flow.counted = false
	known, exists := b.health[flow.endpoint]
	switch {
	case !exists:
	case flow.kept:
		known.kept = max(known.kept-1, 0)
	default:
		known.outstanding = max(known.outstanding-1, 0)
	}
}

// heard notes that an agent has answered about a flow.
func (b *Balancer) heard(now time.Duration, flow *balancerFlow, from segment.Address, load Load) {
	if flow.agent != from {
		return
	}
	// The endpoint may have been started again since the flow was offered to it.
	id := flow.endpoint
	if occupant, exists := b.snapshot.CandidateAt(from.IP); exists {
		id = occupant.ID
	}
	b.noteHeld(now, id, load)
	known := b.healthOf(id)
	if known.suspicion > 0 {
		b.event(Event{Kind: EventRecovered, Peer: from})
	}
	known.trust()
	if load.Refusing {
		known.suspect(now)
	}
}

// silent notes that an agent has not answered an offer. It says nothing of an endpoint that
// has been started since.
func (b *Balancer) silent(now time.Duration, flow *balancerFlow) {
	if _, exists := b.snapshot.Candidate(flow.endpoint); !exists {
		return
	}
	known := b.healthOf(flow.endpoint)
	known.silences++
	if known.silences < silencesToSuspect && known.suspicion == 0 {
		return
	}
	if now < known.suspectEnds {
		return
	}
	known.suspect(now)
	b.event(Event{Kind: EventSuspected, Peer: flow.agent})
}

// choice is an endpoint chosen for a flow.
type choice struct {
	directory.Candidate
	// doubtful is set if the endpoint is suspected or ejected: no other is left. It is
	// overruled if its agent holds it back and nothing else speaks against it.
	doubtful  bool
	overruled bool
}

// choose returns an endpoint of a service that is expected to answer a new flow soon, among
// those not tried. Endpoints that are suspected or ejected are taken
// only if there are no others, those in a closed zone never, and those that are too cold
// not now.
func (b *Balancer) choose(now time.Duration, service string, tried []directory.EndpointID) (choice, bool) {
	compared := b.panel(now, service)
	massLapse := b.massLapse(now, service)
	open := func(c directory.Candidate) bool { return !c.ZoneClosed && !b.healthOf(c.ID).held(now) }
	usable := func(c directory.Candidate) bool { return open(c) && (!c.Leaving || massLapse && b.mayReturn(now, c)) }
	trusted := func(c directory.Candidate) bool {
		known := b.healthOf(c.ID)
		return usable(c) && !known.suspected(now) && !known.leftOut(now, compared)
	}
	mayReturn := func(c directory.Candidate) bool { return open(c) && b.mayReturn(now, c) }
	for tier, accepts := range []func(directory.Candidate) bool{trusted, usable, mayReturn} {
		chosen, exists := b.quickest(now, service, tried, accepts)
		if exists {
			doubtful := tier > 0
			overruled := !doubtful && b.healthOf(chosen.ID).ejected(now)
			return choice{chosen, doubtful, overruled}, true
		}
	}
	return choice{}, false
}

const (
	// lapseTolerance is the part of DrainTimeout for which an endpoint whose entry
	// has gone without notice may still get new flows. The rest is for the time
	// until the balancer learns of it.
	lapseTolerance = 0.5
	// massLapseRatio is how many entries must have lapsed for each that is there
	// to doubt the store rather than the endpoints.
	massLapseRatio = 0.5
	// massLapseMinimum is how many it must be at least.
	massLapseMinimum = 2
)

// massLapse reports whether so many entries of a service have lapsed at once
// that the store rather than the endpoints must have failed, as after an outage
// in which no endpoint could renew its entry. The few that were first to come back
// would else get all flows (as the panic threshold of Envoy's load balancing).
func (b *Balancer) massLapse(now time.Duration, service string) bool {
	present, lapsed := 0, 0
	for _, candidate := range b.snapshot.Candidates(service) {
		switch {
		case !candidate.Leaving:
			present++
		case b.mayReturn(now, candidate):
			lapsed++
		}
	}
	return lapsed >= massLapseMinimum && float64(lapsed) > massLapseRatio*float64(present)
}

// mayReturn reports whether the entry of an endpoint has lapsed so recently that
// the endpoint may still be there. If another has come to its address, it is not.
func (b *Balancer) mayReturn(now time.Duration, candidate directory.Candidate) bool {
	tolerated := time.Duration(lapseTolerance * float64(b.config.DrainTimeout))
	if candidate.ExpiredFor(now) >= tolerated {
		return false
	}
	occupant, _ := b.snapshot.CandidateAt(candidate.Endpoint.IP)
	return occupant.ID == candidate.ID
}

// quickest returns the endpoint of a service that is expected to answer a new flow first
// among a few that are drawn from those that are accepted and were not tried.
func (b *Balancer) quickest(now time.Duration, service string, tried []directory.EndpointID, accepts func(directory.Candidate) bool) (directory.Candidate, bool) {
	b.candidates, b.local, b.places = b.candidates[:0], b.local[:0], b.places[:0]
	for _, candidate := range b.snapshot.Candidates(service) {
		if !accepts(candidate) || slices.Contains(tried, candidate.ID) {
			continue
		}
		b.candidates = append(b.candidates, candidate)
		b.local = append(b.local, candidate.Endpoint.Zone == b.config.Zone)
	}
	usual := b.usualPace(now, service)
	asks := b.demandOf(service).slots(usual)
	drawn := placement.Sample(b.local, b.config.Random)
	for _, index := range drawn {
		b.places = append(b.places, b.placeOf(now, b.candidates[index], usual, asks))
	}
	best, exists := placement.Best(b.places)
	if !exists {
		return directory.Candidate{}, false
	}
	return b.candidates[drawn[best]], true
}

// placeOf is what is known of an endpoint that may get a new flow, given the pace that is
// usual for its service and the slots that one of its kept flows takes.
func (b *Balancer) placeOf(now time.Duration, candidate directory.Candidate, usual uint32, asks float64) placement.Candidate {
	known := b.healthOf(candidate.ID)
	slowness := known.slowness(now, usual)
	if slowness > 1 {
		b.refreshPace(now, candidate, known)
	}
	pace := time.Duration(known.pace) * time.Microsecond
	level := b.levelOf(candidate, slowness).At(now) * float64(candidate.Endpoint.Slots)
	return placement.Candidate{
		Slots: candidate.Endpoint.Slots, Outstanding: known.outstanding, IdleFlowSlots: asks * float64(known.kept),
		SlotsUsedByOthers: known.news.Estimate(now, pace, level), Slowness: slowness, Warming: now < candidate.WarmAt,
		Local: candidate.Endpoint.Zone == b.config.Zone,
	}
}

// sharing spreads the new flows of one route over its services by smooth
// weighted round robin (as in nginx, 2012), which keeps every prefix of the
// choices within one flow of its weights.
type sharing struct {
	shares  []directory.WeightedService
	credits []int64
}

// chooseService returns the service that takes the next new flow of a route:
// the one whose turn it is or, if that has no endpoint, another of the route. It
// is empty if no service of the route has a weight.
func (b *Balancer) chooseService(now time.Duration, route *directory.Route) string {
	switch len(route.WeightedServices) {
	case 0:
		return ""
	case 1:
		return route.WeightedServices[0].Service
	}
	chosen := b.sharingOf(route).next()
	if _, exists := b.choose(now, chosen, nil); exists {
		return chosen
	}
	for _, share := range route.WeightedServices {
		if _, exists := b.choose(now, share.Service, nil); exists {
			return share.Service
		}
	}
	return chosen
}

func (b *Balancer) sharingOf(route *directory.Route) *sharing {
	known, exists := b.sharing[route.Address()]
	if !exists || !slices.Equal(known.shares, route.WeightedServices) {
		known = &sharing{shares: route.WeightedServices, credits: make([]int64, len(route.WeightedServices))}
		b.sharing[route.Address()] = known
	}
	return known
}

func (s *sharing) next() string {
	var total int64
	best := 0
	for index, share := range s.shares {
		s.credits[index] += int64(share.Weight)
		total += int64(share.Weight)
		if s.credits[index] > s.credits[best] {
			best = index
		}
	}
	s.credits[best] -= total
	return s.shares[best].Service
}
