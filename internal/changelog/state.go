package changelog

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/table"
)

// identifierRule is the refusal for a change with an invalid identifier.
var identifierRule = fmt.Sprintf("identifier must have 1 to %d bytes", MaxTextLength)

// Limits bounds the outcomes and records in the state. All processes must use the
// same limits, since the state is deterministic.
type Limits struct {
	// Outcomes is the maximum number of recorded outcomes.
	Outcomes int
	// History is the maximum number of records of accepted changes.
	History int
}

// DefaultLimits returns limits that hold about a day of changes in each list.
func DefaultLimits() Limits { return Limits{Outcomes: 2000, History: 2000} }

// State holds the table with the outcomes and history of its changes. It is not
// safe for concurrent use. It never modifies a table that it has returned.
type State struct {
	limits   Limits
	snapshot Snapshot
	outcomes map[ChangeID]Outcome
}

// NewState returns a state with an empty table and no history.
func NewState(limits Limits) *State {
	return &State{limits: limits, outcomes: make(map[ChangeID]Outcome)}
}

// Table returns the current table. The caller must not modify it.
func (s *State) Table() *table.Table {
	current := s.snapshot.Table
	return &current
}

// Version returns the table version. Each accepted change increases it by one;
// ReplaceTable sets it to that of the new table.
func (s *State) Version() table.Version { return s.snapshot.Table.Version }

// ImportedRevision returns the last imported revision of the platform, zero if
// there is none.
func (s *State) ImportedRevision() Revision { return s.snapshot.Imported.Revision }

// History returns the records of the latest accepted changes, oldest first.
func (s *State) History() []Record { return slices.Clone(s.snapshot.History) }

// Outcome returns the recorded outcome of a change, if there is one.
func (s *State) Outcome(id ChangeID) (Outcome, bool) {
	outcome, known := s.outcomes[id]
	return outcome, known
}

// RowVersion returns the table version at which a row last changed, zero if the
// row has no recorded version.
func (s *State) RowVersion(id table.BackendID) table.Version {
	position, exists := s.rowPosition(id)
	if !exists {
		return 0
	}
	return s.snapshot.RowVersions[position].Version
}

// Apply applies a committed change and returns its outcome. For a change with a
// recorded outcome, it returns that outcome and does not apply the change again.
func (s *State) Apply(change *Change) Outcome {
	if outcome, known := s.outcomes[change.ID]; known {
		return outcome
	}
	if change.ID == "" || len(change.ID) > MaxTextLength {
		return refusedOutcome(change.ID, s.Version(), tableError("change", identifierRule))
	}
	if err := s.checkChange(change); err != nil {
		return s.refuse(change, err)
	}
	draft := s.newDraft()
	if err := draft.apply(change); err != nil {
		return s.refuse(change, err)
	}
	return s.accept(change, draft)
}

// checkChange checks the author, reason and version preconditions of a change.
func (s *State) checkChange(change *Change) error {
	if len(change.Author) > MaxTextLength || len(change.Reason) > MaxTextLength {
		return tableError("change", fmt.Sprintf("author and reason must have at most %d bytes", MaxTextLength))
	}
	if change.BaseVersion < s.snapshot.OutcomesDroppedThrough {
		return tableError("version", fmt.Sprintf(
			"change was made at %d, before the oldest remembered outcome at %d", change.BaseVersion, s.snapshot.OutcomesDroppedThrough))
	}
	if change.BaseVersion > s.Version() {
		return tableError("version", fmt.Sprintf("change was made at %d, is %d", change.BaseVersion, s.Version()))
	}
	if change.ExpectedVersion != 0 && change.ExpectedVersion != s.Version() {
		return tableError("version", fmt.Sprintf("expected %d, is %d", change.ExpectedVersion, s.Version()))
	}
	return s.checkRowPreconditions(change.ExpectedRows)
}

func (s *State) checkRowPreconditions(preconditions []RowPrecondition) error {
	for _, expected := range preconditions {
		if actual := s.RowVersion(expected.Backend); actual != expected.Version {
			return table.CellError{
				Row:    s.rowName(expected.Backend),
				Column: "version",
				Rule:   fmt.Sprintf("expected the row of version %d, is %d", expected.Version, actual),
			}
		}
	}
	return nil
}

