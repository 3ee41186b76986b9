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

// The labels of the counters of events and of ejections.
const (
	kindLabel   = "kind"
	reasonLabel = "reason"
)

// The log of decisions is bounded, so that it costs little under load. What is
// left out is counted in the next line. Decisions that are part of every flow
// that goes well have a bound of their own.
const (
	eventsPerSecond  = 50
	eventsBurst      = 200
	routinePerSecond = 100
	routineBurst     = 200
)

// secondsBuckets are the upper bounds of the buckets of latency histograms.
var secondsBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// journal logs, counts and times the decisions of a role.
type journal struct {
	logger  *log.Logger
	unusual limited
	routine limited
	counts  []metrics.Counter
	elapsed map[relay.EventKind]metrics.Histogram
	load    *loadLog
	// ejections count by the reason.
	ejections map[string]metrics.Counter
	admitted  map[string]metrics.Counter
}

// limited is a part of the log with a bound.
type limited struct {
	limiter *rate.Limiter
	omitted int
}

func newLimited(perSecond rate.Limit, burst int) limited {
	return limited{limiter: rate.NewLimiter(perSecond, burst)}
}

func newJournal(logger *log.Logger, registered *registry.Registry) *journal {
	histogram := func(name, help string) metrics.Histogram {
		return registered.Histogram(name, help, secondsBuckets)
	}
	created := &journal{
		logger:  logger,
		unusual: newLimited(eventsPerSecond, eventsBurst),
		routine: newLimited(routinePerSecond, routineBurst),
		load:    newLoadLog(logger, registered),
		elapsed: map[relay.EventKind]metrics.Histogram{
			relay.EventPlaced:   histogram("relay_placement_seconds", "Time from a flow's opening packet to the endpoint's answer to it."),
			relay.EventAnswered: histogram("relay_answer_seconds", "Time from a request to the beginning of its answer."),
			relay.EventReleased: histogram("relay_early_seconds", "Time that packets waited for the first directory."),
			relay.EventAdmitted: histogram("relay_wait_seconds", "Time that requests waited for a busy endpoint."),
			relay.EventOwnerless: histogram("relay_ownerless_seconds",
				"Time from the first question for the owner of a flow to the reset of the flow, as no endpoint holds it."),
		},
	}
	counter := registered.Counter("relay_events_total", "Decisions about packets and peers, by kind.", kindLabel)
	for _, kind := range relay.EventKinds() {
		counted := counter.With(kindLabel, kind.String())
		counted.Add(0)
		created.counts = append(created.counts, counted)
	}
	ejections := registered.Counter("relay_ejections_total", "Ejections of the endpoint beside an agent, by reason.", reasonLabel)
	created.ejections = make(map[string]metrics.Counter)
	for _, class := range outlier.Outcomes()[outlier.Failure:] {
		created.ejections[class.String()] = ejections.With(reasonLabel, class.String())
	}
	admitted := registered.Counter("relay_admitted_total", "Requests that waited and were given to the endpoint, by why each went first.", reasonLabel)
	created.admitted = make(map[string]metrics.Counter)
	for _, reason := range requestqueue.Reasons() {
		created.admitted[reason.String()] = admitted.With(reasonLabel, reason.String())
	}
	return created
}

// isRoutine reports whether an event is part of every flow that goes well.
func isRoutine(kind relay.EventKind) bool {
	return kind == relay.EventPlaced || kind == relay.EventGiven || kind == relay.EventAnswered || kind == relay.EventReleased
}

func (j *journal) record(now time.Duration, event relay.Event) {
	j.load.record(now, event)
	j.counts[event.Kind].Add(1)
	if histogram, timed := j.elapsed[event.Kind]; timed {
		histogram.Observe(event.Elapsed.Seconds())
	}
	if event.Kind == relay.EventEjected {
		j.ejections[event.Reason].Add(1)
	}
	if event.Kind == relay.EventAdmitted {
		j.admitted[event.Reason].Add(1)
	}
	bound := &j.unusual
	if isRoutine(event.Kind) {
		bound = &j.routine
	}
	if !bound.limiter.Allow() {
		bound.omitted++
		return
	}
	fields := fieldsOf(event)
	if bound.omitted > 0 {
		fields = append(fields, "omitted", bound.omitted)
		bound.omitted = 0
	}
	j.logger.Info("decision", fields...)
}

func fieldsOf(event relay.Event) []any {
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
