// Package lookup implements the balancer's choice of a back end row for a
// packet: service by destination address, then hash slot, then primary row.
//
// A Table is built from one version of the configuration and one view of
// which rows are alive, and is immutable. Balancers keep no flow state; two
// balancers with the same configuration and view choose the same row.
package lookup

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/vanetiller/vanetiller/internal/label"
	"github.com/vanetiller/vanetiller/internal/packet"
	"github.com/vanetiller/vanetiller/internal/table"
)

// Liveness reports whether a row is believed to be alive.
type Liveness func(table.BackendID) bool

// AllAlive is the liveness view that excludes no row.
func AllAlive(table.BackendID) bool { return true }

// Target is the row that a packet is sent to.
type Target struct {
	Service     table.ServiceID
	Backend     table.BackendID
	Incarnation table.Incarnation
	Agent       netip.AddrPort
}

// Outcome tells whether a packet has a target and, if not, why.
type Outcome uint8

// The outcomes of Route.
const (
	Routed Outcome = iota
	UnknownService
	NoBackend
	outcomeCount
)

// Outcomes lists every outcome, for counters that are kept by reason.
func Outcomes() []Outcome {
	return label.All(outcomeCount)
}

var outcomeNames = []string{"routed", "unknown_service", "no_backend"}

// String returns the outcome in the form used as a metric label.
func (o Outcome) String() string { return label.Of(outcomeNames, o) }

// serviceKey is a service's IPv4 address, port and protocol in one word, which
// a map hashes and compares faster than a netip.AddrPort.
type serviceKey uint64

// keyOf returns false for an address that is not IPv4, which no service has.
func keyOf(address netip.AddrPort, protocol table.Protocol) (serviceKey, bool) {
	if !address.Addr().Is4() {
		return 0, false
	}
	host := address.Addr().As4()
	key := uint64(binary.BigEndian.Uint32(host[:]))
	key = key<<16 | uint64(address.Port())
	key = key<<8 | uint64(protocol)
	return serviceKey(key), true
}

// serviceEntry is kept by value in the map of services, since a lookup costs
// mostly the memory accesses that wait for each other.
type serviceEntry struct {
	slots   []int16 // index in targets, or NoCandidate
	targets []Target
	origin  *origin
}

// origin is what the slots of a service were computed from.
type origin struct {
	service    table.ServiceID
	candidates []Candidate
}

func (o *origin) equal(other *origin) bool {
	return o != nil && o.service == other.service && slices.Equal(o.candidates, other.candidates)
}

// Table answers lookups for one version and one liveness view. It is safe for
// concurrent use.
type Table struct {
	version  table.Version
	services map[serviceKey]serviceEntry
}

// Build computes the lookup table.
func Build(configuration *table.Table, alive Liveness) *Table {
	return Rebuild(&Table{}, configuration, alive)
}

// Rebuild computes the same lookup table as Build, but takes over the slots of
// services whose rows have the same weights and liveness as in previous, which
// may have been built from any version and liveness view.
func Rebuild(previous *Table, configuration *table.Table, alive Liveness) *Table {
	built := &Table{
		version:  configuration.Version,
		services: make(map[serviceKey]serviceEntry, len(configuration.Services)),
	}
	rows := make(map[table.ServiceID][]table.Backend, len(configuration.Services))
	for _, backend := range configuration.Backends {
		rows[backend.Service] = append(rows[backend.Service], backend)
	}
	for _, service := range configuration.Services {
		key, valid := keyOf(service.Address.AddrPort(), service.Protocol)
		if !valid {
			continue
		}
		built.services[key] = buildService(previous.services[key], service.ID, rows[service.ID], alive)
	}
	return built
}

// buildService returns the entry of a service; previous is the last entry with
// the same address, or empty.
func buildService(previous serviceEntry, service table.ServiceID, rows []table.Backend, alive Liveness) serviceEntry {
	entry := serviceEntry{
		targets: targetsOf(rows),
		origin:  &origin{service: service, candidates: candidatesOf(rows, alive)},
	}
	if previous.origin.equal(entry.origin) {
		entry.slots = previous.slots
		return entry
	}
	entry.slots = assign(service, entry.origin.candidates)
	return entry
}

func targetsOf(rows []table.Backend) []Target {
	targets := make([]Target, len(rows))
	for index, row := range rows {
		targets[index] = Target{
			Service:     row.Service,
			Backend:     row.ID,
			Incarnation: row.Incarnation,
			Agent:       row.Agent.AddrPort(),
		}
	}
	return targets
}

// AssignSlots returns, for every slot of the service, the index in rows of its
// primary, or NoCandidate. Rows that accept no new flows hold no slot, nor do
// rows that are not alive; if no row is alive, liveness is ignored, since
// sending nowhere cannot be better.
func AssignSlots(service table.ServiceID, rows []table.Backend, alive Liveness) []int16 {
	return assign(service, candidatesOf(rows, alive))
}

func assign(service table.ServiceID, candidates []Candidate) []int16 {
	slots := make([]int16, SlotCount(len(candidates)))
	for slot := range slots {
		slots[slot] = int16(Primary(service, slot, candidates))
	}
	return slots
}

// candidatesOf returns a candidate for each row; one that may hold no slot has
// weight 0.
func candidatesOf(rows []table.Backend, alive Liveness) []Candidate {
	candidates := candidatesAlive(rows, alive)
	if !anyWeight(candidates) {
		return candidatesAlive(rows, AllAlive)
	}
	return candidates
}

func candidatesAlive(rows []table.Backend, alive Liveness) []Candidate {
	candidates := make([]Candidate, len(rows))
	for index, row := range rows {
		candidates[index].Backend = row.ID
		if row.AcceptsNewFlows() && alive(row.ID) {
			candidates[index].Weight = row.Weight
		}
	}
	return candidates
}

func anyWeight(candidates []Candidate) bool {
	for _, candidate := range candidates {
		if candidate.Weight > 0 {
			return true
		}
	}
	return false
}

// Version returns the version of the configuration the table was built from.
func (t *Table) Version() table.Version { return t.version }

// Route returns the primary row for a flow.
func (t *Table) Route(flow packet.Flow) (Target, Outcome) {
	target, outcome := t.FindTarget(&flow)
	if outcome != Routed {
		return Target{}, outcome
	}
	return *target, Routed
}

// FindTarget is Route without copies. The target is shared and must not be changed;
// it is nil unless the outcome is Routed.
func (t *Table) FindTarget(flow *packet.Flow) (*Target, Outcome) {
	key, valid := keyOf(flow.Destination, flow.Protocol)
	if !valid {
		return nil, UnknownService
	}
	entry, exists := t.services[key]
	if !exists {
		return nil, UnknownService
	}
	index := entry.slots[SlotOf(flow.Hash(), len(entry.slots))]
	if index == NoCandidate {
		return nil, NoBackend
	}
	return &entry.targets[index], Routed
}
