package relaydaemon

import (
	"time"

	"github.com/go-kit/kit/metrics"

	"github.com/vanetiller/vanetiller/internal/observability/registry"
	"github.com/vanetiller/vanetiller/internal/relay"
)

// observeInterval is the time between two looks at load, well below the time between two
// scrapes.
const observeInterval = 2 * time.Second

// pacer tells when the next look is due.
type pacer struct{ next time.Duration }

func (p *pacer) due(now time.Duration) bool {
	if now < p.next {
		return false
	}
	p.next = now + observeInterval
	return true
}

// endpointMetrics show what the endpoint beside an agent can do, and what waits for it.
type endpointMetrics struct {
	pacer
	slots    metrics.Gauge
	occupied metrics.Gauge
	pace     metrics.Gauge
	capacity metrics.Gauge
	waiting  metrics.Gauge
	longest  metrics.Gauge
	// shown are the classes that waited when last seen.
	shown map[relay.TrafficClass]relay.QueueStats
}

func newEndpointMetrics(registered *registry.Registry, service string) *endpointMetrics {
	gauge := func(name, help string) metrics.Gauge {
		return registered.Gauge(name, help, serviceLabel).With(serviceLabel, service)
	}
	return &endpointMetrics{
		slots:    gauge("relay_endpoint_slots", "Requests that the endpoint works on at the same time, 0 if not known."),
		occupied: gauge("relay_endpoint_occupied", "Requests that the endpoint was given and has not answered."),
		pace:     gauge("relay_endpoint_pace_seconds", "Mean time that the endpoint takes from a request to its answer, 0 if not known."),
		capacity: gauge("relay_endpoint_capacity", "Requests a second that the endpoint can answer, 0 if not known."),
		waiting:  registered.Gauge("relay_waiting_requests", "Requests that wait for the endpoint, by priority.", serviceLabel, priorityLabel),
		longest: registered.Gauge("relay_waiting_longest_seconds", "For how long the longest waiting client of a priority has been waiting.",
			serviceLabel, priorityLabel),
	}
}

func (m *endpointMetrics) observe(load relay.EndpointLoad) {
	m.slots.Set(float64(load.Slots))
	m.occupied.Set(float64(load.Occupied))
	m.pace.Set(load.ResponseTime.Seconds())
	m.capacity.Set(load.Capacity())
	for class := range m.shown {
		m.show(class, load.Waiting[class])
	}
	for class, waiting := range load.Waiting {
		m.show(class, waiting)
	}
	m.shown = load.Waiting
}

func (m *endpointMetrics) show(class relay.TrafficClass, waiting relay.QueueStats) {
	labels := labelsOf(class)
	m.waiting.With(labels...).Set(float64(waiting.Requests))
	m.longest.With(labels...).Set(waiting.LongestWait.Seconds())
}

// serviceMetrics show what a balancer takes the endpoints of each service to be able to do.
type serviceMetrics struct {
	pacer
	endpoints metrics.Gauge
	slots     metrics.Gauge
	capacity  metrics.Gauge
	// shown are the services that were there when last seen.
	shown []relay.ServiceLoad
}

func newServiceMetrics(registered *registry.Registry) *serviceMetrics {
	return &serviceMetrics{
		endpoints: registered.Gauge("relay_service_endpoints", "Endpoints of a service that take new flows.", serviceLabel),
		slots:     registered.Gauge("relay_service_slots", "Requests that the endpoints of a service work on at the same time.", serviceLabel),
		capacity: registered.Gauge("relay_service_capacity",
			"Requests a second that the endpoints of a service can answer, as far as this balancer knows, 0 if not known.", serviceLabel),
	}
}

func (m *serviceMetrics) observe(services []relay.ServiceLoad) {
	for _, before := range m.shown {
		m.show(relay.ServiceLoad{Service: before.Service})
	}
	for _, load := range services {
		m.show(load)
	}
	m.shown = services
}

func (m *serviceMetrics) show(load relay.ServiceLoad) {
	m.endpoints.With(serviceLabel, load.Service).Set(float64(load.Endpoints))
	m.slots.With(serviceLabel, load.Service).Set(float64(load.Slots))
	m.capacity.With(serviceLabel, load.Service).Set(load.Capacity)
}
