package changelog

import (
	"fmt"
	"slices"

	"github.com/vanetiller/vanetiller/internal/table"
)

// draft is the state after a change that is not accepted yet. It is discarded if
// any operation of the change is refused.
type draft struct {
	table    *table.Table
	retired  []table.ServiceID
	imported Import
	// positions maps each row to its index in the table; it is built on first use.
	positions map[table.BackendID]int
}

func (s *State) newDraft() *draft {
	return &draft{
		table:    s.snapshot.Table.Clone(),
		retired:  slices.Clone(s.snapshot.RetiredServices),
		imported: s.snapshot.Imported,
	}
}

func (d *draft) apply(change *Change) error {
	for _, service := range change.AddServices {
		if err := d.addService(service); err != nil {
			return err
		}
	}
	for _, row := range change.AddBackends {
		if err := d.addBackend(row); err != nil {
			return err
		}
	}
	for _, update := range change.Cells {
		if err := d.setCells(update); err != nil {
			return err
		}
	}
	for _, id := range change.RemoveBackends {
		if err := d.removeBackend(id); err != nil {
			return err
		}
	}
	for _, id := range change.RemoveServices {
		if err := d.removeService(id); err != nil {
			return err
		}
	}
	for _, update := range change.Zones {
		if err := d.updateZone(update); err != nil {
			return err
		}
	}
	if change.Import != nil {
		if err := d.importRevision(*change.Import); err != nil {
			return err
		}
	}
	d.table.Sort()
	d.table.ApplyClosedZones()
	return d.table.Validate()
}

func (d *draft) backend(id table.BackendID) *table.Backend {
	if d.positions == nil {
		d.positions = make(map[table.BackendID]int, len(d.table.Backends))
		for position, row := range d.table.Backends {
			d.positions[row.ID] = position
		}
	}
	position, exists := d.positions[id]
	if !exists {
		return nil
	}
	return &d.table.Backends[position]
}

// appendBackend adds a row. Its identifier must not be in the table, and backend
// must have been called before, since it builds positions.
func (d *draft) appendBackend(row table.Backend) {
	d.positions[row.ID] = len(d.table.Backends)
	d.table.Backends = append(d.table.Backends, row)
}

func (d *draft) service(id table.ServiceID) *table.Service {
	position := slices.IndexFunc(d.table.Services, func(s table.Service) bool { return s.ID == id })
	if position < 0 {
		return nil
	}
	return &d.table.Services[position]
}

func (d *draft) addService(service table.Service) error {
	if slices.Contains(d.retired, service.ID) {
		return table.CellError{Row: serviceName(service.Name, service.ID), Column: "id", Rule: "was used by a removed service"}
	}
	d.table.Services = append(d.table.Services, service)
	return nil
}

// addBackend adds a row, or replaces a removed row of the same service by one
// with a higher incarnation.
func (d *draft) addBackend(row table.Backend) error {
	existing := d.backend(row.ID)
	if existing == nil {
		d.appendBackend(row)
		return nil
	}
	name := rowName(row.Name, row.ID)
	if !existing.Removed {
		return table.CellError{Row: name, Column: "id", Rule: "must be unique"}
	}
	if existing.Service != row.Service {
		return table.CellError{Row: name, Column: "service", Rule: "the identifier belongs to another service"}
	}
	if row.Incarnation <= existing.Incarnation {
		return table.CellError{Row: name, Column: "incarnation", Rule: "must be higher than that of the removed row"}
	}
	*existing = row
	return nil
}

func (d *draft) setCells(update CellUpdate) error {
	row := d.backend(update.Backend)
	if row == nil || row.Removed {
		return unknownRowError(update.Backend)
	}
	if update.Weight != nil {
		row.Weight = *update.Weight
	}
	if update.ConnectionLimit != nil {
		row.ConnectionLimit = *update.ConnectionLimit
	}
	if update.Drain != nil {
		row.Drain = *update.Drain
	}
	if update.Zone != nil {
		row.Zone = *update.Zone
	}
	return nil
}

// updateZone closes a zone or reopens it. Unless forced, it refuses to close the last zone
// in which a service has rows that accept new flows, since new flows of that service could
// then not be placed.
func (d *draft) updateZone(update ZoneUpdate) error {
	row := table.ZoneRowName(update.Zone)
	_, closed := d.table.ClosedSince(update.Zone)
	if closed == update.Closed {
		rule := "is open already"
		if closed {
			rule = "is closed already"
		}
		return table.CellError{Row: row, Column: closedColumn, Rule: rule}
	}
	if update.Closed && !d.table.HasZone(update.Zone) {
		return table.CellError{Row: row, Column: "zone", Rule: "names the zone of no row"}
	}
	before := d.table.UnavailableServices()
	d.table.SetZoneClosed(update.Zone, update.Closed, d.table.Version+1)
	if !update.Closed || update.Force {
		return nil
	}
	for _, service := range d.table.UnavailableServices() {
		if !slices.Contains(before, service) {
			return table.CellError{Row: row, Column: closedColumn, Rule: fmt.Sprintf(
				"would leave %s without a row that gets new flows, unless it is forced", serviceName(service.Name, service.ID))}
		}
	}
	return nil
}

// closedColumn names the column of a zone in refusals and in the history.
const closedColumn = "closed"

func unknownRowError(id table.BackendID) error {
	return table.CellError{Row: rowName("", id), Column: "id", Rule: "names no row of the table"}
}

func (d *draft) removeBackend(id table.BackendID) error {
	row := d.backend(id)
	if row == nil || row.Removed {
		return unknownRowError(id)
	}
	row.Removed = true
	return nil
}

// removeService removes a service and retires its identifier. Validate later
// refuses the draft if the service still has rows.
func (d *draft) removeService(id table.ServiceID) error {
	if d.service(id) == nil {
		return table.CellError{Row: serviceName("", id), Column: "id", Rule: "names no service of the table"}
	}
	d.table.Services = slices.DeleteFunc(d.table.Services, func(s table.Service) bool { return s.ID == id })
	position, _ := slices.BinarySearch(d.retired, id)
	d.retired = slices.Insert(d.retired, position, id)
	return nil
}
