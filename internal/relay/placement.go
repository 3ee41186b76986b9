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
	// suspectAfterSilences is the number of consecutive unanswered offers after which an endpoint
	// is suspected and gets no new flows.
	suspectAfterSilences = 2
	// minSuspicion is the first time for which an endpoint is suspected. The time doubles up to
	// maxSuspicion while offers stay unanswered.
	minSuspicion = 300 * time.Millisecond
	maxSuspicion = 2400 * time.Millisecond
)

// endpointHealth is a balancer's record of the health and load of one endpoint.
type endpointHealth struct {
	// outstanding is the number of flows that this balancer gave the endpoint and whose clients
	// have not closed them.
	outstanding int
	// persistent is the number of such flows that are kept open for many requests. They are not
	// counted in outstanding.
	persistent     int
	silences       int
	suspicion      time.Duration
	suspectedUntil time.Duration
	// processingTime is the latest processing time from the agent in microseconds.
	processingTime uint32
	// processingTimeChangedAt is when the reported processing time last changed.
	// processingTimeRefreshedAt is when it was last reported or requested.
	processingTimeChangedAt   time.Duration
	processingTimeRefreshedAt time.Duration
	// utilization is the latest report of how busy the endpoint is.
	utilization placement.LoadReport
	// report is the latest health report from the agent. ejectedUntil is the end of the ejection in
	// it.
	report       outlier.Report
	ejectedUntil time.Duration
	// avoidedUntil is the time until which the endpoint gets no new flow after it returned one.
	avoidedUntil time.Duration
	// coldWaitUntil is the time until which the endpoint accepts no request because it is cold.
	coldWaitUntil time.Duration
}

func (h *endpointHealth) suspected(now time.Duration) bool {
	return now < h.suspectedUntil || now < h.avoidedUntil
}

// avoid excludes the endpoint for a while after it returned a flow. Otherwise it would be chosen
// again at once, because it has the fewest flows, and return the next one too.
func (h *endpointHealth) avoid(now time.Duration) { h.avoidedUntil = now + minSuspicion }

// suspect excludes the endpoint for a while. After that one flow tests it.
func (h *endpointHealth) suspect(now time.Duration) {
	h.suspicion = min(max(2*h.suspicion, minSuspicion), maxSuspicion)
	h.suspectedUntil = now + h.suspicion
}

func (h *endpointHealth) clearSuspicion() {
	h.silences = 0
	h.suspicion = 0
	h.suspectedUntil = 0
}

func (b *Balancer) healthOf(id directory.EndpointID) *endpointHealth {
	health, exists := b.health[id]
	if !exists {
		health = &endpointHealth{}
		b.health[id] = health
	}
	return health
}

func (b *Balancer) countFlow(flow *balancerFlow) {
	if flow.counted {
		return
	}
	flow.counted = true
	if flow.persistent {
		b.healthOf(flow.endpoint).persistent++
		return
	}
	b.healthOf(flow.endpoint).outstanding++
}

func (b *Balancer) uncountFlow(flow *balancerFlow) {
	if !flow.counted {
		return
	}
	flow.counted = false
	health, exists := b.health[flow.endpoint]
	switch {
	case !exists:
	case flow.persistent:
		health.persistent = max(health.persistent-1, 0)
	default:
		health.outstanding = max(health.outstanding-1, 0)
	}
}

// recordAgentReply records that an agent has replied about a flow.
func (b *Balancer) recordAgentReply(now time.Duration, flow *balancerFlow, from segment.Address, load Load) {
	if flow.agent != from {
		return
	}
	// The endpoint may have restarted since the flow was offered to it.
	id := flow.endpoint
	if occupant, exists := b.snapshot.CandidateAt(from.IP); exists {
		id = occupant.ID
	}
	b.recordColdWait(now, id, load)
	health := b.healthOf(id)
	if health.suspicion > 0 {
		b.recordEvent(Event{Kind: EventRecovered, Peer: from})
	}
	health.clearSuspicion()
	if load.Refusing {
		health.suspect(now)
	}
}

// recordSilence records that an agent has not replied to an offer. It ignores an endpoint that has
// restarted since.
func (b *Balancer) recordSilence(now time.Duration, flow *balancerFlow) {
	if _, exists := b.snapshot.Candidate(flow.endpoint); !exists {
		return
	}
	health := b.healthOf(flow.endpoint)
	health.silences++
	if health.silences < suspectAfterSilences && health.suspicion == 0 {
		return
	}
	if now < health.suspectedUntil {
		return
	}
	health.suspect(now)
	b.recordEvent(Event{Kind: EventSuspected, Peer: flow.agent})
}

