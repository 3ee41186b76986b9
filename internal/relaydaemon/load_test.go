package relaydaemon

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/charmbracelet/log"

	"github.com/vanetiller/vanetiller/internal/logging"
	"github.com/vanetiller/vanetiller/internal/observability/registry"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/requestqueue"
)

func scrape(reg *registry.Registry) string {
	recorder := httptest.NewRecorder()
	reg.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return recorder.Body.String()
}

var _ = Describe("load reporting", func() {
	var (
		output   *bytes.Buffer
		reg      *registry.Registry
		recorder *eventRecorder
	)
	highPriority := relay.TrafficClass{Service: "lookup", Priority: 0, PriorityKnown: true}
	lowPriority := relay.TrafficClass{Service: "lookup", Priority: 2, PriorityKnown: true}

	BeforeEach(func() {
		output = &bytes.Buffer{}
		reg = registry.New()
		recorder = newEventRecorder(logging.New(output, log.InfoLevel, "side-1", "zone-1"), reg)
	})

	record := func(now time.Duration, class relay.TrafficClass, kind relay.EventKind, reason string, elapsed time.Duration) {
		recorder.record(now, relay.Event{Kind: kind, Class: class, Reason: reason, Elapsed: elapsed})
	}
	// takeLoadLines returns the log lines about load and clears the log.
	takeLoadLines := func() []map[string]any {
		var found []map[string]any
		for line := range strings.Lines(output.String()) {
			var fields map[string]any
			Expect(json.Unmarshal([]byte(line), &fields)).To(Succeed())
			if fields["msg"] == "load" {
				found = append(found, fields)
			}
		}
		output.Reset()
		return found
	}

	It("logs one line per second for each class under pressure, with complete counts", func() {
		for range 700 {
			record(time.Second, lowPriority, relay.EventHeld, "", 0)
			record(time.Second, lowPriority, relay.EventReturned, "busy", 0)
		}
		record(time.Second, lowPriority, relay.EventAdmitted, requestqueue.ReasonNewest.String(), 30*time.Millisecond)
		record(time.Second, lowPriority, relay.EventAdmitted, requestqueue.ReasonNewest.String(), 7*time.Second)
		record(time.Second, lowPriority, relay.EventExpired, "", 2*time.Second)
		record(time.Second, highPriority, relay.EventNoEndpoint, "all_returned", 0)
		recorder.loadReporter.flush(2 * time.Second)
		found := takeLoadLines()
		Expect(found).To(HaveLen(2))
		Expect(found[0]).To(And(HaveKeyWithValue("priority", "0"), HaveKeyWithValue("refused", HaveKeyWithValue("all_returned", 1.0))))
		Expect(found[1]).To(And(
			HaveKeyWithValue("service", "lookup"), HaveKeyWithValue("priority", "2"), HaveKeyWithValue("interval_ms", 1000.0),
			HaveKeyWithValue("asked", 700.0), HaveKeyWithValue("returned", HaveKeyWithValue("busy", 700.0)),
			HaveKeyWithValue("expired", 1.0), HaveKeyWithValue("longest_ms", 7000.0),
		))
		Expect(found[1]["waits"]).To(Equal(map[string]any{"50": 1.0, "longer": 1.0}))
		recorder.loadReporter.flush(3 * time.Second)
		Expect(takeLoadLines()).To(BeEmpty(), "no events since the last flush")
	})

	It("names each wait bucket by its upper bound, which is inclusive", func() {
		for elapsed, bucket := range map[time.Duration]string{
			0: "1", time.Millisecond: "1", 1001 * time.Microsecond: "2", 500 * time.Millisecond: "500", 6 * time.Second: "longer",
		} {
			Expect(waitBucket(elapsed)).To(Equal(bucket), elapsed.String())
		}
	})

	It("logs one line every ten seconds for a class without pressure, with the requests of that time", func() {
		for second := range 10 {
			now := time.Duration(second) * time.Second
			record(now, lowPriority, relay.EventGiven, "", 0)
			recorder.loadReporter.flush(now)
		}
		Expect(takeLoadLines()).To(BeEmpty())
		recorder.loadReporter.flush(10 * time.Second)
		Expect(takeLoadLines()).To(ConsistOf(HaveKeyWithValue("asked", 10.0)))
	})

	It("counts events by service, priority and reason", func() {
		record(0, lowPriority, relay.EventHeld, "", 0)
		record(0, lowPriority, relay.EventAdmitted, requestqueue.ReasonNewest.String(), 30*time.Millisecond)
		record(0, lowPriority, relay.EventReturned, "busy", 0)
		record(0, highPriority, relay.EventNoEndpoint, "all_returned", 0)
		record(0, relay.TrafficClass{Service: "lookup"}, relay.EventGiven, "", 0)
		record(0, lowPriority, relay.EventOwnerless, "", 25*time.Millisecond)
		Expect(scrape(reg)).To(And(
			ContainSubstring(`vanetiller_relay_requests_total{kind="held",priority="2",service="lookup"} 1`),
			ContainSubstring(`vanetiller_relay_requests_total{kind="given",priority="unknown",service="lookup"} 1`),
			ContainSubstring(`vanetiller_relay_class_wait_seconds_bucket{priority="2",service="lookup",le="0.05"} 1`),
			ContainSubstring(`vanetiller_relay_returned_total{priority="2",reason="busy",service="lookup"} 1`),
			ContainSubstring(`vanetiller_relay_refused_total{priority="0",reason="all_returned",service="lookup"} 1`),
			ContainSubstring(`vanetiller_relay_ownerless_seconds_bucket{le="0.02"} 0`),
			ContainSubstring(`vanetiller_relay_ownerless_seconds_bucket{le="0.05"} 1`),
		))
	})

	It("counts classes beyond the limit together under the service other", func() {
		for number := range 2 * maxClasses {
			record(0, relay.TrafficClass{Service: strconv.Itoa(number)}, relay.EventGiven, "", 0)
		}
		Expect(scrape(reg)).To(ContainSubstring(`{kind="given",priority="unknown",service="other"} ` + strconv.Itoa(maxClasses)))
		Expect(recorder.loadReporter.stats).To(HaveLen(maxClasses + 1))
	})

	It("exports the capacity and the queue of an endpoint, and zero once nothing waits", func() {
		metrics := newEndpointMetrics(reg, "lookup")
		metrics.observe(relay.EndpointLoad{
			Service: "lookup", Slots: 2, Occupied: 3, ResponseTime: 20 * time.Millisecond,
			Waiting: map[relay.TrafficClass]relay.QueueStats{lowPriority: {Requests: 4, LongestWait: time.Second}},
		})
		Expect(scrape(reg)).To(And(
			ContainSubstring(`vanetiller_relay_endpoint_capacity{service="lookup"} 100`),
			ContainSubstring(`vanetiller_relay_waiting_requests{priority="2",service="lookup"} 4`),
			ContainSubstring(`vanetiller_relay_waiting_longest_seconds{priority="2",service="lookup"} 1`),
		))
		metrics.observe(relay.EndpointLoad{Service: "lookup"})
		Expect(scrape(reg)).To(ContainSubstring(`vanetiller_relay_waiting_requests{priority="2",service="lookup"} 0`))
	})

	It("exports the capacity of services, and zero for a service that is gone", func() {
		metrics := newServiceMetrics(reg)
		metrics.observe([]relay.ServiceLoad{{Service: "lookup", Endpoints: 3, Slots: 12, Capacity: 450}})
		Expect(scrape(reg)).To(ContainSubstring(`vanetiller_relay_service_capacity{service="lookup"} 450`))
		metrics.observe(nil)
		Expect(scrape(reg)).To(ContainSubstring(`vanetiller_relay_service_capacity{service="lookup"} 0`))
	})
})
