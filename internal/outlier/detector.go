package outlier

import (
	"math"
	"time"
)

// Config are the settings of a Detector.
type Config struct {
	// Window is the number of latest outcomes that count, and Failures how many of them
	// eject an endpoint; 0 failures switch ejections for bad answers off.
	Window           int
	FailureThreshold int
	// BaseEjectionTime is how long an endpoint that fails is left out at first. The time
	// doubles up to LongestEjection while its trials fail.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
}

// DefaultConfig returns limits for endpoints that answer some ten requests a second of each
// zone: three of ten bad answers come by chance about once in a hundred windows where one
// request in twenty fails, and within half a second where six in ten do.
func DefaultConfig() Config {
	return Config{Window: 10, FailureThreshold: 3, BaseEjectionTime: time.Second, MaxEjectionTime: 8 * time.Second}
}

const (
	// zoneLimit bounds the zones that are told apart: balancers name them.
	zoneLimit = 64
	// openingPatience is how long opening packets may be without any word of the endpoint,
	// which takes flows within a millisecond, and openingsLost how many must be.
	openingPatience = 45 * time.Millisecond
	openingsLost    = 2
)

// StateChange is a change of an endpoint's state.
type StateChange struct {
	// Zone is that of the clients concerned, empty for all.
	Zone  string
	State State
	// Reason is the class of the outcome that decided; it is Success for a restoration.
	Reason Outcome
	// Failures of Outcomes are the evidence, and Hold how long the state lasts at least.
	Failures, Outcomes int
	HoldTime           time.Duration
}

// Detector decides whether one endpoint gets new flows. It is not safe for concurrent use.
type Detector struct {
	limits Config
	// shared is what holds for all clients; zones are the tracks of clients' zones, since
	// an endpoint may fail for those of one zone alone.
	shared  track
	zones   []zoneTrack
	changes []StateChange
	// unheard is the number of opening packets since the endpoint was last heard, and
	// since when that is.
	unheard int
	since   time.Duration
}

// zoneTrack is the track of the clients of one zone.
type zoneTrack struct {
	zone string
	*track
}

// NewDetector returns the detector of an endpoint of which nothing is known.
func NewDetector(limits Config) *Detector {
	return &Detector{limits: limits, shared: track{limits: limits}}
}

// Reset forgets everything: the endpoint was started again.
func (d *Detector) Reset() {
	changes := d.changes
	*d = *NewDetector(d.limits)
	d.changes = changes
}

// TakeChanges returns what has changed since it was called last.
func (d *Detector) TakeChanges() []StateChange {
	changes := d.changes
	d.changes = nil
	return changes
}

// known returns the track of a zone, nil if there is none.
func (d *Detector) known(zone string) *track {
	for _, each := range d.zones {
		if each.zone == zone {
			return each.track
		}
	}
	return nil
}

// zone returns the track of a zone. That of one too many is forgotten at once.
func (d *Detector) zone(name string) *track {
	if known := d.known(name); known != nil {
		return known
	}
	created := &track{limits: d.limits}
	if len(d.zones) < zoneLimit {
		d.zones = append(d.zones, zoneTrack{name, created})
	}
	return created
}

// RecordOutcome notes what became of a request of a client's zone; wait is how long the endpoint
// wants to be spared after a refusal.
func (d *Detector) RecordOutcome(now time.Duration, zone string, class Outcome, wait time.Duration) {
	d.advance(now)
	if class != Success && d.limits.FailureThreshold == 0 {
		return
	}
	own := d.zone(zone)
	for _, each := range []*track{own, &d.shared} {
		each.add(now, zone, class)
	}
	count, _ := own.failures()
	enough := class != Success && (count >= d.limits.FailureThreshold || class == Refusal)
	d.judge(now, zone, own, class, wait, enough)
	all, zones := d.shared.failures()
	enough = class != Success && all >= d.limits.FailureThreshold && zones > 1
	d.judge(now, "", &d.shared, class, wait, enough)
}

// RecordHang notes that a request of any client takes far longer than others, again for as long
// as it does.
func (d *Detector) RecordHang(now time.Duration) { d.absentOrHung(now, Hang) }

// RecordReturn notes that the endpoint did not take an opening packet.
func (d *Detector) RecordReturn(now time.Duration) { d.absentOrHung(now, PacketReturned) }

func (d *Detector) absentOrHung(now time.Duration, class Outcome) {
	d.advance(now)
	if d.shared.state == Ejected {
		d.shared.prolong(now)
		return
	}
	d.judge(now, "", &d.shared, class, 0, true)
}

// RecordOpening notes that the endpoint was given an opening packet.
func (d *Detector) RecordOpening(now time.Duration) {
	if d.unheard == 0 {
		d.since = now
	}
	d.unheard++
}

// RecordPacket notes that the endpoint has said something; took is set if it was that it takes a
// flow.
func (d *Detector) RecordPacket(now time.Duration, took bool) {
	d.unheard = 0
	if took && d.shared.state != Healthy && d.shared.reason.absent() {
		d.shared.restore()
		d.changed(now, "", &d.shared)
	}
}

// CheckDue returns when Check should be called at the latest, false if it need not be.
func (d *Detector) CheckDue() (time.Duration, bool) {
	return d.since + openingPatience, d.unheard >= d.openings()
}

// openings is how many opening packets must be without an answer; one that is on trial has
// no other.
func (d *Detector) openings() int {
	if d.shared.state == Probation {
		return 1
	}
	return openingsLost
}

// CheckOpenings notices that opening packets have got no answer.
func (d *Detector) CheckOpenings(now time.Duration) {
	due, waits := d.CheckDue()
	if !waits || now < due {
		return
	}
	d.unheard = 0
	d.absentOrHung(now, NoResponse)
}

// Admit reports whether a new flow of a client's zone may come, and takes account of it.
func (d *Detector) Admit(now time.Duration, zone string) bool {
	d.advance(now)
	own := d.zone(zone)
	if !own.open(now) || !d.shared.open(now) {
		return false
	}
	own.try(now)
	d.shared.try(now)
	return true
}

// Report returns what a balancer of a zone shall know.
func (d *Detector) Report(now time.Duration, zone string) Report {
	d.advance(now)
	judged := &d.shared
	own := d.known(zone)
	if own != nil && d.shared.state == Healthy && own.tells(d.limits.FailureThreshold) {
		judged = own
	}
	failures, _ := judged.failures()
	return Report{
		Outcomes:         uint8(min(len(judged.outcomes), math.MaxUint8)),
		Failures:         uint8(min(failures, math.MaxUint8)),
		Reason:           judged.reason,
		HoldMilliseconds: uint16(min(judged.hold(now).Milliseconds(), math.MaxUint16)),
	}
}

func (d *Detector) advance(now time.Duration) {
	if d.shared.advance(now) {
		d.changed(now, "", &d.shared)
	}
	for _, each := range d.zones {
		if each.advance(now) {
			d.changed(now, each.zone, each.track)
		}
	}
}

func (d *Detector) judge(now time.Duration, zone string, judged *track, class Outcome, wait time.Duration, ejects bool) {
	if judged.judge(now, class, wait, ejects) {
		d.changed(now, zone, judged)
	}
}

func (d *Detector) changed(now time.Duration, zone string, judged *track) {
	failures, _ := judged.failures()
	d.changes = append(d.changes, StateChange{
		Zone: zone, State: judged.state, Reason: judged.reason,
		Failures: failures, Outcomes: len(judged.outcomes), HoldTime: judged.hold(now),
	})
}
