package placement

import (
	"math"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// windowLength is the number of latest answers per route that the median is taken of.
	// The median ignores single requests that take far longer than the others.
	windowLength = 9
	// smoothingFactor is the weight of a new answer in the moving average of each route's
	// share of the requests.
	smoothingFactor = 1.0 / 64
	// maxRoutes bounds the number of routes that are tracked. A further route replaces the
	// one with the smallest share.
	maxRoutes = 16
)

// ProcessingTimeEstimator estimates how long an endpoint typically takes for a request.
// Routes differ in the work that they ask for, so the estimator keeps one median per route.
// The estimate is the geometric mean of the medians, weighted by each route's share of the
// requests. An endpoint of half the speed therefore has twice the estimate, regardless of
// the routes of its latest requests.
type ProcessingTimeEstimator struct {
	routes   []routeWindow
	estimate time.Duration
}

// routeWindow holds the processing times of the latest answers of a route.
type routeWindow struct {
	route     segment.Address
	weight    float64
	durations []time.Duration
	next      int
	median    time.Duration
}

// Observe records how long the endpoint has worked on a request of a route.
func (e *ProcessingTimeEstimator) Observe(route segment.Address, duration time.Duration) {
	for index := range e.routes {
		e.routes[index].weight *= 1 - smoothingFactor
	}
	observed := e.windowOf(route)
	observed.weight += smoothingFactor
	observed.add(max(duration, time.Microsecond))
	e.estimate = e.geometricMean()
}

// Estimate returns the typical processing time, 0 before the first observation.
func (e *ProcessingTimeEstimator) Estimate() time.Duration { return e.estimate }

// geometricMean returns the weighted geometric mean of the medians of all routes.
func (e *ProcessingTimeEstimator) geometricMean() time.Duration {
	total, sum := 0.0, 0.0
	for index := range e.routes {
		total += e.routes[index].weight
		sum += e.routes[index].weight * math.Log(float64(e.routes[index].median))
	}
	return time.Duration(math.Round(math.Exp(sum / total)))
}

// windowOf returns the window of a route and creates it if necessary.
func (e *ProcessingTimeEstimator) windowOf(route segment.Address) *routeWindow {
	index := slices.IndexFunc(e.routes, func(window routeWindow) bool { return window.route == route })
	if index >= 0 {
		return &e.routes[index]
	}
	if len(e.routes) < maxRoutes {
		e.routes = append(e.routes, routeWindow{})
		index = len(e.routes) - 1
	} else {
		index = e.leastRequested()
	}
	e.routes[index] = routeWindow{route: route}
	return &e.routes[index]
}

// leastRequested returns the index of the route with the smallest share of the requests.
func (e *ProcessingTimeEstimator) leastRequested() int {
	least := 0
	for index := range e.routes {
		if e.routes[index].weight < e.routes[least].weight {
			least = index
		}
	}
	return least
}

func (w *routeWindow) add(duration time.Duration) {
	if len(w.durations) < windowLength {
		w.durations = append(w.durations, duration)
	} else {
		w.durations[w.next] = duration
		w.next = (w.next + 1) % windowLength
	}
	sorted := [windowLength]time.Duration{}
	count := copy(sorted[:], w.durations)
	slices.Sort(sorted[:count])
	w.median = sorted[(count-1)/2]
}
