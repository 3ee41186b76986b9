package table

import (
	"cmp"
	"fmt"
	"slices"
)

func (z ClosedZone) rowName() string { return ZoneRowName(z.Zone) }

// ZoneRowName returns the row name of a zone in a CellError.
func ZoneRowName(zone string) string { return fmt.Sprintf("zone %q", zone) }

// ClosedSince returns the version in which a zone was closed, false if the zone is open.
func (t *Table) ClosedSince(zone string) (Version, bool) {
	position := slices.IndexFunc(t.ClosedZones, func(closed ClosedZone) bool { return closed.Zone == zone })
	if position < 0 {
		return 0, false
	}
	return t.ClosedZones[position].Since, true
}

// SetZoneClosed closes a zone, with since as the version of the change, or opens it.
func (t *Table) SetZoneClosed(zone string, closed bool, since Version) {
	t.ClosedZones = slices.DeleteFunc(t.ClosedZones, func(known ClosedZone) bool { return known.Zone == zone })
	if closed {
		t.ClosedZones = append(t.ClosedZones, ClosedZone{zone, since})
		slices.SortFunc(t.ClosedZones, func(a, b ClosedZone) int { return cmp.Compare(a.Zone, b.Zone) })
	}
	t.ApplyClosedZones()
}

// ApplyClosedZones sets Closed of each row according to ClosedZones.
func (t *Table) ApplyClosedZones() {
	for index := range t.Backends {
		row := &t.Backends[index]
		_, closed := t.ClosedSince(row.Zone)
		row.Closed = closed && row.Zone != ""
	}
}

// HasZone reports whether any row that is not removed is in a zone.
func (t *Table) HasZone(zone string) bool {
	return slices.ContainsFunc(t.Backends, func(row Backend) bool { return !row.Removed && row.Zone == zone })
}

// UnavailableServices returns the services that have rows, but none that accepts new flows.
func (t *Table) UnavailableServices() []Service {
	var unavailable []Service
	for _, service := range t.Services {
		rows, accepting := 0, 0
		for _, row := range t.BackendsOf(service.ID) {
			if row.Removed {
				continue
			}
			rows++
			if row.AcceptsNewFlows() {
				accepting++
			}
		}
		if rows > 0 && accepting == 0 {
			unavailable = append(unavailable, service)
		}
	}
	return unavailable
}

func (t *Table) validateZones() error {
	seen := make(map[string]bool, len(t.ClosedZones))
	for _, closed := range t.ClosedZones {
		if closed.Zone == "" || len(closed.Zone) > MaxNameLength {
			return CellError{closed.rowName(), "zone", fmt.Sprintf("must have 1 to %d bytes", MaxNameLength)}
		}
		if seen[closed.Zone] {
			return CellError{closed.rowName(), "zone", "must be unique"}
		}
		seen[closed.Zone] = true
	}
	for _, row := range t.Backends {
		if row.Closed != (row.Zone != "" && seen[row.Zone]) {
			return CellError{row.rowName(), "closed", "must tell whether the zone of the row is closed"}
		}
	}
	return nil
}
