// Package table implements the configuration table that operators edit: the
// services, one row per back end, and a column per weight, connection limit
// and drain flag.
//
// A Table is a plain value. It carries a version, is checked as a whole by
// Validate, and is never changed after it has been published.
package table

import (
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/pkg/errors"
)

//go:generate go tool msgp -tests=false

// A forged length must not make the decoder allocate more than a table needs.
//
//msgp:limit arrays:65536

// Version numbers the accepted states of the table, starting at 1. A larger
// version always supersedes a smaller one.
type Version uint64

// ServiceID identifies a service. It fits in the 24 bits of a Geneve virtual
// network identifier and is never reused.
type ServiceID uint32

// BackendID identifies a back end row across the whole table. It is never
// reused for another service.
type BackendID uint32

// Incarnation tells apart successive uses of one BackendID. A row that is
// removed and created again gets a higher incarnation.
type Incarnation uint32

// Protocol is the transport protocol number of a service as in the IPv4
// header.
type Protocol uint8

// The transport protocols a service can use.
const (
	ProtocolTCP Protocol = 6
	ProtocolUDP Protocol = 17
)

// String returns the lower-case protocol name.
func (p Protocol) String() string {
	switch p {
	case ProtocolTCP:
		return "tcp"
	case ProtocolUDP:
		return "udp"
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (p Protocol) MarshalText() ([]byte, error) {
	return []byte(p.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It fails for any name
// but tcp and udp.
func (p *Protocol) UnmarshalText(text []byte) error {
	switch string(text) {
	case "tcp":
		*p = ProtocolTCP
	case "udp":
		*p = ProtocolUDP
	default:
		return errors.Errorf("protocol %q: must be tcp or udp", text)
	}
	return nil
}

// Endpoint is an IPv4 address and port in text form, such as
// "127.0.0.1:8080". The text form keeps rows readable in JSON and on the
// wire; Validate guarantees that AddrPort succeeds.
type Endpoint string

// AddrPort parses the endpoint. It returns the zero AddrPort for text that
// Validate would have refused.
func (e Endpoint) AddrPort() netip.AddrPort {
	parsed, err := netip.ParseAddrPort(string(e))
	if err != nil {
		return netip.AddrPort{}
	}
	return parsed
}

// Service is a virtual address that callers connect to.
type Service struct {
	ID       ServiceID `json:"id" msg:"id"`
	Name     string    `json:"name" msg:"name"`
	Address  Endpoint  `json:"address" msg:"address"`
	Protocol Protocol  `json:"protocol" msg:"protocol"`
	Owner    string    `json:"owner" msg:"owner"`
}

// Backend is one row of the table.
type Backend struct {
	ID          BackendID   `json:"id" msg:"id"`
	Service     ServiceID   `json:"service" msg:"service"`
	Name        string      `json:"name" msg:"name"`
	Incarnation Incarnation `json:"incarnation" msg:"incarnation"`
	// Agent is where the agent beside the back end receives encapsulated
	// packets.
	Agent Endpoint `json:"agent" msg:"agent"`
	// Weight is the share of new flows relative to the other rows of the
	// service. Zero gives the row no new flows.
	Weight uint32 `json:"weight" msg:"weight"`
	// ConnectionLimit is the largest number of open flows; zero means no
	// limit.
	ConnectionLimit uint32 `json:"connection_limit" msg:"limit"`
	// Drain stops new flows while established ones continue.
	Drain bool `json:"drain" msg:"drain"`
	// Removed marks a row that an operator has deleted. It is kept, hidden,
	// so that its remaining flows can still be found.
	Removed bool `json:"removed,omitempty" msg:"removed"`
	// Zone is where the back end is; it may be empty.
	Zone string `json:"zone,omitempty" msg:"zone,omitempty"`
	// Closed is set while Zone is closed to new flows. It follows from the zones of the
	// table, and is here so that a row tells all that decides on its flows.
	Closed bool `json:"closed,omitempty" msg:"closed,omitempty"`
}

// AcceptsNewFlows reports whether the row may be given new flows.
func (b Backend) AcceptsNewFlows() bool {
	return b.Weight > 0 && !b.Drain && !b.Removed && !b.Closed
}

// ClosedZone is a zone whose rows get no new flows, whatever their own cells say. Rows
// keep their weights and drain flags for when it is opened again.
type ClosedZone struct {
	Zone string `json:"zone" msg:"zone"`
	// Since is the version of the table that closed it.
	Since Version `json:"since" msg:"since"`
}

// Table is one accepted state of the configuration. Services and Backends are
// sorted by identifier, ClosedZones by name.
type Table struct {
	Version  Version   `json:"version" msg:"version"`
	Services []Service `json:"services" msg:"services"`
	Backends []Backend `json:"backends" msg:"backends"`
	// ClosedZones are the zones that get no new flows.
	ClosedZones []ClosedZone `json:"closed_zones,omitempty" msg:"closed_zones,omitempty"`
}

// Sort puts services and back ends into canonical order.
func (t *Table) Sort() {
	slices.SortFunc(t.Services, func(a, b Service) int { return int(a.ID) - int(b.ID) })
	slices.SortFunc(t.Backends, func(a, b Backend) int { return int(a.ID) - int(b.ID) })
}

// Clone returns a copy that shares no memory with t.
func (t *Table) Clone() *Table {
	return &Table{
		Version:  t.Version,
		Services: slices.Clone(t.Services),
		Backends: slices.Clone(t.Backends),

		ClosedZones: slices.Clone(t.ClosedZones),
	}
}

// Service returns the service with the given identifier.
func (t *Table) Service(id ServiceID) (Service, bool) {
	for _, service := range t.Services {
		if service.ID == id {
			return service, true
		}
	}
	return Service{}, false
}

// Backend returns the row with the given identifier.
func (t *Table) Backend(id BackendID) (Backend, bool) {
	for _, backend := range t.Backends {
		if backend.ID == id {
			return backend, true
		}
	}
	return Backend{}, false
}

// BackendsOf returns the rows of one service in table order.
func (t *Table) BackendsOf(id ServiceID) []Backend {
	var rows []Backend
	for _, backend := range t.Backends {
		if backend.Service == id {
			rows = append(rows, backend)
		}
	}
	return rows
}

// ForServices returns the part of the table that concerns the given services, at
// the same version.
func (t *Table) ForServices(services []ServiceID) *Table {
	part := &Table{Version: t.Version}
	for _, service := range t.Services {
		if slices.Contains(services, service.ID) {
			part.Services = append(part.Services, service)
		}
	}
	for _, backend := range t.Backends {
		if slices.Contains(services, backend.Service) {
			part.Backends = append(part.Backends, backend)
		}
	}
	for _, closed := range t.ClosedZones {
		if part.HasZone(closed.Zone) {
			part.ClosedZones = append(part.ClosedZones, closed)
		}
	}
	return part
}

// Parse reads a table in its JSON form, checks it and sorts it. Which rows are closed
// follows from the zones, whatever the rows say. It fails for unknown members and for any
// rule that Validate names.
func Parse(data []byte) (*Table, error) {
	var parsed Table
	if err := decodeStrict(data, &parsed); err != nil {
		return nil, errors.Wrap(err, "table")
	}
	parsed.ApplyClosedZones()
	if err := parsed.Validate(); err != nil {
		return nil, err
	}
	parsed.Sort()
	return &parsed, nil
}

// Encode returns the canonical JSON form of the table.
func (t *Table) Encode() ([]byte, error) {
	sorted := t.Clone()
	sorted.Sort()
	encoded, err := json.MarshalIndent(sorted, "", "  ")
	return encoded, errors.Wrap(err, "table")
}
