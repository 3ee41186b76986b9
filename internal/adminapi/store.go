// This file defines the storage interface of the API.

package adminapi

import (
	"context"
	"time"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

// SubmitResult is the result of submitting a change to a Store.
type SubmitResult struct {
	// Decided reports whether Outcome is known. If not, MayApply reports whether
	// the change can still be applied.
	Decided bool
	Outcome changelog.Outcome
	// MayApply is meaningful only if Decided is false. True means that the
	// change may still be applied; false means that it never will be.
	MayApply bool
	// Reason is why the outcome is not known.
	Reason string
	// RetryAfter, unless zero, is the delay after which a retry may succeed.
	RetryAfter time.Duration
}

// Preview is the expected result of a change that was not applied.
type Preview struct {
	Outcome changelog.Outcome
	Cells   []changelog.CellChange
}

// VersionedTable is the table with the version of each row.
type VersionedTable struct {
	// Table must not be changed.
	Table       *table.Table
	RowVersions []RowVersion
}

// Store holds the table and its change history. Implementations are safe for
// concurrent use.
type Store interface {
	// Submit applies a change, at most once for each change identifier. If ctx
	// ends before the outcome is known, the change may still be applied.
	Submit(ctx context.Context, change *changelog.Change) SubmitResult
	// Preview evaluates a change against the current table without applying it.
	Preview(change *changelog.Change) (Preview, error)
	// Outcome returns the recorded outcome of a change, if there is one.
	Outcome(id changelog.ChangeID) (changelog.Outcome, bool)
	// Table returns the current table.
	Table() VersionedTable
	// History returns the retained records of accepted changes, oldest first.
	History() []changelog.Record
	// VersionStatus returns which members have applied a version.
	VersionStatus(version table.Version) VersionStatusResponse
	// Members returns the processes that forward traffic according to the table.
	Members() []Member
}
