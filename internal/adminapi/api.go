// Package adminapi implements the administration API, through which operators
// read and change the configuration table of services and back ends. Requests and
// responses are HTTP with JSON bodies under versioned paths such as /v1/table. The
// package authenticates each request by its bearer token, checks the role and team
// of the caller, and reports whether a change was accepted, was refused or conflicts
// with another one.
//
// A Handler serves the API from a Store, which holds the table and its change
// history. LogStore is a Store backed by a log of changes, which is either local
// to one process or replicated. Client calls the API; vanetillerctl uses it.
// docs/operators/api.md describes the paths and responses.
package adminapi

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

// ChangeOutcome is the result of a change request.
type ChangeOutcome string

// The outcomes of a change.
const (
	// Accepted: the change is part of the table.
	Accepted ChangeOutcome = "accepted"
	// Refused: the change violates a rule, which the response names. It was
	// not applied.
	Refused ChangeOutcome = "refused"
	// Conflict: the table or a row is not at the version that the change
	// expects. The change was not applied.
	Conflict ChangeOutcome = "conflict"
	// NotAccepted: the change could not be processed now, for example because
	// the log has no quorum. It was not applied.
	NotAccepted ChangeOutcome = "not_accepted"
	// Unknown: the change may or may not be applied. A retry with the same
	// identifier applies it at most once.
	Unknown ChangeOutcome = "unknown"
)

// CellUpdate sets cells of one row. Omitted cells keep their values.
type CellUpdate struct {
	Backend         table.BackendID `json:"backend_id"`
	Weight          *uint32         `json:"weight,omitempty"`
	ConnectionLimit *uint32         `json:"connection_limit,omitempty"`
	Drain           *bool           `json:"drain,omitempty"`
	Zone            *string         `json:"zone,omitempty"`
}

// ZoneUpdate closes a zone to new flows, or reopens it. It requires the administrator
// role, since a zone may contain rows of several teams.
type ZoneUpdate struct {
	Zone   string `json:"zone"`
	Closed bool   `json:"closed"`
	// Force closes the zone even if this leaves a service without a row that
	// accepts new flows.
	Force bool `json:"force,omitempty"`
}

// RowVersion is the table version at which a row last changed.
type RowVersion struct {
	Backend table.BackendID `json:"backend_id"`
	Version table.Version   `json:"version"`
}

// Operations lists the modifications of a change. They are applied in the order
// of the fields, either all of them or none.
type Operations struct {
	AddServices    []table.Service   `json:"add_services,omitempty"`
	AddBackends    []table.Backend   `json:"add_backends,omitempty"`
	SetCells       []CellUpdate      `json:"set_cells,omitempty"`
	RemoveBackends []table.BackendID `json:"remove_backends,omitempty"`
	RemoveServices []table.ServiceID `json:"remove_services,omitempty"`
	SetZones       []ZoneUpdate      `json:"set_zones,omitempty"`
}

// Empty reports whether there are no operations.
func (o Operations) Empty() bool {
	return len(o.AddServices) == 0 && len(o.AddBackends) == 0 && len(o.SetCells) == 0 &&
		len(o.RemoveBackends) == 0 && len(o.RemoveServices) == 0 && len(o.SetZones) == 0
}

// ChangeMetadata holds the fields common to all requests that change the table.
type ChangeMetadata struct {
	// ID is chosen by the caller and unique among the changes of the team. A
	// retry uses the same ID.
	ID string `json:"id"`
	// Reason is recorded in the history.
	Reason string `json:"reason"`
	// BaseVersion is the table version that the caller knew when it made the
	// change; required. A retry must send the same value. Once the outcome of an
	// accepted change is dropped, changes with its base version are refused, so that
	// a late retry is not applied a second time.
	BaseVersion *table.Version `json:"base_version"`
	// DryRun evaluates the change without applying it.
	DryRun bool `json:"dry_run,omitempty"`
}

// ChangeRequest is the body of POST /v1/changes.
type ChangeRequest struct {
	ChangeMetadata
	// ExpectedVersion, unless 0, is the table version that the change requires.
	ExpectedVersion table.Version `json:"expected_version,omitempty"`
	// ExpectedRows lists the required versions of rows. Version 0 requires that
	// the row does not exist.
	ExpectedRows []RowVersion `json:"expected_rows,omitempty"`
	Operations
}

// DrainRequest is the body of POST /v1/backends/{id}/drain.
type DrainRequest struct {
	ChangeMetadata
	// Drain is the flag to set; required.
	Drain *bool `json:"drain"`
}

