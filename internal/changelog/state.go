package changelog

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/table"
)

// identifierRule is the rule for the identifier of a change.
var identifierRule = fmt.Sprintf("identifier must have 1 to %d bytes", MaximumTextLength)

// Limits bounds what the state remembers. All processes use the same limits.
type Limits struct {
	// Outcomes is the number of changes whose outcome is remembered.
	Outcomes int
	// History is the number of accepted changes whose record is kept.
	History int
}

// DefaultLimits covers about a day of changes in each list.
func DefaultLimits() Limits { return Limits{Outcomes: 2000, History: 2000} }

// State is the table with the outcomes and history of its changes. It is not
// safe for concurrent use; a table it has returned is never changed.
type State struct {
	limits   Limits
	snapshot Snapshot
	outcomes map[ChangeID]Outcome
}

// NewState returns the state before the first change.
func NewState(limits Limits) *State {
	return &State{limits: limits, outcomes: make(map[ChangeID]Outcome)}
}

// Table returns the current table. The caller must not change it.
func (s *State) Table() *table.Table {
	current := s.snapshot.Table
	return &current
}

// Version returns the number of accepted changes.
func (s *State) Version() table.Version { return s.snapshot.Table.Version }

// ImportedRevision returns the platform's revision imported last, zero if
// none.
func (s *State) ImportedRevision() Revision { return s.snapshot.Imported.Revision }

// History returns the records of the latest accepted changes, oldest first.
func (s *State) History() []Record { return slices.Clone(s.snapshot.History) }

// Outcome returns what became of a change, if that is remembered.
func (s *State) Outcome(id ChangeID) (Outcome, bool) {
	outcome, known := s.outcomes[id]
	return outcome, known
}

// RowVersion returns the table version of a row's last change, zero if the row
// never existed.
func (s *State) RowVersion(id table.BackendID) table.Version {
	position, exists := s.rowPosition(id)
	if !exists {
		return 0
	}
	return s.snapshot.RowVersions[position].Version
}

// Apply applies a committed change and returns its outcome. A change whose
// outcome is remembered is not applied again.
func (s *State) Apply(change *Change) Outcome {
	if outcome, known := s.outcomes[change.ID]; known {
		return outcome
	}
	if change.ID == "" || len(change.ID) > MaximumTextLength {
		return refused(change.ID, s.Version(), tableError("change", identifierRule))
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

// checkChange checks what does not depend on the rows that are changed.
func (s *State) checkChange(change *Change) error {
	if len(change.Author) > MaximumTextLength || len(change.Reason) > MaximumTextLength {
		return tableError("change", fmt.Sprintf("author and reason must have at most %d bytes", MaximumTextLength))
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
	return s.checkRows(change.ExpectedRows)
}

func (s *State) checkRows(expectations []RowPrecondition) error {
	for _, expected := range expectations {
		if is := s.RowVersion(expected.Backend); is != expected.Version {
			return table.CellError{
				Row:    s.rowName(expected.Backend),
				Column: "version",
				Rule:   fmt.Sprintf("expected the row of version %d, is %d", expected.Version, is),
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
	var broken table.CellError
	if !errors.As(err, &broken) {
		broken = tableError("change", err.Error())
	}
	outcome := refused(change.ID, s.Version(), broken)
	s.remember(outcome)
	return outcome
}

func refused(id ChangeID, version table.Version, broken table.CellError) Outcome {
	refusal := Refusal{Row: broken.Row, Column: broken.Column, Rule: broken.Rule}
	return Outcome{ID: id, Version: version, Refusal: &refusal}
}

func (s *State) accept(change *Change, draft *draft) Outcome {
	before := s.snapshot.Table
	after := draft.table
	after.Version = before.Version + 1
	cells := difference(&before, after)
	s.snapshot.Table = *after
	s.snapshot.RetiredServices = draft.retired
	s.snapshot.Imported = draft.imported
	s.touchRows(&before, after)
	s.record(Record{
		Version: after.Version, ID: change.ID,
		Author: change.Author, Timestamp: change.Timestamp, Reason: change.Reason, Cells: cells,
	})
	outcome := Outcome{ID: change.ID, Accepted: true, Version: after.Version}
	s.remember(outcome)
	return outcome
}

func (s *State) record(record Record) {
	s.snapshot.History = append(s.snapshot.History, record)
	if excess := len(s.snapshot.History) - s.limits.History; excess > 0 {
		s.snapshot.History = slices.Delete(s.snapshot.History, 0, excess)
	}
}

// remember keeps the outcome. When an older one is dropped, changes made
// before it was decided are refused from then on, so that a late repeat cannot
// be applied a second time.
func (s *State) remember(outcome Outcome) {
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

// touchRows gives every row that differs the new version.
func (s *State) touchRows(before, after *table.Table) {
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
