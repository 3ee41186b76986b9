package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// zoneRecord is the state that a Replica keeps of a zone that is or was closed.
type zoneRecord struct {
	revision Revision
	closed   bool
	// since is when this process recorded that the zone was closed or opened.
	since time.Duration
}

// ClosedZone is a zone whose endpoints must receive no new flows.
type ClosedZone struct {
	Zone string
	// Revision is the revision of the entry that closes the zone.
	Revision Revision
	// Since is when this process recorded the closing.
	Since time.Duration
}

// mergeZone merges an entry that closes a zone, or its deletion. It reports whether the entry
// is newer and the zone is or was closed.
func (r *Replica) mergeZone(now time.Duration, item Item) bool {
	record, exists := r.zones[item.Zone]
	if exists && item.Revision <= record.revision {
		return false
	}
	r.zones[item.Zone] = zoneRecord{revision: item.Revision, closed: item.ZoneClosed, since: now}
	return item.ZoneClosed || record.closed
}

// openUnlistedZones opens zones whose entry was not listed at a revision. It reports whether it
// opened any.
func (r *Replica) openUnlistedZones(now time.Duration, listed map[string]bool, revision Revision) bool {
	opened := false
	for zone, record := range r.zones {
		if record.closed && !listed[zone] && record.revision <= revision {
			r.zones[zone] = zoneRecord{revision: revision, since: now}
			opened = true
		}
	}
	return opened
}

// expireZones drops zones that have been open for Retention. No process has an older state by
// then.
func (r *Replica) expireZones(now time.Duration) {
	maps.DeleteFunc(r.zones, func(_ string, record zoneRecord) bool {
		expired := !record.closed && now-record.since > Retention
		if expired {
			r.historyFloor = max(r.historyFloor, record.revision)
		}
		return expired
	})
}

// zonesAfter returns the zones that were closed or opened after a revision, ordered by
// revision.
func (r *Replica) zonesAfter(now time.Duration, after Revision) []ZoneState {
	var zones []ZoneState
	for zone, record := range r.zones {
		if record.revision > after {
			zones = append(zones, ZoneState{Zone: zone, Revision: record.revision, Closed: record.closed, Age: now - record.since})
		}
	}
	slices.SortFunc(zones, func(a, b ZoneState) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Zone, b.Zone))
	})
	return zones
}

// applyZoneState accepts a newer state of a zone's entry. If this process already has all
// changes up to that revision, a closing entry that it lacks has since been deleted.
func (r *Replica) applyZoneState(now time.Duration, received ZoneState) bool {
	record, exists := r.zones[received.Zone]
	if exists && received.Revision <= record.revision || received.Zone == "" {
		return false
	}
	updated := zoneRecord{revision: received.Revision, closed: received.Closed, since: now - max(received.Age, 0)}
	if received.Closed && received.Revision <= r.appliedRevision {
		updated = zoneRecord{revision: r.appliedRevision, since: now}
	}
	r.zones[received.Zone] = updated
	r.latestSeen = max(r.latestSeen, received.Revision)
	return updated.closed || record.closed
}

// openMissingZones opens zones that a full state does not contain as closed.
func (r *Replica) openMissingZones(now time.Duration, state State) bool {
	closed := make(map[string]bool, len(state.Zones))
	for _, received := range state.Zones {
		closed[received.Zone] = received.Closed
	}
	return r.openUnlistedZones(now, closed, state.Through)
}

// closedZones returns the closed zones, ordered by name.
func (r *Replica) closedZones() []ClosedZone {
	var closed []ClosedZone
	for zone, record := range r.zones {
		if record.closed {
			closed = append(closed, ClosedZone{Zone: zone, Revision: record.revision, Since: record.since})
		}
	}
	slices.SortFunc(closed, func(a, b ClosedZone) int { return cmp.Compare(a.Zone, b.Zone) })
	return closed
}

// warmAt returns when an endpoint stops being cold: at the time it announced or, if its zone
// was opened again, after the cold start of its service counted from the opening. The endpoint
// may not have announced that cold period yet.
func (r *Replica) warmAt(record *endpointRecord, coldStarts map[string]ColdStart) time.Duration {
	zone, exists := r.zones[record.endpoint.Zone]
	coldStart, limited := coldStarts[record.endpoint.Service]
	if !exists || zone.closed || !limited {
		return record.warmAt
	}
	return max(record.warmAt, zone.since+coldStart.Duration)
}