// choice is the endpoint chosen for a flow.
type choice struct {
	directory.Candidate
	// fallback is set if the endpoint is suspected or ejected and there is no better one.
	// ignoreEjection is set if its agent has ejected it, but the other endpoints of its service do
	// no better.
	fallback       bool
	ignoreEjection bool
}

// chooseEndpoint returns an endpoint of a service, not among those tried, that is expected to
// answer a new flow soon. It takes a suspected or ejected endpoint only if there is no other, and
// never one in a closed zone or one that accepts no request now because it is cold.
func (b *Balancer) chooseEndpoint(now time.Duration, service string, tried []directory.EndpointID) (choice, bool) {
	serviceHealth := b.serviceHealth(now, service)
	massExpiry := b.massExpiry(now, service)
	open := func(c directory.Candidate) bool { return !c.ZoneClosed && !b.healthOf(c.ID).inColdWait(now) }
	usable := func(c directory.Candidate) bool {
		return open(c) && (!c.Leaving || massExpiry && b.mayStillServe(now, c))
	}
	preferred := func(c directory.Candidate) bool {
		health := b.healthOf(c.ID)
		return usable(c) && !health.suspected(now) && !health.excluded(now, serviceHealth)
	}
	expired := func(c directory.Candidate) bool { return open(c) && b.mayStillServe(now, c) }
	for tier, accepts := range []func(directory.Candidate) bool{preferred, usable, expired} {
		chosen, exists := b.bestCandidate(now, service, tried, accepts)
		if exists {
			fallback := tier > 0
			ignoreEjection := !fallback && b.healthOf(chosen.ID).ejected(now)
			return choice{chosen, fallback, ignoreEjection}, true
		}
	}
	return choice{}, false
}

const (
	// expiryTolerance is the share of DrainTimeout, from when the balancer receives the expiry,
	// during which an endpoint whose entry expired without notice may still get new flows. Entries
	// that expired in an outage of the store return within that time.
	expiryTolerance = 0.5
	// openingMargin is the part of DrainTimeout for the way of an opening packet to the endpoint. A
	// packet waits less than that at the link of a machine that is not overloaded.
	openingMargin = 500 * time.Millisecond
	// massExpiryRatio is the ratio of expired to present entries above which the store rather than
	// the endpoints is presumed to have failed.
	massExpiryRatio = 0.5
	// minMassExpiry is the minimum number of expired entries for that presumption.
	minMassExpiry = 2
)

// massExpiry reports whether so many entries of a service have expired at once that the store
// rather than the endpoints must have failed, as in an outage in which no endpoint can renew its
// entry. Otherwise the few endpoints whose entries return first would get all flows. It corresponds
// to the panic threshold of Envoy's load balancing.
func (b *Balancer) massExpiry(now time.Duration, service string) bool {
	present, expired := 0, 0
	for _, candidate := range b.snapshot.Candidates(service) {
		switch {
		case !candidate.Leaving:
			present++
		case b.mayStillServe(now, candidate):
			expired++
		}
	}
	return expired >= minMassExpiry && float64(expired) > massExpiryRatio*float64(present)
}

// mayStillServe reports whether the entry of an endpoint expired so recently that the endpoint may
// still be running and get new flows. It may not if another endpoint has its address.
func (b *Balancer) mayStillServe(now time.Duration, candidate directory.Candidate) bool {
	tolerated := time.Duration(expiryTolerance * float64(b.config.DrainTimeout))
	if candidate.ExpiredFor(now) >= tolerated || now >= b.openingDeadline(candidate) {
		return false
	}
	occupant, _ := b.snapshot.CandidateAt(candidate.Endpoint.IP)
	return occupant.ID == candidate.ID
}

// mayGetFlows reports whether an endpoint may get new flows, at least if there is no other.
func (b *Balancer) mayGetFlows(now time.Duration, candidate directory.Candidate) bool {
	return !candidate.ZoneClosed && (!candidate.Leaving || b.mayStillServe(now, candidate))
}

// openingDeadline returns until when flows may be offered to an endpoint whose entry has expired, so
// that their opening packets arrive within DrainTimeout of the expiry. The entry may have expired
// long before this process received the change, at any time after PresentAt. An expiry during an
// outage of the store counts only once the outage has been over for ContactTimeout.
func (b *Balancer) openingDeadline(candidate directory.Candidate) time.Duration {
	expired := candidate.PresentAt + b.config.DrainTimeout
	outage := candidate.StoreFailedAt + b.config.ContactTimeout
	return max(expired, outage) - openingMargin
}

