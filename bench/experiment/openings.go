// This file implements the record of which agents accepted which connections,
// as seen on the network.

package experiment

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/bench/fabric"
)

// connection identifies one TCP connection of a caller.
type connection struct {
	caller       netip.AddrPort
	service      netip.AddrPort
	acknowledged uint32
}

// acceptance is the first acceptance of a connection by one agent.
type acceptance struct {
	backend string
	at      time.Time
}

// openings is safe for concurrent use.
type openings struct {
	// backendOf names the back end beside each agent.
	backendOf map[netip.AddrPort]string

	mutex    sync.Mutex
	accepted map[connection][]acceptance
	byCaller map[netip.AddrPort][]connection
}

func newOpenings(backendOf map[netip.AddrPort]string) *openings {
	return &openings{
		backendOf: backendOf,
		accepted:  make(map[connection][]acceptance),
		byCaller:  make(map[netip.AddrPort][]connection),
	}
}

// observe records an acceptance. Repetitions by the same agent count once.
func (o *openings) observe(at time.Time, opening fabric.Opening) {
	key := connection{opening.Caller, opening.Service, opening.Acknowledged}
	backend := o.backendOf[opening.Agent]
	o.mutex.Lock()
	defer o.mutex.Unlock()
	seen, exists := o.accepted[key]
	if !exists {
		o.byCaller[opening.Caller] = append(o.byCaller[opening.Caller], key)
	}
	known := slices.ContainsFunc(seen, func(a acceptance) bool { return a.backend == backend })
	if !known {
		o.accepted[key] = append(seen, acceptance{backend: backend, at: at})
	}
}

// acceptors names the back ends whose agents accepted a connection of the
// caller between the two times.
func (o *openings) acceptors(caller netip.AddrPort, from, until time.Time) []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var names []string
	for _, key := range o.byCaller[caller] {
		for _, accepted := range o.accepted[key] {
			inside := !accepted.at.Before(from) && !accepted.at.After(until)
			if inside && !slices.Contains(names, accepted.backend) {
				names = append(names, accepted.backend)
			}
		}
	}
	return names
}

// doubleOpened counts the connections that two agents accepted although the
// earlier one had not been killed in between.
func (o *openings) doubleOpened(kills []kill) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	double := 0
	for _, accepted := range o.accepted {
		if acceptedTwice(accepted, kills) {
			double++
		}
	}
	return double
}

// acceptedTwice expects the acceptances in order of time.
func acceptedTwice(accepted []acceptance, kills []kill) bool {
	for i := 1; i < len(accepted); i++ {
		earlier, later := accepted[i-1], accepted[i]
		died := slices.ContainsFunc(kills, func(k kill) bool {
			return k.backend == earlier.backend && !k.at.Before(earlier.at) && k.at.Before(later.at)
		})
		if !died {
			return true
		}
	}
	return false
}
