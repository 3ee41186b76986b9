// This file implements the record of which agents accepted which connections,
// as seen on the network.

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

// openings is safe for concurrent use.
type openings struct {
	// backendOf names the back end beside each agent.
	backendOf map[netip.AddrPort]string

	mutex    sync.Mutex
	accepted map[connection][]backend.Sighting
	byCaller map[netip.AddrPort][]connection
}

func newOpenings(backendOf map[netip.AddrPort]string) *openings {
	return &openings{
		backendOf: backendOf,
		accepted:  make(map[connection][]backend.Sighting),
		byCaller:  make(map[netip.AddrPort][]connection),
	}
}

// observe records an acceptance. Repetitions by the same agent count once.
func (o *openings) observe(at time.Time, opening fabric.AcceptedConnection) {
	key := connection{opening.Caller, opening.Service, opening.Acknowledged}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	seen, exists := o.accepted[key]
	if !exists {
		o.byCaller[opening.Caller] = append(o.byCaller[opening.Caller], key)
	}
	o.accepted[key] = backend.AddSighting(seen, o.backendOf[opening.Agent], at)
}

// acceptors names the back ends whose agents accepted a connection of the
// caller between the two times.
func (o *openings) acceptors(caller netip.AddrPort, from, until time.Time) []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var names []string
	for _, key := range o.byCaller[caller] {
		for _, accepted := range o.accepted[key] {
			inside := !accepted.At.Before(from) && !accepted.At.After(until)
			if inside && !slices.Contains(names, accepted.Backend) {
				names = append(names, accepted.Backend)
			}
		}
	}
	return names
}

// all returns the acceptances of every connection.
func (o *openings) all() [][]backend.Sighting {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	connections := make([][]backend.Sighting, 0, len(o.accepted))
	for _, accepted := range o.accepted {
		connections = append(connections, slices.Clone(accepted))
	}
	return connections
}

// countDouble counts the flows that two back ends had to do with although the
// agent of the earlier one had not been killed in between.
func countDouble(flows [][]backend.Sighting, kills []kill) int {
	double := 0
	for _, seen := range flows {
		if seenTwice(seen, kills) {
			double++
		}
	}
	return double
}

func seenTwice(seen []backend.Sighting, kills []kill) bool {
	for i := 1; i < len(seen); i++ {
		earlier, later := seen[i-1], seen[i]
		died := slices.ContainsFunc(kills, func(k kill) bool {
			return k.backend == earlier.Backend && !k.at.Before(earlier.At) && k.at.Before(later.At)
		})
		if !died {
			return true
		}
	}
	return false
}
