package relaydaemon

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-kit/kit/metrics"

	"github.com/vanetiller/vanetiller/internal/observability/registry"
	"github.com/vanetiller/vanetiller/internal/relay"
)

// Labels of the load metrics, and their values for classes that are unknown or counted
// together.
const (
	serviceLabel  = "service"
	priorityLabel = "priority"

	unknownValue = "unknown"
	// otherValue is the service under which all classes beyond maxClasses are counted.
	otherValue = "other"
)

const (
	// maxClasses bounds the classes that are counted separately, and with them the size of
	// the metrics.
	maxClasses = 256
	// loadInterval is the shortest time between two load lines about a class while requests
	// wait or are refused. quietInterval applies while none are.
	loadInterval  = time.Second
	quietInterval = 10 * time.Second
)

// loadStats counts what happened to the requests and flows of a class since its last log
// line. The method fields names the counters as in that line.
type loadStats struct {
	// since is the time of the first counted event.
	since     time.Duration
	events    int
	asked     int
	answered  int
	placed    int
	expired   int
	ownerless int
	returned  map[string]int
	refused   map[string]int
	// waits holds the number of waits by bucket of latencyBuckets. A key is the upper bound
	// in milliseconds, or overflowBucket.
	waits   map[string]int
	longest time.Duration
}

func newLoadStats() *loadStats {
	return &loadStats{returned: make(map[string]int), refused: make(map[string]int), waits: make(map[string]int)}
}

// add counts an event.
func (s *loadStats) add(now time.Duration, event relay.Event) {
	if s.events == 0 {
		s.since = now
	}
	s.events++
	switch event.Kind {
	case relay.EventGiven, relay.EventHeld:
		s.asked++
	case relay.EventAnswered:
		s.answered++
	case relay.EventPlaced:
		s.placed++
	case relay.EventExpired:
		s.expired++
	case relay.EventOwnerless:
		s.ownerless++
	case relay.EventReturned:
		s.returned[event.Reason]++
	case relay.EventNoEndpoint:
		s.refused[event.Reason]++
	case relay.EventAdmitted:
		s.addWait(event.Elapsed)
	}
}

func (s *loadStats) addWait(elapsed time.Duration) {
	s.waits[waitBucket(elapsed)]++
	s.longest = max(s.longest, elapsed)
}

// overflowBucket is the bucket of waits that exceed all bounds.
const overflowBucket = "longer"

func waitBucket(elapsed time.Duration) string {
	bucket, _ := slices.BinarySearch(latencyBuckets, elapsed.Seconds())
	if bucket == len(latencyBuckets) {
		return overflowBucket
	}
	return strconv.FormatFloat(1000*latencyBuckets[bucket], 'f', -1, 64)
}

// underPressure reports whether a request or flow of the class has waited, expired, been
// returned or refused, or had no owner.
func (s *loadStats) underPressure() bool {
	return s.longest > 0 || s.expired > 0 || s.ownerless > 0 || len(s.returned) > 0 || len(s.refused) > 0
}

// reportDue reports whether a log line about the class is due.
func (s *loadStats) reportDue(now time.Duration) bool {
	return s.underPressure() || s.events > 0 && now-s.since >= quietInterval
}

func (s *loadStats) fields() []any {
	return []any{
		"asked", s.asked, "answered", s.answered, "placed", s.placed, "expired", s.expired, "ownerless", s.ownerless,
		"returned", s.returned, "refused", s.refused,
		"waits", s.waits, "longest_ms", float64(s.longest.Microseconds()) / 1000,
	}
}

// isLoadEvent reports whether an event is an outcome of a request or a flow.
func isLoadEvent(kind relay.EventKind) bool {
	switch kind {
	case relay.EventGiven, relay.EventHeld, relay.EventAnswered, relay.EventPlaced, relay.EventExpired,
		relay.EventOwnerless, relay.EventReturned, relay.EventNoEndpoint, relay.EventAdmitted:
		return true
	}
	return false
}

