// Package lookup implements the balancer's choice of a back end row for a
// packet: service by destination address, then hash slot, then primary row.
//
// A Table is built from one version of the configuration and one view of
// which rows are alive, and is immutable. Balancers keep no flow state; two
// balancers with the same configuration and view choose the same row.
package lookup

import (
	"net/netip"

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
	all := make([]Outcome, outcomeCount)
	for i := range all {
		all[i] = Outcome(i)
	}
	return all
}

// String returns the outcome in the form used as a metric label.
func (o Outcome) String() string {
	names := [...]string{"routed", "unknown_service", "no_backend"}
	if int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

type serviceKey struct {
	address  netip.AddrPort
	protocol table.Protocol
}

type serviceEntry struct {
	targets []Target
	slots   []int16
}

// Table answers lookups for one version and one liveness view. It is safe for
// concurrent use.
type Table struct {
	version  table.Version
	services map[serviceKey]*serviceEntry
}

// Build computes the lookup table.
func Build(configuration *table.Table, alive Liveness) *Table {
	built := &Table{
		version:  configuration.Version,
		services: make(map[serviceKey]*serviceEntry, len(configuration.Services)),
	}
	rows := make(map[table.ServiceID][]table.Backend, len(configuration.Services))
	for _, backend := range configuration.Backends {
		rows[backend.Service] = append(rows[backend.Service], backend)
	}
	for _, service := range configuration.Services {
		key := serviceKey{service.Address.AddrPort(), service.Protocol}
		built.services[key] = buildService(service.ID, rows[service.ID], alive)
	}
	return built
}

func buildService(service table.ServiceID, rows []table.Backend, alive Liveness) *serviceEntry {
	slots := Assign(service, rows, alive)
	entry := &serviceEntry{slots: slots, targets: make([]Target, len(rows))}
	for index, row := range rows {
		entry.targets[index] = Target{
			Service:     service,
			Backend:     row.ID,
			Incarnation: row.Incarnation,
			Agent:       row.Agent.AddrPort(),
		}
	}
	return entry
}

// Assign returns, for every slot of the service, the index in rows of its
// primary, or NoCandidate. Rows that accept no new flows hold no slot, nor do
// rows that are not alive; if no row is alive, liveness is ignored, since
// sending nowhere cannot be better.
func Assign(service table.ServiceID, rows []table.Backend, alive Liveness) []int16 {
	candidates := candidatesOf(rows, alive)
	if !anyWeight(candidates) {
		candidates = candidatesOf(rows, AllAlive)
	}
	slots := make([]int16, SlotCount(len(rows)))
	for slot := range slots {
		slots[slot] = int16(Primary(service, slot, candidates))
	}
	return slots
}

func candidatesOf(rows []table.Backend, alive Liveness) []Candidate {
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
	entry, exists := t.services[serviceKey{flow.Destination, flow.Protocol}]
	if !exists {
		return Target{}, UnknownService
	}
	index := entry.slots[SlotOf(flow.Hash(), len(entry.slots))]
	if index == NoCandidate {
		return Target{}, NoBackend
	}
	return entry.targets[index], Routed
}
