package relaydaemon

import (
	"time"

	"github.com/go-kit/kit/metrics"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/observability/registry"
)

// directoryMetrics export the directory that a balancer uses, how current it is, and the
// store calls and updates that keep it current.
type directoryMetrics struct {
	version             metrics.Gauge
	routes              metrics.Gauge
	endpoints           metrics.Gauge
	age                 metrics.Gauge
	closedZones         metrics.Gauge
	closedZoneEndpoints metrics.Gauge
	storeCalls          metrics.Counter
	updates             metrics.Counter
}

// Labels of the counters and their values. The outcome of a failed store call is the name of
// its directory.StoreFailure.
const (
	outcomeLabel   = "outcome"
	directionLabel = "direction"

	callListing      = "listing"
	callWatch        = "watch"
	callPoll         = "poll"
	callConfirmation = "confirmation"

	outcomeAnswered = "answered"

	directionSent     = "sent"
	directionReceived = "received"
)

func newDirectoryMetrics(reg *registry.Registry) directoryMetrics {
	return directoryMetrics{
		version:             reg.Gauge("relay_configuration_version", "Version of the configuration in force, 0 before the first."),
		routes:              reg.Gauge("relay_routes", "Routes in force."),
		endpoints:           reg.Gauge("relay_endpoints", "Endpoints known, those that are leaving or gone included."),
		age:                 reg.Gauge("relay_directory_age_seconds", "Time since the store has confirmed the directory, to this balancer or to others."),
		closedZones:         reg.Gauge("relay_closed_zones", "Zones that are closed to new flows."),
		closedZoneEndpoints: reg.Gauge("relay_closed_zone_endpoints", "Endpoints that get no new flow only since their zone is closed."),
		storeCalls:          reg.Counter("relay_store_calls_total", "Calls of the store, by kind and outcome.", kindLabel, outcomeLabel),
		updates:             reg.Counter("relay_updates_total", "Datagrams with changes of the directory, from and to other balancers.", directionLabel),
	}
}

func (m directoryMetrics) observe(snapshot *directory.Snapshot) {
	m.version.Set(float64(snapshot.Version()))
	m.routes.Set(float64(snapshot.RouteCount()))
	m.endpoints.Set(float64(len(snapshot.All())))
	m.closedZones.Set(float64(len(snapshot.ClosedZones())))
	count := 0
	for _, candidate := range snapshot.All() {
		if candidate.ZoneClosed && !candidate.Leaving {
			count++
		}
	}
	m.closedZoneEndpoints.Set(float64(count))
}

// observeAge sets the time since the latest confirmation. A negative confirmed means that
// there has been none.
func (m directoryMetrics) observeAge(now, confirmed time.Duration) {
	if confirmed >= 0 {
		m.age.Set((now - confirmed).Seconds())
	}
}

// countStoreCall counts a call of the store by its kind and outcome.
func (m directoryMetrics) countStoreCall(kind string, err error) {
	outcome := outcomeAnswered
	var failed *directory.StoreError
	if errors.As(err, &failed) {
		outcome = failed.Failure.String()
	}
	m.storeCalls.With(kindLabel, kind, outcomeLabel, outcome).Add(1)
}

// storeCallKind returns the metric label for a call that keeps the directory current.
func storeCallKind(call directory.Call) string {
	switch {
	case call.Listing:
		return callListing
	case call.IsPoll():
		return callPoll
	}
	return callWatch
}
