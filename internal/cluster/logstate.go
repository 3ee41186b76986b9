// This file implements the state that the committed changes of the log lead
// to, on a voter.

package cluster

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/table"
)

// maximumKeptDeltas bounds the deltas that a voter keeps until they are
// published.
const maximumKeptDeltas = 256

// logState is a replicated.State. It is apart from the table that the daemon
// serves: a version may arrive by dissemination before the voter learns that
// it is committed, and changes that are refused depend on the order of the
// log. It is safe for concurrent use.
type logState struct {
	limits changelog.Limits
	// advanced is called, without locks, when the version rises.
	advanced func()

	mutex sync.Mutex
	state *changelog.State
	// deltas are consecutive; the last one leads to the version of the state.
	deltas []dissemination.Delta
}

func newLogState(limits changelog.Limits, advanced func()) *logState {
	return &logState{limits: limits, advanced: advanced, state: changelog.NewState(limits)}
}

// Apply implements replicated.State.
func (s *logState) Apply(payload []byte) error {
	var change changelog.Change
	if rest, err := change.UnmarshalMsg(payload); err != nil || len(rest) > 0 {
		return errors.Errorf("committed payload of %d bytes is not a change", len(payload))
	}
	if s.apply(&change, payload) {
		s.advanced()
	}
	return nil
}

func (s *logState) apply(change *changelog.Change, payload []byte) (risen bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.state.Version()
	s.state.Apply(change)
	if s.state.Version() == before {
		return false
	}
	s.deltas = append(s.deltas, dissemination.Delta{Version: s.state.Version(), Payload: payload})
	if excess := len(s.deltas) - maximumKeptDeltas; excess > 0 {
		s.deltas = s.deltas[excess:]
	}
	return true
}

// Outcome implements replicated.State.
func (s *logState) Outcome(id changelog.ChangeID) (changelog.Outcome, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Outcome(id)
}

// Snapshot implements replicated.State.
func (s *logState) Snapshot() ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Encode()
}

// Install implements replicated.State.
func (s *logState) Install(encoded []byte) error {
	installed, err := changelog.Decode(s.limits, encoded)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	s.state = installed
	s.deltas = nil
	s.mutex.Unlock()
	s.advanced()
	return nil
}

// version returns the version that the log has led to.
func (s *logState) version() table.Version {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Version()
}

// importedRevision returns the platform's revision imported last.
func (s *logState) importedRevision() changelog.Revision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.ImportedRevision()
}

// after returns the deltas after a version. It returns false if some are not
// kept.
func (s *logState) after(version table.Version) ([]dissemination.Delta, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	missing := int(s.state.Version()) - int(version)
	if missing <= 0 {
		return nil, true
	}
	if missing > len(s.deltas) {
		return nil, false
	}
	return append([]dissemination.Delta(nil), s.deltas[len(s.deltas)-missing:]...), true
}
