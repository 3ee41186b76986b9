package agreement

import "time"

//go:generate go tool msgp -tests=false

// A forged length must not make the decoder allocate without bound. Payloads and
// states may be larger than the limit for arrays.
//
//msgp:limit arrays:65536

//msgp:tuple Entry Snapshot VoteRequest VoteReply AppendRequest AppendReply SnapshotRequest Message

// ProposalID identifies a proposal; its proposer chooses it.
type ProposalID string

// EntryKind tells what an entry of the log carries.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryEmpty is what a new leader commits first.
	EntryEmpty EntryKind = iota
	// EntryProposal carries the payload of a proposal.
	EntryProposal
	// EntryConfiguration changes the set of voters.
	EntryConfiguration
)

// Entry is one position of the log.
type Entry struct {
	Index         Index
	Term          Term
	Kind          EntryKind
	ID            ProposalID
	Payload       []byte `msg:"Payload,limit=67108864"`
	Configuration *Configuration
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index         Index
	Term          Term
	Configuration Configuration
	// State is the encoded state after the entry at Index was applied.
	State []byte `msg:"State,limit=67108864"`
}

// VoteRequest asks for a vote in the term of the message, or, if Preliminary,
// whether the vote would be granted.
type VoteRequest struct {
	Preliminary bool
	// Reform asks every process, not only voters.
	Reform    bool
	LastIndex Index
	LastTerm  Term
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Preliminary bool
	Granted     bool
	// Removed tells the candidate that a newer configuration does not
	// contain it.
	Removed bool
}

// AppendRequest carries entries that follow the one at PreviousIndex; without
// entries it is a heartbeat.
type AppendRequest struct {
	PreviousIndex Index
	PreviousTerm  Term
	Commit        Index
	Entries       []Entry
	// Sent is the leader's time of sending, returned in the reply.
	Sent time.Duration
}

// AppendReply answers an AppendRequest or a SnapshotRequest.
type AppendReply struct {
	Success bool
	// Match is the last index known to agree with the leader if Success, and
	// otherwise the index to try next as PreviousIndex.
	Match Index
	Sent  time.Duration
}

// SnapshotRequest carries the snapshot to a process that lacks entries which
// the leader has compacted.
type SnapshotRequest struct {
	Snapshot Snapshot
	Sent     time.Duration
}

// Message is what processes send each other. Exactly one of the pointers is
// set.
type Message struct {
	Term        Term
	Vote        *VoteRequest
	VoteReply   *VoteReply
	Append      *AppendRequest
	AppendReply *AppendReply
	Snapshot    *SnapshotRequest
}
