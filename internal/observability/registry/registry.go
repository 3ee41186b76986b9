// Package registry creates the metrics of a process and exports them to
// Prometheus. Metrics are kept in a Prometheus registry of the process, not in
// the global one.
//
// Other packages use the interfaces of go-kit's metrics package and do not
// depend on Prometheus.
package registry

import (
	"net/http"

	"github.com/go-kit/kit/metrics"
	kitprometheus "github.com/go-kit/kit/metrics/prometheus"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Namespace is the prefix of all metric names.
const Namespace = "vanetiller"

// Registry creates metrics and serves scrapes. A metric without labels is exported
// from its creation on, so that a scrape distinguishes zero from absent. Creating
// two metrics with the same name is a programming error and panics.
type Registry struct {
	registry *prometheus.Registry
}

// New returns a registry with the metrics of the Go runtime and of the operating
// system process.
func New() *Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return &Registry{registry}
}

// Counter creates a counter named vanetiller_ followed by name.
func (r *Registry) Counter(name, help string, labels ...string) metrics.Counter {
	vector := prometheus.NewCounterVec(
		prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
	r.registry.MustRegister(vector)
	if len(labels) == 0 {
		vector.WithLabelValues()
	}
	return kitprometheus.NewCounter(vector)
}

// Gauge creates a gauge named vanetiller_ followed by name.
func (r *Registry) Gauge(name, help string, labels ...string) metrics.Gauge {
	vector := prometheus.NewGaugeVec(
		prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, labels)
	r.registry.MustRegister(vector)
	if len(labels) == 0 {
		vector.WithLabelValues()
	}
	return kitprometheus.NewGauge(vector)
}

// Histogram creates a histogram named vanetiller_ followed by name. The buckets
// are given by their upper bounds.
func (r *Registry) Histogram(name, help string, buckets []float64, labels ...string) metrics.Histogram {
	vector := prometheus.NewHistogramVec(
		prometheus.HistogramOpts{Namespace: Namespace, Name: name, Help: help, Buckets: buckets}, labels)
	r.registry.MustRegister(vector)
	if len(labels) == 0 {
		vector.WithLabelValues()
	}
	return kitprometheus.NewHistogram(vector)
}

// Handler returns the handler for scrapes.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
}
