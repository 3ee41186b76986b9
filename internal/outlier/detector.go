package outlier

import (
	"math"
	"time"
)

// Config holds the settings of a Detector.
type Config struct {
	// Window is the number of latest outcomes that count. FailureThreshold is the number of
	// bad ones among them that ejects an endpoint; 0 disables ejections for bad answers.
	Window           int
	FailureThreshold int
	// BaseEjectionTime is the length of the first ejection. It doubles with each trial that
	// fails, up to MaxEjectionTime.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
}

// DefaultConfig returns settings for endpoints that answer about ten requests per second and
// zone. Three bad answers of ten occur by chance in about one of a hundred windows if one
// request in twenty fails, and within half a second if six in ten fail.
func DefaultConfig() Config {
	return Config{Window: 10, FailureThreshold: 3, BaseEjectionTime: time.Second, MaxEjectionTime: 8 * time.Second}
}

const (
	// maxZones bounds the number of zones with a tracker of their own, since balancers can
	// send any zone name.
	maxZones = 64
	// openingTimeout is how long the endpoint may send nothing after an opening packet; it
	// usually accepts a flow within a millisecond. minUnansweredOpenings is the number of
	// opening packets that must be unanswered, since a single one may be lost.
	openingTimeout        = 45 * time.Millisecond
	minUnansweredOpenings = 2
)

// StateChange is a change of the state of an endpoint.
type StateChange struct {
	// Zone is the zone of the clients concerned, empty for all clients.
	Zone  string
	State State
	// Reason is the outcome that caused the change, Success if the endpoint is healthy again.
	Reason Outcome
	// Failures is the number of bad ones among Outcomes latest outcomes. HoldTime is how long
	// the endpoint gets no new flow.
	Failures, Outcomes int
	HoldTime           time.Duration
}

// Detector decides whether one endpoint gets new flows. It is not safe for concurrent use.
type Detector struct {
	config Config
	// shared tracks the outcomes of all clients. zones holds one tracker per zone of clients,
	// since an endpoint may fail for the clients of one zone only.
	shared  tracker
	zones   []zoneTracker
	changes []StateChange
	// unanswered is the number of opening packets since the latest packet of the endpoint,
	// and unansweredSince the time of the first of them.
	unanswered      int
	unansweredSince time.Duration
}

// zoneTracker is the tracker of the clients of one zone.
type zoneTracker struct {
	zone string
	*tracker
}

// NewDetector returns the detector of an endpoint without outcomes, which is healthy.
func NewDetector(config Config) *Detector {
	return &Detector{config: config, shared: tracker{config: config}}
}

// Reset drops all outcomes and states after a restart of the endpoint.
func (d *Detector) Reset() {
	changes := d.changes
	*d = *NewDetector(d.config)
	d.changes = changes
}

// TakeChanges returns the state changes since the previous call.
func (d *Detector) TakeChanges() []StateChange {
	changes := d.changes
	d.changes = nil
	return changes
}

// existingTracker returns the tracker of a zone, nil if there is none.
func (d *Detector) existingTracker(zone string) *tracker {
	for _, each := range d.zones {
		if each.zone == zone {
			return each.tracker
		}
	}
	return nil
}

// trackerOf returns the tracker of a zone and creates it if necessary. Beyond maxZones it
// returns a new tracker that is not kept.
func (d *Detector) trackerOf(zone string) *tracker {
	if known := d.existingTracker(zone); known != nil {
		return known
	}
	created := &tracker{config: d.config}
	if len(d.zones) < maxZones {
		d.zones = append(d.zones, zoneTracker{zone, created})
	}
	return created
}

// RecordOutcome records the outcome of a request of a client in a zone. After a refusal,
// retryAfter is the time for which the endpoint asks to get no requests.
//
// A refusal, or FailureThreshold bad outcomes of the clients of one zone, ejects the endpoint
// for that zone. FailureThreshold bad outcomes of the clients of several zones eject it for all
// clients.
func (d *Detector) RecordOutcome(now time.Duration, zone string, outcome Outcome, retryAfter time.Duration) {
	d.advance(now)
	if outcome != Success && d.config.FailureThreshold == 0 {
		return
	}
	own := d.trackerOf(zone)
	for _, each := range []*tracker{own, &d.shared} {
		each.add(now, zone, outcome)
	}
	count, _ := own.failures()
	ejects := outcome != Success && (count >= d.config.FailureThreshold || outcome == Refusal)
	d.update(now, zone, own, outcome, retryAfter, ejects)
	total, zones := d.shared.failures()
	ejects = outcome != Success && total >= d.config.FailureThreshold && zones > 1
	d.update(now, "", &d.shared, outcome, retryAfter, ejects)
}

