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

// multipleServices is the service of a flow for which none was chosen, on a route that has
// several.
const multipleServices = "several"

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
func capacity(slots uint32, responseTime time.Duration) float64 {
	if responseTime <= 0 {
		return 0
	}
	return float64(slots) / responseTime.Seconds()
}

// EndpointLoad returns how much the endpoint can do and what waits for it.
func (a *Agent) EndpointLoad(now time.Duration) EndpointLoad {
	load := EndpointLoad{
		Service: a.config.Service, Slots: a.usage.slots, Occupied: a.usage.occupied,
		ResponseTime: time.Duration(a.usage.meanResponseTime * float64(time.Second)),
		Waiting:      make(map[TrafficClass]QueueStats),
	}
	for _, waiting := range a.queue.waiting {
		class := a.classOf(waiting.flow.request.parameters)
		stats := load.Waiting[class]
		stats.Requests++
		stats.LongestWait = max(stats.LongestWait, now-waiting.flow.request.askedAt)
		load.Waiting[class] = stats
	}
	return load
}

func (a *Agent) classOf(parameters FlowParameters) TrafficClass {
	if parameters == (FlowParameters{}) {
		return TrafficClass{Service: a.config.Service}
	}
	return TrafficClass{Service: a.config.Service, Priority: parameters.Priority, PriorityKnown: true}
}

// classify returns the class of an event: that of its flow or, if that is not known, of the
// message in hand.
func (a *Agent) classify(event Event) TrafficClass {
	if flow, exists := a.flows[event.Flow]; exists && flow.request.parameters != (FlowParameters{}) {
		return a.classOf(flow.request.parameters)
	}
	return a.classOf(a.currentParameters)
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
		if candidate.Leaving || candidate.Closed {
			continue
		}
		sum := sums[service]
		sum.Endpoints++
		sum.Slots += candidate.Endpoint.Slots
		if serviceTime := b.serviceTimeOf(candidate); serviceTime > 0 {
			measured[service] += candidate.Endpoint.Slots
			sum.Capacity += capacity(candidate.Endpoint.Slots, serviceTime)
		}
	}
	for service, sum := range sums {
		if measured[service] > 0 {
			sum.Capacity *= float64(sum.Slots) / float64(measured[service])
		}
	}
	return sortedLoads(sums)
}

func sortedLoads(sums map[string]*ServiceLoad) []ServiceLoad {
	all := make([]ServiceLoad, 0, len(sums))
	for sum := range maps.Values(sums) {
		all = append(all, *sum)
	}
	slices.SortFunc(all, func(a, b ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// serviceTimeOf returns the mean time to an answer of an endpoint, 0 if its agent has not told it.
func (b *Balancer) serviceTimeOf(candidate directory.Candidate) time.Duration {
	health, exists := b.health[candidate.ID]
	if !exists {
		return 0
	}
	return time.Duration(health.serviceTime) * time.Microsecond
}

// classify returns the class of an event, that of its flow's route.
func (b *Balancer) classify(event Event) TrafficClass {
	route, exists := b.snapshot.Route(event.Flow.Service)
	if !exists {
		return TrafficClass{}
	}
	class := TrafficClass{Service: multipleServices, Priority: route.Priority, PriorityKnown: true}
	flow, exists := b.flows[event.Flow]
	switch {
	case exists && flow.service != "":
		class.Service = flow.service
	case len(route.Shares) == 1:
		class.Service = route.Shares[0].Service
	}
	return class
}

// withElapsed gives the events of a decision the time that ended with them.
func (b *Balancer) withElapsed(elapsed time.Duration, decide func()) {
	first := len(b.effects)
	decide()
	for index := first; index < len(b.effects); index++ {
		b.effects[index].Event.Elapsed = elapsed
	}
}
