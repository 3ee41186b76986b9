package registry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/observability/registry"
)

func TestRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "registry")
}

func scrape(metrics *registry.Registry) string {
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	Expect(recorder.Code).To(Equal(http.StatusOK))
	return recorder.Body.String()
}

var _ = Describe("Registry", func() {
	It("exports counters, gauges and histograms with their labels", func() {
		metrics := registry.New()
		dropped := metrics.Counter("dropped_total", "Datagrams not sent.", "reason")
		dropped.With("reason", "unknown_service").Add(2)
		dropped.With("reason", "no_backend").Add(1)
		metrics.Gauge("revision", "Newest revision.").Set(7)
		metrics.Histogram("delay_seconds", "Delay.", []float64{0.1, 1}).Observe(0.5)

		Expect(scrape(metrics)).To(And(
			ContainSubstring("# HELP vanetiller_dropped_total Datagrams not sent.\n# TYPE vanetiller_dropped_total counter\n"),
			ContainSubstring("vanetiller_dropped_total{reason=\"unknown_service\"} 2\n"),
			ContainSubstring("vanetiller_dropped_total{reason=\"no_backend\"} 1\n"),
			ContainSubstring("vanetiller_revision 7\n"),
			ContainSubstring("vanetiller_delay_seconds_bucket{le=\"0.1\"} 0\n"),
			ContainSubstring("vanetiller_delay_seconds_bucket{le=\"1\"} 1\n"),
			ContainSubstring("go_goroutines"),
			ContainSubstring("process_cpu_seconds_total"),
		))
	})

	It("keeps the metrics of two registries separate", func() {
		first, second := registry.New(), registry.New()
		first.Gauge("revision", "Newest revision.").Set(1)
		second.Gauge("revision", "Newest revision.").Set(2)
		Expect(scrape(first)).To(ContainSubstring("vanetiller_revision 1\n"))
		Expect(scrape(second)).To(ContainSubstring("vanetiller_revision 2\n"))
	})

	It("panics if a name is already used", func() {
		metrics := registry.New()
		metrics.Gauge("revision", "Newest revision.")
		Expect(func() { metrics.Gauge("revision", "Newest revision.") }).To(Panic())
	})
})
