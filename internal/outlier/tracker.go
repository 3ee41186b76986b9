package outlier

import (
	"slices"
	"time"
)

const (
	// outcomeLifetime is how long an outcome counts: a second of an endpoint's work has
	// some ten for each zone, and what is older says little of now.
	outcomeLifetime = 5 * time.Second
	// trialInterval is the time between two new flows of an endpoint on probation, which
	// ends after provenOutcomes successes in a row: a trial that fails costs a request.
	trialInterval  = 200 * time.Millisecond
	provenOutcomes = 5
	// firstAbsence and longestAbsence bound how long an endpoint is left out that takes
	// nothing. A trial costs no request then, only a round trip.
	firstAbsence   = 300 * time.Millisecond
	longestAbsence = time.Second
	// shortestRefusal and longestRefusal bound how long an endpoint is left out that asks
	// for it: what it carries at other times should not depend on one answer.
	shortestRefusal = 250 * time.Millisecond
	longestRefusal  = 2 * time.Second
)

// outcome is one outcome, with the zone of the client.
type outcome struct {
	at   time.Duration
	zone string
	bad  bool
}

// track is the state of an endpoint as clients of one zone, or of all, see it.
type track struct {
	limits   Config
	state    State
	reason   Outcome
	outcomes []outcome
	// ejection is how long the endpoint was left out last, and ends until when.
	ejection  time.Duration
	ends      time.Duration
	nextTrial time.Duration
	proven    int
}

// add notes an outcome among the latest.
func (t *track) add(now time.Duration, zone string, class Outcome) {
	t.outcomes = slices.DeleteFunc(t.outcomes, func(o outcome) bool { return now-o.at > outcomeLifetime })
	t.outcomes = append(t.outcomes, outcome{now, zone, class != Success})
	t.outcomes = slices.Delete(t.outcomes, 0, max(len(t.outcomes)-t.limits.Window, 0))
}

// failures returns the number of bad outcomes among the latest, and of the zones whose
// clients saw them.
func (t *track) failures() (count, zones int) {
	var seen []string
	for _, each := range t.outcomes {
		if !each.bad {
			continue
		}
		count++
		if !slices.Contains(seen, each.zone) {
			seen = append(seen, each.zone)
		}
	}
	return count, len(seen)
}

// tells reports whether the track says more of its clients than what all of them saw.
func (t *track) tells(outcomes int) bool { return t.state != Healthy || len(t.outcomes) >= outcomes }

// advance ends an ejection whose time is over.
func (t *track) advance(now time.Duration) bool {
	if t.state != Ejected || now < t.ends {
		return false
	}
	t.state = Probation
	t.proven = 0
	return true
}

// judge takes an outcome into account; ejects tells whether it is enough for an ejection
// of a healthy endpoint. It reports whether the state has changed.
func (t *track) judge(now time.Duration, class Outcome, wait time.Duration, ejects bool) bool {
	switch {
	case t.state == Healthy && ejects:
		t.eject(now, class, wait)
		return true
	case t.state == Probation && class != Success:
		t.eject(now, class, wait)
		return true
	case t.state == Probation:
		t.proven++
		if t.proven >= provenOutcomes {
			t.restore()
			return true
		}
	}
	return false
}

// eject leaves the endpoint out, for longer each time.
func (t *track) eject(now time.Duration, class Outcome, wait time.Duration) {
	first, longest := t.limits.BaseEjectionTime, t.limits.MaxEjectionTime
	switch {
	case class.absent():
		first, longest = firstAbsence, longestAbsence
	case class == Refusal:
		first, longest = max(wait, shortestRefusal), longestRefusal
	}
	t.ejection = min(max(2*t.ejection, first), longest)
	t.state = Ejected
	t.reason = class
	t.ends = now + t.ejection
	t.proven = 0
}

// prolong moves the end of an ejection along while its reason lasts.
func (t *track) prolong(now time.Duration) { t.ends = max(t.ends, now+t.ejection) }

// restore makes the endpoint healthy, with nothing held against it.
func (t *track) restore() { *t = track{limits: t.limits} }

// open reports whether a new flow may come now.
func (t *track) open(now time.Duration) bool { return t.hold(now) == 0 }

// hold returns how long no new flow may come.
func (t *track) hold(now time.Duration) time.Duration {
	switch t.state {
	case Ejected:
		return max(t.ends-now, 0)
	case Probation:
		return max(t.nextTrial-now, 0)
	}
	return 0
}

// try notes that a new flow comes.
func (t *track) try(now time.Duration) {
	if t.state == Probation {
		t.nextTrial = now + trialInterval
	}
}
