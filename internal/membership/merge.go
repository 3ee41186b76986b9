// This file decides which of two statements about a member holds.

package membership

import (
	"slices"
	"time"
)

// merge takes in a statement about a member if it is newer than what is known.
// If spread is set, it is passed along.
func (m *Machine) merge(now time.Duration, update Update, spread bool) {
	if update.Member.Address == m.self.Member.Address {
		m.mergeSelf(now, update)
		return
	}
	known, exists := m.roster.byAddress[update.Member.Address]
	if exists && !update.supersedes(known.update) {
		m.correct(now, known.update, update)
		return
	}
	if !exists && (!update.State.live() || len(m.roster.byAddress) >= m.config.MemberLimit) {
		// The end of an unknown member is no news, and remembering it would
		// keep it going around for ever.
		return
	}
	before := Update{Member: update.Member, State: StateLeft}
	if exists {
		before = known.update
	}
	m.install(now, update)
	m.report(before, update)
	if spread {
		m.gossip.add(now, update, audienceOf(before, update))
	}
}

// audienceOf returns who must learn of a change: suspicions and what refutes
// them matter only to those who probe the member.
func audienceOf(before, after Update) audience {
	sameProcess := before.Member.Incarnation == after.Member.Incarnation
	if sameProcess && before.State.live() && after.State.live() {
		return audienceProbers
	}
	return audienceAll
}

// correct passes a refutation along to all if a statement shows that somebody
// takes the member for failed.
func (m *Machine) correct(now time.Duration, known, obsolete Update) {
	sameProcess := known.Member.Incarnation == obsolete.Member.Incarnation
	if sameProcess && known.State.live() && obsolete.State == StateFailed {
		m.gossip.add(now, known, audienceAll)
	}
}

// install records an update, which must supersede what is known.
func (m *Machine) install(now time.Duration, update Update) {
	installed := m.roster.put(now, update)
	m.suspects = slices.DeleteFunc(m.suspects, func(suspect *member) bool {
		return suspect.update.Member.Address == update.Member.Address
	})
	if update.State == StateSuspect {
		m.suspects = append(m.suspects, installed)
	}
}

// report emits the effects of a change.
func (m *Machine) report(before, after Update) {
	replaced := before.Member.Incarnation != after.Member.Incarnation
	wasLive := before.State.live()
	if replaced && wasLive {
		m.emit(Effect{Kind: EffectFailed, Member: before.Member})
		wasLive = false
	}
	switch after.State {
	case StateAlive:
		m.reportAlive(wasLive, before, after)
	case StateSuspect:
		if !wasLive {
			m.emit(Effect{Kind: EffectJoined, Member: after.Member})
		}
		m.emit(Effect{Kind: EffectSuspected, Member: after.Member})
	case StateFailed:
		if wasLive {
			m.emit(Effect{Kind: EffectFailed, Member: after.Member})
		}
	case StateLeft:
		if wasLive {
			m.emit(Effect{Kind: EffectLeft, Member: after.Member})
		}
	}
}

func (m *Machine) reportAlive(wasLive bool, before, after Update) {
	if !wasLive {
		m.emit(Effect{Kind: EffectJoined, Member: after.Member})
		return
	}
	if before.State == StateSuspect {
		m.emit(Effect{Kind: EffectRecovered, Member: after.Member})
	}
}

// mergeSelf refutes what others say about this process unless it is true.
func (m *Machine) mergeSelf(now time.Duration, update Update) {
	own := m.self
	switch {
	case update.Member.Incarnation > own.Member.Incarnation:
		// An earlier process at this address had a clock that was ahead.
		own.Member.Incarnation = update.Member.Incarnation + 1
		own.Refutations = 0
	case update.Member.Incarnation == own.Member.Incarnation &&
		update.Refutations >= own.Refutations && update.State != StateAlive:
		own.Refutations = update.Refutations + 1
	case update.Member.Incarnation == own.Member.Incarnation && update.Refutations > own.Refutations:
		own.Refutations = update.Refutations + 1
	default:
		return
	}
	m.self = own
	m.roster.put(now, own)
	m.gossip.add(now, own, selfAudience(update))
}

// selfAudience returns who must learn of a refutation: after a mere suspicion
// those who could have heard it.
func selfAudience(accusation Update) audience {
	if accusation.State == StateSuspect {
		return audienceProbers
	}
	return audienceAll
}
