// Package adminapi implements the administration API: HTTP with JSON bodies
// under versioned paths, through which operators read and change the
// configuration table.
//
// A Handler serves the API over a Store, which holds the table and its
// changes. LogStore is the Store on top of a log of changes, either of one
// process or replicated. Client is the other side, which vanetillerctl uses.
// The paths and answers are described in docs/operators/api.md.
package adminapi

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

// ChangeOutcome tells what became of a change.
type ChangeOutcome string

// The outcomes of a change.
const (
	// Accepted: the change is part of the table.
	Accepted ChangeOutcome = "accepted"
	// Refused: the change breaks a rule, which is named. It was not applied.
	Refused ChangeOutcome = "refused"
	// Conflict: the table or a row has changed in the meantime. The change
	// was not applied.
	Conflict ChangeOutcome = "conflict"
	// NotAccepted: the change could not be decided on now. It was not
	// applied.
	NotAccepted ChangeOutcome = "not_accepted"
	// Unknown: the change may or may not be applied. Repeating it with the
	// same identifier applies it at most once.
	Unknown ChangeOutcome = "unknown"
)

// CellUpdate sets cells of one row; a cell left out stays as it is.
type CellUpdate struct {
	Backend         table.BackendID `json:"backend_id"`
	Weight          *uint32         `json:"weight,omitempty"`
	ConnectionLimit *uint32         `json:"connection_limit,omitempty"`
	Drain           *bool           `json:"drain,omitempty"`
	Zone            *string         `json:"zone,omitempty"`
}

// ZoneUpdate closes a zone to new flows, or opens it again. It takes the rights of an
// administrator, since rows of several teams may be in a zone.
type ZoneUpdate struct {
	Zone   string `json:"zone"`
	Closed bool   `json:"closed"`
	// Force closes it even if a service then has no row that gets new flows.
	Force bool `json:"force,omitempty"`
}

// RowVersion is the table version of a row's last change.
type RowVersion struct {
	Backend table.BackendID `json:"backend_id"`
	Version table.Version   `json:"version"`
}

// Operations are what a change does, in the order of the fields. All of them are
// applied, or none.
type Operations struct {
	AddServices    []table.Service   `json:"add_services,omitempty"`
	AddBackends    []table.Backend   `json:"add_backends,omitempty"`
	SetCells       []CellUpdate      `json:"set_cells,omitempty"`
	RemoveBackends []table.BackendID `json:"remove_backends,omitempty"`
	RemoveServices []table.ServiceID `json:"remove_services,omitempty"`
	SetZones       []ZoneUpdate      `json:"set_zones,omitempty"`
}

// Empty reports whether there is nothing to do.
func (p Operations) Empty() bool {
	return len(p.AddServices) == 0 && len(p.AddBackends) == 0 && len(p.SetCells) == 0 &&
		len(p.RemoveBackends) == 0 && len(p.RemoveServices) == 0 && len(p.SetZones) == 0
}

// ChangeMetadata is what every request for a change has.
type ChangeMetadata struct {
	// ID is chosen by the caller, unique among the changes of the team, and
	// the same when the change is repeated.
	ID string `json:"id"`
	// Reason is written into the history.
	Reason string `json:"reason"`
	// BaseVersion is the table version known to the caller when the change
	// was made; required. A repeat keeps it, so that a change is not applied
	// a second time after its outcome has been forgotten.
	BaseVersion *table.Version `json:"base_version"`
	// DryRun asks what would become of the change without making it.
	DryRun bool `json:"dry_run,omitempty"`
}

// ChangeRequest is the body of POST /v1/changes.
type ChangeRequest struct {
	ChangeMetadata
	// ExpectedVersion, unless 0, is the only table version to apply to.
	ExpectedVersion table.Version `json:"expected_version,omitempty"`
	// ExpectedRows are rows that must not have changed since a version;
	// version 0 means that the row does not exist.
	ExpectedRows []RowVersion `json:"expected_rows,omitempty"`
	Operations
}

// DrainRequest is the body of POST /v1/backends/{id}/drain.
type DrainRequest struct {
	ChangeMetadata
	// Drain is the flag to set; required.
	Drain *bool `json:"drain"`
}

// SnapshotRequest is the body of POST /v1/snapshot. It applies to no other
// version than its base.
type SnapshotRequest struct {
	ChangeMetadata
	Table *table.Table `json:"table"`
}

