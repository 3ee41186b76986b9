// This file authenticates requests and applies the rate limit of the team.

package tenant

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Verdict is the admission decision for one request.
type Verdict uint8

// The verdicts.
const (
	// Admitted: the request may be served.
	Admitted Verdict = iota
	// Unauthenticated: the token is missing, unknown or expired.
	Unauthenticated
	// RateLimited: the team exceeds its request rate.
	RateLimited
)

// Admission is a Verdict with its details.
type Admission struct {
	Verdict Verdict
	// Principal is set if the request was admitted.
	Principal Principal
	// RetryAfter is set if the rate limit was exceeded. It is the time until the
	// next request of the team can be admitted.
	RetryAfter time.Duration
}

// AdmissionController authenticates requests and limits the rate of each team.
// It is safe for concurrent use.
type AdmissionController struct {
	mutex       sync.Mutex
	credentials *Credentials
	limiters    map[Team]*rate.Limiter
}

// NewAdmissionController returns a controller that admits the holders of the
// given credentials.
func NewAdmissionController(credentials *Credentials) *AdmissionController {
	controller := &AdmissionController{limiters: make(map[Team]*rate.Limiter)}
	controller.Replace(credentials, time.Time{})
	return controller
}

// Replace switches to other credentials. Teams that exist in both keep the state
// of their rate limiter, so that a reload does not grant a new burst.
func (c *AdmissionController) Replace(credentials *Credentials, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.credentials = credentials
	for team := range c.limiters {
		if _, exists := credentials.limits[team]; !exists {
			delete(c.limiters, team)
		}
	}
	for team, limits := range credentials.limits {
		limiter, exists := c.limiters[team]
		if !exists {
			c.limiters[team] = rate.NewLimiter(rate.Limit(limits.RequestsPerSecond), limits.Burst)
			continue
		}
		limiter.SetLimitAt(now, rate.Limit(limits.RequestsPerSecond))
		limiter.SetBurstAt(now, limits.Burst)
	}
}

// Admit decides whether a request with the token is admitted now, and counts it
// against the rate limit of the team if so.
func (c *AdmissionController) Admit(token Token, now time.Time) Admission {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	principal, known := c.credentials.Authenticate(token, now)
	if !known {
		return Admission{Verdict: Unauthenticated}
	}
	reservation := c.limiters[principal.Team].ReserveN(now, 1)
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		return Admission{Verdict: RateLimited, RetryAfter: delay}
	}
	return Admission{Verdict: Admitted, Principal: principal}
}
