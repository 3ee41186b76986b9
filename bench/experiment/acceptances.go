// This file records which agents accepted which connections, as observed on the network.

package experiment

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/bench/backend"
	"github.com/vanetiller/vanetiller/bench/fabric"
)

// connection identifies one TCP connection of a caller.
type connection struct {
	caller       netip.AddrPort
	service      netip.AddrPort
	acknowledged uint32
}

// acceptances records the back ends whose agents accepted each connection. It is safe for
// concurrent use.
type acceptances struct {
	// backendOf names the back end beside each agent.
	backendOf map[netip.AddrPort]string

	mutex    sync.Mutex
	accepted map[connection][]backend.FirstContact
	byCaller map[netip.AddrPort][]connection
}

func newAcceptances(backendOf map[netip.AddrPort]string) *acceptances {
	return &acceptances{
		backendOf: backendOf,
		accepted:  make(map[connection][]backend.FirstContact),
		byCaller:  make(map[netip.AddrPort][]connection),
	}
}

// observe records an acceptance. Retransmissions by the same agent count once.
func (a *acceptances) observe(at time.Time, opening fabric.AcceptedConnection) {
	key := connection{opening.Caller, opening.Service, opening.Acknowledged}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	contacts, exists := a.accepted[key]
	if !exists {
		a.byCaller[opening.Caller] = append(a.byCaller[opening.Caller], key)
	}
	a.accepted[key] = backend.AddFirstContact(contacts, a.backendOf[opening.Agent], at)
}

// acceptingBackends returns the names of the back ends whose agents accepted a connection of the
// caller between the two times.
func (a *acceptances) acceptingBackends(caller netip.AddrPort, from, until time.Time) []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var names []string
	for _, key := range a.byCaller[caller] {
		for _, accepted := range a.accepted[key] {
			inside := !accepted.At.Before(from) && !accepted.At.After(until)
			if inside && !slices.Contains(names, accepted.Backend) {
				names = append(names, accepted.Backend)
			}
		}
	}
	return names
}

// all returns the acceptances of each connection.
func (a *acceptances) all() [][]backend.FirstContact {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	connections := make([][]backend.FirstContact, 0, len(a.accepted))
	for _, accepted := range a.accepted {
		connections = append(connections, slices.Clone(accepted))
	}
	return connections
}

// countFlowsOnSeveralBackends counts the flows that reached a second back end although the agent
// of the first had not been killed in between.
func countFlowsOnSeveralBackends(flows [][]backend.FirstContact, kills []kill) int {
	counted := 0
	for _, contacts := range flows {
		if changedBackend(contacts, kills) {
			counted++
		}
	}
	return counted
}

func changedBackend(contacts []backend.FirstContact, kills []kill) bool {
	for i := 1; i < len(contacts); i++ {
		earlier, later := contacts[i-1], contacts[i]
		killedBetween := slices.ContainsFunc(kills, func(k kill) bool {
			return k.backend == earlier.Backend && !k.at.Before(earlier.At) && k.at.Before(later.At)
		})
		if !killedBetween {
			return true
		}
	}
	return false
}
