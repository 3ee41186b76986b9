// Package registry implements the metrics of a process: go-kit metrics that
// are kept in a Prometheus registry of the process's own.
//
// Other packages take the interfaces of go-kit's metrics package and know
// nothing of Prometheus.
package registry

import (
	"net/http"

	"github.com/go-kit/kit/metrics"
	kitprometheus "github.com/go-kit/kit/metrics/prometheus"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Namespace begins the name of every metric.
const Namespace = "vanetiller"

// Registry creates metrics and answers scrapes. A metric without labels is
// there from the start, so that a scrape tells zero from absent. Asking for one name twice is
// a broken invariant and panics.
type Registry struct {
	registry *prometheus.Registry
}

// New returns a registry that holds the metrics of the Go runtime and of the
// process.
func New() *Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return &Registry{registry}
}

// Counter returns a new counter, called vanetiller_ and name.
func (r *Registry) Counter(name, help string, labels ...string) metrics.Counter {
	vector := prometheus.NewCounterVec(
		prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
	r.registry.MustRegister(vector)
	if len(labels) == 0 {
		vector.WithLabelValues()
	}
	return kitprometheus.NewCounter(vector)
}

// Gauge returns a new gauge, called vanetiller_ and name.
func (r *Registry) Gauge(name, help string, labels ...string) metrics.Gauge {
	vector := prometheus.NewGaugeVec(
		prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, labels)
	r.registry.MustRegister(vector)
	if len(labels) == 0 {
		vector.WithLabelValues()
	}
	return kitprometheus.NewGauge(vector)
}

// Histogram returns a new histogram with the given upper bounds of buckets,
// called vanetiller_ and name.
func (r *Registry) Histogram(name, help string, buckets []float64, labels ...string) metrics.Histogram {
	vector := prometheus.NewHistogramVec(
		prometheus.HistogramOpts{Namespace: Namespace, Name: name, Help: help, Buckets: buckets}, labels)
	r.registry.MustRegister(vector)
	if len(labels) == 0 {
		vector.WithLabelValues()
	}
	return kitprometheus.NewHistogram(vector)
}

// Handler answers scrapes.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
}
