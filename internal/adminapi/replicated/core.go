// This file implements the deciding part as a deterministic state machine.

package replicated

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/agreement"
	"github.com/vanetiller/vanetiller/internal/changelog"
)

// Machine is the part of agreement.Machine that a Core drives.
type Machine interface {
	Tick(now time.Duration) []agreement.Effect
	Receive(now time.Duration, from agreement.ProcessID, message agreement.Message) []agreement.Effect
	Propose(now time.Duration, id agreement.ProposalID, payload []byte) []agreement.Effect
	MemberUp(now time.Duration, id agreement.ProcessID, zone agreement.Zone) []agreement.Effect
	MemberDown(now time.Duration, id agreement.ProcessID) []agreement.Effect
	Compact(index agreement.Index, encoded []byte)
	Leader() agreement.ProcessID
}

// State is what the committed changes are applied to; adminapi.LogStore is
// one.
type State interface {
	Apply(payload []byte) error
	Outcome(id changelog.ChangeID) (changelog.Outcome, bool)
	Snapshot() ([]byte, error)
	Install(encoded []byte) error
}

const (
	// DecisionTimeout is when a proposal without a decision is answered as
	// undecided. It is longer than the leader takes to answer so itself.
	DecisionTimeout = 7 * time.Second
	// rememberTime is how long a leader remembers attempts, so that a copy of
	// a message is not a further proposal.
	rememberTime = 2 * DecisionTimeout
	// retryTime is when a refused change may be repeated: within it, a new
	// leader is normally found.
	retryTime = 3 * time.Second
	// maxRemembered bounds the attempts that a leader remembers.
	maxRemembered = 4096
)

// EffectKind tells what the caller of a Core has to do.
type EffectKind uint8

// The kinds of effects.
const (
	// Send transmits Message to the process To.
	Send EffectKind = iota
	// Decided gives the Decision on the Attempt of this process.
	Decided
)

// Effect is one thing that the caller of a Core has to do. Which fields are
// set depends on Kind.
type Effect struct {
	Kind     EffectKind
	To       agreement.ProcessID
	Message  Message
	Attempt  Attempt
	Decision adminapi.Decision
}

// ownAttempt is a proposal of this process without a decision.
type ownAttempt struct {
	attempt  Attempt
	deadline time.Duration
}

// takenAttempt is a proposal of any process that this process, as the leader,
// has handed to the log.
type takenAttempt struct {
	origin   agreement.ProcessID
	attempt  Attempt
	id       changelog.ChangeID
	expires  time.Duration
	decided  bool
	decision adminapi.Decision
}

// Core passes changes to the log. It is not safe for concurrent use. The
// effects that its methods return are valid until the next call.
type Core struct {
	self    agreement.ProcessID
	machine Machine
	state   State

	attempts Attempt
	own      []ownAttempt
	taken    []takenAttempt
	// leaderHint is used while the machine follows no leader.
	leaderHint agreement.ProcessID
	applied    agreement.Index
	effects    []Effect
}

// NewCore returns a core of the process with the given identity.
func NewCore(self agreement.ProcessID, machine Machine, state State) *Core {
	return &Core{self: self, machine: machine, state: state}
}

// Propose hands a change to the log and returns the number of the attempt,
// which a Decided effect will have.
func (c *Core) Propose(now time.Duration, id changelog.ChangeID, payload []byte) (Attempt, []Effect) {
	c.effects = c.effects[:0]
	c.attempts++
	c.own = append(c.own, ownAttempt{attempt: c.attempts, deadline: now + DecisionTimeout})
	proposal := Proposal{Attempt: c.attempts, ID: id, Payload: payload}
	leader := c.leader()
	switch leader {
	case agreement.ProcessID{}:
		c.decide(c.attempts, refused("no leader is known"))
	case c.self:
		c.take(now, c.self, proposal)
	default:
		c.send(leader, Message{Proposal: &proposal})
	}
	return c.attempts, c.effects
}

// leader returns the process to propose to, the zero identity if none.
func (c *Core) leader() agreement.ProcessID {
	if leader := c.machine.Leader(); leader != (agreement.ProcessID{}) {
		return leader
	}
	return c.leaderHint
}

