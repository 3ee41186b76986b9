// This file implements pushing new versions to peers.

package dissemination

import "github.com/vanetiller/vanetiller/internal/membership"

// applyDeltas records the next deltas, has the caller apply them and pushes them on.
func (m *Machine) applyDeltas(deltas []Delta, scope Scope) {
	for _, delta := range deltas {
		m.status.Held = delta.Version
		m.history.add(delta)
		m.effects = append(m.effects, Effect{Kind: EffectApply, Delta: delta})
	}
	m.push(deltas, scope)
}

// push sends the deltas, or an announcement if they are too long, to a few members of every
// part of the fleet that the scope covers. Only the first member of a part that receives
// them pushes to its smaller parts, so that each version crosses the link to another region
// only RemoteFanout times.
func (m *Machine) push(deltas []Delta, scope Scope) {
	own := m.config.Self
	if scope == ScopeFleet {
		for _, region := range m.peers.regions() {
			if region != own.Region {
				m.pushTo(deltas, ScopeRegion, m.config.RemoteFanout, func(peer Peer) bool {
					return peer.Identity.Region == region
				})
			}
		}
	}
	if scope >= ScopeRegion {
		for zone := range membership.Zone(membership.MaxZones) {
			if zone != own.Zone {
				m.pushTo(deltas, ScopeZone, m.config.RemoteFanout, func(peer Peer) bool {
					return peer.Identity.Zone == zone && peer.Identity.Region == own.Region
				})
			}
		}
	}
	m.pushTo(deltas, ScopeZone, m.config.ZoneFanout, func(peer Peer) bool {
		return peer.Identity.Zone == own.Zone
	})
}

// pushTo sends the deltas to some of the matching peers that are not known to hold them.
func (m *Machine) pushTo(deltas []Delta, scope Scope, count int, matches func(Peer) bool) {
	lacking := func(peer Peer) bool {
		return matches(peer) && m.peers.status[peer.Identity.Address].Held < m.status.Held
	}
	message := Message{Kind: KindPush, Scope: scope, Deltas: deltas}
	if len(deltasThatFit(deltas)) < len(deltas) {
		message.Deltas = nil
	}
	for _, address := range m.peers.choose(m.config.Random, count, lacking) {
		m.send(address, message)
	}
}
