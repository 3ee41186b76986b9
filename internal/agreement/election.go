package agreement

import "time"

// resetElectionTime sets when this process stands for election if it hears
// nothing until then. Replicas stand in the order of the configuration,
// witnesses later and at random.
func (m *Machine) resetElectionTime(now time.Duration) {
	configuration := m.Voters()
	self, _ := configuration.Member(m.parameters.Self)
	if self.Role == RoleWitness {
		m.electionTime = now + m.parameters.WitnessDelay + m.jitter(m.parameters.WitnessDelay)
		return
	}
	rank := time.Duration(configuration.rank(m.parameters.Self))
	wait := m.parameters.ElectionTimeout + rank*m.parameters.ElectionStagger
	m.electionTime = now + wait + m.jitter(m.parameters.ElectionStagger/2)
}

func (m *Machine) jitter(below time.Duration) time.Duration {
	if below <= 0 {
		return 0
	}
	return time.Duration(m.random.Int64N(int64(below)))
}

// electionTimedOut begins a preliminary vote, if this process is a voter.
func (m *Machine) electionTimedOut(now time.Duration) {
	m.electionTime = now + m.parameters.ElectionRound + m.jitter(m.parameters.ElectionRound)
	m.reforming = false
	if !m.Voters().Contains(m.parameters.Self) {
		return
	}
	m.setLeader(ProcessID{})
	m.state = precandidate
	m.requestVotes(now, m.term+1, true)
}

// startElection begins a new term and asks for votes in it.
func (m *Machine) startElection(now time.Duration) {
	m.electionTime = now + m.parameters.ElectionRound + m.jitter(m.parameters.ElectionRound)
	m.term++
	m.votedFor = m.parameters.Self
	m.state = candidate
	m.requestVotes(now, m.term, false)
}

func (m *Machine) requestVotes(now time.Duration, term Term, preliminary bool) {
	m.askedTerm = term
	m.votes = map[ProcessID]bool{m.parameters.Self: true}
	m.sendVoteRequests(now, preliminary)
	m.countVotes(now)
}

// sendVoteRequests asks those who have not granted their vote yet.
func (m *Machine) sendVoteRequests(now time.Duration, preliminary bool) {
	m.resendTime = now + m.parameters.VoteResend
	request := VoteRequest{
		Preliminary: preliminary,
		Reform:      m.reforming,
		LastIndex:   m.log.lastIndex(),
		LastTerm:    m.log.lastTerm(),
	}
	electors := m.Voters().Voters()
	if m.reforming {
		electors = m.fleet.running()
	}
	for _, member := range electors {
		if !m.votes[member.ID] {
			m.send(member.ID, Message{Term: m.askedTerm, Vote: &request})
		}
	}
}

// receivePreliminaryVote answers without any change of state.
func (m *Machine) receivePreliminaryVote(now time.Duration, from ProcessID, message Message) {
	upToDate := m.log.upToDate(message.Vote.LastTerm, message.Vote.LastIndex)
	granted := !m.leaderAlive(now) && message.Term > m.term && upToDate
	reply := VoteReply{Preliminary: true, Granted: granted, Removed: m.hasRemoved(from, *message.Vote)}
	term := m.term
	if granted {
		term = message.Term
	}
	m.send(from, Message{Term: term, VoteReply: &reply})
}

// leaderAlive reports whether this process leads or heard the leader lately.
func (m *Machine) leaderAlive(now time.Duration) bool {
	if m.state == leader {
		return m.hasQuorum(now)
	}
	return m.leader != ProcessID{} && now < m.leaderHeard+m.parameters.VoteSilence
}

// hasRemoved reports whether a committed configuration that the candidate may
// not know of leaves it out.
func (m *Machine) hasRemoved(id ProcessID, request VoteRequest) bool {
	committed, _ := m.log.configurationAt(m.commit)
	return !request.Reform && m.commit > request.LastIndex && len(committed.Members) > 0 && !committed.Contains(id)
}

func (m *Machine) receiveVote(now time.Duration, from ProcessID, message Message) {
	unused := m.votedFor == ProcessID{} || m.votedFor == from
	current := message.Term == m.term
	granted := current && unused && m.log.upToDate(message.Vote.LastTerm, message.Vote.LastIndex)
	if granted {
		m.state = follower
		m.votedFor = from
		m.resetElectionTime(now)
		m.resetReformTime(now)
	}
	m.send(from, Message{Term: m.term, VoteReply: &VoteReply{Granted: granted}})
}

func (m *Machine) receiveVoteReply(now time.Duration, from ProcessID, message Message) {
	reply := message.VoteReply
	if reply.Removed && m.state == precandidate {
		m.standBack(now)
		return
	}
	// Replies that a process finds when it wakes late are too old to lead on.
	inTime := now < m.electionTime
	wanted := inTime && ((m.state == precandidate && reply.Preliminary) || (m.state == candidate && !reply.Preliminary))
	if !wanted || !reply.Granted || message.Term != m.askedTerm {
		return
	}
	m.votes[from] = true
	m.countVotes(now)
}

// standBack delays the next preliminary vote, because this process has been
// removed from the voters without having heard of it. It takes part again once
// a leader adds it.
func (m *Machine) standBack(now time.Duration) {
	m.state = follower
	m.resetElectionTime(now)
	m.electionTime += m.parameters.WitnessDelay
}

// countVotes goes on to the election or the leadership. A preliminary vote
// needs a majority of the replicas too while the leader has not been silent
// for long: the witnesses hear it too rarely to tell.
func (m *Machine) countVotes(now time.Duration) {
	if m.reforming {
		m.countReformVotes(now)
		return
	}
	voted := func(member Member) bool { return m.votes[member.ID] }
	configuration := m.Voters()
	if !configuration.HasMajority(voted) {
		return
	}
	if m.state == candidate {
		m.becomeLeader(now)
		return
	}
	silent := now >= m.leaderHeard+m.parameters.WitnessDelay
	if silent || configuration.hasReplicaMajority(voted) {
		m.startElection(now)
	}
}