// HintLeader names a leader that other processes know of. A process that is no
// voter hears nothing of the leader itself.
func (c *Core) HintLeader(leader agreement.ProcessID) { c.leaderHint = leader }

// Tick handles timeouts.
func (c *Core) Tick(now time.Duration) []Effect {
	c.effects = c.effects[:0]
	c.perform(c.machine.Tick(now))
	c.own = slices.DeleteFunc(c.own, func(waiting ownAttempt) bool {
		if now < waiting.deadline {
			return false
		}
		c.emitDecision(waiting.attempt, undecided("the leader has not answered"))
		return true
	})
	c.taken = slices.DeleteFunc(c.taken, func(taken takenAttempt) bool { return now >= taken.expires })
	return c.effects
}

// Receive handles a message of another process.
func (c *Core) Receive(now time.Duration, from agreement.ProcessID, message Message) []Effect {
	c.effects = c.effects[:0]
	switch {
	case message.Agreement != nil:
		c.perform(c.machine.Receive(now, from, *message.Agreement))
	case message.Proposal != nil:
		c.take(now, from, *message.Proposal)
	case message.Decision != nil:
		c.decide(message.Decision.Attempt, decisionOf(*message.Decision))
	}
	return c.effects
}

// MemberUp passes on that a process runs.
func (c *Core) MemberUp(now time.Duration, id agreement.ProcessID, zone agreement.Zone) []Effect {
	c.effects = c.effects[:0]
	c.perform(c.machine.MemberUp(now, id, zone))
	return c.effects
}

// MemberDown passes on that a process has ended or cannot be reached.
func (c *Core) MemberDown(now time.Duration, id agreement.ProcessID) []Effect {
	c.effects = c.effects[:0]
	c.perform(c.machine.MemberDown(now, id))
	return c.effects
}

// take hands a proposal to the log, unless it is a copy of one taken before.
func (c *Core) take(now time.Duration, origin agreement.ProcessID, proposal Proposal) {
	position := slices.IndexFunc(c.taken, func(t takenAttempt) bool {
		return t.origin == origin && t.attempt == proposal.Attempt
	})
	if position >= 0 {
		if copied := c.taken[position]; copied.decided {
			c.answer(copied)
		}
		return
	}
	taken := takenAttempt{origin: origin, attempt: proposal.Attempt, id: proposal.ID, expires: now + rememberTime}
	if reason := c.unfit(proposal); reason != "" {
		taken.decided, taken.decision = true, refused(reason)
		c.answer(taken)
		return
	}
	c.taken = append(c.taken, taken)
	proposed := slices.Clone(c.machine.Propose(now, agreement.ProposalID(proposal.ID), proposal.Payload))
	if refusal, isRefused := refusalOf(proposed); isRefused {
		c.refuse(len(c.taken)-1, refusal)
		return
	}
	c.perform(proposed)
}

// unfit returns why a proposal cannot be handed to the log, or nothing.
func (c *Core) unfit(proposal Proposal) string {
	if len(c.taken) >= maxRemembered {
		return "too many changes are under way"
	}
	var change changelog.Change
	rest, err := change.UnmarshalMsg(proposal.Payload)
	if err != nil || len(rest) > 0 || change.ID != proposal.ID {
		return "the proposal is not a change"
	}
	return ""
}

func refusalOf(effects []agreement.Effect) (agreement.RefusalReason, bool) {
	for _, effect := range effects {
		if effect.Kind == agreement.Answered && effect.Answer == agreement.AnswerRefused {
			return effect.Reason, true
		}
	}
	return agreement.RefusalNone, false
}

// refuse decides on one attempt that the log has refused. If an earlier
// attempt of the same change is under way, the change may still be applied.
func (c *Core) refuse(position int, reason agreement.RefusalReason) {
	taken := &c.taken[position]
	taken.decision = refused("the log refuses the change: " + reason.String())
	for index, other := range c.taken {
		if index != position && other.id == taken.id && !other.decided {
			taken.decision = undecided("an earlier attempt is under way")
		}
	}
	taken.decided = true
	c.answer(*taken)
}

