package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// registrationInterval is the time between two registrations of an agent. It bounds how long
	// balancers that have all restarted do not know of an endpoint without an entry.
	registrationInterval = 2 * time.Second
	// firstRegistrationRetry is the time until a registration is repeated that no balancer has
	// confirmed. It doubles up to registrationInterval.
	firstRegistrationRetry = 50 * time.Millisecond
)

// registration is the state of an agent's registration with balancers. Balancers know other
// endpoints from the directory. One that has left without notice is in the directory of no balancer
// that has started since, but its agent runs for as long as it serves.
type registration struct {
	// seeds are balancers to register with while no other is known.
	seeds []segment.Address
	// confirmed is set once a balancer has confirmed a registration of this agent.
	confirmed bool
	// dueAt is when the next registration is sent, and retryDelay the time after it until another
	// one if no balancer confirms it.
	dueAt      time.Duration
	retryDelay time.Duration
}

// SetSeeds replaces the balancers that the agent registers with while it knows no other. Without
// seeds it does not register.
func (a *Agent) SetSeeds(seeds []segment.Address) { a.registration.seeds = seeds }

// registerIfDue registers the agent with one of the seeds and of the balancers that it knows.
func (a *Agent) registerIfDue(now time.Duration) {
	if now < a.nextRegistration() {
		return
	}
	balancers := slices.Concat(a.registration.seeds, a.knownBalancers())
	chosen := balancers[a.config.Random.IntN(len(balancers))]
	a.send(chosen, Message{Kind: KindRegister, Service: a.config.Service})
	a.registration.dueAt = now + a.registration.retryDelay
	a.registration.retryDelay = min(2*a.registration.retryDelay, registrationInterval)
}

// nextRegistration returns when the next registration is due, never for an agent without seeds.
func (a *Agent) nextRegistration() time.Duration {
	if len(a.registration.seeds) == 0 {
		return never
	}
	return a.registration.dueAt
}

// receiveRegistered handles the confirmation of a registration.
func (a *Agent) receiveRegistered(now time.Duration) {
	a.registration.confirmed = true
	a.registration.dueAt = now + registrationInterval
	a.registration.retryDelay = firstRegistrationRetry
}
