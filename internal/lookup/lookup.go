// Package lookup chooses the back end row that a balancer sends a packet to. It finds
// the service by the destination address, port and protocol of the flow, then the hash
// slot of the flow, then the primary row of that slot.
//
// A Table is immutable. It is built from one version of the configuration and one view
// of which rows are alive. Balancers keep no flow state: two balancers with the same
// configuration and view choose the same row.
package lookup

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/vanetiller/vanetiller/internal/label"
	"github.com/vanetiller/vanetiller/internal/packet"
	"github.com/vanetiller/vanetiller/internal/table"
)

// Liveness reports whether a row is considered alive.
type Liveness func(table.BackendID) bool

// AllAlive is the Liveness by which every row is alive.
func AllAlive(table.BackendID) bool { return true }

// Target is the row that a packet is sent to.
type Target struct {
	Service     table.ServiceID
	Backend     table.BackendID
	Incarnation table.Incarnation
	Agent       netip.AddrPort
}

// Outcome says whether a flow has a target and, if not, why.
type Outcome uint8

// The outcomes of Route.
const (
	Routed Outcome = iota
	UnknownService
	NoBackend
	outcomeCount
)

// Outcomes returns all outcomes, for counters by outcome.
func Outcomes() []Outcome {
	return label.All(outcomeCount)
}

var outcomeNames = []string{"routed", "unknown_service", "no_backend"}

// String returns the outcome as a metric label.
func (o Outcome) String() string { return label.Of(outcomeNames, o) }

// serviceKey is a service's IPv4 address, port and protocol in one word, which
// a map hashes and compares faster than a netip.AddrPort.
type serviceKey uint64

// keyOf returns the key of a service. It returns false for an address that is not IPv4,
// which no service has.
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

// serviceEntry holds the slots and targets of a service. It is kept by value in the map
// of services, since the cost of a lookup is mostly that of dependent memory accesses.
type serviceEntry struct {
	slots   []int16 // indices in targets, or NoCandidate
	targets []Target
	inputs  *slotInputs
}

// slotInputs holds the values that the slots of a service were computed from.
type slotInputs struct {
	service    table.ServiceID
	candidates []Candidate
}

func (i *slotInputs) equal(other *slotInputs) bool {
	return i != nil && i.service == other.service && slices.Equal(i.candidates, other.candidates)
}

// Table answers lookups for one version of the configuration and one liveness view. It
// is safe for concurrent use.
type Table struct {
	version  table.Version
	services map[serviceKey]serviceEntry
}

// Build returns the lookup table of a configuration.
func Build(configuration *table.Table, alive Liveness) *Table {
	return Rebuild(&Table{}, configuration, alive)
}

// Rebuild returns the same lookup table as Build, but reuses the slots of services whose
// rows have the same weights and liveness as in previous. That table may have been built
// from any version and liveness view.
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

// buildService returns the entry of a service. previous is the entry with the same key
// in the previous table, or empty.
func buildService(previous serviceEntry, service table.ServiceID, rows []table.Backend, alive Liveness) serviceEntry {
	entry := serviceEntry{
		targets: targetsOf(rows),
		inputs:  &slotInputs{service: service, candidates: candidatesOf(rows, alive)},
	}
	if previous.inputs.equal(entry.inputs) {
		entry.slots = previous.slots
		return entry
	}
	entry.slots = assign(service, entry.inputs.candidates)
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

// AssignSlots returns, for every slot of the service, the index in rows of its primary,
// or NoCandidate. Rows that accept no new flows or are not alive get no slot. If no row
// is alive, liveness is ignored, since dropping all packets cannot be better.
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

// candidatesOf returns a candidate for each row. Candidates that may get no slot have
// weight 0.
func candidatesOf(rows []table.Backend, alive Liveness) []Candidate {
	candidates := candidatesWith(rows, alive)
	if !hasWeight(candidates) {
		return candidatesWith(rows, AllAlive)
	}
	return candidates
}

func candidatesWith(rows []table.Backend, alive Liveness) []Candidate {
	candidates := make([]Candidate, len(rows))
	for index, row := range rows {
		candidates[index].Backend = row.ID
		if row.AcceptsNewFlows() && alive(row.ID) {
			candidates[index].Weight = row.Weight
		}
	}
	return candidates
}

func hasWeight(candidates []Candidate) bool {
	for _, candidate := range candidates {
		if candidate.Weight > 0 {
			return true
		}
	}
	return false
}

// Version returns the version of the configuration that the table was built from.
func (t *Table) Version() table.Version { return t.version }

// Route returns the target of a flow.
func (t *Table) Route(flow packet.Flow) (Target, Outcome) {
	target, outcome := t.FindTarget(&flow)
	if outcome != Routed {
		return Target{}, outcome
	}
	return *target, Routed
}

// FindTarget is like Route but copies neither the flow nor the target. The target is
// shared and must not be modified. It is nil unless the outcome is Routed.
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
