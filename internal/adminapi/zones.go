// This file implements what operators see of zones.

package adminapi

import (
	"slices"

	"github.com/vanetiller/vanetiller/internal/table"
	"github.com/vanetiller/vanetiller/internal/tenant"
)

// zones returns the zones in which the principal sees rows, and those that are closed.
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
	answer := ZonesResponse{Zones: []Zone{}}
	for _, name := range slices.Compact(names) {
		shown := Zone{Zone: name, Shares: zoneShares(view, name)}
		for _, row := range view.Backends {
			if row.Zone == name && !row.Removed {
				shown.Backends++
			}
		}
		if since, closed := view.ClosedSince(name); closed {
			reach := s.store.VersionStatus(since)
			shown.Closed, shown.Since, shown.VersionStatus = true, since, &reach
		}
		answer.Zones = append(answer.Zones, shown)
	}
	return answer
}

// zoneShares returns what is left of each service that has rows in a zone once that is
// closed.
func zoneShares(view *table.Table, zone string) []ZoneShare {
	shares := []ZoneShare{}
	for _, service := range view.Services {
		whole, remaining, concerned := uint64(0), uint64(0), false
		for _, row := range view.BackendsOf(service.ID) {
			concerned = concerned || row.Zone == zone && !row.Removed
			closed := row.Closed
			row.Closed = false
			if !row.AcceptsNewFlows() {
				continue
			}
			whole += uint64(row.Weight)
			if row.Zone != zone && !closed {
				remaining += uint64(row.Weight)
			}
		}
		if concerned {
			shares = append(shares, ZoneShare{Service: service.Name, Remaining: share(remaining, whole)})
		}
	}
	return shares
}

func share(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
