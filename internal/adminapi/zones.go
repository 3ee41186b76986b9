// This file implements the listing of zones.

package adminapi

import (
	"slices"

	"github.com/vanetiller/vanetiller/internal/table"
	"github.com/vanetiller/vanetiller/internal/tenant"
)

// zones returns the closed zones and those with rows that the principal may view, sorted
// by name.
func (s *service) zones(principal tenant.Principal) ZonesResponse {
	view := principal.VisibleTable(s.store.Table().Table)
	var names []string
	for _, row := range view.Backends {
		if row.Zone != "" && !row.Removed {
			names = append(names, row.Zone)
		}
	}
	for _, closed := range view.ClosedZones {
		names = append(names, closed.Zone)
	}
	slices.Sort(names)
	response := ZonesResponse{Zones: []Zone{}}
	for _, name := range slices.Compact(names) {
		shown := Zone{Zone: name, Shares: zoneShares(view, name)}
		for _, row := range view.Backends {
			if row.Zone == name && !row.Removed {
				shown.Backends++
			}
		}
		if since, closed := view.ClosedSince(name); closed {
			status := s.store.VersionStatus(since)
			shown.Closed, shown.Since, shown.VersionStatus = true, since, &status
		}
		response.Zones = append(response.Zones, shown)
	}
	return response
}

// zoneShares returns, for each service with rows in a zone, the fraction of its weight
// that remains if that zone is closed.
func zoneShares(view *table.Table, zone string) []ZoneShare {
	shares := []ZoneShare{}
	for _, service := range view.Services {
		total, remaining, hasBackends := uint64(0), uint64(0), false
		for _, row := range view.BackendsOf(service.ID) {
			hasBackends = hasBackends || row.Zone == zone && !row.Removed
			closed := row.Closed
			row.Closed = false
			if !row.AcceptsNewFlows() {
				continue
			}
			total += uint64(row.Weight)
			if row.Zone != zone && !closed {
				remaining += uint64(row.Weight)
			}
		}
		if hasBackends {
			shares = append(shares, ZoneShare{Service: service.Name, Remaining: fraction(remaining, total)})
		}
	}
	return shares
}

func fraction(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
