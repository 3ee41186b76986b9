// This file resolves the claims of several daemons about an agent to one condition.

package liveness

import (
	"slices"

	"github.com/vanetiller/vanetiller/internal/table"
)

// emitChanges emits the conditions of the affected agents that have changed.
func (m *Machine) emitChanges() {
	slices.Sort(m.affected)
	for _, agent := range slices.Compact(m.affected) {
		resolved, claimed := m.resolve(agent)
		known, reported := m.reported[agent]
		if !claimed {
			resolved = Claim{Agent: agent, Condition: Down}
			delete(m.reported, agent)
		} else {
			m.reported[agent] = resolved
		}
		if reported && known != resolved || !reported && claimed {
			m.emit(Effect{Kind: EffectConditionChanged, Claim: resolved})
		}
	}
}

// resolve returns the claim of the other reachable daemons about an agent that takes
// precedence. It returns false if there is no claim. An agent that any daemon claims to be
// alive is alive, whatever the others claim: it may have stopped reporting to them. Leaving
// applies only to the process that announced it and not to its successor.
func (m *Machine) resolve(agent table.Endpoint) (Claim, bool) {
	var best Claim
	claimed := false
	for _, address := range m.claims.byAgent[agent] {
		origin := m.claims.reporters[address]
		peer, exists := m.peer(address)
		if !exists || !peer.Reachable || peer.Identity.Incarnation != origin.incarnation {
			continue
		}
		claim := origin.records[agent].Claim
		if !claimed || takesPrecedence(claim, best) {
			best = claim
		}
		claimed = true
	}
	return best, claimed
}

// takesPrecedence reports whether claim takes precedence over other. It is a strict order, so
// that all daemons resolve claims alike. The process with the later start is the running
// one. If the clock was set back between two processes, the claim about the earlier one
// prevails only until its lease ends.
func takesPrecedence(claim, other Claim) bool {
	isDown, otherIsDown := claim.Condition == Down, other.Condition == Down
	switch {
	case isDown != otherIsDown:
		return otherIsDown
	case claim.Start != other.Start:
		return claim.Start > other.Start
	}
	return claim.Condition > other.Condition
}