// SnapshotRequest is the body of POST /v1/snapshot. It applies only if the table
// is at the base version.
type SnapshotRequest struct {
	ChangeMetadata
	Table *table.Table `json:"table"`
}

// Refusal names the row, the column and the rule that a change violates.
type Refusal struct {
	Row    string `json:"row"`
	Column string `json:"column"`
	Rule   string `json:"rule"`
}

// Error implements error.
func (r Refusal) Error() string { return table.CellError(r).Error() }

// CellChange is one cell modified by a change.
type CellChange struct {
	Row    string `json:"row"`
	Column string `json:"column"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// ChangeResponse is the response to a change request.
type ChangeResponse struct {
	ID      string        `json:"id"`
	Outcome ChangeOutcome `json:"outcome"`
	// Version is the table version that an accepted change created, or the
	// current version after a refusal or conflict.
	Version table.Version `json:"version,omitempty"`
	// Refusal is set for Refused and Conflict.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Message gives the cause of NotAccepted and Unknown.
	Message string `json:"message,omitempty"`
	// DryRun reports that the change was only evaluated. Cells then lists the
	// cells that it would modify.
	DryRun bool         `json:"dry_run,omitempty"`
	Cells  []CellChange `json:"cells,omitempty"`
	// retryAfter is sent in the Retry-After header.
	retryAfter time.Duration
}

// ZoneRequest is the body of POST /v1/zones/{zone}.
type ZoneRequest struct {
	ChangeMetadata
	// Closed is true to close the zone to new flows and false to reopen it;
	// required.
	Closed *bool `json:"closed"`
	Force  bool  `json:"force,omitempty"`
}

// Zone describes a zone that contains rows visible to the caller, or that is
// closed.
type Zone struct {
	Zone   string `json:"zone"`
	Closed bool   `json:"closed"`
	// Since is the table version that closed the zone, 0 if it is open. VersionStatus
	// counts the members that have applied that version and names the others.
	Since         table.Version          `json:"since,omitempty"`
	VersionStatus *VersionStatusResponse `json:"reach,omitempty"`
	// Backends is the number of rows visible to the caller.
	Backends int `json:"backends"`
	// Shares holds, for each service with rows in the zone, the capacity that remains
	// while the zone is closed.
	Shares []ZoneShare `json:"shares"`
}

// ZoneShare is the fraction of the weight of a service that lies outside a zone.
type ZoneShare struct {
	Service string `json:"service"`
	// Remaining is the fraction, from 0 to 1, of the weight that is in other, open zones.
	// The total is the weight of all rows that would accept new flows if no zone were
	// closed.
	Remaining float64 `json:"remaining"`
}

// ZonesResponse is the response to GET /v1/zones, sorted by name.
type ZonesResponse struct {
	Zones []Zone `json:"zones"`
}

// TableResponse is the response to GET /v1/table.
type TableResponse struct {
	Table       *table.Table `json:"table"`
	RowVersions []RowVersion `json:"row_versions"`
}

// HistoryRecord describes one accepted change.
type HistoryRecord struct {
	Version   table.Version `json:"version"`
	ID        string        `json:"id"`
	Author    string        `json:"who"`
	Timestamp time.Time     `json:"when"`
	Reason    string        `json:"why"`
	Cells     []CellChange  `json:"cells"`
}

// HistoryResponse is the response to GET /v1/history, oldest record first.
type HistoryResponse struct {
	Records []HistoryRecord `json:"records"`
}

// Member is one process that forwards traffic according to the table.
type Member struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	State string `json:"state"`
	// Version is the latest table version that the member is known to have
	// applied.
	Version table.Version `json:"version"`
}

// MembersResponse is the response to GET /v1/members.
type MembersResponse struct {
	Members []Member `json:"members"`
}

// VersionStatusResponse is the response to GET /v1/versions/{version}.
type VersionStatusResponse struct {
	Version table.Version `json:"version"`
	// Accepted reports whether the version exists.
	Accepted bool `json:"accepted"`
	// Reached is the number of members that have applied the version or a
	// later one.
	Reached int `json:"reached"`
	// NotReached names the other members.
	NotReached []string `json:"not_reached"`
}

// Complete reports whether the version exists and all members have applied it.
func (r VersionStatusResponse) Complete() bool { return r.Accepted && len(r.NotReached) == 0 }

func cellChanges(cells []changelog.CellChange) []CellChange {
	converted := make([]CellChange, len(cells))
	for index, cell := range cells {
		converted[index] = CellChange{Row: cell.Row, Column: cell.Column, Before: cell.Old, After: cell.New}
	}
	return converted
}
