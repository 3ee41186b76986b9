// This file implements where nodes are and how far apart zones lie.

package simnet

import "time"

// ZoneID is the position of a zone in a layout.
type ZoneID int

// Link describes the datagrams sent from one zone to another.
type Link struct {
	// Delay is the shortest one-way delay.
	Delay time.Duration
	// Jitter is the largest addition to the delay; additions are uniform, so
	// datagrams can overtake each other.
	Jitter time.Duration
	// Loss and Duplication are probabilities from 0 to 1.
	Loss        float64
	Duplication float64
}

// Zone is a group of nodes that fail together.
type Zone struct {
	Name   string
	Region string
}

// Topology is the zones and the links between them.
type Topology struct {
	Zones []Zone
	// WithinZone, BetweenZones and BetweenRegions describe the links between
	// nodes of one zone, of two zones of one region, and of two regions.
	WithinZone     Link
	BetweenZones   Link
	BetweenRegions Link
}

// Link returns the link from one zone to another.
func (l Topology) Link(from, to ZoneID) Link {
	switch {
	case from == to:
		return l.WithinZone
	case l.Zones[from].Region == l.Zones[to].Region:
		return l.BetweenZones
	}
	return l.BetweenRegions
}

// ZonesOf returns the zones of a region in the order of the layout.
func (l Topology) ZonesOf(region string) []ZoneID {
	var zones []ZoneID
	for index, zone := range l.Zones {
		if zone.Region == region {
			zones = append(zones, ZoneID(index))
		}
	}
	return zones
}
