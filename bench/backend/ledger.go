// This file implements the record of which requests ran where.

package backend

import (
	"slices"
	"sync"
	"time"
)

// Ledger records flows and requests across all back ends of an experiment. It
// is safe for concurrent use.
type Ledger struct {
	mutex        sync.Mutex
	flows        map[string][]Sighting
	runs         map[string]int
	misdelivered int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{flows: make(map[string][]Sighting), runs: make(map[string]int)}
}

// Totals are the faults that a ledger has seen.
type Totals struct {
	// DoubleRuns is the number of submissions that ran more than once.
	DoubleRuns int
	// Misdelivered is the number of requests meant for another service.
	Misdelivered int
}

// Sighting is the first time that a back end had to do with a flow.
type Sighting struct {
	Backend string
	At      time.Time
}

// AddSighting records a sighting unless the back end is known. Sightings must
// be added in order of time.
func AddSighting(seen []Sighting, backend string, at time.Time) []Sighting {
	if slices.ContainsFunc(seen, func(s Sighting) bool { return s.Backend == backend }) {
		return seen
	}
	return append(seen, Sighting{Backend: backend, At: at})
}

// flowSeen records that a back end has read a request of a flow.
func (l *Ledger) flowSeen(flow, backend string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.flows[flow] = AddSighting(l.flows[flow], backend, time.Now())
}

// submissionRan records one run of a submission.
func (l *Ledger) submissionRan(request string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[request]++
}

func (l *Ledger) requestMisdelivered() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.misdelivered++
}

// BackendsOf returns the names of the back ends that have seen a flow.
func (l *Ledger) BackendsOf(flow string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var names []string
	for _, sighting := range l.flows[flow] {
		names = append(names, sighting.Backend)
	}
	return names
}

// Flows returns the sightings of every flow.
func (l *Ledger) Flows() [][]Sighting {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	flows := make([][]Sighting, 0, len(l.flows))
	for _, seen := range l.flows {
		flows = append(flows, slices.Clone(seen))
	}
	return flows
}

// Ran reports whether a submission has run.
func (l *Ledger) Ran(request string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.runs[request] > 0
}

// Totals returns the faults seen so far.
func (l *Ledger) Totals() Totals {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	totals := Totals{Misdelivered: l.misdelivered}
	for _, runs := range l.runs {
		if runs > 1 {
			totals.DoubleRuns++
		}
	}
	return totals
}
