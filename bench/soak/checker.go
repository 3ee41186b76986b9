package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// misroutedAfter and misroutedPackets tell when an open flow counts as
	// misrouted: that many of its packets reached other endpoints in that time, and
	// none its own.
	misroutedAfter   = 2 * time.Second
	misroutedPackets = 3
	// drainTimeout is the time after which a leaving endpoint must get no new flow,
	// and drainSlack allows for the timing of real processes.
	drainTimeout = 3 * time.Second
	drainSlack   = time.Second
	// closeTimeout is the time after which endpoints of a closed zone must get no new flow.
	closeTimeout = 3 * time.Second
	// calmTime is how long nothing may have been disturbed for the rules with a time
	// bound to hold.
	calmTime = 4 * time.Second
	// keptCauses bounds the broken promises that are described.
	keptCauses = 20
)

// Violations counts broken promises.
type Violations struct {
	// ResetOpenFlows: an open flow was reset though its endpoint holds it.
	ResetOpenFlows int `json:"reset_open"`
	// MisroutedFlows: packets of an open flow went to other endpoints.
	MisroutedFlows int `json:"misrouted"`
	// DuplicateRuns: a request that must not be repeated ran twice.
	DuplicateRuns int `json:"double_runs"`
	// LateDrainFlows: an endpoint that leaves got a new flow.
	LateDrainFlows int `json:"late_openings"`
	// ClosedZoneFlows: an endpoint of a closed zone got a new flow.
	ClosedZoneFlows int `json:"closed_openings"`
	// InvalidPackets: a packet arrived not as it was written.
	InvalidPackets int `json:"forged"`
	// MismatchedAnswers: a client got the answer to another request.
	MismatchedAnswers int `json:"mixed"`
	// UnexpectedExits: a daemon ended that nobody ended.
	UnexpectedExits int `json:"own_exits"`
	// Unrecovered: too few requests were served after the last fault.
	Unrecovered int `json:"unrecovered"`
}

// Total returns the number of broken promises.
func (b Violations) Total() int {
	return b.ResetOpenFlows + b.MisroutedFlows + b.DuplicateRuns + b.LateDrainFlows + b.ClosedZoneFlows + b.InvalidPackets + b.MismatchedAnswers + b.UnexpectedExits + b.Unrecovered
}

// flowRecord is what the ledger knows of a flow.
type flowRecord struct {
	endpoint *endpoint
	// astray are the times at which other endpoints got packets since the flow's own
	// endpoint had one.
	astray    []time.Duration
	misrouted bool
}

// ledger judges a run by what clients and endpoints see. It is safe for concurrent
// use. Times are since the start of the run.
type ledger struct {
	now func() time.Duration

	mutex     sync.Mutex
	broken    Violations
	causes    []string
	flows     map[segment.FlowKey]*flowRecord
	runs      map[uint64]int
	leaving   map[directory.EndpointID]time.Duration
	disturbed time.Duration
	// closedZone is the zone that is closed, empty if none is, and closedSince since when.
	closedZone  string
	closedSince time.Duration
	asked       int
	served      int
	// judged are the requests that were sent after the last fault.
	judgedFrom  time.Duration
	judgedAsked int
	judgedLost  int
}

func newLedger(now func() time.Duration) *ledger {
	return &ledger{
		now: now, flows: make(map[segment.FlowKey]*flowRecord), runs: make(map[uint64]int),
		leaving: make(map[directory.EndpointID]time.Duration),
	}
}

// breaks notes a broken promise. The mutex must be held.
func (l *ledger) breaks(count *int, format string, arguments ...any) {
	*count++
	if len(l.causes) < keptCauses {
		at := l.now().Seconds()
		l.causes = append(l.causes, fmt.Sprintf("%.3f s: ", at)+fmt.Sprintf(format, arguments...))
	}
}

// disturb tells that a fault begins or ends.
func (l *ledger) disturb() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.disturbed = l.now()
}

func (l *ledger) ownExit(name string, code int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.breaks(&l.broken.UnexpectedExits, "%s ended by itself with code %d", name, code)
}

func (l *ledger) forged(where string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.breaks(&l.broken.InvalidPackets, "a packet that its sender did not write reached %s", where)
}

