package changelog

import (
	"fmt"
	"slices"

	"github.com/vanetiller/vanetiller/internal/table"
)

// ReplaceTable replaces the table by a newer one of the configuration service, which
// numbers the versions itself. The record tells who, when and why; its version
// and cells are filled in. It returns a table.CellError if the table is not newer
// or not valid, and then changes nothing.
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
	s.dropRowVersions(&after)
	s.touchRows(&before, &after)
	record.Version = after.Version
	record.Cells = difference(&before, &after)
	s.record(record)
	return nil
}

// dropRowVersions forgets the rows that a table does not have.
func (s *State) dropRowVersions(after *table.Table) {
	kept := indexBackends(after.Backends)
	s.snapshot.RowVersions = slices.DeleteFunc(s.snapshot.RowVersions, func(row RowVersion) bool {
		_, exists := kept[row.Backend]
		return !exists
	})
}
