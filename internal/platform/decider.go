package platform

import "time"

// Result is what came of one request, as seen without the revision history.
type Result uint8

// The results of a request.
const (
	// Answered means a whole, valid answer.
	Succeeded Result = iota
	// Failed means no answer.
	Failed
	// Invalid means an answer that breaks a rule.
	Invalid
)

// Outcome tells what a poller makes of a result.
type Outcome uint8

// The outcomes of one poll.
const (
	// OutcomeNew means a newer revision, which is delivered.
	OutcomeNew Outcome = iota
	// OutcomeUnchanged means the revision delivered last.
	OutcomeUnchanged
	// OutcomeStale means an older revision than one delivered before, as a
	// lagging replica of the service may give.
	OutcomeStale
	// OutcomeFailed means no answer.
	OutcomeFailed
	// OutcomeInvalid means an answer that breaks a rule.
	OutcomeInvalid
)

// String returns the outcome in the form used as a metric label.
func (o Outcome) String() string {
	names := [...]string{"new", "unchanged", "stale", "failed", "invalid"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Step is what a poller does after a request.
type Decision struct {
	Outcome Outcome
	// Delay is the time until the next request.
	Delay time.Duration
}

// MaxBackoff bounds the delay while the service is failing. It is short enough
// that an accepted change is in force seconds after the service is back.
const MaxBackoff = 5 * time.Second

// Decider decides which answers a poller delivers and when it asks again. It
// keeps the newest revision delivered and the number of failures in a row.
type Decider struct {
	interval time.Duration
	newest   Revision
	failures int
}

// NewDecider returns a decider that asks every interval while the service
// answers.
func NewDecider(interval time.Duration) *Decider {
	return &Decider{interval: interval}
}

// Decide takes the result of a request, the revision if it was answered, and
// a random number from 0 to below 1 that spreads the requests of many
// processes.
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

// delay returns the interval, doubled for each failure in a row up to
// MaxBackoff or the interval if that is longer. Jitter takes off up to half of
// a backoff and up to a tenth of a regular interval.
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
