package placement

import (
	"math"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// windowLength is the number of answers of a route whose median counts: single requests
	// that take far longer do not move it.
	windowLength = 9
	// mixWeight is the weight of a new answer in the shares that routes have in the pace.
	mixWeight = 1.0 / 64
	// routeLimit bounds the routes that are remembered. Further ones replace those that are
	// asked for least.
	routeLimit = 16
)

// ProcessingTimeEstimator measures the pace of an endpoint: how long it usually takes for an answer. Routes
// ask for unlike work, so that each has a median of its own; the pace is the geometric mean
// of these, weighted by what is asked for. An endpoint of half the speed has twice the pace
// whatever its latest answers were about.
type ProcessingTimeEstimator struct {
	routes []window
	pace   time.Duration
}

// window holds the latest answers of a route.
type window struct {
	route  segment.Address
	weight float64
	took   []time.Duration
	next   int
	median time.Duration
}

// Observe notes how long the endpoint has worked on a request of a route.
func (m *ProcessingTimeEstimator) Observe(route segment.Address, took time.Duration) {
	for index := range m.routes {
		m.routes[index].weight *= 1 - mixWeight
	}
	measured := m.of(route)
	measured.weight += mixWeight
	measured.add(max(took, time.Microsecond))
	m.pace = m.mean()
}

// Estimate is how long the endpoint usually takes, 0 if that is not known.
func (m *ProcessingTimeEstimator) Estimate() time.Duration { return m.pace }

// mean returns the geometric mean of the medians of all routes.
func (m *ProcessingTimeEstimator) mean() time.Duration {
	total, sum := 0.0, 0.0
	for index := range m.routes {
		total += m.routes[index].weight
		sum += m.routes[index].weight * math.Log(float64(m.routes[index].median))
	}
	return time.Duration(math.Round(math.Exp(sum / total)))
}

// of returns the window of a route.
func (m *ProcessingTimeEstimator) of(route segment.Address) *window {
	index := slices.IndexFunc(m.routes, func(each window) bool { return each.route == route })
	if index >= 0 {
		return &m.routes[index]
	}
	if len(m.routes) < routeLimit {
		m.routes = append(m.routes, window{})
		index = len(m.routes) - 1
	} else {
		index = m.least()
	}
	m.routes[index] = window{route: route}
	return &m.routes[index]
}

// least returns the index of the route that is asked for least.
func (m *ProcessingTimeEstimator) least() int {
	least := 0
	for index := range m.routes {
		if m.routes[index].weight < m.routes[least].weight {
			least = index
		}
	}
	return least
}

func (w *window) add(took time.Duration) {
	if len(w.took) < windowLength {
		w.took = append(w.took, took)
	} else {
		w.took[w.next] = took
		w.next = (w.next + 1) % windowLength
	}
	sorted := [windowLength]time.Duration{}
	count := copy(sorted[:], w.took)
	slices.Sort(sorted[:count])
	w.median = sorted[(count-1)/2]
}
