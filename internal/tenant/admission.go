// This file implements the decision on each request: who asks, and whether the
// team is within its rate.

package tenant

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Verdict is the decision on one request.
type Verdict uint8

// The decisions.
const (
	// Admitted: the request may be served.
	Admitted Verdict = iota
	// Unauthenticated: the token is missing, unknown or expired.
	Unauthenticated
	// RateLimited: the team has asked too often.
	RateLimited
)

// Admission is a Verdict with what belongs to it.
type Admission struct {
	Verdict Verdict
	// Principal is set if the request was admitted.
	Principal Principal
	// RetryAfter is, if the rate was exceeded, the time until a request can
	// be admitted.
	RetryAfter time.Duration
}

// AdmissionController decides on requests. It is safe for concurrent use.
type AdmissionController struct {
	mutex     sync.Mutex
	directory *Credentials
	limiters  map[Team]*rate.Limiter
}

// NewAdmissionController returns a gate that admits the holders in a directory.
func NewAdmissionController(directory *Credentials) *AdmissionController {
	gate := &AdmissionController{limiters: make(map[Team]*rate.Limiter)}
	gate.Replace(directory, time.Time{})
	return gate
}

// Replace makes another directory count from now on. A team that keeps its
// limits keeps what it has used of them.
func (g *AdmissionController) Replace(directory *Credentials, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.directory = directory
	for team := range g.limiters {
		if _, exists := directory.limits[team]; !exists {
			delete(g.limiters, team)
		}
	}
	for team, limits := range directory.limits {
		limiter, exists := g.limiters[team]
		if !exists {
			g.limiters[team] = rate.NewLimiter(rate.Limit(limits.RequestsPerSecond), limits.Burst)
			continue
		}
		limiter.SetLimitAt(now, rate.Limit(limits.RequestsPerSecond))
		limiter.SetBurstAt(now, limits.Burst)
	}
}

// Admit decides on one request at a time.
func (g *AdmissionController) Admit(token Token, now time.Time) Admission {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	principal, known := g.directory.Authenticate(token, now)
	if !known {
		return Admission{Verdict: Unauthenticated}
	}
	reservation := g.limiters[principal.Team].ReserveN(now, 1)
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		return Admission{Verdict: RateLimited, RetryAfter: delay}
	}
	return Admission{Verdict: Admitted, Principal: principal}
}
