package relaydaemon

import (
	"github.com/charmbracelet/log"
	"github.com/go-kit/kit/metrics"
	"golang.org/x/time/rate"

	"github.com/vanetiller/vanetiller/internal/observability/registry"
	"github.com/vanetiller/vanetiller/internal/relay"
)

// kindLabel is the label of the counter of events.
const kindLabel = "kind"

// The log of decisions is bounded, so that it costs little under load; what was
// left out is counted.
const (
	eventsPerSecond = 20
	eventsBurst     = 60
)

// journal logs and counts the decisions of a role.
type journal struct {
	logger  *log.Logger
	limiter *rate.Limiter
	omitted int
	counts  []metrics.Counter
}

func newJournal(logger *log.Logger, registered *registry.Registry) *journal {
	counter := registered.Counter("relay_events_total", "Decisions about packets and peers, by kind.", kindLabel)
	created := &journal{logger: logger, limiter: rate.NewLimiter(eventsPerSecond, eventsBurst)}
	for _, kind := range relay.EventKinds() {
		created.counts = append(created.counts, counter.With(kindLabel, kind.String()))
	}
	return created
}

// routine reports whether an event is part of every flow that goes well.
func routine(kind relay.EventKind) bool {
	return kind == relay.EventPlaced || kind == relay.EventOffered
}

func (j *journal) record(event relay.Event) {
	j.counts[event.Kind].Add(1)
	if routine(event.Kind) {
		return
	}
	if !j.limiter.Allow() {
		j.omitted++
		return
	}
	fields := []any{"event", event.Kind.String()}
	if !event.Flow.Client.IsZero() {
		fields = append(fields, "client", event.Flow.Client, "service", event.Flow.Service)
	}
	if !event.Peer.IsZero() {
		fields = append(fields, "peer", event.Peer)
	}
	if event.Version > 0 {
		fields = append(fields, "version", event.Version)
	}
	if event.Reason != "" {
		fields = append(fields, "reason", event.Reason)
	}
	if j.omitted > 0 {
		fields = append(fields, "omitted", j.omitted)
		j.omitted = 0
	}
	j.logger.Info("decision", fields...)
}
