// This file implements a Store backed by a log of changes.

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

// ProposalResult is the result of proposing a change to the log.
type ProposalResult struct {
	Status ProposalStatus
	// Reason is why the proposal was not committed.
	Reason string
	// RetryAfter, unless zero, is the delay after which a retry may succeed.
	RetryAfter time.Duration
	// Outcome is the outcome of the change of a committed proposal, if it is
	// known before this process applies the log entry.
	Outcome *changelog.Outcome
}

// ProposalStatus indicates whether a proposal was committed to the log.
type ProposalStatus uint8

// The statuses of a proposal.
const (
	// ProposalCommitted: the proposal is in the log. LogStore.Apply was called
	// with it or will be.
	ProposalCommitted ProposalStatus = iota
	// ProposalRefused: the proposal is not in the log and never will be.
	ProposalRefused
	// ProposalUndecided: the proposal may or may not be committed.
	ProposalUndecided
)

// Proposer appends changes to a log.
type Proposer interface {
	// Propose returns when the proposal is committed or refused, or when ctx
	// ends. The implementation must call LogStore.Apply with every committed
	// payload, in log order.
	Propose(ctx context.Context, id changelog.ChangeID, payload []byte) ProposalResult
}

// MemberLister lists the processes that forward traffic according to the table.
type MemberLister interface {
	Members() []Member
}

// LogStoreConfig holds the settings of a LogStore.
type LogStoreConfig struct {
	Limits   changelog.Limits
	Proposer Proposer
	Members  MemberLister
	// OnChange is called with each new table, one call at a time and in
	// version order.
	OnChange func(*table.Table)
}

// LogStore is a Store that holds the table built from the committed changes of a
// log. It is safe for concurrent use.
type LogStore struct {
	config LogStoreConfig

	mutex   sync.Mutex
	state   *changelog.State
	waiters map[changelog.ChangeID][]chan changelog.Outcome
	// undecided lists, oldest first, the latest changes for which Submit returned
	// without knowing the outcome. If the log refuses a retry of such a change,
	// the first proposal may still be committed and applied.
	undecided []changelog.ChangeID
}

// maxUndecided is the maximum number of changes in LogStore.undecided.
const maxUndecided = 1000

// NewLogStore returns a store with an empty table.
func NewLogStore(config LogStoreConfig) *LogStore {
	if config.OnChange == nil {
		config.OnChange = func(*table.Table) {}
	}
	return &LogStore{
		config:  config,
		state:   changelog.NewState(config.Limits),
		waiters: make(map[changelog.ChangeID][]chan changelog.Outcome),
	}
}

// Apply applies a committed payload. If the payload is not a valid encoding of a
// change, it fails and leaves the table unchanged.
func (s *LogStore) Apply(payload []byte) error {
	var change changelog.Change
	if rest, err := change.UnmarshalMsg(payload); err != nil || len(rest) > 0 {
		return errors.Errorf("cannot decode the committed payload of %d bytes as a change", len(payload))
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.state.Version()
	outcome := s.state.Apply(&change)
	for _, waiter := range s.waiters[change.ID] {
		waiter <- outcome
	}
	delete(s.waiters, change.ID)
	if s.state.Version() != before {
		s.config.OnChange(s.state.Table())
	}
	return nil
}

// ReplaceTable replaces the table by a newer one from the configuration service. It
// fails if the new table has no higher version or is invalid.
func (s *LogStore) ReplaceTable(record changelog.Record, newer *table.Table) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.state.ReplaceTable(record, newer); err != nil {
		return err
	}
	s.config.OnChange(s.state.Table())
	return nil
}

// Snapshot returns the encoded state, for InstallSnapshot in another process.
func (s *LogStore) Snapshot() ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Encode()
}

