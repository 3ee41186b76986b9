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
	// classLimit bounds the classes that are told apart, and with them the metrics.
	classLimit = 256
	// loadInterval is the least time between two lines about a class while requests wait or
	// are turned away, and calmInterval while none are.
	loadInterval = time.Second
	calmInterval = 10 * time.Second
)

// loadCount is what happened to the requests and flows of a class since the last line.
type loadCount struct {
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

func newLoadCount() *loadCount {
	return &loadCount{returned: make(map[string]int), refused: make(map[string]int), waits: make(map[string]int)}
}

// count takes account of an event.
func (c *loadCount) count(now time.Duration, event relay.Event) {
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
		c.waited(event.Elapsed)
	}
}

func (c *loadCount) waited(elapsed time.Duration) {
	c.waits[waitBucket(elapsed)]++
	c.longest = max(c.longest, elapsed)
}

// longerWait is the bucket of waits beyond all bounds.
const longerWait = "longer"

func waitBucket(elapsed time.Duration) string {
	bucket, _ := slices.BinarySearch(secondsBuckets, elapsed.Seconds())
	if bucket == len(secondsBuckets) {
		return longerWait
	}
	return strconv.FormatFloat(1000*secondsBuckets[bucket], 'f', -1, 64)
}

// pressed reports whether something waited or was turned away.
func (c *loadCount) pressed() bool {
	return c.longest > 0 || c.expired > 0 || c.ownerless > 0 || len(c.returned) > 0 || len(c.refused) > 0
}

// due reports whether a line about the class is due.
func (c *loadCount) due(now time.Duration) bool {
	return c.pressed() || c.events > 0 && now-c.since >= calmInterval
}

func (c *loadCount) fields() []any {
	return []any{
		"asked", c.asked, "answered", c.answered, "placed", c.placed, "expired", c.expired, "ownerless", c.ownerless,
		"returned", c.returned, "refused", c.refused,
		"waits", c.waits, "longest_ms", float64(c.longest.Microseconds()) / 1000,
	}
}

// isLoad reports whether an event tells what became of a request or a flow.
func isLoad(kind relay.EventKind) bool {
	switch kind {
	case relay.EventGiven, relay.EventHeld, relay.EventAnswered, relay.EventPlaced, relay.EventExpired,
		relay.EventOwnerless, relay.EventReturned, relay.EventNoEndpoint, relay.EventAdmitted:
		return true
	}
	return false
}

// loadLog sums up what became of requests and flows, by class, in metrics and in lines that
// leave nothing out, unlike those of single decisions.
type loadLog struct {
	logger *log.Logger
	counts map[relay.TrafficClass]*loadCount
	// next is when lines may be due.
	next     time.Duration
	requests metrics.Counter
	returned metrics.Counter
	refused  metrics.Counter
	waits    metrics.Histogram
}

func newLoadLog(logger *log.Logger, registered *registry.Registry) *loadLog {
	return &loadLog{
		logger: logger,
		counts: make(map[relay.TrafficClass]*loadCount),
		requests: registered.Counter("relay_requests_total", "Decisions about requests and flows, by service, priority and kind.",
			serviceLabel, priorityLabel, kindLabel),
		returned: registered.Counter("relay_returned_total", "New flows that an agent returned to their balancers, by service, priority and reason.",
			serviceLabel, priorityLabel, reasonLabel),
		refused: registered.Counter("relay_refused_total", "New flows that a balancer refused their clients, by service, priority and reason.",
			serviceLabel, priorityLabel, reasonLabel),
		waits: registered.Histogram("relay_class_wait_seconds", "Time that requests waited for a busy endpoint, by service and priority.",
			secondsBuckets, serviceLabel, priorityLabel),
	}
}

// record takes account of an event.
func (l *loadLog) record(now time.Duration, event relay.Event) {
	if !isLoad(event.Kind) {
		return
	}
	class := l.bounded(event.Class)
	if l.counts[class] == nil {
		l.counts[class] = newLoadCount()
	}
	l.counts[class].count(now, event)
	labels := labelsOf(class)
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

// bounded returns the class under which an event counts.
func (l *loadLog) bounded(class relay.TrafficClass) relay.TrafficClass {
	if _, exists := l.counts[class]; exists || len(l.counts) < classLimit {
		return class
	}
	return relay.TrafficClass{Service: otherValue}
}

// flush writes the lines that are due.
func (l *loadLog) flush(now time.Duration) {
	if now < l.next {
		return
	}
	l.next = now + loadInterval
	for _, class := range slices.SortedFunc(maps.Keys(l.counts), compareClasses) {
		count := l.counts[class]
		if !count.due(now) {
			continue
		}
		fields := append(fieldsOfClass(class), "interval_ms", (now - count.since).Milliseconds())
		l.logger.Info("load", append(fields, count.fields()...)...)
		l.counts[class] = newLoadCount()
	}
}

func compareClasses(a, b relay.TrafficClass) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(priorityOf(a), priorityOf(b)))
}

func fieldsOfClass(class relay.TrafficClass) []any {
	return []any{serviceLabel, serviceOf(class), priorityLabel, priorityOf(class)}
}

func labelsOf(class relay.TrafficClass) []string {
	return []string{serviceLabel, serviceOf(class), priorityLabel, priorityOf(class)}
}

func serviceOf(class relay.TrafficClass) string { return cmp.Or(class.Service, unknownValue) }

func priorityOf(class relay.TrafficClass) string {
	if !class.PriorityKnown {
		return unknownValue
	}
	return strconv.Itoa(int(class.Priority))
}
