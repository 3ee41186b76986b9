package relaydaemon

import (
	"github.com/charmbracelet/log"
	"github.com/go-kit/kit/metrics"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/observability/registry"
)

// The log of refused entries is bounded apart from that of decisions: whoever fills the
// store with rubbish must not hide what else happens. The counter has them all.
const (
	refusalsPerSecond = 2
	refusalsBurst     = 20
)

// refusalLog logs and counts the entries of the store that cannot be used.
type refusalLog struct {
	logger  *log.Logger
	bound   limited
	counts  map[directory.RefusalReason]metrics.Counter
	present map[directory.RefusalReason]metrics.Gauge
}

func newRefusalLog(logger *log.Logger, registered *registry.Registry) *refusalLog {
	created := &refusalLog{
		logger:  logger,
		bound:   newLimited(refusalsPerSecond, refusalsBurst),
		counts:  make(map[directory.RefusalReason]metrics.Counter),
		present: make(map[directory.RefusalReason]metrics.Gauge),
	}
	counter := registered.Counter("relay_entries_refused_total", "Revisions of entries of the store that cannot be used, by reason.", reasonLabel)
	gauge := registered.Gauge("relay_refused_entries", "Entries of the store that cannot be used now, by reason.", reasonLabel)
	for _, reason := range directory.RefusalReasons() {
		created.counts[reason] = counter.With(reasonLabel, reason.String())
		created.counts[reason].Add(0)
		created.present[reason] = gauge.With(reasonLabel, reason.String())
	}
	return created
}

// report tells of the entries that were refused since the last time.
func (l *refusalLog) report(machine *directory.Replica) {
	fresh := machine.TakeRefusals()
	for _, refusal := range fresh {
		l.counts[refusal.Reason].Add(1)
		l.write(refusal)
	}
	present := machine.RefusalCounts()
	for reason, gauge := range l.present {
		gauge.Set(float64(present[reason]))
	}
}

func (l *refusalLog) write(refusal directory.Refusal) {
	if !l.bound.limiter.Allow() {
		l.bound.omitted++
		return
	}
	fields := []any{"entry", refusal.Key, "revision", uint64(refusal.Revision), "reason", refusal.Reason.String()}
	if l.bound.omitted > 0 {
		fields = append(fields, "omitted", l.bound.omitted)
		l.bound.omitted = 0
	}
	l.logger.Warn("entry refused", fields...)
}
