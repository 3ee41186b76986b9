package agreement

// EffectKind tells what the caller of the machine has to do.
type EffectKind uint8

// The kinds of effects.
const (
	// Send transmits Message to the process To.
	Send EffectKind = iota
	// Committed applies Entry. Entries come in order of their index, each
	// once.
	Committed
	// Answered tells the proposer of ID its Answer.
	Answered
	// LeaderChanged names the leader now followed in Leader; the zero
	// identity means none.
	LeaderChanged
	// VotersChanged names the committed set of voters in Configuration.
	VotersChanged
	// SnapshotWanted asks for a call of Compact.
	SnapshotWanted
	// SnapshotInstalled replaces the applied state by Snapshot.
	SnapshotInstalled
)

// Answer is the outcome of a proposal.
type Answer uint8

// The outcomes of a proposal.
const (
	// AnswerCommitted: a majority of the voters holds the entry; it is never
	// lost while a majority of the voters at any time goes on. Whether the
	// change itself was taken is decided where the entry is applied.
	AnswerCommitted Answer = iota
	// AnswerRefused: the proposal is not in the log and has no effect.
	AnswerRefused
	// AnswerUnknown: the entry may or may not be committed. The same
	// proposal may be repeated with the same ID.
	AnswerUnknown
)

// String returns the answer in the form used in logs.
func (a Answer) String() string {
	names := [...]string{"committed", "refused", "unknown"}
	if int(a) < len(names) {
		return names[a]
	}
	return "invalid"
}

// RefusalReason tells why a proposal was refused.
type RefusalReason uint8

// The reasons for refusing a proposal.
const (
	RefusalNone RefusalReason = iota
	// RefusalNotLeader: another process leads, or none is known to.
	RefusalNotLeader
	// RefusalNoQuorum: too few voters have answered lately.
	RefusalNoQuorum
	// RefusalTooFewVoters: the set of voters is still being built.
	RefusalTooFewVoters
	// RefusalBusy: too many proposals are under way.
	RefusalBusy
	// RefusalTooLarge: the payload exceeds the limit.
	RefusalTooLarge
)

// String returns the reason in the form used in logs and as a metric label.
func (r RefusalReason) String() string {
	names := [...]string{"none", "not_leader", "no_quorum", "too_few_voters", "busy", "too_large"}
	if int(r) < len(names) {
		return names[r]
	}
	return "invalid"
}

// Effect is one thing that the caller of the machine has to do. Which fields
// are set depends on Kind.
type Effect struct {
	Kind          EffectKind
	To            ProcessID
	Message       Message
	Entry         Entry
	ID            ProposalID
	Answer        Answer
	Reason        RefusalReason
	Leader        ProcessID
	Configuration Configuration
	Snapshot      Snapshot
}
