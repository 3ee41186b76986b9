package relay

import (
	"math"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// paceWeight is the weight of a new measurement in a moving average.
	paceWeight = 0.1
	// spareSlots is how many requests more than it works on an endpoint is
	// given, so that it is never idle.
	spareSlots = 1
	// openingLasts is for how long a flow counts as one whose first request is about to come.
	// Clients that open flows ahead of need let them rest for longer.
	openingLasts = time.Second
)

// pace is what an agent measures of its endpoint.
type pace struct {
	slots uint32
	// occupied is the number of requests that the endpoint was given and has
	// not answered.
	occupied uint32
	// working is the mean time from request to answer, in seconds.
	working float64
}

// limit returns how many requests the endpoint is given at once: all its slots
// are busy then, and none of the requests waits for long.
func (p *pace) limit() uint32 {
	if p.slots == 0 {
		return math.MaxUint32
	}
	return p.slots + spareSlots
}

func (p *pace) full() bool { return p.occupied >= p.limit() }

func (p *pace) measure(took time.Duration) {
	if p.working == 0 {
		p.working = took.Seconds()
		return
	}
	p.working += paceWeight * (took.Seconds() - p.working)
}

// overloaded reports whether the endpoint would take longer for the requests
// that wait than a client waits for an answer, so that a new flow is better
// offered to another or refused before anything of it has run.
func (a *Agent) overloaded(terms FlowParameters) bool {
	a.pace.slots = terms.Slots
	if terms.Slots == 0 || terms.Timeout == 0 {
		return false
	}
	backlog := float64(len(a.queue.waiting)) * a.pace.working / float64(terms.Slots)
	return backlog > float64(terms.Timeout)/1000
}

// busy reports whether a new request would have to wait. A balancer knows only the flows
// that it has placed itself, among hundreds next to nothing, so that it may find one that is
// not.
func (a *Agent) busy(terms FlowParameters) bool {
	return terms.Slots > 0 && a.pending() >= a.pace.limit()
}

// pending is the number of requests that the endpoint works on or that wait and can be in
// time, with those that are about to come in flows which are just being opened. Late ones that
// wait keep no new request waiting, which goes first.
func (a *Agent) pending() uint32 {
	a.opening = slices.DeleteFunc(a.opening, func(flow *agentFlow) bool {
		rests := a.now-flow.opened >= openingLasts
		return !flow.running() || flow.work.served || len(flow.work.held) > 0 || rests
	})
	return a.pace.occupied + a.queue.inTime(a.now, a.capacity().ProcessingTime) + uint32(len(a.opening))
}

// noteStarts notes which requests the endpoint has begun to work on: it takes them in the
// order in which it was given them, as many at a time as it has slots.
func (a *Agent) noteStarts(now time.Duration) {
	working := min(len(a.unanswered.flows), int(a.pace.slots))
	for _, flow := range a.unanswered.flows[:working] {
		if flow.started < flow.work.since {
			flow.started = now
		}
	}
}

// measure takes account of how long the endpoint has worked on a request that it begins to
// answer, without the time for which the request has waited there.
func (a *Agent) measure(now time.Duration, key segment.FlowKey, known *agentFlow) {
	if known.work.occupies && known.started >= known.work.since {
		a.meter.Observe(key.Service, now-known.started)
	}
}
