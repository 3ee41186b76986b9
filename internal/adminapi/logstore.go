// This file implements the Store on top of a log of changes.

package adminapi

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

// ProposalResult is what became of a proposal for the log.
type ProposalResult struct {
	Status ProposalStatus
	// Reason says why the proposal was not committed.
	Reason string
	// RetryAfter is, if not zero, when a repeat makes sense.
	RetryAfter time.Duration
	// Outcome is, for a committed proposal, what became of the change, if
	// that is known before the log reaches this process.
	Outcome *changelog.Outcome
}

// ProposalStatus tells whether a proposal is in the log.
type ProposalStatus uint8

// The statuses of a proposal.
const (
	// ProposalCommitted: the log holds the proposal; LogStore.Apply has been
	// called with it or will be.
	ProposalCommitted ProposalStatus = iota
	// ProposalRefused: the proposal is not in the log and never will be.
	ProposalRefused
	// ProposalUndecided: the proposal may or may not be committed.
	ProposalUndecided
)

// Proposer adds changes to a log.
type Proposer interface {
	// Propose returns when the proposal is decided or ctx ends. Whoever
	// implements it calls LogStore.Apply with every committed payload, in the
	// order of the log.
	Propose(ctx context.Context, id changelog.ChangeID, payload []byte) ProposalResult
}

// MemberLister knows the processes that forward by the table.
type MemberLister interface {
	Members() []Member
}

// LogStoreConfig holds the settings of a LogStore.
type LogStoreConfig struct {
	Limits   changelog.Limits
	Proposer Proposer
	Members  MemberLister
	// OnChange is called, one at a time and in the order of versions, with
	// each table that comes from a change.
	OnChange func(*table.Table)
}

// LogStore holds the table that the committed changes of a log lead to.
type LogStore struct {
	config LogStoreConfig

	mutex   sync.Mutex
	state   *changelog.State
	waiting map[changelog.ChangeID][]chan changelog.Outcome
	// undecided are the latest changes that were answered as undecided,
	// oldest first. A refusal of a repeat says nothing about the first
	// proposal.
	undecided []changelog.ChangeID
}

// maxUndecided bounds the remembered undecided changes.
const maxUndecided = 1000

// NewLogStore returns a store with an empty table.
func NewLogStore(config LogStoreConfig) *LogStore {
	if config.OnChange == nil {
		config.OnChange = func(*table.Table) {}
	}
	return &LogStore{
		config:  config,
		state:   changelog.NewState(config.Limits),
		waiting: make(map[changelog.ChangeID][]chan changelog.Outcome),
	}
}

// Apply applies a committed payload. It fails for a payload that is no change,
// which leaves the table as it is.
func (s *LogStore) Apply(payload []byte) error {
	var change changelog.Change
	if rest, err := change.UnmarshalMsg(payload); err != nil || len(rest) > 0 {
		return errors.Errorf("committed payload of %d bytes is not a change", len(payload))
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.state.Version()
	outcome := s.state.Apply(&change)
	for _, waiting := range s.waiting[change.ID] {
		waiting <- outcome
	}
	delete(s.waiting, change.ID)
	if s.state.Version() != before {
		s.config.OnChange(s.state.Table())
	}
	return nil
}

// ReplaceTable replaces the table by a newer one of the configuration service. It fails
// for one that is not newer or not valid.
func (s *LogStore) ReplaceTable(record changelog.Record, newer *table.Table) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.state.ReplaceTable(record, newer); err != nil {
		return err
	}
	s.config.OnChange(s.state.Table())
	return nil
}

// Snapshot returns the encoded state, for another process to install.
func (s *LogStore) Snapshot() ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Encode()
}

// InstallSnapshot replaces the state by one that Snapshot has returned. It fails for
// other text and for a state older than the one held.
func (s *LogStore) InstallSnapshot(encoded []byte) error {
	installed, err := changelog.Decode(s.config.Limits, encoded)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if installed.Version() < s.state.Version() {
		return errors.Errorf("snapshot of version %d is older than %d", installed.Version(), s.state.Version())
	}
	changed := installed.Version() != s.state.Version()
	s.state = installed
	s.answerWaiting()
	if changed {
		s.config.OnChange(s.state.Table())
	}
	return nil
}

