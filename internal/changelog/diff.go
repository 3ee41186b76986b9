package changelog

import (
	"strconv"

	"github.com/vanetiller/vanetiller/internal/table"
)

func indexBackends(rows []table.Backend) map[table.BackendID]table.Backend {
	index := make(map[table.BackendID]table.Backend, len(rows))
	for _, row := range rows {
		index[row.ID] = row
	}
	return index
}

func indexServices(services []table.Service) map[table.ServiceID]table.Service {
	index := make(map[table.ServiceID]table.Service, len(services))
	for _, service := range services {
		index[service.ID] = service
	}
	return index
}

// diffTables returns the cells in which two tables differ, in the order of the
// newer table. Removed services come last.
func diffTables(before, after *table.Table) []CellChange {
	var cells []CellChange
	oldServices := indexServices(before.Services)
	for _, service := range after.Services {
		cells = appendServiceChanges(cells, oldServices[service.ID], service)
		delete(oldServices, service.ID)
	}
	oldRows := indexBackends(before.Backends)
	for _, row := range after.Backends {
		if old := oldRows[row.ID]; old != row {
			// The closed flag of rows is left out: appendZoneChanges reports it once
			// per zone.
			cells = appendBackendChanges(cells, old, row)
		}
	}
	cells = appendZoneChanges(cells, before, after)
	for _, service := range before.Services {
		if _, gone := oldServices[service.ID]; gone {
			cells = append(cells, CellChange{Row: serviceName(service.Name, service.ID), Column: "removed", New: "true"})
		}
	}
	return cells
}

func appendZoneChanges(cells []CellChange, before, after *table.Table) []CellChange {
	for _, closed := range after.ClosedZones {
		if _, known := before.ClosedSince(closed.Zone); !known {
			cells = appendCellChange(cells, table.ZoneRowName(closed.Zone), closedColumn, "false", "true")
		}
	}
	for _, closed := range before.ClosedZones {
		if _, known := after.ClosedSince(closed.Zone); !known {
			cells = appendCellChange(cells, table.ZoneRowName(closed.Zone), closedColumn, "true", "false")
		}
	}
	return cells
}

func appendServiceChanges(cells []CellChange, old, service table.Service) []CellChange {
	name := serviceName(service.Name, service.ID)
	cells = appendCellChange(cells, name, "name", old.Name, service.Name)
	cells = appendCellChange(cells, name, "address", string(old.Address), string(service.Address))
	if old.Protocol != service.Protocol {
		cells = appendCellChange(cells, name, "protocol", formatProtocol(old.Protocol), formatProtocol(service.Protocol))
	}
	return appendCellChange(cells, name, "owner", old.Owner, service.Owner)
}

func formatProtocol(protocol table.Protocol) string {
	if protocol == 0 {
		return ""
	}
	return protocol.String()
}

func appendBackendChanges(cells []CellChange, old, row table.Backend) []CellChange {
	name := rowName(row.Name, row.ID)
	cells = appendCellChange(cells, name, "name", old.Name, row.Name)
	cells = appendCellChange(cells, name, "service", formatNumber(uint32(old.Service)), formatNumber(uint32(row.Service)))
	cells = appendCellChange(cells, name, "incarnation", formatNumber(uint32(old.Incarnation)), formatNumber(uint32(row.Incarnation)))
	cells = appendCellChange(cells, name, "agent", string(old.Agent), string(row.Agent))
	cells = appendCellChange(cells, name, "weight", formatNumber(old.Weight), formatNumber(row.Weight))
	cells = appendCellChange(cells, name, "connection_limit", formatNumber(old.ConnectionLimit), formatNumber(row.ConnectionLimit))
	cells = appendCellChange(cells, name, "drain", strconv.FormatBool(old.Drain), strconv.FormatBool(row.Drain))
	cells = appendCellChange(cells, name, "zone", old.Zone, row.Zone)
	return appendCellChange(cells, name, "removed", strconv.FormatBool(old.Removed), strconv.FormatBool(row.Removed))
}

func formatNumber(number uint32) string { return strconv.FormatUint(uint64(number), 10) }

func appendCellChange(cells []CellChange, row, column, old, current string) []CellChange {
	if old == current {
		return cells
	}
	return append(cells, CellChange{Row: row, Column: column, Old: old, New: current})
}
