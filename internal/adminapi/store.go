// This file defines what the API needs from the holder of the table.

package adminapi

import (
	"context"
	"time"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

// SubmitResult is what became of a change handed to a Store.
type SubmitResult struct {
	// Decided reports whether Outcome is known. If it is not, MayApply tells
	// the two other cases apart.
	Decided bool
	Outcome changelog.Outcome
	// MayApply reports, if not Decided, that the change may still be applied;
	// otherwise it never is.
	MayApply bool
	// Reason says why a change is not decided.
	Reason string
	// RetryAfter is, if not zero, when a repeat makes sense.
	RetryAfter time.Duration
}

// Preview is what would become of a change.
type Preview struct {
	Outcome changelog.Outcome
	Cells   []changelog.CellChange
}

// VersionedTable is the table with the versions of its rows.
type VersionedTable struct {
	// Table must not be changed.
	Table       *table.Table
	RowVersions []RowVersion
}

// Store holds the table and its changes. It is safe for concurrent use.
type Store interface {
	// Submit makes a change, at most once for each identifier. When ctx ends
	// early the change may still be applied.
	Submit(ctx context.Context, change *changelog.Change) SubmitResult
	// Preview tells what would become of a change now, without making it.
	Preview(change *changelog.Change) (Preview, error)
	// Outcome returns what became of a change, if that is remembered.
	Outcome(id changelog.ChangeID) (changelog.Outcome, bool)
	// Table returns the current table.
	Table() VersionedTable
	// History returns the remembered records of accepted changes, oldest
	// first.
	History() []changelog.Record
	// VersionStatus tells where a version is in force.
	VersionStatus(version table.Version) VersionStatusResponse
	// Members returns the processes that forward by the table.
	Members() []Member
}
