package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// zoneRecord is what the machine keeps of one zone that is closed or was.
type zoneRecord struct {
	revision Revision
	closed   bool
	// since is when this process learned that it was closed or opened.
	since time.Duration
}

// ClosedZone is a zone whose endpoints must get no new flow.
type ClosedZone struct {
	Zone string
	// Revision is that of the entry which closes it.
	Revision Revision
	// Since is when this process learned of it.
	Since time.Duration
}

// mergeZone merges an entry that closes a zone, or its end. It reports whether that is news.
func (m *Replica) mergeZone(now time.Duration, item Item) bool {
	known, exists := m.zones[item.Zone]
	if exists && item.Revision <= known.revision {
		return false
	}
	m.zones[item.Zone] = zoneRecord{revision: item.Revision, closed: item.ZoneClosed, since: now}
	return item.ZoneClosed || known.closed
}

// openUnless notes that zones have been opened whose entries are not among those that
// were there at a revision. It reports whether there are any.
func (m *Replica) openUnless(now time.Duration, there map[string]bool, at Revision) bool {
	opened := false
	for zone, known := range m.zones {
		if known.closed && !there[zone] && known.revision <= at {
			m.zones[zone] = zoneRecord{revision: at, since: now}
			opened = true
		}
	}
	return opened
}

// forgetZones forgets zones that have long been open: nobody is as stale by then.
func (m *Replica) forgetZones(now time.Duration) {
	maps.DeleteFunc(m.zones, func(_ string, known zoneRecord) bool {
		forgotten := !known.closed && now-known.since > Retention
		if forgotten {
			m.floor = max(m.floor, known.revision)
		}
		return forgotten
	})
}

// zonesAfter returns the zones that were closed or opened after a revision, in the order
// of revisions.
func (m *Replica) zonesAfter(now time.Duration, known Revision) []ZoneState {
	var zones []ZoneState
	for zone, each := range m.zones {
		if each.revision > known {
			zones = append(zones, ZoneState{Zone: zone, Revision: each.revision, Closed: each.closed, Age: now - each.since})
		}
	}
	slices.SortFunc(zones, func(a, b ZoneState) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Zone, b.Zone))
	})
	return zones
}

// adoptZone takes the state of a zone's entry if it is newer. An entry that this process does
// not have, though it has all changes since it was written, has gone.
func (m *Replica) adoptZone(now time.Duration, described ZoneState) bool {
	known, exists := m.zones[described.Zone]
	if exists && described.Revision <= known.revision || described.Zone == "" {
		return false
	}
	adopted := zoneRecord{revision: described.Revision, closed: described.Closed, since: now - max(described.Age, 0)}
	if described.Closed && described.Revision <= m.complete {
		adopted = zoneRecord{revision: m.complete, since: now}
	}
	m.zones[described.Zone] = adopted
	m.latest = max(m.latest, described.Revision)
	return adopted.closed || known.closed
}

// openMissing notes that zones are open which a whole state does not show as closed.
func (m *Replica) openMissing(now time.Duration, state State) bool {
	closed := make(map[string]bool, len(state.Zones))
	for _, described := range state.Zones {
		closed[described.Zone] = described.Closed
	}
	return m.openUnless(now, closed, state.Through)
}

// closedZones returns the zones that are closed, in the order of their names.
func (m *Replica) closedZones() []ClosedZone {
	var closed []ClosedZone
	for zone, known := range m.zones {
		if known.closed {
			closed = append(closed, ClosedZone{Zone: zone, Revision: known.revision, Since: known.since})
		}
	}
	slices.SortFunc(closed, func(a, b ClosedZone) int { return cmp.Compare(a.Zone, b.Zone) })
	return closed
}

// warmAt returns when an endpoint is no longer cold: as it has announced or, since it may
// not have announced it yet, some time after its zone was opened again.
func (m *Replica) warmAt(known *endpointRecord, starts map[string]ColdStart) time.Duration {
	zone, exists := m.zones[known.endpoint.Zone]
	start, cold := starts[known.endpoint.Service]
	if !exists || zone.closed || !cold {
		return known.warmAt
	}
	return max(known.warmAt, zone.since+start.Duration)
}
