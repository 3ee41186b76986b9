// This file implements the record of which requests ran where.

package backend

import (
	"slices"
	"sync"
	"time"
)

// Recorder records flows and requests across all back ends of an experiment. It
// is safe for concurrent use.
type Recorder struct {
	mutex        sync.Mutex
	flows        map[string][]FirstContact
	executions   map[string]int
	misdelivered int
}

// NewRecorder returns an empty ledger.
func NewRecorder() *Recorder {
	return &Recorder{flows: make(map[string][]FirstContact), executions: make(map[string]int)}
}

// Totals are the faults that a ledger has seen.
type Totals struct {
	// DuplicateRuns is the number of submissions that ran more than once.
	DuplicateRuns int
	// Misdelivered is the number of requests meant for another service.
	Misdelivered int
}

// FirstContact is the first time that a back end had to do with a flow.
type FirstContact struct {
	Backend string
	At      time.Time
}

// AddFirstContact records a sighting unless the back end is known. Sightings must
// be added in order of time.
func AddFirstContact(contacts []FirstContact, backend string, at time.Time) []FirstContact {
	if slices.ContainsFunc(contacts, func(s FirstContact) bool { return s.Backend == backend }) {
		return contacts
	}
	return append(contacts, FirstContact{Backend: backend, At: at})
}

// flowSeen records that a back end has read a request of a flow.
func (r *Recorder) recordContact(flow, backend string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.flows[flow] = AddFirstContact(r.flows[flow], backend, time.Now())
}

// submissionRan records one run of a submission.
func (r *Recorder) recordExecution(request string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.executions[request]++
}

func (r *Recorder) recordMisdelivery() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.misdelivered++
}

// BackendsOf returns the names of the back ends that have seen a flow.
func (r *Recorder) BackendsOf(flow string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var names []string
	for _, contact := range r.flows[flow] {
		names = append(names, contact.Backend)
	}
	return names
}

// Flows returns the sightings of every flow.
func (r *Recorder) Flows() [][]FirstContact {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	flows := make([][]FirstContact, 0, len(r.flows))
	for _, contacts := range r.flows {
		flows = append(flows, slices.Clone(contacts))
	}
	return flows
}

// HasRun reports whether a submission has run.
func (r *Recorder) HasRun(request string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.executions[request] > 0
}

// Totals returns the faults seen so far.
func (r *Recorder) Totals() Totals {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	totals := Totals{Misdelivered: r.misdelivered}
	for _, runs := range r.executions {
		if runs > 1 {
			totals.DuplicateRuns++
		}
	}
	return totals
}
