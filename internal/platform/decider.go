package platform

import "time"

// Result is the result of one request, without regard to earlier revisions.
type Result uint8

// The results of a request.
const (
	// Succeeded means a complete, valid response.
	Succeeded Result = iota
	// Failed means no response.
	Failed
	// Invalid means a response that violates a rule.
	Invalid
)

// Outcome is the result of a poll compared with the revisions delivered before.
type Outcome uint8

// The outcomes of one poll.
const (
	// OutcomeNew means a newer revision, which is delivered.
	OutcomeNew Outcome = iota
	// OutcomeUnchanged means the revision delivered last, returned again.
	OutcomeUnchanged
	// OutcomeStale means an older revision than one delivered before, for example from a
	// lagging replica of the service.
	OutcomeStale
	// OutcomeFailed means no response.
	OutcomeFailed
	// OutcomeInvalid means a response that violates a rule.
	OutcomeInvalid
)

// String returns the outcome as a metric label value.
func (o Outcome) String() string {
	names := [...]string{"new", "unchanged", "stale", "failed", "invalid"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Decision is what a poller does after a request.
type Decision struct {
	Outcome Outcome
	// Delay is the time until the next request.
	Delay time.Duration
}

// MaxBackoff limits the delay while the service is failing. It is short enough for an accepted
// change to take effect within seconds after the service has recovered.
const MaxBackoff = 5 * time.Second

// Decider decides which responses a poller delivers and when it sends the next request. It
// keeps the newest revision delivered and the number of consecutive failures.
type Decider struct {
	interval time.Duration
	newest   Revision
	failures int
}

// NewDecider returns a decider that polls at the interval while requests succeed.
func NewDecider(interval time.Duration) *Decider {
	return &Decider{interval: interval}
}

// Decide returns what to do after a request, given its result and, if it succeeded, the
// revision. random, in [0, 1), spreads the requests of many processes.
func (d *Decider) Decide(result Result, revision Revision, random float64) Decision {
	outcome := d.outcome(result, revision)
	if result == Succeeded {
		d.failures = 0
	} else {
		d.failures++
	}
	return Decision{outcome, d.delay(random)}
}

func (d *Decider) outcome(result Result, revision Revision) Outcome {
	switch {
	case result == Failed:
		return OutcomeFailed
	case result == Invalid:
		return OutcomeInvalid
	case revision < d.newest:
		return OutcomeStale
	case revision == d.newest:
		return OutcomeUnchanged
	}
	d.newest = revision
	return OutcomeNew
}

// delay returns the interval, doubled for each consecutive failure up to MaxBackoff, or up to
// the interval if that is longer. Jitter subtracts up to half of a backoff and up to a tenth of
// a regular interval.
func (d *Decider) delay(random float64) time.Duration {
	longest := max(MaxBackoff, d.interval)
	delay := d.interval
	for range d.failures {
		delay = min(2*delay, longest)
		if delay == longest {
			break
		}
	}
	spread := delay / 10
	if d.failures > 0 {
		spread = delay / 2
	}
	return delay - time.Duration(random*float64(spread))
}
