package changelog

import (
	"fmt"
	"slices"

	"github.com/vanetiller/vanetiller/internal/table"
)

// importRevision applies the cells that differ between a platform revision and
// the previously imported one. Cells that the platform did not change keep the
// values set by operators.
func (d *draft) importRevision(revision Import) error {
	if revision.Revision <= d.imported.Revision {
		return tableError("revision", fmt.Sprintf(
			"revision %d is not newer than %d", revision.Revision, d.imported.Revision))
	}
	platform := table.Table{
		Services: slices.Clone(revision.Services), Backends: slices.Clone(revision.Backends),
		ClosedZones: slices.Clone(revision.ClosedZones),
	}
	platform.Sort()
	platform.ApplyClosedZones()
	if err := platform.Validate(); err != nil {
		return err
	}
	d.importServices(platform.Services)
	d.importBackends(platform.Backends)
	d.importZones(platform.ClosedZones)
	d.removeMissingServices(platform.Services)
	d.imported = Import{
		Revision: revision.Revision, Services: platform.Services, Backends: platform.Backends, ClosedZones: platform.ClosedZones,
	}
	return nil
}

func (d *draft) importServices(services []table.Service) {
	base := indexServices(d.imported.Services)
	for _, service := range services {
		old, existed := base[service.ID]
		current := d.service(service.ID)
		switch {
		case current != nil:
			importServiceCells(current, old, service)
		case !existed && !slices.Contains(d.retired, service.ID):
			d.table.Services = append(d.table.Services, service)
		}
	}
}

func importServiceCells(current *table.Service, old, imported table.Service) {
	importCell(&current.Name, old.Name, imported.Name)
	importCell(&current.Address, old.Address, imported.Address)
	importCell(&current.Protocol, old.Protocol, imported.Protocol)
	importCell(&current.Owner, old.Owner, imported.Owner)
}

// importBackends imports rows. A row that is new, or that the platform has removed
// and created again under a higher incarnation, is imported with all its cells. A row
// removed by an operator stays removed until the platform assigns it a higher
// incarnation. Rows that the platform no longer has are marked as removed.
func (d *draft) importBackends(rows []table.Backend) {
	base := indexBackends(d.imported.Backends)
	for _, row := range rows {
		old, existed := base[row.ID]
		delete(base, row.ID)
		current := d.backend(row.ID)
		switch {
		case current == nil && !existed:
			d.appendBackend(row)
		case current == nil:
		case row.Incarnation != old.Incarnation && row.Incarnation > current.Incarnation:
			*current = row
		case !current.Removed:
			importBackendCells(current, old, row)
		}
	}
	for id := range base {
		if current := d.backend(id); current != nil {
			current.Removed = true
		}
	}
}

func importBackendCells(current *table.Backend, old, imported table.Backend) {
	importCell(&current.Name, old.Name, imported.Name)
	importCell(&current.Service, old.Service, imported.Service)
	importCell(&current.Agent, old.Agent, imported.Agent)
	importCell(&current.Weight, old.Weight, imported.Weight)
	importCell(&current.ConnectionLimit, old.ConnectionLimit, imported.ConnectionLimit)
	importCell(&current.Drain, old.Drain, imported.Drain)
	importCell(&current.Zone, old.Zone, imported.Zone)
	importCell(&current.Removed, old.Removed, imported.Removed)
}

// importZones closes the zones that the platform has closed since the previous revision,
// and reopens those that it has reopened, even if an operator has set them otherwise. All
// other zones keep the state set by operators.
func (d *draft) importZones(zones []table.ClosedZone) {
	before := table.Table{ClosedZones: d.imported.ClosedZones}
	after := table.Table{ClosedZones: zones}
	for _, closed := range zones {
		_, known := before.ClosedSince(closed.Zone)
		if _, already := d.table.ClosedSince(closed.Zone); !known && !already {
			d.table.SetZoneClosed(closed.Zone, true, d.table.Version+1)
		}
	}
	for _, closed := range d.imported.ClosedZones {
		if _, still := after.ClosedSince(closed.Zone); !still {
			d.table.SetZoneClosed(closed.Zone, false, 0)
		}
	}
}

// importCell sets a cell if the platform changed it since the previous revision.
func importCell[T comparable](cell *T, old, imported T) {
	if imported != old {
		*cell = imported
	}
}

// removeMissingServices removes the services that the platform no longer has. Validate
// later refuses the draft if such a service still has rows.
func (d *draft) removeMissingServices(services []table.Service) {
	kept := indexServices(services)
	for _, service := range d.imported.Services {
		if _, exists := kept[service.ID]; exists || d.service(service.ID) == nil {
			continue
		}
		// removeService fails only if the service does not exist, which was
		// checked above.
		_ = d.removeService(service.ID)
	}
}
