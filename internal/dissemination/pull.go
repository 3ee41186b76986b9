// This file implements fetching versions that this process misses.

package dissemination

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// pull is the state of fetching.
type pull struct {
	// wanted is the newest version that another member holds.
	wanted table.Version
	// scope is how far to push what is fetched.
	scope Scope
	next  time.Duration
	// fetching is set while the caller fetches over a connection.
	fetching      bool
	fetchDeadline time.Duration
}

// hear notes the status of another member.
func (m *Machine) hear(now time.Duration, from membership.Address, status Status, scope Scope) {
	m.peers.hear(from, status)
	if status.Held <= m.pull.wanted {
		return
	}
	if m.pull.wanted <= m.status.Held {
		// A push is probably on its way.
		m.pull.next = now + time.Duration(m.config.Random.Int64N(int64(m.config.PullDelay)))
		m.pull.scope = ScopeZone
	}
	m.pull.wanted = status.Held
	m.pull.scope = max(m.pull.scope, scope)
}

// pullIfBehind asks a peer for what this process misses.
func (m *Machine) pullIfBehind(now time.Duration) {
	if m.pull.fetching && now >= m.pull.fetchDeadline {
		m.pull.fetching = false
	}
	if m.pull.fetching || m.pull.wanted <= m.status.Held || now < m.pull.next {
		return
	}
	m.pull.next = now + m.config.PullTimeout
	if source, exists := m.source(); exists {
		m.send(source, Message{Kind: KindPull})
	}
}

// continuePull asks for the rest at once.
func (m *Machine) continuePull(now time.Duration) {
	m.pull.next = now
	m.pullIfBehind(now)
}

// source returns a random peer that holds more than this process, in the own
// zone, else in the own region, else anywhere.
func (m *Machine) source() (membership.Address, bool) {
	own := m.config.Self
	ahead := func(peer Peer) bool {
		return m.peers.status[peer.Identity.Address].Held > m.status.Held
	}
	nearby := []func(Peer) bool{
		func(peer Peer) bool { return peer.Identity.Zone == own.Zone && ahead(peer) },
		func(peer Peer) bool { return peer.Identity.Region == own.Region && ahead(peer) },
		ahead,
	}
	for _, matches := range nearby {
		if found := m.peers.choose(m.config.Random, 1, matches); len(found) > 0 {
			return found[0], true
		}
	}
	return 0, false
}

// answerPull sends what the asking member misses.
func (m *Machine) answerPull(to membership.Address, request Message) {
	if request.Status.Held >= m.status.Held {
		return
	}
	deltas, kept := m.history.after(request.Status.Held, m.status.Held)
	sent := fitting(deltas)
	if !kept || len(sent) == 0 {
		m.send(to, Message{Kind: KindFetchRequired})
		return
	}
	m.send(to, Message{Kind: KindDeltas, Deltas: sent})
}

// receiveDeltas takes in the deltas that continue what is held; others are old
// or leave a gap, which a pull will close.
func (m *Machine) receiveDeltas(now time.Duration, message Message) {
	next := m.status.Held + 1
	start := slices.IndexFunc(message.Deltas, func(delta Delta) bool { return delta.Version == next })
	if start < 0 {
		return
	}
	accepted := message.Deltas[start:]
	for index, delta := range accepted {
		if delta.Version != next+table.Version(index) {
			accepted = accepted[:index]
			break
		}
	}
	scope := message.Scope
	if message.Kind == KindDeltas {
		scope = m.pull.scope
	}
	m.advance(accepted, scope)
	if message.Kind == KindDeltas {
		m.continuePull(now)
	}
}

// beginFetch asks the caller to fetch over a connection.
func (m *Machine) beginFetch(now time.Duration, from membership.Address, message Message) {
	if m.pull.fetching || message.Status.Held <= m.status.Held {
		return
	}
	m.pull.fetching = true
	m.pull.fetchDeadline = now + m.config.FetchTimeout
	m.effects = append(m.effects, Effect{Kind: EffectFetch, To: from, Version: m.status.Held})
}
