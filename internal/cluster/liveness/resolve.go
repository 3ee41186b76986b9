// This file decides on the condition of an agent from what daemons claim.

package liveness

import (
	"slices"

	"github.com/vanetiller/vanetiller/internal/table"
)

// tell emits the conditions of the affected agents that have changed.
func (m *Machine) tell() {
	slices.Sort(m.affected)
	for _, agent := range slices.Compact(m.affected) {
		judged, claimed := m.judge(agent)
		known, told := m.told[agent]
		if !claimed {
			judged = Claim{Agent: agent, Condition: Down}
			delete(m.told, agent)
		} else {
			m.told[agent] = judged
		}
		if told && known != judged || !told && claimed {
			m.emit(Effect{Kind: EffectConditionChanged, Claim: judged})
		}
	}
}

// judge returns what other reachable daemons claim of an agent. It returns
// false if none claims anything. An agent that one daemon hears is alive,
// whatever others, which it may have turned away from, hear. That an agent
// stops counts for the process that was heard to stop, not for its successor.
func (m *Machine) judge(agent table.Endpoint) (Claim, bool) {
	var best Claim
	claimed := false
	for _, address := range m.claims.byAgent[agent] {
		from := m.claims.reporters[address]
		peer, exists := m.peer(address)
		if !exists || !peer.Reachable || peer.Identity.Incarnation != from.incarnation {
			continue
		}
		claim := from.records[agent].Claim
		if !claimed || outweighs(claim, best) {
			best = claim
		}
		claimed = true
	}
	return best, claimed
}

// outweighs is a strict order, so that all daemons judge alike. The later start
// is of the process that runs; a clock that was set back between two of them
// is made up for when the lease of the earlier one ends.
func outweighs(claim, other Claim) bool {
	isDown, otherIsDown := claim.Condition == Down, other.Condition == Down
	switch {
	case isDown != otherIsDown:
		return otherIsDown
	case claim.Start != other.Start:
		return claim.Start > other.Start
	}
	return claim.Condition > other.Condition
}
