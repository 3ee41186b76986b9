package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
)

// TrafficClass is what load is told apart by: the service of a flow and the priority of its route.
type TrafficClass struct {
	Service string
	// Priority is meaningful only if Prioritized is set: an agent that was started after
	// its endpoint does not know the routes of all flows.
	Priority      uint8
	PriorityKnown bool
}

// severalServices is the service of a flow for which none was chosen, on a route that has
// several.
const severalServices = "several"

// QueueStats is what waits of a class.
type QueueStats struct {
	Requests int
	// LongestWait is for how long the client of one of them has been waiting.
	LongestWait time.Duration
}

// EndpointLoad is what an agent observes of its endpoint.
type EndpointLoad struct {
	Service string
	// Slots is how many requests the endpoint works on at the same time, 0 if that is not
	// known, and Occupied how many it was given and has not answered.
	Slots    uint32
	Occupied uint32
	// ResponseTime is the mean time from request to answer, 0 if that is not known.
	ResponseTime time.Duration
	Waiting      map[TrafficClass]QueueStats
}

// Capacity returns how many requests a second the endpoint can answer, 0 if that is not
// known.
func (l EndpointLoad) Capacity() float64 { return capacity(l.Slots, l.ResponseTime) }

// capacity is that of slots with a mean time to an answer (Little's law).
func capacity(slots uint32, pace time.Duration) float64 {
	if pace <= 0 {
		return 0
	}
	return float64(slots) / pace.Seconds()
}

// EndpointLoad returns how much the endpoint can do and what waits for it.
func (a *Agent) EndpointLoad(now time.Duration) EndpointLoad {
	observed := EndpointLoad{
		Service: a.config.Service, Slots: a.pace.slots, Occupied: a.pace.occupied,
		ResponseTime: time.Duration(a.pace.working * float64(time.Second)),
		Waiting:      make(map[TrafficClass]QueueStats),
	}
	for _, waiting := range a.queue.waiting {
		class := a.classOf(waiting.flow.work.terms)
		sum := observed.Waiting[class]
		sum.Requests++
		sum.LongestWait = max(sum.LongestWait, now-waiting.flow.work.asked)
		observed.Waiting[class] = sum
	}
	return observed
}

func (a *Agent) classOf(terms FlowParameters) TrafficClass {
	if terms == (FlowParameters{}) {
		return TrafficClass{Service: a.config.Service}
	}
	return TrafficClass{Service: a.config.Service, Priority: terms.Priority, PriorityKnown: true}
}

// classify returns the class of an event: that of its flow or, if that is not known, of the
// message in hand.
func (a *Agent) classify(event Event) TrafficClass {
	if known, exists := a.flows[event.Flow]; exists && known.work.terms != (FlowParameters{}) {
		return a.classOf(known.work.terms)
	}
	return a.classOf(a.terms)
}

// ServiceLoad is what a balancer knows of the endpoints of a service that take new flows.
type ServiceLoad struct {
	Service   string
	Endpoints int
	Slots     uint32
	// Capacity is how many requests a second they can answer: those of which nothing is
	// known are taken to be as fast as the others. It is 0 if nothing is known of any.
	Capacity float64
}

// ServiceLoads returns the load of each service, in the order of their names.
func (b *Balancer) ServiceLoads() []ServiceLoad {
	sums := make(map[string]*ServiceLoad)
	measured := make(map[string]uint32)
	for _, candidate := range b.snapshot.All() {
		service := candidate.Endpoint.Service
		if sums[service] == nil {
			sums[service] = &ServiceLoad{Service: service}
		}
		if candidate.Leaving || candidate.ZoneClosed {
			continue
		}
		sum := sums[service]
		sum.Endpoints++
		sum.Slots += candidate.Endpoint.Slots
		if pace := b.paceOf(candidate); pace > 0 {
			measured[service] += candidate.Endpoint.Slots
			sum.Capacity += capacity(candidate.Endpoint.Slots, pace)
		}
	}
	for service, sum := range sums {
		if measured[service] > 0 {
			sum.Capacity *= float64(sum.Slots) / float64(measured[service])
		}
	}
	return sorted(sums)
}

func sorted(sums map[string]*ServiceLoad) []ServiceLoad {
	all := make([]ServiceLoad, 0, len(sums))
	for sum := range maps.Values(sums) {
		all = append(all, *sum)
	}
	slices.SortFunc(all, func(a, b ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// paceOf returns the mean time to an answer of an endpoint, 0 if its agent has not told it.
func (b *Balancer) paceOf(candidate directory.Candidate) time.Duration {
	known, exists := b.health[candidate.ID]
	if !exists {
		return 0
	}
	return time.Duration(known.pace) * time.Microsecond
}

// classify returns the class of an event, that of its flow's route.
func (b *Balancer) classify(event Event) TrafficClass {
	route, exists := b.snapshot.Route(event.Flow.Service)
	if !exists {
		return TrafficClass{}
	}
	class := TrafficClass{Service: severalServices, Priority: route.Priority, PriorityKnown: true}
	known, exists := b.flows[event.Flow]
	switch {
	case exists && known.service != "":
		class.Service = known.service
	case len(route.WeightedServices) == 1:
		class.Service = route.WeightedServices[0].Service
	}
	return class
}

// timed gives the events of a decision the time that ended with them.
func (b *Balancer) timed(elapsed time.Duration, decide func()) {
	first := len(b.effects)
	decide()
	for index := first; index < len(b.effects); index++ {
		b.effects[index].Event.Elapsed = elapsed
	}
}
