// Package observability serves the health and the metrics of a process over HTTP.
// GET /healthz reports whether the process is ready and which conditions are not
// met; GET /metrics returns its metrics. The parts of the process report their
// conditions to a Health.
package observability

import (
	"cmp"
	"slices"
	"sync"
)

// Condition is the name of a condition that a process must meet to be ready.
type Condition string

// Reason explains why a condition is not met.
type Reason struct {
	Condition Condition `json:"condition"`
	Reason    string    `json:"reason"`
}

// Status is the health of a process at one moment.
type Status struct {
	// Ready is true if all conditions are met.
	Ready bool `json:"ready"`
	// Reasons lists the conditions that are not met, sorted by name.
	Reasons []Reason `json:"reasons"`
}

// notStarted is the reason of a condition that has not been reported yet.
const notStarted = "not started"

// Health tracks the conditions of a process. It is safe for concurrent use.
type Health struct {
	mutex   sync.Mutex
	reasons map[Condition]string
}

// NewHealth returns a Health in which none of the conditions is met.
func NewHealth(conditions ...Condition) *Health {
	reasons := make(map[Condition]string, len(conditions))
	for _, condition := range conditions {
		reasons[condition] = notStarted
	}
	return &Health{reasons: reasons}
}

// SetReady reports that the condition is met.
func (h *Health) SetReady(condition Condition) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.reasons, condition)
}

// SetNotReady reports that the condition is not met, and the reason.
func (h *Health) SetNotReady(condition Condition, reason string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.reasons[condition] = reason
}

// Status returns the current health.
func (h *Health) Status() Status {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	reasons := make([]Reason, 0, len(h.reasons))
	for condition, reason := range h.reasons {
		reasons = append(reasons, Reason{condition, reason})
	}
	slices.SortFunc(reasons, func(a, b Reason) int { return cmp.Compare(a.Condition, b.Condition) })
	return Status{Ready: len(reasons) == 0, Reasons: reasons}
}
