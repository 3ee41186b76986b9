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
	runs         map[string]int
	misdelivered int
}

// NewRecorder returns an empty ledger.
func NewRecorder() *Recorder {
	return &Recorder{flows: make(map[string][]FirstContact), runs: make(map[string]int)}
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
func AddFirstContact(seen []FirstContact, backend string, at time.Time) []FirstContact {
	if slices.ContainsFunc(seen, func(s FirstContact) bool { return s.Backend == backend }) {
		return seen
	}
	return append(seen, FirstContact{Backend: backend, At: at})
}

// flowSeen records that a back end has read a request of a flow.
func (l *Recorder) flowSeen(flow, backend string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.flows[flow] = AddFirstContact(l.flows[flow], backend, time.Now())
}

// submissionRan records one run of a submission.
func (l *Recorder) submissionRan(request string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[request]++
}

func (l *Recorder) requestMisdelivered() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.misdelivered++
}

// BackendsOf returns the names of the back ends that have seen a flow.
func (l *Recorder) BackendsOf(flow string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var names []string
	for _, sighting := range l.flows[flow] {
		names = append(names, sighting.Backend)
	}
	return names
}

// Flows returns the sightings of every flow.
func (l *Recorder) Flows() [][]FirstContact {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	flows := make([][]FirstContact, 0, len(l.flows))
	for _, seen := range l.flows {
		flows = append(flows, slices.Clone(seen))
	}
	return flows
}

// HasRun reports whether a submission has run.
func (l *Recorder) HasRun(request string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.runs[request] > 0
}

// Totals returns the faults seen so far.
func (l *Recorder) Totals() Totals {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	totals := Totals{Misdelivered: l.misdelivered}
	for _, runs := range l.runs {
		if runs > 1 {
			totals.DuplicateRuns++
		}
	}
	return totals
}
