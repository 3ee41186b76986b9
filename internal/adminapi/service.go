// This file implements the operations of the API.

package adminapi

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
	"github.com/vanetiller/vanetiller/internal/tenant"
)

// service holds the operations. Each is given the principal that asks.
type service struct {
	store         Store
	now           func() time.Time
	submitTimeout time.Duration
}

// table returns what the principal sees of the table, or of one service.
func (s *service) table(principal tenant.Principal, request tableRequest) (TableResponse, error) {
	state := s.store.Table()
	view := principal.VisibleTable(state.Table)
	if request.service != "" {
		id, found := serviceNamed(view, request.service)
		if !found {
			return TableResponse{}, Error{Code: CodeNotFound, Message: "no service " + request.service}
		}
		view = view.ForServices([]table.ServiceID{id})
	}
	return tableAnswer(view, state.RowVersions), nil
}

func serviceNamed(searched *table.Table, name string) (table.ServiceID, bool) {
	for _, service := range searched.Services {
		if service.Name == name {
			return service.ID, true
		}
	}
	return 0, false
}

func tableAnswer(view *table.Table, versions []RowVersion) TableResponse {
	seen := make(map[table.BackendID]bool, len(view.Backends))
	for _, row := range view.Backends {
		seen[row.ID] = true
	}
	shown := view.Clone()
	// Lists without content are [] rather than null in JSON.
	if shown.Services == nil {
		shown.Services = []table.Service{}
	}
	if shown.Backends == nil {
		shown.Backends = []table.Backend{}
	}
	answer := TableResponse{Table: shown, RowVersions: []RowVersion{}}
	for _, row := range versions {
		if seen[row.Backend] {
			answer.RowVersions = append(answer.RowVersions, row)
		}
	}
	return answer
}

// change makes a change or, for a dry run, tells what would become of it.
func (s *service) change(ctx context.Context, principal tenant.Principal, request ChangeRequest) (ChangeResponse, error) {
	if err := request.ChangeMetadata.validate(); err != nil {
		return ChangeResponse{}, err
	}
	if err := request.Operations.validate(); err != nil {
		return ChangeResponse{}, err
	}
	current := s.store.Table().Table
	seen := newVisibility(principal, current)
	seen.added = request.AddServices
	change := request.change(author{principal, s.now()})
	// A repeat gets its first answer, even if its rows are gone by now.
	if outcome, known := s.store.Outcome(change.ID); known {
		return answerTo(request.ID, outcome, seen), nil
	}
	var broken table.CellError
	if errors.As(seen.authorize(change), &broken) {
		refusal := Refusal(broken)
		return ChangeResponse{
			ID: request.ID, Outcome: Refused, Version: current.Version, Refusal: &refusal, DryRun: request.DryRun,
		}, nil
	}
	if request.DryRun {
		return s.preview(request.ID, change, seen)
	}
	ctx, cancel := context.WithTimeout(ctx, s.submitTimeout)
	defer cancel()
	return answerSubmission(request.ID, s.store.Submit(ctx, change), seen), nil
}

func (s *service) preview(id string, change *changelog.Change, seen visibility) (ChangeResponse, error) {
	preview, err := s.store.Preview(change)
	if err != nil {
		return ChangeResponse{}, err
	}
	answer := answerTo(id, preview.Outcome, seen)
	answer.DryRun = true
	answer.Cells = cellChanges(preview.Cells)
	return answer, nil
}

// drain sets the drain flag of one row.
func (s *service) drain(ctx context.Context, principal tenant.Principal, request drainRequest) (ChangeResponse, error) {
	if request.body.Drain == nil {
		return ChangeResponse{}, invalid("drain is required")
	}
	return s.change(ctx, principal, ChangeRequest{
		ChangeMetadata: request.body.ChangeMetadata,
		Operations:     Operations{SetCells: []CellUpdate{{Backend: request.backend, Drain: request.body.Drain}}},
	})
}

// closeZone closes a zone to new flows, or opens it again.
func (s *service) closeZone(ctx context.Context, principal tenant.Principal, request zoneRequest) (ChangeResponse, error) {
	if request.body.Closed == nil {
		return ChangeResponse{}, invalid("closed is required")
	}
	return s.change(ctx, principal, ChangeRequest{
		ChangeMetadata: request.body.ChangeMetadata,
		Operations:     Operations{SetZones: []ZoneUpdate{{Zone: request.zone, Closed: *request.body.Closed, Force: request.body.Force}}},
	})
}

// importSnapshot makes the change that leads to the table of a snapshot.
func (s *service) importSnapshot(ctx context.Context, principal tenant.Principal, request SnapshotRequest) (ChangeResponse, error) {
	if err := request.ChangeMetadata.validate(); err != nil {
		return ChangeResponse{}, err
	}
	if request.Table == nil {
		return ChangeResponse{}, invalid("table is required")
	}
	current := s.store.Table().Table
	seen := newVisibility(principal, current)
	if outcome, known := s.store.Outcome(scopedID(principal.Team, request.ID)); known {
		return answerTo(request.ID, outcome, seen), nil
	}
	if *request.BaseVersion != current.Version {
		rule := fmt.Sprintf("expected %d, is %d", *request.BaseVersion, current.Version)
		return ChangeResponse{
			ID: request.ID, Outcome: Conflict, Version: current.Version, DryRun: request.DryRun,
			Refusal: &Refusal{Row: "table", Column: versionColumn, Rule: rule},
		}, nil
	}
	parts, err := planSnapshot(current, request.Table)
	var broken table.CellError
	if errors.As(err, &broken) {
		return ChangeResponse{
			ID: request.ID, Outcome: Refused, Version: current.Version, Refusal: seen.refusal(broken), DryRun: request.DryRun,
		}, nil
	}
	return s.change(ctx, principal, ChangeRequest{
		ChangeMetadata:  request.ChangeMetadata,
		ExpectedVersion: current.Version,
		Operations:      parts,
	})
}

func planSnapshot(current, wanted *table.Table) (Operations, error) {
	wanted.ApplyClosedZones()
	if err := wanted.Validate(); err != nil {
		return Operations{}, err
	}
	return Plan(current, wanted, RemoveMissing)
}

// outcome returns what became of a change of the principal's team.
func (s *service) outcome(principal tenant.Principal, id string) ChangeResponse {
	outcome, known := s.store.Outcome(scopedID(principal.Team, id))
	if !known {
		return ChangeResponse{ID: id, Outcome: Unknown, Message: "no outcome of this change is remembered here"}
	}
	return answerTo(id, outcome, newVisibility(principal, s.store.Table().Table))
}

// history returns the latest records after a version, oldest first.
func (s *service) history(principal tenant.Principal, request historyRequest) HistoryResponse {
	var records []changelog.Record
	for _, record := range s.store.History() {
		if record.Version > request.after {
			records = append(records, record)
		}
	}
	converted := historyRecords(records, newVisibility(principal, s.store.Table().Table))
	if excess := len(converted) - request.limit; excess > 0 {
		converted = converted[excess:]
	}
	return HistoryResponse{Records: converted}
}
