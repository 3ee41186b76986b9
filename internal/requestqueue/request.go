package requestqueue

import (
	"math"
	"time"
)

// Request is a waiting request.
type Request struct {
	// Priority is the urgency of the request; 0 is the most urgent.
	Priority uint8
	// StartedAt is when the client started the request, as far as is known.
	StartedAt time.Duration
	// Objective is the latency objective: the time from StartedAt to the answer.
	Objective time.Duration
	// Timeout is the time from StartedAt after which the client gives up; 0 means never.
	Timeout time.Duration
}

// due returns the latest time of an answer that meets the objective.
func (r Request) due() time.Duration { return r.StartedAt + r.Objective }

// deadline returns when the client gives up, or the maximum time if it never does.
func (r Request) deadline() time.Duration {
	if r.Timeout == 0 {
		return math.MaxInt64
	}
	return r.StartedAt + r.Timeout
}

// Timeliness says how timely the answer to a request can still be.
type Timeliness uint8

// The degrees of timeliness, best first.
const (
	// InTime: the answer can meet the latency objective.
	InTime Timeliness = iota
	// Late: the answer can still arrive before the client gives up.
	Late
	// Expired: the client gives up before the answer.
	Expired
)

// Timeliness returns how timely the answer is if the request is started now and takes the
// given processing time.
func (r Request) Timeliness(now, processingTime time.Duration) Timeliness {
	answered := now + processingTime
	switch {
	case answered <= r.due():
		return InTime
	case answered <= r.deadline():
		return Late
	}
	return Expired
}
