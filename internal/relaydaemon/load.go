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

// The labels of metrics of load, and their values where nothing better is known.
const (
	serviceLabel  = "service"
	priorityLabel = "priority"

	unknownValue = "unknown"
	// otherValue stands for the classes beyond classLimit.
	otherValue = "other"
)

const (
	// maxClasses bounds the classes that are told apart, and with them the metrics.
	maxClasses = 256
	// loadInterval is the least time between two lines about a class while requests wait or
	// are turned away, and calmInterval while none are.
	loadInterval  = time.Second
	quietInterval = 10 * time.Second
)

// loadStats is what happened to the requests and flows of a class since the last line.
type loadStats struct {
	// since is when the first of events was counted.
	since     time.Duration
	events    int
	asked     int
	answered  int
	placed    int
	expired   int
	ownerless int
	returned  map[string]int
	refused   map[string]int
	// waits counts by the upper bound of secondsBuckets in milliseconds, or longerWait.
	waits   map[string]int
	longest time.Duration
}

func newLoadStats() *loadStats {
	return &loadStats{returned: make(map[string]int), refused: make(map[string]int), waits: make(map[string]int)}
}

// add takes account of an event.
func (c *loadStats) add(now time.Duration, event relay.Event) {
	if c.events == 0 {
		c.since = now
	}
	c.events++
	switch event.Kind {
	case relay.EventGiven, relay.EventHeld:
		c.asked++
	case relay.EventAnswered:
		c.answered++
	case relay.EventPlaced:
		c.placed++
	case relay.EventExpired:
		c.expired++
	case relay.EventOwnerless:
		c.ownerless++
	case relay.EventReturned:
		c.returned[event.Reason]++
	case relay.EventNoEndpoint:
		c.refused[event.Reason]++
	case relay.EventAdmitted:
		c.addWait(event.Elapsed)
	}
}

func (c *loadStats) addWait(elapsed time.Duration) {
	c.waits[waitBucket(elapsed)]++
	c.longest = max(c.longest, elapsed)
}

// overflowBucket is the bucket of waits beyond all bounds.
const overflowBucket = "longer"

func waitBucket(elapsed time.Duration) string {
	bucket, _ := slices.BinarySearch(latencyBuckets, elapsed.Seconds())
	if bucket == len(latencyBuckets) {
		return overflowBucket
	}
	return strconv.FormatFloat(1000*latencyBuckets[bucket], 'f', -1, 64)
}

// underPressure reports whether something waited or was turned away.
func (c *loadStats) underPressure() bool {
	return c.longest > 0 || c.expired > 0 || c.ownerless > 0 || len(c.returned) > 0 || len(c.refused) > 0
}

// reportDue reports whether a line about the class is reportDue.
func (c *loadStats) reportDue(now time.Duration) bool {
	return c.underPressure() || c.events > 0 && now-c.since >= quietInterval
}

func (c *loadStats) fields() []any {
	return []any{
		"asked", c.asked, "answered", c.answered, "placed", c.placed, "expired", c.expired, "ownerless", c.ownerless,
		"returned", c.returned, "refused", c.refused,
		"waits", c.waits, "longest_ms", float64(c.longest.Microseconds()) / 1000,
	}
}

// isLoadEvent reports whether an event tells what became of a request or a flow.
func isLoadEvent(kind relay.EventKind) bool {
	switch kind {
	case relay.EventGiven, relay.EventHeld, relay.EventAnswered, relay.EventPlaced, relay.EventExpired,
		relay.EventOwnerless, relay.EventReturned, relay.EventNoEndpoint, relay.EventAdmitted:
		return true
	}
	return false
}

// loadReporter sums up what became of requests and flows, by class, in metrics and in lines that
// leave nothing out, unlike those of single decisions.
type loadReporter struct {
	logger *log.Logger
	stats  map[relay.TrafficClass]*loadStats
	// nextFlush is when lines may be due.
	nextFlush time.Duration
	requests  metrics.Counter
	returned  metrics.Counter
	refused   metrics.Counter
	waits     metrics.Histogram
}

func newLoadReporter(logger *log.Logger, registered *registry.Registry) *loadReporter {
	return &loadReporter{
		logger: logger,
		stats:  make(map[relay.TrafficClass]*loadStats),
		requests: registered.Counter("relay_requests_total", "Decisions about requests and flows, by service, priority and kind.",
			serviceLabel, priorityLabel, kindLabel),
		returned: registered.Counter("relay_returned_total", "New flows that an agent returned to their balancers, by service, priority and reason.",
			serviceLabel, priorityLabel, reasonLabel),
		refused: registered.Counter("relay_refused_total", "New flows that a balancer refused their clients, by service, priority and reason.",
			serviceLabel, priorityLabel, reasonLabel),
		waits: registered.Histogram("relay_class_wait_seconds", "Time that requests waited for a busy endpoint, by service and priority.",
			latencyBuckets, serviceLabel, priorityLabel),
	}
}

// record takes account of an event.
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

// reportedClass returns the class under which an event counts.
func (l *loadReporter) reportedClass(class relay.TrafficClass) relay.TrafficClass {
	if _, exists := l.stats[class]; exists || len(l.stats) < maxClasses {
		return class
	}
	return relay.TrafficClass{Service: otherValue}
}

// flush writes the lines that are due.
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
