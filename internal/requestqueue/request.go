package requestqueue

import (
	"math"
	"time"
)

// Request is a request that waits.
type Request struct {
	// Priority orders kinds of requests; 0 is the most urgent.
	Priority uint8
	// StartedAt is when the client began with the request, as far as is known.
	StartedAt time.Duration
	// Objective is the time from Began in which the client should have the answer.
	Objective time.Duration
	// Timeout is the time from Began after which the client gives up; 0 means that it
	// never does.
	Timeout time.Duration
}

// due is when the request has to be answered to meet its objective.
func (r Request) due() time.Duration { return r.StartedAt + r.Objective }

// deadline is when the client gives up, the latest time if it never does.
func (r Request) deadline() time.Duration {
	if r.Timeout == 0 {
		return math.MaxInt64
	}
	return r.StartedAt + r.Timeout
}

// Timeliness is what a request can still achieve.
type Timeliness uint8

// The outlooks, the best first.
const (
	// InTime: it can be answered within its objective.
	InTime Timeliness = iota
	// Late: it can be answered before its client gives up.
	Late
	// Expired: its client has given up or will before the answer.
	Expired
)

// Timeliness returns what the request can achieve if it is begun now and takes as long as
// work.
func (r Request) Timeliness(now, work time.Duration) Timeliness {
	answered := now + work
	switch {
	case answered <= r.due():
		return InTime
	case answered <= r.deadline():
		return Late
	}
	return Expired
}
