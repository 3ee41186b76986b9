// This file implements pulling versions that this process lacks.

package dissemination

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// pullState is the state of pulling and fetching.
type pullState struct {
	// wanted is the newest version that another member holds.
	wanted table.Version
	// scope is the scope in which pulled deltas are pushed on.
	scope Scope
	next  time.Duration
	// fetching is set while the caller fetches over a connection.
	fetching      bool
	fetchDeadline time.Duration
}

// recordStatus records the status of another member and schedules a pull if it holds a
// newer version.
func (m *Machine) recordStatus(now time.Duration, from membership.Address, status Status, scope Scope) {
	m.peers.recordStatus(from, status)
	if status.Held <= m.pull.wanted {
		return
	}
	if m.pull.wanted <= m.status.Held {
		// A push of the version probably arrives soon, so the pull is delayed.
		m.pull.next = now + time.Duration(m.config.Random.Int64N(int64(m.config.PullDelay)))
		m.pull.scope = ScopeZone
	}
	m.pull.wanted = status.Held
	m.pull.scope = max(m.pull.scope, scope)
}

// pullIfBehind asks a peer for the versions that this process lacks.
func (m *Machine) pullIfBehind(now time.Duration) {
	if m.pull.fetching && now >= m.pull.fetchDeadline {
		m.pull.fetching = false
	}
	if m.pull.fetching || m.pull.wanted <= m.status.Held || now < m.pull.next {
		return
	}
	m.pull.next = now + m.config.PullTimeout
	if source, exists := m.pullSource(); exists {
		m.send(source, Message{Kind: KindPull})
	}
}

// continuePull asks for the remaining versions without delay.
func (m *Machine) continuePull(now time.Duration) {
	m.pull.next = now
	m.pullIfBehind(now)
}

// pullSource returns a random peer that holds a newer version than this process, from the
// own zone, else from the own region, else from anywhere.
func (m *Machine) pullSource() (membership.Address, bool) {
	own := m.config.Self
	ahead := func(peer Peer) bool {
		return m.peers.status[peer.Identity.Address].Held > m.status.Held
	}
	preferences := []func(Peer) bool{
		func(peer Peer) bool { return peer.Identity.Zone == own.Zone && ahead(peer) },
		func(peer Peer) bool { return peer.Identity.Region == own.Region && ahead(peer) },
		ahead,
	}
	for _, matches := range preferences {
		if found := m.peers.choose(m.config.Random, 1, matches); len(found) > 0 {
			return found[0], true
		}
	}
	return 0, false
}

// replyToPull sends the deltas that the requester lacks.
func (m *Machine) replyToPull(to membership.Address, request Message) {
	if request.Status.Held >= m.status.Held {
		return
	}
	deltas, kept := m.history.after(request.Status.Held, m.status.Held)
	sent := deltasThatFit(deltas)
	if !kept || len(sent) == 0 {
		m.send(to, Message{Kind: KindFetchRequired})
		return
	}
	m.send(to, Message{Kind: KindDeltas, Deltas: sent})
}

// receiveDeltas applies the deltas that follow the version held. It ignores older deltas and
// those after a gap, which a pull will close.
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
	m.applyDeltas(accepted, scope)
	if message.Kind == KindDeltas {
		m.continuePull(now)
	}
}

// requestFetch asks the caller to fetch over a connection.
func (m *Machine) requestFetch(now time.Duration, from membership.Address, message Message) {
	if m.pull.fetching || message.Status.Held <= m.status.Held {
		return
	}
	m.pull.fetching = true
	m.pull.fetchDeadline = now + m.config.FetchTimeout
	m.effects = append(m.effects, Effect{Kind: EffectFetch, To: from, Version: m.status.Held})
}
