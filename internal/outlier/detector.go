package outlier

import (
	"math"
	"time"
)

// Limits are the settings of a Detector.
type Limits struct {
	// Window is the number of latest outcomes that count, and Failures how many of them
	// eject an endpoint; 0 failures switch ejections for bad answers off.
	Window   int
	Failures int
	// FirstEjection is how long an endpoint that fails is left out at first. The time
	// doubles up to LongestEjection while its trials fail.
	FirstEjection   time.Duration
	LongestEjection time.Duration
}

// DefaultLimits returns limits for endpoints that answer some ten requests a second of each
// zone: three of ten bad answers come by chance about once in a hundred windows where one
// request in twenty fails, and within half a second where six in ten do.
func DefaultLimits() Limits {
	return Limits{Window: 10, Failures: 3, FirstEjection: time.Second, LongestEjection: 8 * time.Second}
}

const (
	// zoneLimit bounds the zones that are told apart: balancers name them.
	zoneLimit = 64
	// openingPatience is how long opening packets may be without any word of the endpoint,
	// which takes flows within a millisecond, and openingsLost how many must be.
	openingPatience = 45 * time.Millisecond
	openingsLost    = 2
)

// Change is a change of an endpoint's state.
type Change struct {
	// Zone is that of the clients concerned, empty for all.
	Zone  string
	State State
	// Reason is the class of the outcome that decided; it is Success for a restoration.
	Reason Class
	// Failures of Outcomes are the evidence, and Hold how long the state lasts at least.
	Failures, Outcomes int
	Hold               time.Duration
}

// Detector decides whether one endpoint gets new flows. It is not safe for concurrent use.
type Detector struct {
	limits Limits
	// shared is what holds for all clients; zones are the tracks of clients' zones, since
	// an endpoint may fail for those of one zone alone.
	shared  track
	zones   []zoneTrack
	changes []Change
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
func NewDetector(limits Limits) *Detector {
	return &Detector{limits: limits, shared: track{limits: limits}}
}

// Reset forgets everything: the endpoint was started again.
func (d *Detector) Reset() {
	changes := d.changes
	*d = *NewDetector(d.limits)
	d.changes = changes
}

// Changes returns what has changed since it was called last.
func (d *Detector) Changes() []Change {
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

// Answered notes what became of a request of a client's zone; wait is how long the endpoint
// wants to be spared after a refusal.
func (d *Detector) Answered(now time.Duration, zone string, class Class, wait time.Duration) {
	d.advance(now)
	if class != Success && d.limits.Failures == 0 {
		return
	}
	own := d.zone(zone)
	for _, each := range []*track{own, &d.shared} {
		each.add(now, zone, class)
	}
	count, _ := own.failures()
	enough := class != Success && (count >= d.limits.Failures || class == Refusal)
	d.judge(now, zone, own, class, wait, enough)
	all, zones := d.shared.failures()
	enough = class != Success && all >= d.limits.Failures && zones > 1
	d.judge(now, "", &d.shared, class, wait, enough)
}

// Hung notes that a request of any client takes far longer than others, again for as long
// as it does.
func (d *Detector) Hung(now time.Duration) { d.absentOrHung(now, Hang) }

// Returned notes that the endpoint did not take an opening packet.
func (d *Detector) Returned(now time.Duration) { d.absentOrHung(now, Return) }

func (d *Detector) absentOrHung(now time.Duration, class Class) {
	d.advance(now)
	if d.shared.state == Ejected {
		d.shared.prolong(now)
		return
	}
	d.judge(now, "", &d.shared, class, 0, true)
}

// Gave notes that the endpoint was given an opening packet.
func (d *Detector) Gave(now time.Duration) {
	if d.unheard == 0 {
		d.since = now
	}
	d.unheard++
}

// Heard notes that the endpoint has said something; took is set if it was that it takes a
// flow.
func (d *Detector) Heard(now time.Duration, took bool) {
	d.unheard = 0
	if took && d.shared.state != Healthy && d.shared.reason.absent() {
		d.shared.restore()
		d.changed(now, "", &d.shared)
	}
}

// Patience returns when Check should be called at the latest, false if it need not be.
func (d *Detector) Patience() (time.Duration, bool) {
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

// Check notices that opening packets have got no answer.
func (d *Detector) Check(now time.Duration) {
	due, waits := d.Patience()
	if !waits || now < due {
		return
	}
	d.unheard = 0
	d.absentOrHung(now, Silence)
}

// Admits reports whether a new flow of a client's zone may come, and takes account of it.
func (d *Detector) Admits(now time.Duration, zone string) bool {
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
	if own != nil && d.shared.state == Healthy && own.tells(d.limits.Failures) {
		judged = own
	}
	failures, _ := judged.failures()
	return Report{
		Outcomes: uint8(min(len(judged.outcomes), math.MaxUint8)),
		Failures: uint8(min(failures, math.MaxUint8)),
		Reason:   judged.reason,
		Hold:     uint16(min(judged.hold(now).Milliseconds(), math.MaxUint16)),
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

func (d *Detector) judge(now time.Duration, zone string, judged *track, class Class, wait time.Duration, ejects bool) {
	if judged.judge(now, class, wait, ejects) {
		d.changed(now, zone, judged)
	}
}

func (d *Detector) changed(now time.Duration, zone string, judged *track) {
	failures, _ := judged.failures()
	d.changes = append(d.changes, Change{
		Zone: zone, State: judged.state, Reason: judged.reason,
		Failures: failures, Outcomes: len(judged.outcomes), Hold: judged.hold(now),
	})
}
