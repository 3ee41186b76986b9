package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
)

// TrafficClass is the key by which load is broken down: the service of a flow and the priority of
// its route.
type TrafficClass struct {
	Service string
	// Priority is valid only if PriorityKnown is set. An agent that was started after its endpoint
	// has no record of the routes of all flows.
	Priority      uint8
	PriorityKnown bool
}

// multipleServices is the service reported for a flow without a chosen service on a route that has
// several.
const multipleServices = "several"

// QueueStats describes the waiting requests of a class.
type QueueStats struct {
	Requests int
	// LongestWait is the longest time that a client of these requests has been waiting.
	LongestWait time.Duration
}

// EndpointLoad is the load of an endpoint as measured by its agent.
type EndpointLoad struct {
	Service string
	// Slots is the number of requests that the endpoint can work on at the same time, 0 if unknown.
	// Occupied is the number of requests that it was given and has not answered.
	Slots    uint32
	Occupied uint32
	// ResponseTime is the mean time from a request to its answer, 0 if unknown.
	ResponseTime time.Duration
	Waiting      map[TrafficClass]QueueStats
}

// Capacity returns the requests a second that the endpoint can answer, 0 if unknown.
func (l EndpointLoad) Capacity() float64 { return capacity(l.Slots, l.ResponseTime) }

// capacity returns the requests a second that a number of slots can answer at a mean response time
// (Little's law).
func capacity(slots uint32, responseTime time.Duration) float64 {
	if responseTime <= 0 {
		return 0
	}
	return float64(slots) / responseTime.Seconds()
}

// EndpointLoad returns the capacity of the endpoint and the requests that wait for it.
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

// classify returns the class of the event's flow or, if that is unknown, of the message being
// handled.
func (a *Agent) classify(event Event) TrafficClass {
	if flow, exists := a.flows[event.Flow]; exists && flow.request.parameters != (FlowParameters{}) {
		return a.classOf(flow.request.parameters)
	}
	return a.classOf(a.currentParameters)
}

// ServiceLoad is the load of a service's endpoints that accept new flows, as known to a balancer.
type ServiceLoad struct {
	Service   string
	Endpoints int
	Slots     uint32
	// Capacity is the requests a second that the endpoints can answer. Endpoints without
	// measurements count as fast as the others. It is 0 if none has measurements.
	Capacity float64
}

// ServiceLoads returns the load of each service, sorted by name.
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
		if processingTime := b.processingTimeOf(candidate); processingTime > 0 {
			measured[service] += candidate.Endpoint.Slots
			sum.Capacity += capacity(candidate.Endpoint.Slots, processingTime)
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

// processingTimeOf returns the processing time of an endpoint, 0 if its agent has not reported one.
func (b *Balancer) processingTimeOf(candidate directory.Candidate) time.Duration {
	health, exists := b.health[candidate.ID]
	if !exists {
		return 0
	}
	return time.Duration(health.processingTime) * time.Microsecond
}

// classify returns the class of the route of the event's flow.
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
	case len(route.WeightedServices) == 1:
		class.Service = route.WeightedServices[0].Service
	}
	return class
}

// withElapsed calls decide and sets Elapsed in the events that this call records.
func (b *Balancer) withElapsed(elapsed time.Duration, decide func()) {
	first := len(b.effects)
	decide()
	for index := first; index < len(b.effects); index++ {
		b.effects[index].Event.Elapsed = elapsed
	}
}
