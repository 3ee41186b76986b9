package relaydaemon

import (
	"github.com/charmbracelet/log"
	"github.com/go-kit/kit/metrics"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/observability/registry"
)

// The log of refused entries has its own limit, so that a store with many unusable entries
// does not displace other events from the log. The counter includes refusals without a line.
const (
	refusalsPerSecond = 2
	refusalsBurst     = 20
)

// refusalLog logs and counts the store entries that cannot be used.
type refusalLog struct {
	logger  *log.Logger
	limit   logLimit
	counts  map[directory.RefusalReason]metrics.Counter
	current map[directory.RefusalReason]metrics.Gauge
}

func newRefusalLog(logger *log.Logger, reg *registry.Registry) *refusalLog {
	created := &refusalLog{
		logger:  logger,
		limit:   newLogLimit(refusalsPerSecond, refusalsBurst),
		counts:  make(map[directory.RefusalReason]metrics.Counter),
		current: make(map[directory.RefusalReason]metrics.Gauge),
	}
	counter := reg.Counter("relay_entries_refused_total", "Revisions of entries of the store that cannot be used, by reason.", reasonLabel)
	gauge := reg.Gauge("relay_refused_entries", "Entries of the store that cannot be used now, by reason.", reasonLabel)
	for _, reason := range directory.RefusalReasons() {
		created.counts[reason] = counter.With(reasonLabel, reason.String())
		created.counts[reason].Add(0)
		created.current[reason] = gauge.With(reasonLabel, reason.String())
	}
	return created
}

// report logs and counts the entries refused since the last call and updates the gauges of
// those that are refused now.
func (l *refusalLog) report(replica *directory.Replica) {
	refusals := replica.TakeRefusals()
	for _, refusal := range refusals {
		l.counts[refusal.Reason].Add(1)
		l.write(refusal)
	}
	current := replica.RefusalCounts()
	for reason, gauge := range l.current {
		gauge.Set(float64(current[reason]))
	}
}

func (l *refusalLog) write(refusal directory.Refusal) {
	if !l.limit.limiter.Allow() {
		l.limit.omitted++
		return
	}
	fields := []any{"entry", refusal.Key, "revision", uint64(refusal.Revision), "reason", refusal.Reason.String()}
	if l.limit.omitted > 0 {
		fields = append(fields, "omitted", l.limit.omitted)
		l.limit.omitted = 0
	}
	l.logger.Warn("entry refused", fields...)
}
