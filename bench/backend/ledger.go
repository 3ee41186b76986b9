// This file implements the record of which requests ran where.

package backend

import (
	"slices"
	"sync"
)

// Ledger records flows and requests across all back ends of an experiment. It
// is safe for concurrent use.
type Ledger struct {
	mutex        sync.Mutex
	flows        map[string][]string
	runs         map[string]int
	misdelivered int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{flows: make(map[string][]string), runs: make(map[string]int)}
}

// Totals are the faults that a ledger has seen.
type Totals struct {
	// DoubleOpened is the number of flows seen by more than one back end.
	DoubleOpened int
	// DoubleRuns is the number of submissions that ran more than once.
	DoubleRuns int
	// Misdelivered is the number of requests meant for another service.
	Misdelivered int
}

// flowSeen records that a back end has read a request of a flow.
func (l *Ledger) flowSeen(flow, backend string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !slices.Contains(l.flows[flow], backend) {
		l.flows[flow] = append(l.flows[flow], backend)
	}
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
	return slices.Clone(l.flows[flow])
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
	for _, backends := range l.flows {
		if len(backends) > 1 {
			totals.DoubleOpened++
		}
	}
	for _, runs := range l.runs {
		if runs > 1 {
			totals.DoubleRuns++
		}
	}
	return totals
}
