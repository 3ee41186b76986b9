package relaydaemon

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-kit/kit/metrics"
	"golang.org/x/time/rate"

	"github.com/vanetiller/vanetiller/internal/observability/registry"
	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/requestqueue"
)

// Labels of the counters of events and of ejections.
const (
	kindLabel   = "kind"
	reasonLabel = "reason"
)

// Limits of the decision log, so that it costs little under load. The next line that is
// written states how many were omitted before it. Decisions that belong to every successful
// flow have a limit of their own, so that they do not displace the others.
const (
	eventsPerSecond  = 50
	eventsBurst      = 200
	routinePerSecond = 100
	routineBurst     = 200
)

// latencyBuckets are the upper bounds of the buckets of latency histograms, in seconds.
var latencyBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// eventRecorder logs, counts and times the events of a role.
type eventRecorder struct {
	logger  *log.Logger
	unusual logLimit
	routine logLimit
	// eventCounts is indexed by relay.EventKind.
	eventCounts  []metrics.Counter
	durations    map[relay.EventKind]metrics.Histogram
	loadReporter *loadReporter
	// ejections and admissions hold one counter for each reason.
	ejections  map[string]metrics.Counter
	admissions map[string]metrics.Counter
}

// logLimit limits the rate of log lines. omitted is the number of lines left out since the
// last written one.
type logLimit struct {
	limiter *rate.Limiter
	omitted int
}

func newLogLimit(perSecond rate.Limit, burst int) logLimit {
	return logLimit{limiter: rate.NewLimiter(perSecond, burst)}
}

func newEventRecorder(logger *log.Logger, reg *registry.Registry) *eventRecorder {
	histogram := func(name, help string) metrics.Histogram {
		return reg.Histogram(name, help, latencyBuckets)
	}
	created := &eventRecorder{
		logger:       logger,
		unusual:      newLogLimit(eventsPerSecond, eventsBurst),
		routine:      newLogLimit(routinePerSecond, routineBurst),
		loadReporter: newLoadReporter(logger, reg),
		durations: map[relay.EventKind]metrics.Histogram{
			relay.EventPlaced:   histogram("relay_placement_seconds", "Time from a flow's opening packet to the endpoint's answer to it."),
			relay.EventAnswered: histogram("relay_answer_seconds", "Time from a request to the beginning of its answer."),
			relay.EventReleased: histogram("relay_early_seconds", "Time that packets waited for the first directory."),
			relay.EventAdmitted: histogram("relay_wait_seconds", "Time that requests waited for a busy endpoint."),
			relay.EventOwnerless: histogram("relay_ownerless_seconds",
				"Time from the first question for the owner of a flow to the reset of the flow, as no endpoint holds it."),
		},
	}
	counter := reg.Counter("relay_events_total", "Decisions about packets and peers, by kind.", kindLabel)
	for _, kind := range relay.EventKinds() {
		counted := counter.With(kindLabel, kind.String())
		counted.Add(0)
		created.eventCounts = append(created.eventCounts, counted)
	}
	ejections := reg.Counter("relay_ejections_total", "Ejections of the endpoint beside an agent, by reason.", reasonLabel)
	created.ejections = make(map[string]metrics.Counter)
	for _, outcome := range outlier.Outcomes()[outlier.Failure:] {
		created.ejections[outcome.String()] = ejections.With(reasonLabel, outcome.String())
	}
	admitted := reg.Counter("relay_admitted_total", "Requests that waited and were given to the endpoint, by why each went first.", reasonLabel)
	created.admissions = make(map[string]metrics.Counter)
	for _, reason := range requestqueue.Reasons() {
		created.admissions[reason.String()] = admitted.With(reasonLabel, reason.String())
	}
	return created
}

// isRoutine reports whether an event belongs to every successful flow.
func isRoutine(kind relay.EventKind) bool {
	return kind == relay.EventPlaced || kind == relay.EventGiven || kind == relay.EventAnswered || kind == relay.EventReleased
}

// record counts an event and logs it within the limits. The caller holds the lock of the
// executor.
func (r *eventRecorder) record(now time.Duration, event relay.Event) {
	r.loadReporter.record(now, event)
	r.eventCounts[event.Kind].Add(1)
	if histogram, timed := r.durations[event.Kind]; timed {
		histogram.Observe(event.Elapsed.Seconds())
	}
	if event.Kind == relay.EventEjected {
		r.ejections[event.Reason].Add(1)
	}
	if event.Kind == relay.EventAdmitted {
		r.admissions[event.Reason].Add(1)
	}
	limit := &r.unusual
	if isRoutine(event.Kind) {
		limit = &r.routine
	}
	if !limit.limiter.Allow() {
		limit.omitted++
		return
	}
	fields := eventFields(event)
	if limit.omitted > 0 {
		fields = append(fields, "omitted", limit.omitted)
		limit.omitted = 0
	}
	r.logger.Info("decision", fields...)
}

func eventFields(event relay.Event) []any {
	fields := []any{"event", event.Kind.String()}
	if !event.Flow.Client.IsZero() {
		fields = append(fields, "client", event.Flow.Client, "service", event.Flow.Service)
	}
	if event.Request != "" {
		fields = append(fields, "request", event.Request)
	}
	if !event.Peer.IsZero() {
		fields = append(fields, "peer", event.Peer)
	}
	if event.Version > 0 {
		fields = append(fields, "version", event.Version)
	}
	if event.Zone != "" {
		fields = append(fields, "client_zone", event.Zone)
	}
	if event.Outcomes > 0 {
		fields = append(fields, "failures", event.Failures, "outcomes", event.Outcomes)
	}
	if event.Reason != "" {
		fields = append(fields, "reason", event.Reason)
	}
	if event.Elapsed > 0 {
		fields = append(fields, "elapsed_ms", float64(event.Elapsed.Microseconds())/1000)
	}
	return fields
}