func (l *ledger) mixed(key segment.FlowKey) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.breaks(&l.broken.MismatchedAnswers, "flow %v got the answer to another request", key)
}

// opened tells that an endpoint has the end of a handshake.
func (l *ledger) opened(key segment.FlowKey, at *endpoint) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.flows[key] = &flowRecord{endpoint: at}
}

// closed tells that a flow has ended or is given up.
func (l *ledger) closed(key segment.FlowKey) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.flows, key)
}

// arrived tells that a packet of a flow has reached an endpoint.
func (l *ledger) arrived(key segment.FlowKey, at *endpoint) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	record, open := l.flows[key]
	if !open || !record.endpoint.alive() {
		return
	}
	if record.endpoint == at {
		record.astray = nil
		return
	}
	record.astray = append(record.astray, l.now())
	first := max(len(record.astray)-misroutedPackets, 0)
	spans := len(record.astray) >= misroutedPackets && l.now()-record.astray[0] >= misroutedAfter
	if spans && !record.misrouted && l.calm() {
		record.misrouted = true
		l.breaks(&l.broken.MisroutedFlows, "flow %v of %s: packets at others since %v", key, record.endpoint.id, record.astray[first])
	}
}

// calm reports whether nothing was disturbed lately. The mutex must be held.
func (l *ledger) calm() bool { return l.now()-l.disturbed > calmTime }

// reset tells that a client took a reset of an open flow that no endpoint wrote.
func (l *ledger) reset(key segment.FlowKey) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if record, open := l.flows[key]; open && record.endpoint.alive() {
		l.breaks(&l.broken.ResetOpenFlows, "flow %v of %s was reset", key, record.endpoint.id)
	}
}

// ran tells that an endpoint began to work on a request.
func (l *ledger) ran(request uint64, repeatable bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[request]++
	if !repeatable && l.runs[request] > 1 {
		l.breaks(&l.broken.DuplicateRuns, "request %d ran %d times", request, l.runs[request])
	}
}

// left tells that the store has taken that an endpoint leaves.
func (l *ledger) left(id directory.EndpointID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leaving[id] = l.now()
}

// closeZone tells that a zone is closed from now on. It reports false if another is.
func (l *ledger) closeZone(zone string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closedZone != "" {
		return false
	}
	l.closedZone, l.closedSince = zone, l.now()
	return true
}

// openZone tells that the closed zone is open again.
func (l *ledger) openZone() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closedZone = ""
}

// openedAt tells that an endpoint in a zone got an opening packet.
func (l *ledger) openedAt(id directory.EndpointID, zone string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	closed := zone == l.closedZone && zone != "" && l.now()-l.closedSince > closeTimeout+drainSlack
	if closed && l.disturbed < l.closedSince-calmTime {
		l.breaks(&l.broken.ClosedZoneFlows, "%s got a new flow %v after %s was closed", id, l.now()-l.closedSince, zone)
	}
	since, leaving := l.leaving[id]
	late := leaving && l.now()-since > drainTimeout+drainSlack
	if late && l.disturbed < since-calmTime {
		l.breaks(&l.broken.LateDrainFlows, "%s got a new flow %v after it had begun to leave", id, l.now()-since)
	}
}

// judge makes the requests from now on count for the recovery.
func (l *ledger) judge() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.judgedFrom = l.now()
}

// ended tells what became of a request that was sent at a time.
func (l *ledger) ended(sent time.Duration, wasServed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.asked++
	if wasServed {
		l.served++
	}
	if l.judgedFrom == 0 || sent < l.judgedFrom {
		return
	}
	l.judgedAsked++
	if !wasServed {
		l.judgedLost++
	}
}

// recoveredShare is the share of requests that must be served after the last fault.
const recoveredShare = 0.99

// conclude returns the verdict.
func (l *ledger) conclude(report *Result) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if float64(l.judgedLost) > (1-recoveredShare)*float64(l.judgedAsked) || l.judgedAsked == 0 {
		l.breaks(&l.broken.Unrecovered, "%d of %d requests after the last fault were not served", l.judgedLost, l.judgedAsked)
	}
	report.Requests, report.Served = l.asked, l.served
	report.Violations, report.Descriptions = l.broken, l.causes
}
