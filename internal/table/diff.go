// This file compares two tables cell by cell.

package table

import (
	"strconv"
)

// DifferenceKind says whether the row of a CellDifference was added, changed or deleted.
type DifferenceKind string

// The kinds of differences.
const (
	// RowAdded: only the later table has the row; Before is empty.
	RowAdded DifferenceKind = "added"
	// RowChanged: both tables have the row.
	RowChanged DifferenceKind = "changed"
	// RowDeleted: only the earlier table has the row; After is empty.
	RowDeleted DifferenceKind = "deleted"
)

// CellDifference is one cell in which two tables differ. Exactly one of Service and Backend
// is set, depending on the kind of the row.
type CellDifference struct {
	Kind    DifferenceKind `json:"kind"`
	Service ServiceID      `json:"service_id,omitempty"`
	Backend BackendID      `json:"backend_id,omitempty"`
	// Row is the name of the row, as in a CellError.
	Row    string `json:"row"`
	Column string `json:"column"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// column is a column of rows of one type, with its name and the text of a cell.
type column[Row any] struct {
	name string
	text func(Row) string
}

var serviceColumns = []column[Service]{
	{"name", func(s Service) string { return s.Name }},
	{"address", func(s Service) string { return string(s.Address) }},
	{"protocol", func(s Service) string { return s.Protocol.String() }},
	{"owner", func(s Service) string { return s.Owner }},
}

var backendColumns = []column[Backend]{
	{"service", func(b Backend) string { return formatNumber(uint32(b.Service)) }},
	{"name", func(b Backend) string { return b.Name }},
	{"incarnation", func(b Backend) string { return formatNumber(uint32(b.Incarnation)) }},
	{"agent", func(b Backend) string { return string(b.Agent) }},
	{"weight", func(b Backend) string { return formatNumber(b.Weight) }},
	{"connection_limit", func(b Backend) string { return formatNumber(b.ConnectionLimit) }},
	{"drain", func(b Backend) string { return strconv.FormatBool(b.Drain) }},
	{"zone", func(b Backend) string { return b.Zone }},
}

func formatNumber(number uint32) string { return strconv.FormatUint(uint64(number), 10) }

// Diff returns the cells in which two tables differ: services first, then back ends, each
// in order of their identifiers. A removed row counts as absent. Identifiers, the version
// and closed zones are not compared.
func Diff(before, after *Table) []CellDifference {
	var differences []CellDifference
	earlier, later := before.Clone(), after.Clone()
	earlier.Sort()
	later.Sort()
	mergeRows(earlier.Services, later.Services, serviceIdentifier, func(old, current *Service) {
		differences = append(differences, compareServices(old, current)...)
	})
	mergeRows(withoutRemoved(earlier.Backends), withoutRemoved(later.Backends), backendIdentifier, func(old, current *Backend) {
		differences = append(differences, compareBackends(old, current)...)
	})
	return differences
}

func serviceIdentifier(s Service) uint32 { return uint32(s.ID) }
func backendIdentifier(b Backend) uint32 { return uint32(b.ID) }

func withoutRemoved(rows []Backend) []Backend {
	var kept []Backend
	for _, row := range rows {
		if !row.Removed {
			kept = append(kept, row)
		}
	}
	return kept
}

// mergeRows iterates over two sorted lists and calls compare for each identifier, with nil
// for a row that one of the lists lacks.
func mergeRows[Row any](before, after []Row, identifier func(Row) uint32, compare func(old, current *Row)) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && identifier(before[0]) < identifier(after[0]):
			compare(&before[0], nil)
			before = before[1:]
		case len(before) == 0 || identifier(after[0]) < identifier(before[0]):
			compare(nil, &after[0])
			after = after[1:]
		default:
			compare(&before[0], &after[0])
			before, after = before[1:], after[1:]
		}
	}
}

func compareServices(old, current *Service) []CellDifference {
	present := current
	if present == nil {
		present = old
	}
	template := CellDifference{Service: present.ID, Row: present.rowName()}
	return compareCells(template, serviceColumns, old, current)
}

func compareBackends(old, current *Backend) []CellDifference {
	present := current
	if present == nil {
		present = old
	}
	template := CellDifference{Backend: present.ID, Row: present.rowName()}
	return compareCells(template, backendColumns, old, current)
}

func compareCells[Row any](template CellDifference, columns []column[Row], old, current *Row) []CellDifference {
	template.Kind = differenceKind(old == nil, current == nil)
	var differences []CellDifference
	for _, compared := range columns {
		cell := template
		cell.Column = compared.name
		cell.Before = cellText(compared, old)
		cell.After = cellText(compared, current)
		if cell.Before != cell.After {
			differences = append(differences, cell)
		}
	}
	return differences
}

func differenceKind(isNew, isDeleted bool) DifferenceKind {
	switch {
	case isNew:
		return RowAdded
	case isDeleted:
		return RowDeleted
	}
	return RowChanged
}

func cellText[Row any](source column[Row], row *Row) string {
	if row == nil {
		return ""
	}
	return source.text(*row)
}