// perform does what the machine asks for.
func (c *Core) perform(effects []agreement.Effect) {
	for _, effect := range slices.Clone(effects) {
		switch effect.Kind {
		case agreement.Send:
			message := effect.Message
			c.send(effect.To, Message{Agreement: &message})
		case agreement.Committed:
			c.apply(effect.Entry)
		case agreement.Answered:
			c.decideTaken(effect)
		case agreement.SnapshotWanted:
			c.compact()
		case agreement.SnapshotInstalled:
			c.install(effect.Snapshot)
		}
	}
}

func (c *Core) apply(entry agreement.Entry) {
	c.applied = entry.Index
	if entry.Kind != agreement.EntryProposal {
		return
	}
	if err := c.state.Apply(entry.Payload); err != nil {
		panic("replicated: committed entry cannot be applied: " + err.Error())
	}
}

func (c *Core) compact() {
	encoded, err := c.state.Snapshot()
	if err != nil {
		panic("replicated: state cannot be encoded: " + err.Error())
	}
	c.machine.Compact(c.applied, encoded)
}

func (c *Core) install(snapshot agreement.Snapshot) {
	if err := c.state.Install(snapshot.State); err != nil {
		panic("replicated: snapshot cannot be installed: " + err.Error())
	}
	c.applied = snapshot.Index
}

// decideTaken decides on all attempts of a change that the log has answered.
func (c *Core) decideTaken(answered agreement.Effect) {
	id := changelog.ChangeID(answered.ID)
	decision := undecided("the leader lost its majority before the decision")
	if answered.Answer == agreement.AnswerCommitted {
		decision = adminapi.Decision{Status: adminapi.ProposalCommitted}
		if outcome, known := c.state.Outcome(id); known {
			decision.Outcome = &outcome
		}
	}
	for index := range c.taken {
		taken := &c.taken[index]
		if taken.id != id || taken.decided {
			continue
		}
		taken.decided, taken.decision = true, decision
		c.answer(*taken)
	}
}

// answer tells the origin of an attempt the decision.
func (c *Core) answer(taken takenAttempt) {
	if taken.origin == c.self {
		c.decide(taken.attempt, taken.decision)
		return
	}
	c.send(taken.origin, Message{Decision: &Decision{
		Attempt:    taken.attempt,
		Status:     Status(taken.decision.Status),
		Reason:     taken.decision.Reason,
		RetryAfter: taken.decision.RetryAfter,
		Outcome:    taken.decision.Outcome,
	}})
}

// decide ends an attempt of this process, unless it has ended.
func (c *Core) decide(attempt Attempt, decision adminapi.Decision) {
	position := slices.IndexFunc(c.own, func(own ownAttempt) bool { return own.attempt == attempt })
	if position < 0 {
		return
	}
	c.own = slices.Delete(c.own, position, position+1)
	c.emitDecision(attempt, decision)
}

func (c *Core) emitDecision(attempt Attempt, decision adminapi.Decision) {
	c.effects = append(c.effects, Effect{Kind: Decided, Attempt: attempt, Decision: decision})
}

func (c *Core) send(to agreement.ProcessID, message Message) {
	c.effects = append(c.effects, Effect{Kind: Send, To: to, Message: message})
}

func refused(reason string) adminapi.Decision {
	return adminapi.Decision{Status: adminapi.ProposalRefused, Reason: reason, RetryAfter: retryTime}
}

func undecided(reason string) adminapi.Decision {
	return adminapi.Decision{Status: adminapi.ProposalUndecided, Reason: reason, RetryAfter: retryTime}
}

// decisionOf converts a received decision. An unknown status decides nothing.
func decisionOf(received Decision) adminapi.Decision {
	decision := adminapi.Decision{
		Status:     adminapi.ProposalStatus(received.Status),
		Reason:     received.Reason,
		RetryAfter: received.RetryAfter,
		Outcome:    received.Outcome,
	}
	if decision.Status > adminapi.ProposalUndecided {
		decision.Status = adminapi.ProposalUndecided
	}
	return decision
}