func (s *State) rowName(id table.BackendID) string {
	row, _ := s.snapshot.Table.Backend(id)
	return rowName(row.Name, id)
}

func rowName(name string, id table.BackendID) string {
	return fmt.Sprintf("back end %q (%d)", name, id)
}

func serviceName(name string, id table.ServiceID) string {
	return fmt.Sprintf("service %q (%d)", name, id)
}

func tableError(column, rule string) table.CellError {
	return table.CellError{Row: "table", Column: column, Rule: rule}
}

func (s *State) refuse(change *Change, err error) Outcome {
	var violation table.CellError
	if !errors.As(err, &violation) {
		violation = tableError("change", err.Error())
	}
	outcome := refusedOutcome(change.ID, s.Version(), violation)
	s.rememberOutcome(outcome)
	return outcome
}

func refusedOutcome(id ChangeID, version table.Version, violation table.CellError) Outcome {
	refusal := Refusal{Row: violation.Row, Column: violation.Column, Rule: violation.Rule}
	return Outcome{ID: id, Version: version, Refusal: &refusal}
}

func (s *State) accept(change *Change, draft *draft) Outcome {
	before := s.snapshot.Table
	after := draft.table
	after.Version = before.Version + 1
	cells := diffTables(&before, after)
	s.snapshot.Table = *after
	s.snapshot.RetiredServices = draft.retired
	s.snapshot.Imported = draft.imported
	s.updateRowVersions(&before, after)
	s.appendRecord(Record{
		Version: after.Version, ID: change.ID,
		Author: change.Author, Timestamp: change.Timestamp, Reason: change.Reason, Cells: cells,
	})
	outcome := Outcome{ID: change.ID, Accepted: true, Version: after.Version}
	s.rememberOutcome(outcome)
	return outcome
}

func (s *State) appendRecord(record Record) {
	s.snapshot.History = append(s.snapshot.History, record)
	if excess := len(s.snapshot.History) - s.limits.History; excess > 0 {
		s.snapshot.History = slices.Delete(s.snapshot.History, 0, excess)
	}
}

// rememberOutcome records an outcome and drops the oldest ones above the limit. Changes
// with a base version older than a dropped outcome are refused from then on, so
// that a late retry cannot be applied a second time.
func (s *State) rememberOutcome(outcome Outcome) {
	s.snapshot.Outcomes = append(s.snapshot.Outcomes, outcome)
	s.outcomes[outcome.ID] = outcome
	for len(s.snapshot.Outcomes) > s.limits.Outcomes {
		dropped := s.snapshot.Outcomes[0]
		s.snapshot.OutcomesDroppedThrough = dropped.Version
		delete(s.outcomes, dropped.ID)
		s.snapshot.Outcomes = slices.Delete(s.snapshot.Outcomes, 0, 1)
	}
}

func (s *State) indexOutcomes() {
	s.outcomes = make(map[ChangeID]Outcome, len(s.snapshot.Outcomes))
	for _, outcome := range s.snapshot.Outcomes {
		s.outcomes[outcome.ID] = outcome
	}
}

// updateRowVersions sets the version of every new or modified row to the new table
// version.
func (s *State) updateRowVersions(before, after *table.Table) {
	old := indexBackends(before.Backends)
	for _, row := range after.Backends {
		if previous, existed := old[row.ID]; existed && previous == row {
			continue
		}
		s.setRowVersion(row.ID, after.Version)
	}
}

func (s *State) setRowVersion(id table.BackendID, version table.Version) {
	position, exists := s.rowPosition(id)
	if !exists {
		s.snapshot.RowVersions = slices.Insert(s.snapshot.RowVersions, position, RowVersion{Backend: id})
	}
	s.snapshot.RowVersions[position].Version = version
}

func (s *State) rowPosition(id table.BackendID) (position int, exists bool) {
	return slices.BinarySearchFunc(s.snapshot.RowVersions, id,
		func(row RowVersion, id table.BackendID) int { return cmp.Compare(row.Backend, id) })
}
