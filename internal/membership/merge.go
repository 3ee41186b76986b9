// This file merges received updates into the member list.

package membership

import (
	"slices"
	"time"
)

// merge records an update if it supersedes what is known. If spread is set, the update is
// gossiped.
func (m *Machine) merge(now time.Duration, update Update, spread bool) {
	if update.Member.Address == m.self.Member.Address {
		m.refute(now, update)
		return
	}
	known, exists := m.memberList.byAddress[update.Member.Address]
	if exists && !update.supersedes(known.update) {
		m.repeatRefutation(now, known.update, update)
		return
	}
	if !exists && (!update.State.live() || len(m.memberList.byAddress) >= m.config.MemberLimit) {
		// An unknown member that is not live is not recorded: no member needs the update, and
		// recording it would keep it circulating forever.
		return
	}
	before := Update{Member: update.Member, State: StateLeft}
	if exists {
		before = known.update
	}
	m.record(now, update)
	m.emitChange(before, update)
	if spread {
		m.gossip.add(now, update, changeAudience(before, update))
	}
}

// changeAudience returns which members need a change. Suspicions and refutations matter
// only to the members that probe the member concerned.
func changeAudience(before, after Update) audience {
	sameProcess := before.Member.Incarnation == after.Member.Incarnation
	if sameProcess && before.State.live() && after.State.live() {
		return audienceProbers
	}
	return audienceAll
}

// repeatRefutation gossips the live state of a member to all members if an obsolete update
// shows that some member considers it failed.
func (m *Machine) repeatRefutation(now time.Duration, known, obsolete Update) {
	sameProcess := known.Member.Incarnation == obsolete.Member.Incarnation
	if sameProcess && known.State.live() && obsolete.State == StateFailed {
		m.gossip.add(now, known, audienceAll)
	}
}

// record stores an update that supersedes what is known.
func (m *Machine) record(now time.Duration, update Update) {
	recorded := m.memberList.put(now, update)
	m.suspects = slices.DeleteFunc(m.suspects, func(suspect *member) bool {
		return suspect.update.Member.Address == update.Member.Address
	})
	if update.State == StateSuspect {
		m.suspects = append(m.suspects, recorded)
	}
}

// emitChange emits the effects of a change.
func (m *Machine) emitChange(before, after Update) {
	replaced := before.Member.Incarnation != after.Member.Incarnation
	wasLive := before.State.live()
	if replaced && wasLive {
		m.emit(Effect{Kind: EffectFailed, Member: before.Member})
		wasLive = false
	}
	switch after.State {
	case StateAlive:
		m.emitAlive(wasLive, before, after)
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

func (m *Machine) emitAlive(wasLive bool, before, after Update) {
	if !wasLive {
		m.emit(Effect{Kind: EffectJoined, Member: after.Member})
		return
	}
	if before.State == StateSuspect {
		m.emit(Effect{Kind: EffectRecovered, Member: after.Member})
	}
}

// refute raises the incarnation or the refutation count of this process if an update
// contradicts its state.
func (m *Machine) refute(now time.Duration, update Update) {
	own := m.self
	switch {
	case update.Member.Incarnation > own.Member.Incarnation:
		// The clock of an earlier process at this address was ahead.
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
	m.memberList.put(now, own)
	m.gossip.add(now, own, refutationAudience(update))
}

// refutationAudience returns which members need a refutation. A suspicion was only sent to
// the probers, so its refutation is as well.
func refutationAudience(refuted Update) audience {
	if refuted.State == StateSuspect {
		return audienceProbers
	}
	return audienceAll
}
