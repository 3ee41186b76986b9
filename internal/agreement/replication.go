package agreement

import (
	"slices"
	"time"
)

// peer is what a leader knows of another process.
type peer struct {
	// next is the index of the next entry to send.
	next Index
	// match is the last index known to agree.
	match Index
	// contact is the sending time of the newest message that was answered.
	contact time.Duration
	// sent is when anything was last sent.
	sent time.Duration
	// retreated is when entries were last sent again.
	retreated time.Duration
}

func (m *Machine) becomeLeader(now time.Duration) {
	m.state = leader
	m.setLeader(m.parameters.Self)
	m.peers = make(map[ProcessID]*peer)
	m.learner = ProcessID{}
	m.quorumAt = now
	m.emptyDone = false
	m.syncPeers(now)
	if m.reforming {
		m.reforming = false
		self := Member{ID: m.parameters.Self, Zone: m.parameters.Zone, Role: RoleReplica}
		m.appendConfiguration(now, Configuration{Members: []Member{self}})
		return
	}
	m.appendEntry(now, Entry{Kind: EntryEmpty})
}

// syncPeers keeps one peer for every voter and for the learner.
func (m *Machine) syncPeers(now time.Duration) {
	configuration := m.Voters()
	for _, member := range configuration.Voters() {
		m.addPeer(now, member.ID)
	}
	if m.learner != (ProcessID{}) {
		m.addPeer(now, m.learner)
	}
	for id := range m.peers {
		if !configuration.Contains(id) && id != m.learner {
			delete(m.peers, id)
		}
	}
}

func (m *Machine) addPeer(now time.Duration, id ProcessID) {
	if id == m.parameters.Self || m.peers[id] != nil {
		return
	}
	m.peers[id] = &peer{next: m.log.lastIndex() + 1, contact: now, sent: now - m.parameters.WitnessHeartbeat}
}

// peerIDs returns the peers in a fixed order.
func (m *Machine) peerIDs() []ProcessID {
	ids := make([]ProcessID, 0, len(m.peers))
	for id := range m.peers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, ProcessID.Compare)
	return ids
}

// appendEntry adds an entry of the current term to the leader's log and sends
// it to all.
func (m *Machine) appendEntry(now time.Duration, entry Entry) Index {
	entry.Index = m.log.lastIndex() + 1
	entry.Term = m.term
	m.log.append(entry)
	m.syncPeers(now)
	for _, id := range m.peerIDs() {
		m.replicate(now, id)
	}
	m.commitMajority(now)
	return entry.Index
}

// replicate sends a peer what it lacks, or a heartbeat.
func (m *Machine) replicate(now time.Duration, id ProcessID) {
	to := m.peers[id]
	to.sent = now
	previous := to.next - 1
	term, known := m.log.term(previous)
	if !known {
		snapshot := SnapshotRequest{Snapshot: m.log.snapshot, Sent: now}
		m.send(id, Message{Term: m.term, Snapshot: &snapshot})
		to.next = m.log.snapshot.Index + 1
		return
	}
	entries := m.log.from(to.next, m.parameters.BatchBytes)
	to.next += Index(len(entries))
	request := AppendRequest{PreviousIndex: previous, PreviousTerm: term, Commit: m.commit, Entries: entries, Sent: now}
	m.send(id, Message{Term: m.term, Append: &request})
}

func (m *Machine) tickLeader(now time.Duration) {
	if m.hasQuorum(now) {
		m.quorumAt = now
	} else if now >= m.quorumAt+m.parameters.QuorumTimeout {
		m.becomeFollower(now, m.term)
		return
	}
	m.expirePending(now)
	m.plan(now)
	if m.state != leader {
		return
	}
	for _, id := range m.peerIDs() {
		if now >= m.peers[id].sent+m.heartbeatInterval(now, id) {
			m.replicate(now, id)
		}
	}
}

// heartbeatInterval is short for replicas, for peers that lack entries, and
// for all while the replicas do not answer.
func (m *Machine) heartbeatInterval(now time.Duration, id ProcessID) time.Duration {
	member, exists := m.Voters().Member(id)
	behind := m.peers[id].match < m.log.lastIndex()
	if !exists || isReplica(member) || behind || !m.hasReplicaQuorum(now) {
		return m.parameters.Heartbeat
	}
	return m.parameters.WitnessHeartbeat
}

func (m *Machine) answeredWithin(now, window time.Duration) func(Member) bool {
	return func(member Member) bool {
		if member.ID == m.parameters.Self {
			return true
		}
		known := m.peers[member.ID]
		return known != nil && now < known.contact+window
	}
}

func (m *Machine) hasReplicaQuorum(now time.Duration) bool {
	return m.Voters().hasReplicaMajority(m.answeredWithin(now, m.parameters.QuorumTimeout))
}

// hasQuorum reports whether a majority of the voters answered lately. While
// the replicas answer, witnesses are given as long as their rarer heartbeats
// need.
func (m *Machine) hasQuorum(now time.Duration) bool {
	return m.hasQuorumOf(now, m.Voters())
}