// Refusal names the row, the column and the rule that a change breaks.
type Refusal struct {
	Row    string `json:"row"`
	Column string `json:"column"`
	Rule   string `json:"rule"`
}

// Error implements error.
func (r Refusal) Error() string { return table.CellError(r).Error() }

// CellChange is one cell that a change altered.
type CellChange struct {
	Row    string `json:"row"`
	Column string `json:"column"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// ChangeResponse is the answer to a change.
type ChangeResponse struct {
	ID      string        `json:"id"`
	Outcome ChangeOutcome `json:"outcome"`
	// Version is the table version after an accepted change, and the current
	// one after a refusal or conflict.
	Version table.Version `json:"version,omitempty"`
	// Refusal is set for Refused and Conflict.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Message says more for NotAccepted and Unknown.
	Message string `json:"message,omitempty"`
	// DryRun repeats that nothing was changed; Cells then lists what would
	// have been.
	DryRun bool         `json:"dry_run,omitempty"`
	Cells  []CellChange `json:"cells,omitempty"`
	// retryAfter is sent in the header of the answer.
	retryAfter time.Duration
}

// ZoneRequest is the body of POST /v1/zones/{zone}.
type ZoneRequest struct {
	ChangeMetadata
	// Closed tells whether the zone shall get no new flows; required.
	Closed *bool `json:"closed"`
	Force  bool  `json:"force,omitempty"`
}

// Zone is a zone in which the principal sees rows.
type Zone struct {
	Zone   string `json:"zone"`
	Closed bool   `json:"closed"`
	// Since is the table version that closed it, 0 if it is open, and Reach where that
	// version is in force.
	Since         table.Version          `json:"since,omitempty"`
	VersionStatus *VersionStatusResponse `json:"reach,omitempty"`
	// Backends is the number of rows.
	Backends int `json:"backends"`
	// Shares are, for each service with rows in the zone, what is left while it is closed.
	Shares []ZoneShare `json:"shares"`
}

// ZoneShare tells which part of a service is outside of a zone.
type ZoneShare struct {
	Service string `json:"service"`
	// Remaining is the part of the weight of rows that get new flows, or would if no zone
	// was closed, which is in other zones that are open; from 0 to 1.
	Remaining float64 `json:"remaining"`
}

// ZonesResponse is the answer to GET /v1/zones, in the order of names.
type ZonesResponse struct {
	Zones []Zone `json:"zones"`
}

// TableResponse is the answer to GET /v1/table.
type TableResponse struct {
	Table       *table.Table `json:"table"`
	RowVersions []RowVersion `json:"row_versions"`
}

// HistoryRecord is one accepted change.
type HistoryRecord struct {
	Version   table.Version `json:"version"`
	ID        string        `json:"id"`
	Author    string        `json:"who"`
	Timestamp time.Time     `json:"when"`
	Reason    string        `json:"why"`
	Cells     []CellChange  `json:"cells"`
}

// HistoryResponse is the answer to GET /v1/history, oldest first.
type HistoryResponse struct {
	Records []HistoryRecord `json:"records"`
}

// Member is one process that forwards by the table.
type Member struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	State string `json:"state"`
	// Version is the table version in force there, as far as known.
	Version table.Version `json:"version"`
}

// MembersResponse is the answer to GET /v1/members.
type MembersResponse struct {
	Members []Member `json:"members"`
}

// VersionStatusResponse is the answer to GET /v1/versions/{version}.
type VersionStatusResponse struct {
	Version table.Version `json:"version"`
	// Accepted reports whether the version exists.
	Accepted bool `json:"accepted"`
	// Reached is the number of members where the version or a later one is
	// in force.
	Reached int `json:"reached"`
	// NotReached names the other members.
	NotReached []string `json:"not_reached"`
}

// Complete reports whether the version is in force everywhere.
func (r VersionStatusResponse) Complete() bool { return r.Accepted && len(r.NotReached) == 0 }

func cellChanges(cells []changelog.CellChange) []CellChange {
	converted := make([]CellChange, len(cells))
	for index, cell := range cells {
		converted[index] = CellChange{Row: cell.Row, Column: cell.Column, Before: cell.Old, After: cell.New}
	}
	return converted
}
