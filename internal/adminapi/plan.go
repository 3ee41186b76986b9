// This file computes the operations that turn one table into another.

package adminapi

import (
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	alteredServiceRule = "cannot be altered; remove the service and add it under another identifier"
	alteredRowRule     = "cannot be altered; remove the row and add it again under a higher incarnation"
)

// MissingPolicy selects what Plan does with rows, services and closed zones that
// the wanted table lacks.
type MissingPolicy uint8

// The policies.
const (
	// KeepMissing leaves them unchanged.
	KeepMissing MissingPolicy = iota
	// RemoveMissing removes the rows and services, and reopens the zones.
	RemoveMissing
)

// Plan returns the operations that turn the current table into the wanted one. A
// wanted row that is removed in the current table is added again under a higher
// incarnation. A row that already has a higher incarnation than the wanted one
// keeps it. Plan fails with a table.CellError if the tables differ in cells that
// no change can modify.
func Plan(current, wanted *table.Table, missing MissingPolicy) (Operations, error) {
	var operations Operations
	if err := operations.planServices(current, wanted); err != nil {
		return Operations{}, err
	}
	if err := operations.planBackends(current, wanted); err != nil {
		return Operations{}, err
	}
	if missing == RemoveMissing {
		operations.planRemovals(current, wanted)
	}
	operations.planZones(current, wanted, missing)
	return operations, nil
}

// planZones closes the zones that are closed in the wanted table. With RemoveMissing, it
// reopens all other closed zones.
func (o *Operations) planZones(current, wanted *table.Table, missing MissingPolicy) {
	for _, closed := range wanted.ClosedZones {
		if _, already := current.ClosedSince(closed.Zone); !already {
			o.SetZones = append(o.SetZones, ZoneUpdate{Zone: closed.Zone, Closed: true, Force: true})
		}
	}
	if missing != RemoveMissing {
		return
	}
	for _, closed := range current.ClosedZones {
		if _, still := wanted.ClosedSince(closed.Zone); !still {
			o.SetZones = append(o.SetZones, ZoneUpdate{Zone: closed.Zone})
		}
	}
}

func (o *Operations) planServices(current, wanted *table.Table) error {
	for _, service := range wanted.Services {
		existing, exists := current.Service(service.ID)
		if !exists {
			o.AddServices = append(o.AddServices, service)
			continue
		}
		if existing != service {
			return alteredCell(
				&table.Table{Services: []table.Service{existing}},
				&table.Table{Services: []table.Service{service}}, alteredServiceRule)
		}
	}
	return nil
}

// alteredCell returns an error that names the first cell that differs.
func alteredCell(before, after *table.Table, rule string) error {
	cell := table.Diff(before, after)[0]
	return table.CellError{Row: cell.Row, Column: cell.Column, Rule: rule}
}

func (o *Operations) planBackends(current, wanted *table.Table) error {
	index := make(map[table.BackendID]table.Backend, len(current.Backends))
	for _, row := range current.Backends {
		index[row.ID] = row
	}
	for _, row := range wanted.Backends {
		if row.Removed {
			continue
		}
		existing, exists := index[row.ID]
		if !exists || existing.Removed {
			row.Incarnation = max(row.Incarnation, existing.Incarnation+1)
			row.Closed = false
			o.AddBackends = append(o.AddBackends, row)
			continue
		}
		if err := o.planCells(existing, row); err != nil {
			return err
		}
	}
	return nil
}

func (o *Operations) planCells(existing, row table.Backend) error {
	update := CellUpdate{
		Backend:         row.ID,
		Weight:          changedCell(existing.Weight, row.Weight),
		ConnectionLimit: changedCell(existing.ConnectionLimit, row.ConnectionLimit),
		Drain:           changedCell(existing.Drain, row.Drain),
		Zone:            changedCell(existing.Zone, row.Zone),
	}
	row.Incarnation = max(row.Incarnation, existing.Incarnation)
	existing.Weight = row.Weight
	existing.ConnectionLimit = row.ConnectionLimit
	existing.Drain = row.Drain
	existing.Zone = row.Zone
	existing.Closed = row.Closed
	if existing != row {
		return alteredCell(
			&table.Table{Backends: []table.Backend{existing}},
			&table.Table{Backends: []table.Backend{row}}, alteredRowRule)
	}
	if update != (CellUpdate{Backend: row.ID}) {
		o.SetCells = append(o.SetCells, update)
	}
	return nil
}

// changedCell returns the wanted value, or nil if the cell does not change.
func changedCell[T comparable](existing, wanted T) *T {
	if existing == wanted {
		return nil
	}
	return &wanted
}

func (o *Operations) planRemovals(current, wanted *table.Table) {
	kept := make(map[table.BackendID]bool, len(wanted.Backends))
	for _, row := range wanted.Backends {
		kept[row.ID] = !row.Removed
	}
	for _, row := range current.Backends {
		if !row.Removed && !kept[row.ID] {
			o.RemoveBackends = append(o.RemoveBackends, row.ID)
		}
	}
	for _, service := range current.Services {
		if _, kept := wanted.Service(service.ID); !kept {
			o.RemoveServices = append(o.RemoveServices, service.ID)
		}
	}
}
