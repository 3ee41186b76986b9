// This file implements pushing records to peers.

package liveness

import (
	"slices"

	"github.com/vanetiller/vanetiller/internal/membership"
)

// flush pushes the records collected since the last tick, so that those of many agents, as
// when a rack fails, share messages.
func (m *Machine) flush() {
	for scope := range m.pending {
		for records := range slices.Chunk(m.pending[scope], maxRecords) {
			m.push(slices.Clone(records), Scope(scope))
		}
		m.pending[scope] = nil
	}
}

// push sends records to a few members of every part of the fleet that the scope covers.
// Only the first member of a part that receives them pushes to its smaller parts.
func (m *Machine) push(records []Record, scope Scope) {
	own := m.config.Self
	if scope == ScopeFleet {
		for _, region := range m.otherRegions() {
			m.pushTo(records, ScopeRegion, remoteFanout, func(peer Peer) bool {
				return peer.Identity.Region == region
			})
		}
	}
	if scope >= ScopeRegion {
		for zone := range membership.Zone(membership.MaxZones) {
			if zone != own.Zone {
				m.pushTo(records, ScopeZone, remoteFanout, func(peer Peer) bool {
					return peer.Identity.Zone == zone && peer.Identity.Region == own.Region
				})
			}
		}
	}
	m.pushTo(records, ScopeZone, zoneFanout, func(peer Peer) bool { return peer.Identity.Zone == own.Zone })
}

func (m *Machine) pushTo(records []Record, scope Scope, count int, matches func(Peer) bool) {
	for _, address := range m.choose(count, matches) {
		m.send(address, Message{Kind: KindPush, Scope: scope, Records: records})
	}
}

func (m *Machine) otherRegions() []membership.Region {
	var regions []membership.Region
	for _, peer := range m.peers {
		region := peer.Identity.Region
		if region != m.config.Self.Region && !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	return regions
}

// choose returns up to count different reachable peers that match, at random.
func (m *Machine) choose(count int, matches func(Peer) bool) []membership.Address {
	var candidates []membership.Address
	for _, peer := range m.peers {
		if peer.Reachable && matches(peer) {
			candidates = append(candidates, peer.Identity.Address)
		}
	}
	m.config.Random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(count, len(candidates))]
}