// bestCandidate draws a few endpoints of a service that are accepted and were not tried. It returns
// the one that is expected to answer a new flow first.
func (b *Balancer) bestCandidate(now time.Duration, service string, tried []directory.EndpointID, accepts func(directory.Candidate) bool) (directory.Candidate, bool) {
	b.candidateScratch, b.localScratch, b.placementScratch = b.candidateScratch[:0], b.localScratch[:0], b.placementScratch[:0]
	for _, candidate := range b.snapshot.Candidates(service) {
		if !accepts(candidate) || slices.Contains(tried, candidate.ID) {
			continue
		}
		b.candidateScratch = append(b.candidateScratch, candidate)
		b.localScratch = append(b.localScratch, candidate.Endpoint.Zone == b.config.Zone)
	}
	medianProcessingTime := b.medianProcessingTime(now, service)
	slotsPerFlow := b.demandOf(service).slotsPerFlow(medianProcessingTime)
	sample := placement.Sample(b.localScratch, b.config.Random)
	for _, index := range sample {
		b.placementScratch = append(b.placementScratch, b.placementCandidate(now, b.candidateScratch[index], medianProcessingTime, slotsPerFlow))
	}
	best, exists := placement.Best(b.placementScratch)
	if !exists {
		return directory.Candidate{}, false
	}
	return b.candidateScratch[sample[best]], true
}

// placementCandidate returns what is known of an endpoint that may get a new flow, given the median
// processing time of its service and the slots that one of its persistent flows uses.
func (b *Balancer) placementCandidate(now time.Duration, candidate directory.Candidate, medianProcessingTime uint32, slotsPerFlow float64) placement.Candidate {
	health := b.healthOf(candidate.ID)
	slowness := health.slowness(now, medianProcessingTime)
	if slowness > 1 {
		b.refreshProcessingTime(now, candidate, health)
	}
	processingTime := time.Duration(health.processingTime) * time.Microsecond
	groupUse := b.utilizationOf(candidate, slowness).At(now) * float64(candidate.Endpoint.Slots)
	return placement.Candidate{
		Slots: candidate.Endpoint.Slots, Outstanding: health.outstanding, IdleFlowSlots: slotsPerFlow * float64(health.persistent),
		SlotsUsedByOthers: health.utilization.Estimate(now, processingTime, groupUse), Slowness: slowness, Warming: now < candidate.WarmAt,
		Local: candidate.Endpoint.Zone == b.config.Zone,
	}
}

// weightedRoundRobin spreads the new flows of one route over its services by smooth weighted round
// robin (as in nginx, 2012). Every prefix of the choices stays within one flow of the weights.
type weightedRoundRobin struct {
	services []directory.WeightedService
	credits  []int64
}

// chooseService returns the service for the next new flow of a route: the one whose turn it is or,
// if that has no endpoint, another one of the route. It returns an empty name if no service of the
// route has a weight.
func (b *Balancer) chooseService(now time.Duration, route *directory.Route) string {
	switch len(route.WeightedServices) {
	case 0:
		return ""
	case 1:
		return route.WeightedServices[0].Service
	}
	chosen := b.roundRobinFor(route).next()
	if _, exists := b.chooseEndpoint(now, chosen, nil); exists {
		return chosen
	}
	for _, share := range route.WeightedServices {
		if _, exists := b.chooseEndpoint(now, share.Service, nil); exists {
			return share.Service
		}
	}
	return chosen
}

func (b *Balancer) roundRobinFor(route *directory.Route) *weightedRoundRobin {
	roundRobin, exists := b.roundRobins[route.Address()]
	if !exists || !slices.Equal(roundRobin.services, route.WeightedServices) {
		roundRobin = &weightedRoundRobin{services: route.WeightedServices, credits: make([]int64, len(route.WeightedServices))}
		b.roundRobins[route.Address()] = roundRobin
	}
	return roundRobin
}

func (w *weightedRoundRobin) next() string {
	var total int64
	best := 0
	for index, share := range w.services {
		w.credits[index] += int64(share.Weight)
		total += int64(share.Weight)
		if w.credits[index] > w.credits[best] {
			best = index
		}
	}
	w.credits[best] -= total
	return w.services[best].Service
}