func (m *Machine) hasQuorumOf(now time.Duration, configuration Configuration) bool {
	if configuration.HasMajority(m.answeredWithin(now, m.parameters.QuorumTimeout)) {
		return true
	}
	if !m.hasReplicaQuorum(now) {
		return false
	}
	window := m.parameters.WitnessHeartbeat + m.parameters.QuorumTimeout
	return configuration.HasMajority(m.answeredWithin(now, window))
}

func (m *Machine) receiveAppend(now time.Duration, from ProcessID, message Message) {
	request := message.Append
	reply := AppendReply{Sent: request.Sent}
	if message.Term < m.term {
		m.send(from, Message{Term: m.term, AppendReply: &reply})
		return
	}
	m.followLeader(now, from)
	reply.Success, reply.Match = m.store(*request)
	if reply.Success {
		m.advanceCommit(min(request.Commit, reply.Match))
	}
	m.send(from, Message{Term: m.term, AppendReply: &reply})
}

func (m *Machine) followLeader(now time.Duration, from ProcessID) {
	if m.state == leader {
		panic("agreement: two leaders in one term")
	}
	m.state = follower
	m.setLeader(from)
	m.leaderHeard = now
	m.resetElectionTime(now)
	m.resetReformTime(now)
}

// store adds the entries to the log. It returns the last index that agrees
// with the leader, or, without success, the one to try next.
func (m *Machine) store(request AppendRequest) (success bool, match Index) {
	previous := request.PreviousIndex
	if previous < m.log.snapshot.Index {
		// What the snapshot covers is committed and so agrees already.
		covered := m.log.snapshot.Index - previous
		if covered > Index(len(request.Entries)) {
			return true, previous + Index(len(request.Entries))
		}
		request.Entries = request.Entries[covered:]
		previous = m.log.snapshot.Index
	} else if term, known := m.log.term(previous); !known || term != request.PreviousTerm {
		return false, min(previous-1, m.log.lastIndex())
	}
	for _, entry := range request.Entries {
		m.storeEntry(entry)
	}
	return true, previous + Index(len(request.Entries))
}

func (m *Machine) storeEntry(entry Entry) {
	term, known := m.log.term(entry.Index)
	if known && term == entry.Term {
		return
	}
	if known {
		if entry.Index <= m.commit {
			panic("agreement: a committed entry would be replaced")
		}
		m.log.truncate(entry.Index)
	}
	m.log.append(entry)
}

func (m *Machine) receiveSnapshot(now time.Duration, from ProcessID, message Message) {
	request := message.Snapshot
	reply := AppendReply{Sent: request.Sent}
	if message.Term < m.term {
		m.send(from, Message{Term: m.term, AppendReply: &reply})
		return
	}
	m.followLeader(now, from)
	snapshot := request.Snapshot
	if snapshot.Index > m.commit {
		m.installSnapshot(snapshot)
	}
	reply.Success = true
	reply.Match = snapshot.Index
	m.send(from, Message{Term: m.term, AppendReply: &reply})
}

func (m *Machine) installSnapshot(snapshot Snapshot) {
	m.log.install(snapshot)
	m.commit = snapshot.Index
	m.compacting = false
	m.emit(Effect{Kind: SnapshotInstalled, Snapshot: snapshot})
	m.emit(Effect{Kind: VotersChanged, Configuration: snapshot.Configuration.Clone()})
}

func (m *Machine) receiveAppendReply(now time.Duration, from ProcessID, message Message) {
	known := m.peers[from]
	if m.state != leader || message.Term != m.term || known == nil {
		return
	}
	reply := message.AppendReply
	known.contact = max(known.contact, reply.Sent)
	if !reply.Success {
		m.retreat(now, from, *reply)
		return
	}
	known.match = max(known.match, reply.Match)
	known.next = max(known.next, known.match+1)
	m.commitMajority(now)
	if m.state == leader && m.peers[from] != nil && known.next <= m.log.lastIndex() {
		m.replicate(now, from)
	}
}

// retreat goes back to an earlier entry for a peer that lacks the previous
// one. Replies to messages from before the last retreat tell nothing new; they
// are ignored, so that duplicated replies do not multiply messages.
func (m *Machine) retreat(now time.Duration, id ProcessID, reply AppendReply) {
	known := m.peers[id]
	if reply.Sent < known.retreated {
		return
	}
	known.retreated = now
	known.next = max(known.match, min(known.next-1, reply.Match)) + 1
	m.replicate(now, id)
}

// commitMajority commits the newest entry of the current term that a majority
// of the voters holds, and with it all before.
func (m *Machine) commitMajority(now time.Duration) {
	for index := m.log.lastIndex(); index > m.commit; index-- {
		if term, _ := m.log.term(index); term != m.term {
			return
		}
		if m.Voters().HasMajority(m.holds(index)) {
			m.emptyDone = true
			m.advanceCommit(index)
			m.leaveIfRemoved(now)
			return
		}
	}
}

func (m *Machine) holds(index Index) func(Member) bool {
	return func(member Member) bool {
		if member.ID == m.parameters.Self {
			return true
		}
		known := m.peers[member.ID]
		return known != nil && known.match >= index
	}
}

// leaveIfRemoved stops leading once a configuration without this process is
// committed.
func (m *Machine) leaveIfRemoved(now time.Duration) {
	committed, _ := m.log.configurationAt(m.commit)
	if !committed.Contains(m.parameters.Self) {
		m.becomeFollower(now, m.term)
	}
}
