// Package observability implements the HTTP listener of a process for health
// (/healthz) and metrics (/metrics).
package observability

import (
	"cmp"
	"slices"
	"sync"
)

// Condition names something a process needs before it is ready.
type Condition string

// Reason tells why one condition does not hold.
type Reason struct {
	Condition Condition `json:"condition"`
	Reason    string    `json:"reason"`
}

// Status is the health of a process at one moment.
type Status struct {
	// Ready is true if every condition holds.
	Ready bool `json:"ready"`
	// Reasons lists the conditions that do not hold, by name.
	Reasons []Reason `json:"reasons"`
}

// notStarted is the reason of a condition that was never reported.
const notStarted = "not started"

// Health keeps the conditions of a process. It is safe for concurrent use.
type Health struct {
	mutex   sync.Mutex
	reasons map[Condition]string
}

// NewHealth returns a health in which none of the conditions holds yet.
func NewHealth(conditions ...Condition) *Health {
	reasons := make(map[Condition]string, len(conditions))
	for _, condition := range conditions {
		reasons[condition] = notStarted
	}
	return &Health{reasons: reasons}
}

// SetReady reports that the condition holds.
func (h *Health) SetReady(condition Condition) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.reasons, condition)
}

// SetNotReady reports that the condition does not hold, and why.
func (h *Health) SetNotReady(condition Condition, reason string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.reasons[condition] = reason
}

// Status returns the health now.
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
