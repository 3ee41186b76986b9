package table

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/pkg/errors"
)

// Limits of cell values.
const (
	// MaxServiceID is the largest identifier that fits a 24-bit Geneve VNI.
	MaxServiceID = 1<<24 - 1
	// MaxWeight bounds the weight of a row so that weighted comparisons cannot overflow.
	MaxWeight = 10_000
	// MaxNameLength bounds service, back end and owner names, in bytes.
	MaxNameLength = 64
)

// CellError reports a cell, by its row and column, and the rule that it violates.
type CellError struct {
	Row    string
	Column string
	Rule   string
}

// Error implements error.
func (e CellError) Error() string {
	return fmt.Sprintf("row %s, column %s: %s", e.Row, e.Column, e.Rule)
}

// Validate checks every cell and the relations between rows. It returns the first
// violation as a CellError.
func (t *Table) Validate() error {
	services := make(map[ServiceID]Protocol, len(t.Services))
	names := make(map[string]bool, len(t.Services))
	addresses := make(map[serviceAddress]string, len(t.Services))
	for _, service := range t.Services {
		if err := service.validate(); err != nil {
			return err
		}
		if _, exists := services[service.ID]; exists {
			return CellError{service.rowName(), "id", "must be unique"}
		}
		if names[service.Name] {
			return CellError{service.rowName(), "name", "must be unique"}
		}
		address := serviceAddress{service.Address.AddrPort(), service.Protocol}
		if other, exists := addresses[address]; exists {
			return CellError{service.rowName(), "address", "already used by service " + other}
		}
		services[service.ID] = service.Protocol
		names[service.Name] = true
		addresses[address] = service.Name
	}
	if err := t.validateZones(); err != nil {
		return err
	}
	return t.validateBackends(services)
}

type serviceAddress struct {
	address  netip.AddrPort
	protocol Protocol
}

type backendName struct {
	service ServiceID
	name    string
}

func (t *Table) validateBackends(services map[ServiceID]Protocol) error {
	identifiers := make(map[BackendID]bool, len(t.Backends))
	names := make(map[backendName]bool, len(t.Backends))
	for _, backend := range t.Backends {
		if err := backend.validate(); err != nil {
			return err
		}
		if _, exists := services[backend.Service]; !exists && !backend.Removed {
			return CellError{backend.rowName(), "service", "names no service of the table"}
		}
		if identifiers[backend.ID] {
			return CellError{backend.rowName(), "id", "must be unique"}
		}
		identifiers[backend.ID] = true
		if backend.Removed {
			continue
		}
		name := backendName{backend.Service, backend.Name}
		if names[name] {
			return CellError{backend.rowName(), "name", "must be unique within its service"}
		}
		names[name] = true
	}
	return nil
}

func (s Service) rowName() string { return fmt.Sprintf("service %q (%d)", s.Name, s.ID) }

func (s Service) validate() error {
	if s.ID == 0 || s.ID > MaxServiceID {
		return CellError{s.rowName(), "id", fmt.Sprintf("must be from 1 to %d", MaxServiceID)}
	}
	if s.Name == "" || len(s.Name) > MaxNameLength {
		return CellError{s.rowName(), "name", fmt.Sprintf("must have 1 to %d bytes", MaxNameLength)}
	}
	if len(s.Owner) > MaxNameLength {
		return CellError{s.rowName(), "owner", fmt.Sprintf("must have at most %d bytes", MaxNameLength)}
	}
	if !isIPv4Endpoint(s.Address) {
		return CellError{s.rowName(), "address", "must be an IPv4 address and a port, such as 198.51.100.1:80"}
	}
	if s.Protocol != ProtocolTCP && s.Protocol != ProtocolUDP {
		return CellError{s.rowName(), "protocol", "must be tcp or udp"}
	}
	return nil
}

func (b Backend) rowName() string { return fmt.Sprintf("back end %q (%d)", b.Name, b.ID) }

func (b Backend) validate() error {
	if b.ID == 0 {
		return CellError{b.rowName(), "id", "must not be 0"}
	}
	if b.Name == "" || len(b.Name) > MaxNameLength {
		return CellError{b.rowName(), "name", fmt.Sprintf("must have 1 to %d bytes", MaxNameLength)}
	}
	if !isIPv4Endpoint(b.Agent) {
		return CellError{b.rowName(), "agent", "must be an IPv4 address and a port, such as 192.0.2.1:6081"}
	}
	if b.Weight > MaxWeight {
		return CellError{b.rowName(), "weight", fmt.Sprintf("must be at most %d", MaxWeight)}
	}
	if len(b.Zone) > MaxNameLength {
		return CellError{b.rowName(), "zone", fmt.Sprintf("must have at most %d bytes", MaxNameLength)}
	}
	return nil
}

func isIPv4Endpoint(e Endpoint) bool {
	parsed, err := netip.ParseAddrPort(string(e))
	return err == nil && parsed.Addr().Is4() && parsed.Port() != 0
}

func decodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("unexpected text after the JSON object")
	}
	return nil
}