// InstallSnapshot replaces the state by one that Snapshot returned. It fails if the
// encoding is invalid or the snapshot is older than the current state.
func (s *LogStore) InstallSnapshot(encoded []byte) error {
	installed, err := changelog.Decode(s.config.Limits, encoded)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if installed.Version() < s.state.Version() {
		return errors.Errorf("snapshot of version %d is older than the current version %d", installed.Version(), s.state.Version())
	}
	changed := installed.Version() != s.state.Version()
	s.state = installed
	s.notifyWaiters()
	if changed {
		s.config.OnChange(s.state.Table())
	}
	return nil
}

// notifyWaiters sends the outcomes in an installed snapshot to the callers of
// Submit that wait for them. The caller must hold the mutex.
func (s *LogStore) notifyWaiters() {
	for id, channels := range s.waiters {
		outcome, known := s.state.Outcome(id)
		if !known {
			continue
		}
		for _, waiter := range channels {
			waiter <- outcome
		}
		delete(s.waiters, id)
	}
}

// Submit implements Store.
func (s *LogStore) Submit(ctx context.Context, change *changelog.Change) SubmitResult {
	if outcome, known := s.Outcome(change.ID); known {
		return SubmitResult{Decided: true, Outcome: outcome}
	}
	payload, err := change.MarshalMsg(nil)
	if err != nil {
		return SubmitResult{Reason: "cannot encode the change: " + err.Error()}
	}
	applied := s.addWaiter(change.ID)
	defer s.removeWaiter(change.ID, applied)
	result := s.config.Proposer.Propose(ctx, change.ID, payload)
	if result.Status == ProposalCommitted && result.Outcome != nil {
		return SubmitResult{Decided: true, Outcome: *result.Outcome}
	}
	if result.Status == ProposalCommitted {
		return s.awaitOutcome(ctx, change.ID, applied)
	}
	if result.Status == ProposalUndecided {
		s.rememberUndecided(change.ID)
	}
	return SubmitResult{MayApply: s.isUndecided(change.ID), Reason: result.Reason, RetryAfter: result.RetryAfter}
}

func (s *LogStore) awaitOutcome(ctx context.Context, id changelog.ChangeID, applied <-chan changelog.Outcome) SubmitResult {
	select {
	case outcome := <-applied:
		return SubmitResult{Decided: true, Outcome: outcome}
	case <-ctx.Done():
		s.rememberUndecided(id)
		return SubmitResult{MayApply: true, Reason: "the change is committed but not yet applied by this process"}
	}
}

func (s *LogStore) rememberUndecided(id changelog.ChangeID) {
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

func (s *LogStore) addWaiter(id changelog.ChangeID) chan changelog.Outcome {
	applied := make(chan changelog.Outcome, 1)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.waiters[id] = append(s.waiters[id], applied)
	return applied
}

func (s *LogStore) removeWaiter(id changelog.ChangeID, applied chan changelog.Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	remaining := slices.DeleteFunc(s.waiters[id], func(other chan changelog.Outcome) bool { return other == applied })
	if len(remaining) == 0 {
		delete(s.waiters, id)
		return
	}
	s.waiters[id] = remaining
}

// Preview implements Store. It applies the change to a copy of the state.
func (s *LogStore) Preview(change *changelog.Change) (Preview, error) {
	encoded, err := s.Snapshot()
	if err != nil {
		return Preview{}, err
	}
	scratch, err := changelog.Decode(s.config.Limits, encoded)
	if err != nil {
		return Preview{}, err
	}
	before := scratch.Version()
	preview := Preview{Outcome: scratch.Apply(change)}
	if scratch.Version() == before {
		return preview, nil
	}
	history := scratch.History()
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

// VersionStatus implements Store.
func (s *LogStore) VersionStatus(version table.Version) VersionStatusResponse {
	response := VersionStatusResponse{Version: version, NotReached: []string{}}
	response.Accepted = version != 0 && version <= s.version()
	for _, member := range s.Members() {
		if member.Version >= version {
			response.Reached++
			continue
		}
		response.NotReached = append(response.NotReached, member.Name)
	}
	return response
}

func (s *LogStore) version() table.Version {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Version()
}
