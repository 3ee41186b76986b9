package outlier

import (
	"slices"
	"time"
)

const (
	// outcomeLifetime is how long an outcome counts. An endpoint has about ten outcomes per
	// second and zone, and older ones say little about its present state.
	outcomeLifetime = 5 * time.Second
	// trialInterval is the time between two new flows of an endpoint on probation. Trials are
	// rare since each one that fails costs a request. Probation ends after requiredSuccesses
	// successes in a row.
	trialInterval     = 200 * time.Millisecond
	requiredSuccesses = 5
	// baseUnreachableTime and maxUnreachableTime bound the ejection of an endpoint that is
	// unreachable. They are short because a trial then costs no request, only a round trip.
	baseUnreachableTime = 300 * time.Millisecond
	maxUnreachableTime  = time.Second
	// minRefusalTime and maxRefusalTime bound the ejection after a refusal. The endpoint asks
	// for a time, but its load should not depend on a single answer.
	minRefusalTime = 250 * time.Millisecond
	maxRefusalTime = 2 * time.Second
)

// observation is the outcome of one request of a client in a zone.
type observation struct {
	at     time.Duration
	zone   string
	failed bool
}

// tracker holds the state of an endpoint towards the clients of one zone or of all zones.
type tracker struct {
	config   Config
	state    State
	reason   Outcome
	outcomes []observation
	// ejectionTime is the length of the latest ejection, and ejectedUntil its end.
	ejectionTime time.Duration
	ejectedUntil time.Duration
	nextTrial    time.Duration
	successes    int
}

// add records an outcome and drops those that no longer count.
func (t *tracker) add(now time.Duration, zone string, outcome Outcome) {
	t.outcomes = slices.DeleteFunc(t.outcomes, func(observed observation) bool { return now-observed.at > outcomeLifetime })
	t.outcomes = append(t.outcomes, observation{now, zone, outcome != Success})
	t.outcomes = slices.Delete(t.outcomes, 0, max(len(t.outcomes)-t.config.Window, 0))
}

// failures returns the number of bad outcomes in the window, and the number of zones whose
// clients had them.
func (t *tracker) failures() (count, zones int) {
	var seen []string
	for _, each := range t.outcomes {
		if !each.failed {
			continue
		}
		count++
		if !slices.Contains(seen, each.zone) {
			seen = append(seen, each.zone)
		}
	}
	return count, len(seen)
}

// hasEvidence reports whether the tracker of a zone says more about the clients of that zone
// than the shared one. It does if the state is not healthy or there are at least minOutcomes
// outcomes.
func (t *tracker) hasEvidence(minOutcomes int) bool {
	return t.state != Healthy || len(t.outcomes) >= minOutcomes
}

// advance ends an ejection that is over and reports whether it did.
func (t *tracker) advance(now time.Duration) bool {
	if t.state != Ejected || now < t.ejectedUntil {
		return false
	}
	t.state = Probation
	t.successes = 0
	return true
}

// update changes the state after an outcome; ejects says whether a healthy endpoint is to be
// ejected. It reports whether the state has changed.
func (t *tracker) update(now time.Duration, outcome Outcome, retryAfter time.Duration, ejects bool) bool {
	switch {
	case t.state == Healthy && ejects:
		t.eject(now, outcome, retryAfter)
		return true
	case t.state == Probation && outcome != Success:
		t.eject(now, outcome, retryAfter)
		return true
	case t.state == Probation:
		t.successes++
		if t.successes >= requiredSuccesses {
			t.restore()
			return true
		}
	}
	return false
}

// eject ejects the endpoint for twice the time of the latest ejection, within bounds that
// depend on the outcome.
func (t *tracker) eject(now time.Duration, outcome Outcome, retryAfter time.Duration) {
	base, longest := t.config.BaseEjectionTime, t.config.MaxEjectionTime
	switch {
	case outcome.unreachable():
		base, longest = baseUnreachableTime, maxUnreachableTime
	case outcome == Refusal:
		base, longest = max(retryAfter, minRefusalTime), maxRefusalTime
	}
	t.ejectionTime = min(max(2*t.ejectionTime, base), longest)
	t.state = Ejected
	t.reason = outcome
	t.ejectedUntil = now + t.ejectionTime
	t.successes = 0
}

// extend postpones the end of an ejection while its reason lasts.
func (t *tracker) extend(now time.Duration) { t.ejectedUntil = max(t.ejectedUntil, now+t.ejectionTime) }

// restore makes the endpoint healthy and drops all outcomes.
func (t *tracker) restore() { *t = tracker{config: t.config} }

// acceptsFlow reports whether the endpoint may get a new flow now.
func (t *tracker) acceptsFlow(now time.Duration) bool { return t.holdTime(now) == 0 }

// holdTime returns how long the endpoint gets no new flow.
func (t *tracker) holdTime(now time.Duration) time.Duration {
	switch t.state {
	case Ejected:
		return max(t.ejectedUntil-now, 0)
	case Probation:
		return max(t.nextTrial-now, 0)
	}
	return 0
}

// recordTrial records that the endpoint gets a new flow.
func (t *tracker) recordTrial(now time.Duration) {
	if t.state == Probation {
		t.nextTrial = now + trialInterval
	}
}