// answerWaiting answers for the changes that came with a snapshot. The mutex
// must be held.
func (s *LogStore) answerWaiting() {
	for id, channels := range s.waiting {
		outcome, known := s.state.Outcome(id)
		if !known {
			continue
		}
		for _, waiting := range channels {
			waiting <- outcome
		}
		delete(s.waiting, id)
	}
}

// Submit implements Store.
func (s *LogStore) Submit(ctx context.Context, change *changelog.Change) SubmitResult {
	if outcome, known := s.Outcome(change.ID); known {
		return SubmitResult{Decided: true, Outcome: outcome}
	}
	payload, err := change.MarshalMsg(nil)
	if err != nil {
		return SubmitResult{Reason: "the change cannot be encoded: " + err.Error()}
	}
	applied := s.wait(change.ID)
	defer s.stopWaiting(change.ID, applied)
	decision := s.config.Proposer.Propose(ctx, change.ID, payload)
	if decision.Status == ProposalCommitted && decision.Outcome != nil {
		return SubmitResult{Decided: true, Outcome: *decision.Outcome}
	}
	if decision.Status == ProposalCommitted {
		return s.awaitOutcome(ctx, change.ID, applied)
	}
	if decision.Status == ProposalUndecided {
		s.noteUndecided(change.ID)
	}
	return SubmitResult{MayApply: s.isUndecided(change.ID), Reason: decision.Reason, RetryAfter: decision.RetryAfter}
}

func (s *LogStore) awaitOutcome(ctx context.Context, id changelog.ChangeID, applied <-chan changelog.Outcome) SubmitResult {
	select {
	case outcome := <-applied:
		return SubmitResult{Decided: true, Outcome: outcome}
	case <-ctx.Done():
		s.noteUndecided(id)
		return SubmitResult{MayApply: true, Reason: "the change is committed and not applied here yet"}
	}
}

func (s *LogStore) noteUndecided(id changelog.ChangeID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if slices.Contains(s.undecided, id) {
		return
	}
	s.undecided = append(s.undecided, id)
	if excess := len(s.undecided) - maxUndecided; excess > 0 {
		s.undecided = slices.Delete(s.undecided, 0, excess)
	}
}

func (s *LogStore) isUndecided(id changelog.ChangeID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Contains(s.undecided, id)
}

func (s *LogStore) wait(id changelog.ChangeID) chan changelog.Outcome {
	applied := make(chan changelog.Outcome, 1)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.waiting[id] = append(s.waiting[id], applied)
	return applied
}

func (s *LogStore) stopWaiting(id changelog.ChangeID, applied chan changelog.Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	left := slices.DeleteFunc(s.waiting[id], func(other chan changelog.Outcome) bool { return other == applied })
	if len(left) == 0 {
		delete(s.waiting, id)
		return
	}
	s.waiting[id] = left
}

// Preview implements Store. It works on a copy of the state.
func (s *LogStore) Preview(change *changelog.Change) (Preview, error) {
	encoded, err := s.Snapshot()
	if err != nil {
		return Preview{}, err
	}
	trial, err := changelog.Decode(s.config.Limits, encoded)
	if err != nil {
		return Preview{}, err
	}
	before := trial.Version()
	preview := Preview{Outcome: trial.Apply(change)}
	if trial.Version() == before {
		return preview, nil
	}
	history := trial.History()
	preview.Cells = history[len(history)-1].Cells
	return preview, nil
}

// Outcome implements Store.
func (s *LogStore) Outcome(id changelog.ChangeID) (changelog.Outcome, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Outcome(id)
}

// Table implements Store.
func (s *LogStore) Table() VersionedTable {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := VersionedTable{Table: s.state.Table()}
	for _, row := range current.Table.Backends {
		current.RowVersions = append(current.RowVersions, RowVersion{row.ID, s.state.RowVersion(row.ID)})
	}
	return current
}

// History implements Store.
func (s *LogStore) History() []changelog.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.History()
}

// Members implements Store.
func (s *LogStore) Members() []Member { return s.config.Members.Members() }

// Reached implements Store.
func (s *LogStore) VersionStatus(version table.Version) VersionStatusResponse {
	answer := VersionStatusResponse{Version: version, NotReached: []string{}}
	answer.Accepted = version != 0 && version <= s.version()
	for _, member := range s.Members() {
		if member.Version >= version {
			answer.Reached++
			continue
		}
		answer.NotReached = append(answer.NotReached, member.Name)
	}
	return answer
}

func (s *LogStore) version() table.Version {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Version()
}
