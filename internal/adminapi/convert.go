// This file implements the conversion between requests, changes and answers.

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

// MaxIDLength bounds the identifier of a change, in bytes. The name of the
// team is put in front of it in the log.
const MaxIDLength = changelog.MaximumTextLength - table.MaxNameLength - len(idSeparator)

const idSeparator = "/"

// idPattern keeps identifiers fit for a path.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// scopedID returns the identifier of a change in the log. Every team has its
// own identifiers, so that none can meet or read those of another.
func scopedID(team tenant.Team, id string) changelog.ChangeID {
	return changelog.ChangeID(string(team) + idSeparator + id)
}

// shownID returns an identifier of the log as its team has chosen it, and
// that of another team with the team in front. Those of administrators have
// none.
func shownID(team tenant.Team, id changelog.ChangeID) string {
	own := strings.TrimPrefix(string(id), string(team)+idSeparator)
	return strings.TrimPrefix(own, idSeparator)
}

// validate checks what can be checked without the table.
func (h ChangeMetadata) validate() error {
	if len(h.ID) > MaxIDLength || !idPattern.MatchString(h.ID) {
		return invalid("id must have 1 to %d letters, digits, dots, hyphens or underscores and begin with a letter or digit", MaxIDLength)
	}
	if h.Reason == "" || len(h.Reason) > changelog.MaximumTextLength {
		return invalid("reason must have 1 to %d bytes", changelog.MaximumTextLength)
	}
	if h.BaseVersion == nil {
		return invalid("base_version is required")
	}
	return nil
}

func (p Operations) validate() error {
	if p.Empty() {
		return invalid("the change has no parts")
	}
	for _, row := range p.AddBackends {
		if row.Removed {
			return invalid("add_backends must not have removed rows")
		}
	}
	for _, update := range p.SetCells {
		if update == (CellUpdate{Backend: update.Backend}) {
			return invalid("set_cells must set a cell of row %d", update.Backend)
		}
	}
	for _, row := range p.AddBackends {
		if row.Closed {
			return invalid("add_backends must not tell whether a zone is closed")
		}
	}
	for _, update := range p.SetZones {
		if update.Zone == "" || len(update.Zone) > table.MaxNameLength {
			return invalid("set_zones must name a zone by 1 to %d bytes", table.MaxNameLength)
		}
	}
	return nil
}

func invalid(rule string, arguments ...any) error {
	return Error{Code: CodeInvalid, Message: fmt.Sprintf(rule, arguments...)}
}

// author is who makes a change, and when.
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

// answerTo converts the outcome of a change.
func answerTo(id string, outcome changelog.Outcome, seen visibility) ChangeResponse {
	answer := ChangeResponse{ID: id, Outcome: Accepted, Version: outcome.Version}
	if outcome.Accepted {
		return answer
	}
	answer.Outcome = Refused
	if outcome.Refusal == nil {
		return answer
	}
	if outcome.Refusal.Column == versionColumn {
		answer.Outcome = Conflict
	}
	answer.Refusal = seen.refusal(outcome.Refusal.CellError())
	return answer
}

// answerSubmission converts what became of a submitted change.
func answerSubmission(id string, submitted SubmitResult, seen visibility) ChangeResponse {
	if submitted.Decided {
		return answerTo(id, submitted.Outcome, seen)
	}
	answer := ChangeResponse{ID: id, Outcome: NotAccepted, Message: submitted.Reason, retryAfter: submitted.RetryAfter}
	if submitted.MayApply {
		answer.Outcome = Unknown
	}
	return answer
}

// historyRecords converts the records that concern the principal.
func historyRecords(records []changelog.Record, seen visibility) []HistoryRecord {
	converted := make([]HistoryRecord, 0, len(records))
	for _, record := range records {
		cells := seen.cells(record.Cells)
		if len(cells) == 0 && !seen.unlimited() {
			continue
		}
		converted = append(converted, HistoryRecord{
			Version:   record.Version,
			ID:        shownID(seen.principal.Team, record.ID),
			Author:    record.Author,
			Timestamp: time.Unix(0, record.Timestamp).UTC(),
			Reason:    record.Reason,
			Cells:     cells,
		})
	}
	return converted
}