// RecordHang records that a request of any client takes far longer than others. The caller
// repeats it while the request hangs, which extends the ejection.
func (d *Detector) RecordHang(now time.Duration) { d.ejectNow(now, Hang) }

// RecordReturn records that the endpoint returned an opening packet.
func (d *Detector) RecordReturn(now time.Duration) { d.ejectNow(now, PacketReturned) }

func (d *Detector) ejectNow(now time.Duration, outcome Outcome) {
	d.advance(now)
	if d.shared.state == Ejected {
		d.shared.extend(now)
		return
	}
	d.update(now, "", &d.shared, outcome, 0, true)
}

// RecordOpening records that the endpoint was given an opening packet.
func (d *Detector) RecordOpening(now time.Duration) {
	if d.unanswered == 0 {
		d.unansweredSince = now
	}
	d.unanswered++
}

// RecordPacket records that the endpoint sent a packet; accepted is set if the packet accepts
// a flow. An endpoint that was ejected as unreachable is then healthy at once.
func (d *Detector) RecordPacket(now time.Duration, accepted bool) {
	d.unanswered = 0
	if accepted && d.shared.state != Healthy && d.shared.reason.unreachable() {
		d.shared.restore()
		d.recordChange(now, "", &d.shared)
	}
}

// CheckDue returns when CheckOpenings should be called, false if no call is needed.
func (d *Detector) CheckDue() (time.Duration, bool) {
	return d.unansweredSince + openingTimeout, d.unanswered >= d.unansweredLimit()
}

// unansweredLimit returns how many opening packets must be unanswered for an ejection. An
// endpoint on probation gets only one.
func (d *Detector) unansweredLimit() int {
	if d.shared.state == Probation {
		return 1
	}
	return minUnansweredOpenings
}

// CheckOpenings ejects the endpoint if it has not answered opening packets in time.
func (d *Detector) CheckOpenings(now time.Duration) {
	due, needed := d.CheckDue()
	if !needed || now < due {
		return
	}
	d.unanswered = 0
	d.ejectNow(now, NoResponse)
}

// Admit reports whether the endpoint may get a new flow of a client in a zone. On probation an
// admitted flow counts as a trial.
func (d *Detector) Admit(now time.Duration, zone string) bool {
	d.advance(now)
	own := d.trackerOf(zone)
	if !own.acceptsFlow(now) || !d.shared.acceptsFlow(now) {
		return false
	}
	own.recordTrial(now)
	d.shared.recordTrial(now)
	return true
}

// Report returns the report for the balancers of a zone. It is about the clients of that zone
// if their tracker has evidence of its own and the shared one is healthy, and otherwise about
// all clients.
func (d *Detector) Report(now time.Duration, zone string) Report {
	d.advance(now)
	source := &d.shared
	own := d.existingTracker(zone)
	if own != nil && d.shared.state == Healthy && own.hasEvidence(d.config.FailureThreshold) {
		source = own
	}
	failures, _ := source.failures()
	return Report{
		Outcomes:         uint8(min(len(source.outcomes), math.MaxUint8)),
		Failures:         uint8(min(failures, math.MaxUint8)),
		Reason:           source.reason,
		HoldMilliseconds: uint16(min(source.holdTime(now).Milliseconds(), math.MaxUint16)),
	}
}

func (d *Detector) advance(now time.Duration) {
	if d.shared.advance(now) {
		d.recordChange(now, "", &d.shared)
	}
	for _, each := range d.zones {
		if each.advance(now) {
			d.recordChange(now, each.zone, each.tracker)
		}
	}
}

func (d *Detector) update(now time.Duration, zone string, updated *tracker, outcome Outcome, retryAfter time.Duration, ejects bool) {
	if updated.update(now, outcome, retryAfter, ejects) {
		d.recordChange(now, zone, updated)
	}
}

func (d *Detector) recordChange(now time.Duration, zone string, changed *tracker) {
	failures, _ := changed.failures()
	d.changes = append(d.changes, StateChange{
		Zone: zone, State: changed.state, Reason: changed.reason,
		Failures: failures, Outcomes: len(changed.outcomes), HoldTime: changed.holdTime(now),
	})
}