// loadReporter counts the outcomes of requests and flows by class, in metrics and in log
// lines. Unlike the decision log, these counts omit no event.
type loadReporter struct {
	logger *log.Logger
	stats  map[relay.TrafficClass]*loadStats
	// nextFlush is the earliest time of the next flush.
	nextFlush time.Duration
	requests  metrics.Counter
	returned  metrics.Counter
	refused   metrics.Counter
	waits     metrics.Histogram
}

func newLoadReporter(logger *log.Logger, reg *registry.Registry) *loadReporter {
	return &loadReporter{
		logger: logger,
		stats:  make(map[relay.TrafficClass]*loadStats),
		requests: reg.Counter("relay_requests_total", "Decisions about requests and flows, by service, priority and kind.",
			serviceLabel, priorityLabel, kindLabel),
		returned: reg.Counter("relay_returned_total", "New flows that an agent returned to their balancers, by service, priority and reason.",
			serviceLabel, priorityLabel, reasonLabel),
		refused: reg.Counter("relay_refused_total", "New flows that a balancer refused their clients, by service, priority and reason.",
			serviceLabel, priorityLabel, reasonLabel),
		waits: reg.Histogram("relay_class_wait_seconds", "Time that requests waited for a busy endpoint, by service and priority.",
			latencyBuckets, serviceLabel, priorityLabel),
	}
}

// record counts an event if it is an outcome of a request or a flow.
func (l *loadReporter) record(now time.Duration, event relay.Event) {
	if !isLoadEvent(event.Kind) {
		return
	}
	class := l.reportedClass(event.Class)
	if l.stats[class] == nil {
		l.stats[class] = newLoadStats()
	}
	l.stats[class].add(now, event)
	labels := classLabels(class)
	l.requests.With(append(labels, kindLabel, event.Kind.String())...).Add(1)
	switch event.Kind {
	case relay.EventReturned:
		l.returned.With(append(labels, reasonLabel, event.Reason)...).Add(1)
	case relay.EventNoEndpoint:
		l.refused.With(append(labels, reasonLabel, event.Reason)...).Add(1)
	case relay.EventAdmitted:
		l.waits.With(labels...).Observe(event.Elapsed.Seconds())
	}
}

// reportedClass returns the class under which events of class are counted: class itself, or
// the one for otherValue if maxClasses others are counted already.
func (l *loadReporter) reportedClass(class relay.TrafficClass) relay.TrafficClass {
	if _, exists := l.stats[class]; exists || len(l.stats) < maxClasses {
		return class
	}
	return relay.TrafficClass{Service: otherValue}
}

// flush writes the log lines that are due and resets the counts of their classes.
func (l *loadReporter) flush(now time.Duration) {
	if now < l.nextFlush {
		return
	}
	l.nextFlush = now + loadInterval
	for _, class := range slices.SortedFunc(maps.Keys(l.stats), compareClasses) {
		stats := l.stats[class]
		if !stats.reportDue(now) {
			continue
		}
		fields := append(classFields(class), "interval_ms", (now - stats.since).Milliseconds())
		l.logger.Info("load", append(fields, stats.fields()...)...)
		l.stats[class] = newLoadStats()
	}
}

func compareClasses(a, b relay.TrafficClass) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(priorityValue(a), priorityValue(b)))
}

func classFields(class relay.TrafficClass) []any {
	return []any{serviceLabel, serviceValue(class), priorityLabel, priorityValue(class)}
}

func classLabels(class relay.TrafficClass) []string {
	return []string{serviceLabel, serviceValue(class), priorityLabel, priorityValue(class)}
}

func serviceValue(class relay.TrafficClass) string { return cmp.Or(class.Service, unknownValue) }

func priorityValue(class relay.TrafficClass) string {
	if !class.PriorityKnown {
		return unknownValue
	}
	return strconv.Itoa(int(class.Priority))
}
