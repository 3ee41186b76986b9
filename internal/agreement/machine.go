package agreement

import (
	"math/rand/v2"
	"slices"
	"time"
)

// state is what this process does in the current term.
type state uint8

const (
	follower state = iota
	precandidate
	candidate
	leader
)

// Machine is one process's part in the agreement. It is not safe for
// concurrent use.
type Machine struct {
	parameters Parameters
	random     *rand.Rand

	// Raft's state. Nothing is stored: its loss ends the identity.
	state    state
	term     Term
	votedFor ProcessID
	log      entryLog
	commit   Index

	// As a follower.
	leader       ProcessID
	leaderHeard  time.Duration
	electionTime time.Duration

	// As a candidate: the term asked about and who has granted the vote.
	askedTerm  Term
	votes      map[ProcessID]bool
	resendTime time.Duration

	// For a re-formation.
	listed         []uint32
	reforming      bool
	reformTime     time.Duration
	reformAttempts int

	// As a leader.
	peers     map[ProcessID]*peer
	pending   []proposal
	learner   ProcessID
	quorumAt  time.Duration
	emptyDone bool

	fleet      *fleet
	compacting bool
	effects    []Effect
}

// New returns a machine that belongs to no configuration yet. It takes part
// once a leader has added it.
func New(now time.Duration, parameters Parameters) *Machine {
	machine := &Machine{
		parameters: parameters,
		random:     rand.New(rand.NewPCG(parameters.Seed, uint64(parameters.Self.Machine))),
		fleet:      newFleet(),
	}
	machine.fleet.up(parameters.Self, parameters.Zone)
	machine.resetElectionTime(now)
	machine.resetReformTime(now)
	return machine
}

// Found makes this process the only voter of a new log. It must be called
// once in the life of a fleet, when no process of it knows of a log; see
// docs/design/0004-agreement.md. It does nothing if a log is known. The
// returned effects are valid until the next call.
func (m *Machine) Found(now time.Duration, state []byte) []Effect {
	m.begin()
	if m.log.lastIndex() > 0 {
		return m.effects
	}
	self := Member{ID: m.parameters.Self, Zone: m.parameters.Zone, Role: RoleReplica}
	m.log.install(Snapshot{Index: 1, Term: 1, Configuration: Configuration{Members: []Member{self}}, State: state})
	m.term = 1
	m.commit = 1
	m.startElection(now)
	return m.effects
}

// Tick handles timeouts. The returned effects are valid until the next call.
func (m *Machine) Tick(now time.Duration) []Effect {
	m.begin()
	switch {
	case m.state == leader:
		m.tickLeader(now)
	case m.reformDue(now):
		m.startReform(now)
	case now >= m.electionTime:
		m.electionTimedOut(now)
	case m.state != follower && now >= m.resendTime:
		m.sendVoteRequests(now, m.state == precandidate)
	}
	return m.effects
}

// Receive handles a message from another process. The returned effects are
// valid until the next call.
func (m *Machine) Receive(now time.Duration, from ProcessID, message Message) []Effect {
	m.begin()
	if from == m.parameters.Self {
		return m.effects
	}
	if message.Vote != nil && message.Vote.Preliminary {
		m.receivePreliminaryVote(now, from, message)
		return m.effects
	}
	m.observeTerm(now, message)
	switch {
	case message.Vote != nil:
		m.receiveVote(now, from, message)
	case message.VoteReply != nil:
		m.receiveVoteReply(now, from, message)
	case message.Append != nil:
		m.receiveAppend(now, from, message)
	case message.AppendReply != nil:
		m.receiveAppendReply(now, from, message)
	case message.Snapshot != nil:
		m.receiveSnapshot(now, from, message)
	}
	return m.effects
}

// MemberUp tells the machine that a process runs in a zone. A later process
// of the same machine replaces an earlier one. The returned effects are valid
// until the next call.
func (m *Machine) MemberUp(now time.Duration, id ProcessID, zone Zone) []Effect {
	m.begin()
	m.fleet.up(id, zone)
	return m.effects
}

