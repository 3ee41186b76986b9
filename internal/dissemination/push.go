// This file implements pushing new versions onwards.

package dissemination

import "github.com/vanetiller/vanetiller/internal/membership"

// advance takes in the next deltas and pushes them on.
func (m *Machine) advance(deltas []Delta, scope Scope) {
	for _, delta := range deltas {
		m.status.Held = delta.Version
		m.history.add(delta)
		m.effects = append(m.effects, Effect{Kind: EffectApply, Delta: delta})
	}
	m.push(deltas, scope)
}

// push sends the deltas, or an announcement if they are too long, to a few
// members of every part of the fleet that the scope covers. Only the first
// member of a part that gets them pushes into its smaller parts, so that the
// links between regions carry each version EntryFanout times.
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
		for zone := range membership.Zone(membership.MaximumZones) {
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

// pushTo sends to some of the peers that suit and are not known to have it.
func (m *Machine) pushTo(deltas []Delta, scope Scope, count int, matches func(Peer) bool) {
	lacking := func(peer Peer) bool {
		return matches(peer) && m.peers.status[peer.Identity.Address].Held < m.status.Held
	}
	message := Message{Kind: KindPush, Scope: scope, Deltas: deltas}
	if len(fitting(deltas)) < len(deltas) {
		message.Deltas = nil
	}
	for _, address := range m.peers.choose(m.config.Random, count, lacking) {
		m.send(address, message)
	}
}
