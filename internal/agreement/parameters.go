package agreement

import "time"

// Parameters configures a Machine. All durations are positive.
type Parameters struct {
	// Self is the identity of this process.
	Self ProcessID
	// Zone is the zone of this process.
	Zone Zone
	// Seed makes the random delays of this process differ from others'.
	Seed uint64
	// Replicas and Witnesses are the numbers of voters aimed at.
	Replicas  int
	Witnesses int
	// MinimumVoters and MinimumZones must be reached by the voters before
	// proposals are taken.
	MinimumVoters int
	MinimumZones  int
	// Heartbeat is the time between heartbeats to replicas.
	Heartbeat time.Duration
	// WitnessHeartbeat is the time between heartbeats to witnesses.
	WitnessHeartbeat time.Duration
	// ElectionTimeout is how long the first replica waits for the leader
	// before standing for election.
	ElectionTimeout time.Duration
	// ElectionStagger is added for each further replica in order.
	ElectionStagger time.Duration
	// ElectionRound bounds the wait for votes.
	ElectionRound time.Duration
	// VoteResend is when vote requests that were not granted are repeated.
	VoteResend time.Duration
	// VoteSilence is the time without a leader after which a voter would
	// grant its vote to another.
	VoteSilence time.Duration
	// WitnessDelay is how long witnesses wait for the leader before standing
	// for election.
	WitnessDelay time.Duration
	// ReformDelay is the least time without a leader, for a process that has
	// heard one, before it attempts a re-formation, and the first delay
	// between attempts.
	ReformDelay time.Duration
	// ReformRound bounds the wait for the votes of all machines.
	ReformRound time.Duration
	// QuorumTimeout is the time without answers from a majority after which
	// a leader takes no proposals; after twice the time it stops leading.
	QuorumTimeout time.Duration
	// ProposalTimeout is when an undecided proposal is answered as unknown.
	ProposalTimeout time.Duration
	// SnapshotEntries is the number of applied entries kept before a
	// snapshot is wanted.
	SnapshotEntries int
	// MaximumPending bounds the undecided proposals.
	MaximumPending int
	// MaximumPayload bounds the payload of a proposal, in bytes.
	MaximumPayload int
	// BatchBytes bounds the entries of one message, in bytes, unless a
	// single entry is larger.
	BatchBytes int
}

// DefaultParameters returns the parameters for links of up to 150 ms one way
// between regions.
func DefaultParameters(self ProcessID, zone Zone) Parameters {
	return Parameters{
		Self:             self,
		Zone:             zone,
		Seed:             uint64(self.Machine)<<32 ^ self.Start,
		Replicas:         5,
		Witnesses:        28,
		MinimumVoters:    5,
		MinimumZones:     3,
		Heartbeat:        400 * time.Millisecond,
		WitnessHeartbeat: 2 * time.Second,
		ElectionTimeout:  time.Second,
		ElectionStagger:  250 * time.Millisecond,
		ElectionRound:    700 * time.Millisecond,
		VoteResend:       250 * time.Millisecond,
		VoteSilence:      700 * time.Millisecond,
		WitnessDelay:     4 * time.Second,
		ReformDelay:      30 * time.Second,
		ReformRound:      2 * time.Second,
		QuorumTimeout:    1200 * time.Millisecond,
		ProposalTimeout:  5 * time.Second,
		SnapshotEntries:  256,
		MaximumPending:   256,
		MaximumPayload:   1 << 20,
		BatchBytes:       32 << 10,
	}
}

// TickInterval returns how often Tick should be called.
func TickInterval() time.Duration { return 50 * time.Millisecond }
