package agreement

import (
	"slices"
	"time"
)

// proposal is one that the leader has in its log and not yet committed.
type proposal struct {
	id       ProposalID
	index    Index
	deadline time.Duration
}

// Propose asks for a payload to be added to the log. The answer is an Answered
// effect, of this call or of a later one. A refused proposal is in nobody's
// log. A proposal whose ID is under way joins it. The returned effects are
// valid until the next call.
func (m *Machine) Propose(now time.Duration, id ProposalID, payload []byte) []Effect {
	m.begin()
	if reason := m.refusal(now, payload); reason != RefusalNone {
		m.emit(Effect{Kind: Answered, ID: id, Answer: AnswerRefused, Reason: reason, Leader: m.leader})
		return m.effects
	}
	underWay := slices.ContainsFunc(m.pending, func(p proposal) bool { return p.id == id })
	if underWay {
		return m.effects
	}
	deadline := now + m.parameters.ProposalTimeout
	index := m.log.lastIndex() + 1
	m.pending = append(m.pending, proposal{id: id, index: index, deadline: deadline})
	m.appendEntry(now, Entry{Kind: EntryProposal, ID: id, Payload: payload})
	return m.effects
}

func (m *Machine) refusal(now time.Duration, payload []byte) RefusalReason {
	if m.state != leader {
		return RefusalNotLeader
	}
	if !m.hasQuorum(now) {
		return RefusalNoQuorum
	}
	voters := m.Voters()
	if len(voters.Members) < m.parameters.MinimumVoters || voters.Zones() < m.parameters.MinimumZones {
		return RefusalTooFewVoters
	}
	if len(m.pending) >= m.parameters.MaximumPending {
		return RefusalBusy
	}
	if len(payload) > m.parameters.MaximumPayload {
		return RefusalTooLarge
	}
	return RefusalNone
}

// expirePending answers proposals as unknown that took too long.
func (m *Machine) expirePending(now time.Duration) {
	m.pending = slices.DeleteFunc(m.pending, func(p proposal) bool {
		if now < p.deadline {
			return false
		}
		m.emit(Effect{Kind: Answered, ID: p.id, Answer: AnswerUnknown})
		return true
	})
}
