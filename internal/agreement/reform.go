package agreement

import (
	"slices"
	"time"
)

// A majority of the voters may be lost at once, faster than they are replaced.
// The log then goes on by a re-formation: an election in which every machine
// of the platform's list votes, whether its process is a voter or not, and in
// which the voters that have not voted are too few for a majority. A process
// votes only for one whose log is at least as new as its own; each daemon
// holds the state it was given by Observe. The winner goes on from its log as
// the only voter. What is lost are entries of which every holder has ended.

const (
	// generationBits is the number of bits by which the terms after one
	// re-formation are apart from those after the next.
	generationBits = 32
	// maximumReformBackoff bounds the doublings of the delay between
	// attempts.
	maximumReformBackoff = 4
)

// Listed gives the machines of the platform's list. A re-formation needs the
// vote of each. The returned effects are valid until the next call.
func (m *Machine) Listed(machines []uint32) []Effect {
	m.begin()
	m.listed = slices.Clone(machines)
	return m.effects
}

// Position returns what is committed, without the state: the caller adds the
// state after the entry at Index was applied and passes it on for Observe.
func (m *Machine) Position() Snapshot {
	term, _ := m.log.term(m.commit)
	configuration, _ := m.log.configurationAt(m.commit)
	return Snapshot{Index: m.commit, Term: term, Configuration: configuration.Clone()}
}

// Observe gives a process that is no voter a state that was committed. An
// older state than the one held is ignored. The returned effects are valid
// until the next call.
func (m *Machine) Observe(snapshot Snapshot) []Effect {
	m.begin()
	if m.Voters().Contains(m.parameters.Self) || snapshot.Index <= m.commit {
		return m.effects
	}
	m.installSnapshot(snapshot)
	return m.effects
}

// reformDue reports whether this process should attempt a re-formation: most
// voters have ended or cannot be reached, and no leader was heard for long.
func (m *Machine) reformDue(now time.Duration) bool {
	if now < m.reformTime || len(m.listed) == 0 || m.log.lastIndex() == 0 {
		return false
	}
	return !m.Voters().HasMajority(func(member Member) bool { return m.fleet.isUp(member.ID) })
}

func (m *Machine) resetReformTime(now time.Duration) {
	m.reformAttempts = 0
	m.reformTime = now + m.parameters.ReformDelay + m.jitter(m.parameters.ReformDelay)
}

// startReform begins the preliminary vote of a re-formation.
func (m *Machine) startReform(now time.Duration) {
	delay := m.parameters.ReformDelay << min(m.reformAttempts, maximumReformBackoff)
	m.reformAttempts++
	m.reformTime = now + delay + m.jitter(delay)
	m.electionTime = now + m.parameters.ReformRound
	m.reforming = true
	m.state = precandidate
	m.setLeader(ProcessID{})
	m.requestVotes(now, m.reformTerm(), true)
}

// reformTerm returns the first term of the next generation, which no election
// among the voters can reach.
func (m *Machine) reformTerm() Term {
	return (m.term>>generationBits + 1) << generationBits
}

// countReformVotes goes on once the re-formation cannot conflict with any
// other leader.
func (m *Machine) countReformVotes(now time.Duration) {
	committed, _ := m.log.configurationAt(m.commit)
	if !m.allListedVoted() || !m.fences(m.Voters()) || !m.fences(committed) {
		return
	}
	if m.state == candidate {
		m.becomeLeader(now)
		return
	}
	m.term = m.reformTerm()
	m.votedFor = m.parameters.Self
	m.state = candidate
	m.electionTime = now + m.parameters.ReformRound
	m.requestVotes(now, m.term, false)
}

func (m *Machine) allListedVoted() bool {
	for _, machine := range m.listed {
		voted := slices.ContainsFunc(m.voted(), func(id ProcessID) bool { return id.Machine == machine })
		if !voted {
			return false
		}
	}
	return true
}

// fences reports whether the voters that may still act without regard to the
// votes given are too few. A voter is accounted for if it has voted, or if a
// later process of its machine has: the voter itself has then ended.
func (m *Machine) fences(configuration Configuration) bool {
	unaccounted := func(member Member) bool {
		return !slices.ContainsFunc(m.voted(), func(id ProcessID) bool {
			return id == member.ID || id.Succeeds(member.ID)
		})
	}
	return !majorityOf(configuration.Members, unaccounted) && !majorityOf(configuration.Previous, unaccounted)
}

// voted returns the processes that have granted their vote.
func (m *Machine) voted() []ProcessID {
	granted := make([]ProcessID, 0, len(m.votes))
	for id := range m.votes {
		granted = append(granted, id)
	}
	return granted
}