// MemberDown tells the machine that a process has ended or cannot be reached.
// A voter that is down is replaced. The returned effects are valid until the
// next call.
func (m *Machine) MemberDown(now time.Duration, id ProcessID) []Effect {
	m.begin()
	if id != m.parameters.Self {
		m.fleet.down(id)
	}
	return m.effects
}

// Compact gives the state after the entry at index was applied, so that
// entries up to it may be forgotten. An index that is not committed or already
// compacted is ignored.
func (m *Machine) Compact(index Index, encoded []byte) {
	m.compacting = false
	if index <= m.log.snapshot.Index || index > m.commit {
		return
	}
	m.log.compact(index, encoded)
}

// Leader returns the leader followed, the zero identity if none.
func (m *Machine) Leader() ProcessID { return m.leader }

// Leads reports whether this process leads and has answers from a majority
// lately.
func (m *Machine) Leads(now time.Duration) bool {
	return m.state == leader && m.hasQuorum(now)
}

// Term returns the newest term known.
func (m *Machine) Term() Term { return m.term }

// CommitIndex returns the last index known to be committed.
func (m *Machine) CommitIndex() Index { return m.commit }

// LogLength returns the number of entries in memory.
func (m *Machine) LogLength() int { return len(m.log.entries) }

// Voters returns the newest configuration known, committed or not.
func (m *Machine) Voters() Configuration {
	return m.log.voters
}

// begin starts a call with no effects.
func (m *Machine) begin() { m.effects = m.effects[:0] }

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) send(to ProcessID, message Message) {
	m.emit(Effect{Kind: Send, To: to, Message: message})
}

func (m *Machine) setLeader(id ProcessID) {
	if m.leader == id {
		return
	}
	m.leader = id
	m.emit(Effect{Kind: LeaderChanged, Leader: id})
}

// observeTerm follows a newer term. A reply to a preliminary vote that was
// granted carries the term asked about, which has not begun.
func (m *Machine) observeTerm(now time.Duration, message Message) {
	granted := message.VoteReply != nil && message.VoteReply.Preliminary && message.VoteReply.Granted
	if message.Term > m.term && !granted {
		m.becomeFollower(now, message.Term)
	}
}

func (m *Machine) becomeFollower(now time.Duration, term Term) {
	if m.state == leader {
		m.abandonPending()
	}
	if term > m.term {
		m.term = term
		m.votedFor = ProcessID{}
		m.setLeader(ProcessID{})
	}
	if m.leader == m.parameters.Self {
		m.setLeader(ProcessID{})
	}
	m.state = follower
	m.peers = nil
	m.learner = ProcessID{}
	m.resetElectionTime(now)
}

// abandonPending answers every undecided proposal as unknown.
func (m *Machine) abandonPending() {
	for _, undecided := range m.pending {
		m.emit(Effect{Kind: Answered, ID: undecided.id, Answer: AnswerUnknown})
	}
	m.pending = nil
}

// advanceCommit emits the entries up to the index.
func (m *Machine) advanceCommit(index Index) {
	for m.commit < min(index, m.log.lastIndex()) {
		m.commit++
		entry := *m.log.at(m.commit)
		m.emit(Effect{Kind: Committed, Entry: entry})
		if entry.Kind == EntryConfiguration {
			m.emit(Effect{Kind: VotersChanged, Configuration: entry.Configuration.Clone()})
		}
		m.answerCommitted(entry)
	}
	applied := int(m.commit - m.log.snapshot.Index)
	if applied >= m.parameters.SnapshotEntries && !m.compacting {
		m.compacting = true
		m.emit(Effect{Kind: SnapshotWanted})
	}
}

func (m *Machine) answerCommitted(entry Entry) {
	position := slices.IndexFunc(m.pending, func(p proposal) bool { return p.index == entry.Index })
	if position < 0 {
		return
	}
	m.emit(Effect{Kind: Answered, ID: m.pending[position].id, Answer: AnswerCommitted})
	m.pending = slices.Delete(m.pending, position, position+1)
}
