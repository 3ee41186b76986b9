// This file implements the way from one table to another as a change.

package adminapi

import (
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	alteredServiceRule = "cannot be altered; remove the service and add it under another identifier"
	alteredRowRule     = "cannot be altered; remove the row and add it again under a higher incarnation"
)

// MissingPolicy tells what becomes of rows and services that a wanted table lacks.
type MissingPolicy uint8

// What becomes of missing rows and services.
const (
	// KeepMissing leaves them as they are.
	KeepMissing MissingPolicy = iota
	// RemoveMissing removes them.
	RemoveMissing
)

// Plan returns the parts of a change that leads from the current table to the
// wanted one. A row that is wanted again after its removal gets a new
// incarnation, and one that has got it since keeps it. Plan fails with a
// table.CellError for cells that no change can alter.
func Plan(current, wanted *table.Table, missing MissingPolicy) (Operations, error) {
	var parts Operations
	if err := parts.planServices(current, wanted); err != nil {
		return Operations{}, err
	}
	if err := parts.planBackends(current, wanted); err != nil {
		return Operations{}, err
	}
	if missing == RemoveMissing {
		parts.planRemovals(current, wanted)
	}
	parts.planZones(current, wanted, missing)
	return parts, nil
}

// planZones closes the zones that are closed in the wanted table. Others that are closed
// count as missing there.
func (p *Operations) planZones(current, wanted *table.Table, missing MissingPolicy) {
	for _, closed := range wanted.ClosedZones {
		if _, already := current.ClosedSince(closed.Zone); !already {
			p.SetZones = append(p.SetZones, ZoneUpdate{Zone: closed.Zone, Closed: true, Force: true})
		}
	}
	if missing != RemoveMissing {
		return
	}
	for _, closed := range current.ClosedZones {
		if _, still := wanted.ClosedSince(closed.Zone); !still {
			p.SetZones = append(p.SetZones, ZoneUpdate{Zone: closed.Zone})
		}
	}
}

func (p *Operations) planServices(current, wanted *table.Table) error {
	for _, service := range wanted.Services {
		existing, exists := current.Service(service.ID)
		if !exists {
			p.AddServices = append(p.AddServices, service)
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

// alteredCell names the first cell that differs.
func alteredCell(before, after *table.Table, rule string) error {
	cell := table.Diff(before, after)[0]
	return table.CellError{Row: cell.Row, Column: cell.Column, Rule: rule}
}

func (p *Operations) planBackends(current, wanted *table.Table) error {
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
			p.AddBackends = append(p.AddBackends, row)
			continue
		}
		if err := p.planCells(existing, row); err != nil {
			return err
		}
	}
	return nil
}

func (p *Operations) planCells(existing, row table.Backend) error {
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
		p.SetCells = append(p.SetCells, update)
	}
	return nil
}

// changedCell returns nil for a cell that stays as it is.
func changedCell[T comparable](existing, wanted T) *T {
	if existing == wanted {
		return nil
	}
	return &wanted
}

func (p *Operations) planRemovals(current, wanted *table.Table) {
	kept := make(map[table.BackendID]bool, len(wanted.Backends))
	for _, row := range wanted.Backends {
		kept[row.ID] = !row.Removed
	}
	for _, row := range current.Backends {
		if !row.Removed && !kept[row.ID] {
			p.RemoveBackends = append(p.RemoveBackends, row.ID)
		}
	}
	for _, service := range current.Services {
		if _, kept := wanted.Service(service.ID); !kept {
			p.RemoveServices = append(p.RemoveServices, service.ID)
		}
	}
}
