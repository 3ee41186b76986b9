// This file records which back ends received which flows and executed which requests.

package backend

import (
	"slices"
	"sync"
	"time"
)

// Recorder records the flows and requests of all back ends of an experiment. It is safe for
// concurrent use.
type Recorder struct {
	mutex sync.Mutex
	// flows holds the first contacts by flow ID.
	flows map[string][]FirstContact
	// executions counts the executions by the request ID of the submission.
	executions   map[string]int
	misdelivered int
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{flows: make(map[string][]FirstContact), executions: make(map[string]int)}
}

// Totals counts the violations that a recorder has detected.
type Totals struct {
	// DuplicateRuns is the number of submissions that were executed more than once.
	DuplicateRuns int
	// Misdelivered is the number of requests that reached a back end of another service.
	Misdelivered int
}

// FirstContact names a back end and the time at which it first received a request of a flow, or at
// which its agent first accepted the flow.
type FirstContact struct {
	Backend string
	At      time.Time
}

// AddFirstContact appends a contact, unless the back end already has one. Contacts must be added in
// order of time.
func AddFirstContact(contacts []FirstContact, backend string, at time.Time) []FirstContact {
	if slices.ContainsFunc(contacts, func(c FirstContact) bool { return c.Backend == backend }) {
		return contacts
	}
	return append(contacts, FirstContact{Backend: backend, At: at})
}

// recordContact records that a back end has received a request of a flow.
func (r *Recorder) recordContact(flow, backend string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.flows[flow] = AddFirstContact(r.flows[flow], backend, time.Now())
}

// recordExecution records one execution of a submission.
func (r *Recorder) recordExecution(submission string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.executions[submission]++
}

func (r *Recorder) recordMisdelivery() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.misdelivered++
}

// BackendsOf returns the names of the back ends that have received a request of a flow.
func (r *Recorder) BackendsOf(flow string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var names []string
	for _, contact := range r.flows[flow] {
		names = append(names, contact.Backend)
	}
	return names
}

// Flows returns the first contacts of each flow.
func (r *Recorder) Flows() [][]FirstContact {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	flows := make([][]FirstContact, 0, len(r.flows))
	for _, contacts := range r.flows {
		flows = append(flows, slices.Clone(contacts))
	}
	return flows
}

// HasRun reports whether a submission has been executed.
func (r *Recorder) HasRun(submission string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.executions[submission] > 0
}

// Totals returns the violations detected so far.
func (r *Recorder) Totals() Totals {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	totals := Totals{Misdelivered: r.misdelivered}
	for _, executions := range r.executions {
		if executions > 1 {
			totals.DuplicateRuns++
		}
	}
	return totals
}
