package relaydaemon

import (
	"time"

	"github.com/go-kit/kit/metrics"

	"github.com/vanetiller/vanetiller/internal/observability/registry"
	"github.com/vanetiller/vanetiller/internal/relay"
)

// updateInterval is the time between two updates of the load gauges. It is well below the
// time between two scrapes.
const updateInterval = 2 * time.Second

// throttle limits the updates of gauges to one in each updateInterval.
type throttle struct{ next time.Duration }

// due reports whether an update is due. If so, the next one is due after updateInterval.
func (t *throttle) due(now time.Duration) bool {
	if now < t.next {
		return false
	}
	t.next = now + updateInterval
	return true
}

// endpointMetrics export the capacity of the endpoint of an agent and the requests that
// wait for it.
type endpointMetrics struct {
	throttle
	slots        metrics.Gauge
	occupied     metrics.Gauge
	responseTime metrics.Gauge
	capacity     metrics.Gauge
	waiting      metrics.Gauge
	longest      metrics.Gauge
	// previous are the classes with waiting requests at the last update. Their gauges are
	// set to zero once none wait.
	previous map[relay.TrafficClass]relay.QueueStats
}

func newEndpointMetrics(reg *registry.Registry, service string) *endpointMetrics {
	gauge := func(name, help string) metrics.Gauge {
		return reg.Gauge(name, help, serviceLabel).With(serviceLabel, service)
	}
	return &endpointMetrics{
		slots:        gauge("relay_endpoint_slots", "Requests that the endpoint works on at the same time, 0 if not known."),
		occupied:     gauge("relay_endpoint_occupied", "Requests that the endpoint was given and has not answered."),
		responseTime: gauge("relay_endpoint_pace_seconds", "Mean time that the endpoint takes from a request to its answer, 0 if not known."),
		capacity:     gauge("relay_endpoint_capacity", "Requests a second that the endpoint can answer, 0 if not known."),
		waiting:      reg.Gauge("relay_waiting_requests", "Requests that wait for the endpoint, by priority.", serviceLabel, priorityLabel),
		longest: reg.Gauge("relay_waiting_longest_seconds", "For how long the longest waiting client of a priority has been waiting.",
			serviceLabel, priorityLabel),
	}
}

func (m *endpointMetrics) observe(load relay.EndpointLoad) {
	m.slots.Set(float64(load.Slots))
	m.occupied.Set(float64(load.Occupied))
	m.responseTime.Set(load.ResponseTime.Seconds())
	m.capacity.Set(load.Capacity())
	for class := range m.previous {
		m.setWaiting(class, load.Waiting[class])
	}
	for class, waiting := range load.Waiting {
		m.setWaiting(class, waiting)
	}
	m.previous = load.Waiting
}

func (m *endpointMetrics) setWaiting(class relay.TrafficClass, waiting relay.QueueStats) {
	labels := classLabels(class)
	m.waiting.With(labels...).Set(float64(waiting.Requests))
	m.longest.With(labels...).Set(waiting.LongestWait.Seconds())
}

// serviceMetrics export the capacity of the endpoints of each service, as reported to
// a balancer.
type serviceMetrics struct {
	throttle
	endpoints metrics.Gauge
	slots     metrics.Gauge
	capacity  metrics.Gauge
	// previous are the services of the last update. The gauges of those that are gone are
	// set to zero.
	previous []relay.ServiceLoad
}

func newServiceMetrics(reg *registry.Registry) *serviceMetrics {
	return &serviceMetrics{
		endpoints: reg.Gauge("relay_service_endpoints", "Endpoints of a service that take new flows.", serviceLabel),
		slots:     reg.Gauge("relay_service_slots", "Requests that the endpoints of a service work on at the same time.", serviceLabel),
		capacity: reg.Gauge("relay_service_capacity",
			"Requests a second that the endpoints of a service can answer, as far as this balancer knows, 0 if not known.", serviceLabel),
	}
}

func (m *serviceMetrics) observe(services []relay.ServiceLoad) {
	for _, before := range m.previous {
		m.setService(relay.ServiceLoad{Service: before.Service})
	}
	for _, load := range services {
		m.setService(load)
	}
	m.previous = services
}

func (m *serviceMetrics) setService(load relay.ServiceLoad) {
	m.endpoints.With(serviceLabel, load.Service).Set(float64(load.Endpoints))
	m.slots.With(serviceLabel, load.Service).Set(float64(load.Slots))
	m.capacity.With(serviceLabel, load.Service).Set(load.Capacity)
}
