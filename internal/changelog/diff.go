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

// difference lists the cells in which two tables differ, in the order of the
// newer table; services that are gone come last.
func difference(before, after *table.Table) []CellChange {
	var cells []CellChange
	oldServices := indexServices(before.Services)
	for _, service := range after.Services {
		cells = serviceDifference(cells, oldServices[service.ID], service)
		delete(oldServices, service.ID)
	}
	oldRows := indexBackends(before.Backends)
	for _, row := range after.Backends {
		if old := oldRows[row.ID]; old != row {
			// Whether its zone is closed is told once, of the zone.
			cells = backendDifference(cells, old, row)
		}
	}
	cells = zoneDifference(cells, before, after)
	for _, service := range before.Services {
		if _, gone := oldServices[service.ID]; gone {
			cells = append(cells, CellChange{Row: serviceName(service.Name, service.ID), Column: "removed", New: "true"})
		}
	}
	return cells
}

func zoneDifference(cells []CellChange, before, after *table.Table) []CellChange {
	for _, closed := range after.ClosedZones {
		if _, known := before.ClosedSince(closed.Zone); !known {
			cells = cellDifference(cells, table.ZoneRowName(closed.Zone), closedColumn, "false", "true")
		}
	}
	for _, closed := range before.ClosedZones {
		if _, known := after.ClosedSince(closed.Zone); !known {
			cells = cellDifference(cells, table.ZoneRowName(closed.Zone), closedColumn, "true", "false")
		}
	}
	return cells
}

func serviceDifference(cells []CellChange, old, service table.Service) []CellChange {
	name := serviceName(service.Name, service.ID)
	cells = cellDifference(cells, name, "name", old.Name, service.Name)
	cells = cellDifference(cells, name, "address", string(old.Address), string(service.Address))
	if old.Protocol != service.Protocol {
		cells = cellDifference(cells, name, "protocol", protocolText(old.Protocol), protocolText(service.Protocol))
	}
	return cellDifference(cells, name, "owner", old.Owner, service.Owner)
}

func protocolText(protocol table.Protocol) string {
	if protocol == 0 {
		return ""
	}
	return protocol.String()
}

func backendDifference(cells []CellChange, old, row table.Backend) []CellChange {
	name := rowName(row.Name, row.ID)
	cells = cellDifference(cells, name, "name", old.Name, row.Name)
	cells = cellDifference(cells, name, "service", numberText(uint32(old.Service)), numberText(uint32(row.Service)))
	cells = cellDifference(cells, name, "incarnation", numberText(uint32(old.Incarnation)), numberText(uint32(row.Incarnation)))
	cells = cellDifference(cells, name, "agent", string(old.Agent), string(row.Agent))
	cells = cellDifference(cells, name, "weight", numberText(old.Weight), numberText(row.Weight))
	cells = cellDifference(cells, name, "connection_limit", numberText(old.ConnectionLimit), numberText(row.ConnectionLimit))
	cells = cellDifference(cells, name, "drain", strconv.FormatBool(old.Drain), strconv.FormatBool(row.Drain))
	cells = cellDifference(cells, name, "zone", old.Zone, row.Zone)
	return cellDifference(cells, name, "removed", strconv.FormatBool(old.Removed), strconv.FormatBool(row.Removed))
}

func numberText(number uint32) string { return strconv.FormatUint(uint64(number), 10) }

func cellDifference(cells []CellChange, row, column, old, current string) []CellChange {
	if old == current {
		return cells
	}
	return append(cells, CellChange{Row: row, Column: column, Old: old, New: current})
}
