// This file converts between names and numbers of zones.

package cluster

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/membership"
)

// portOf returns the port of an address.
func portOf(address membership.Address) uint16 { return uint16(address) }

// zones numbers the zones of the fleet, and their regions, in the order of the settings.
type zones struct {
	names   []string
	regions []string
}

func newZones(names []string) (zones, error) {
	if len(names) == 0 || len(names) > membership.MaxZones {
		return zones{}, errors.Errorf("cluster: the list has %d zones, but the number must be from 1 to %d", len(names), membership.MaxZones)
	}
	created := zones{names: slices.Clone(names)}
	for _, name := range names {
		if region := regionOf(name); !slices.Contains(created.regions, region) {
			created.regions = append(created.regions, region)
		}
	}
	return created, nil
}

// regionOf returns the region of a zone: its name up to the last hyphen. The zone
// casablanca-1 is in the region casablanca.
func regionOf(zone string) string {
	if end := strings.LastIndexByte(zone, '-'); end > 0 {
		return zone[:end]
	}
	return zone
}

// number returns the zone and region of a name. It returns false for a name that is not in
// the settings.
func (z zones) number(name string) (membership.Zone, membership.Region, bool) {
	position := slices.Index(z.names, name)
	if position < 0 {
		return 0, 0, false
	}
	region := slices.Index(z.regions, regionOf(name))
	return membership.Zone(position), membership.Region(region), true
}

// name returns the name of a zone. It is empty for a zone that is not in the settings.
func (z zones) name(zone membership.Zone) string {
	if int(zone) >= len(z.names) {
		return ""
	}
	return z.names[zone]
}
