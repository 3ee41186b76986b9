// This file implements zones, regions and the links between them.

package simnet

import "time"

// ZoneID is the index of a zone in a topology.
type ZoneID int

// Link describes how datagrams travel from one zone to another.
type Link struct {
	// Delay is the minimum one-way delay.
	Delay time.Duration
	// Jitter is the upper bound of a uniformly distributed additional delay. It lets
	// datagrams overtake each other.
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

// Topology describes the zones and the links between them.
type Topology struct {
	Zones []Zone
	// WithinZone is the link between nodes of one zone, BetweenZones between two zones
	// of one region, and BetweenRegions between two regions.
	WithinZone     Link
	BetweenZones   Link
	BetweenRegions Link
}

// Link returns the link from one zone to another.
func (t Topology) Link(from, to ZoneID) Link {
	switch {
	case from == to:
		return t.WithinZone
	case t.Zones[from].Region == t.Zones[to].Region:
		return t.BetweenZones
	}
	return t.BetweenRegions
}

// ZonesOf returns the zones of a region in the order of the topology.
func (t Topology) ZonesOf(region string) []ZoneID {
	var zones []ZoneID
	for index, zone := range t.Zones {
		if zone.Region == region {
			zones = append(zones, ZoneID(index))
		}
	}
	return zones
}
