// This file converts API requests to changes, and outcomes to responses.

package adminapi

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
	"github.com/vanetiller/vanetiller/internal/tenant"
)

// MaxIDLength is the maximum length of a change identifier, in bytes. It leaves
// room for the team name, which prefixes the identifier in the log.
const MaxIDLength = changelog.MaxTextLength - table.MaxNameLength - len(idSeparator)

const idSeparator = "/"

// idPattern matches identifiers that are usable as one element of a URL path.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// scopedID returns the identifier of a change in the log. The team prefix keeps
// the identifiers of teams apart, so that they cannot collide and a team cannot
// read outcomes of another one.
func scopedID(team tenant.Team, id string) changelog.ChangeID {
	return changelog.ChangeID(string(team) + idSeparator + id)
}

// displayID returns the identifier to show to a member of a team. It removes the
// prefix of that team and the empty prefix of administrators, and keeps the
// prefix of any other team.
func displayID(team tenant.Team, id changelog.ChangeID) string {
	own := strings.TrimPrefix(string(id), string(team)+idSeparator)
	return strings.TrimPrefix(own, idSeparator)
}

// validate checks the fields that can be checked without the table.
func (m ChangeMetadata) validate() error {
	if len(m.ID) > MaxIDLength || !idPattern.MatchString(m.ID) {
		return invalidRequest("id must have 1 to %d letters, digits, dots, hyphens or underscores and begin with a letter or digit", MaxIDLength)
	}
	if m.Reason == "" || len(m.Reason) > changelog.MaxTextLength {
		return invalidRequest("reason must have 1 to %d bytes", changelog.MaxTextLength)
	}
	if m.BaseVersion == nil {
		return invalidRequest("base_version is required")
	}
	return nil
}

func (o Operations) validate() error {
	if o.Empty() {
		return invalidRequest("the change has no operations")
	}
	for _, row := range o.AddBackends {
		if row.Removed {
			return invalidRequest("add_backends must not have removed rows")
		}
	}
	for _, update := range o.SetCells {
		if update == (CellUpdate{Backend: update.Backend}) {
			return invalidRequest("set_cells must set a cell of row %d", update.Backend)
		}
	}
	for _, row := range o.AddBackends {
		if row.Closed {
			return invalidRequest("add_backends must not set closed; it follows from the zone")
		}
	}
	for _, update := range o.SetZones {
		if update.Zone == "" || len(update.Zone) > table.MaxNameLength {
			return invalidRequest("set_zones must name a zone by 1 to %d bytes", table.MaxNameLength)
		}
	}
	return nil
}

func invalidRequest(rule string, arguments ...any) error {
	return Error{Code: CodeInvalid, Message: fmt.Sprintf(rule, arguments...)}
}

// author is the principal that makes a change, and the time of the request.
type author struct {
	principal tenant.Principal
	now       time.Time
}

func (r ChangeRequest) change(by author) *changelog.Change {
	change := &changelog.Change{
		ID:              scopedID(by.principal.Team, r.ID),
		BaseVersion:     *r.BaseVersion,
		Author:          by.principal.Name,
		Timestamp:       by.now.UnixNano(),
		Reason:          r.Reason,
		ExpectedVersion: r.ExpectedVersion,
		AddServices:     r.AddServices,
		AddBackends:     r.AddBackends,
		RemoveBackends:  r.RemoveBackends,
		RemoveServices:  r.RemoveServices,
	}
	for _, expected := range r.ExpectedRows {
		change.ExpectedRows = append(change.ExpectedRows, changelog.RowPrecondition(expected))
	}
	for _, update := range r.SetCells {
		change.Cells = append(change.Cells, changelog.CellUpdate(update))
	}
	for _, update := range r.SetZones {
		change.Zones = append(change.Zones, changelog.ZoneUpdate(update))
	}
	return change
}

// versionColumn is the column of refusals for an expected version.
const versionColumn = "version"

// outcomeToResponse converts the outcome of a change.
func outcomeToResponse(id string, outcome changelog.Outcome, visible visibility) ChangeResponse {
	response := ChangeResponse{ID: id, Outcome: Accepted, Version: outcome.Version}
	if outcome.Accepted {
		return response
	}
	response.Outcome = Refused
	if outcome.Refusal == nil {
		return response
	}
	if outcome.Refusal.Column == versionColumn {
		response.Outcome = Conflict
	}
	response.Refusal = visible.refusal(outcome.Refusal.CellError())
	return response
}

// submitResultToResponse converts the result of a submission to a response.
func submitResultToResponse(id string, result SubmitResult, visible visibility) ChangeResponse {
	if result.Decided {
		return outcomeToResponse(id, result.Outcome, visible)
	}
	response := ChangeResponse{ID: id, Outcome: NotAccepted, Message: result.Reason, retryAfter: result.RetryAfter}
	if result.MayApply {
		response.Outcome = Unknown
	}
	return response
}

// historyRecords converts the records with cells that the principal may view.
func historyRecords(records []changelog.Record, visible visibility) []HistoryRecord {
	converted := make([]HistoryRecord, 0, len(records))
	for _, record := range records {
		cells := visible.visibleCells(record.Cells)
		if len(cells) == 0 && !visible.isAdministrator() {
			continue
		}
		converted = append(converted, HistoryRecord{
			Version:   record.Version,
			ID:        displayID(visible.principal.Team, record.ID),
			Author:    record.Author,
			Timestamp: time.Unix(0, record.Timestamp).UTC(),
			Reason:    record.Reason,
			Cells:     cells,
		})
	}
	return converted
}
