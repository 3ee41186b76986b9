package changelog

import (
	"fmt"
	"slices"

	"github.com/vanetiller/vanetiller/internal/table"
)

// ReplaceTable replaces the table by a newer one from the configuration service,
// which assigns the versions. The caller sets author, time and reason of the
// record; ReplaceTable sets its version and cells. If the table is not newer or is
// invalid, ReplaceTable returns a table.CellError and changes nothing.
func (s *State) ReplaceTable(record Record, newer *table.Table) error {
	if newer.Version <= s.Version() {
		return tableError("version", fmt.Sprintf("version %d is not newer than %d", newer.Version, s.Version()))
	}
	after := *newer.Clone()
	after.Sort()
	if err := after.Validate(); err != nil {
		return err
	}
	before := s.snapshot.Table
	s.snapshot.Table = after
	s.pruneRowVersions(&after)
	s.updateRowVersions(&before, &after)
	record.Version = after.Version
	record.Cells = diffTables(&before, &after)
	s.appendRecord(record)
	return nil
}

// pruneRowVersions removes the versions of rows that are not in the table.
func (s *State) pruneRowVersions(after *table.Table) {
	kept := indexBackends(after.Backends)
	s.snapshot.RowVersions = slices.DeleteFunc(s.snapshot.RowVersions, func(row RowVersion) bool {
		_, exists := kept[row.Backend]
		return !exists
	})
}
