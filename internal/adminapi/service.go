// This file implements the operations of the API, independent of HTTP.

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

// service implements the operations. Each takes the principal of the request.
type service struct {
	store         Store
	now           func() time.Time
	submitTimeout time.Duration
}

// table returns the part of the table that the principal may view, restricted to
// one service if the request names one.
func (s *service) table(principal tenant.Principal, request tableRequest) (TableResponse, error) {
	state := s.store.Table()
	view := principal.VisibleTable(state.Table)
	if request.service != "" {
		id, found := findServiceByName(view, request.service)
		if !found {
			return TableResponse{}, Error{Code: CodeNotFound, Message: "no service " + request.service}
		}
		view = view.ForServices([]table.ServiceID{id})
	}
	return tableResponse(view, state.RowVersions), nil
}

func findServiceByName(searched *table.Table, name string) (table.ServiceID, bool) {
	for _, service := range searched.Services {
		if service.Name == name {
			return service.ID, true
		}
	}
	return 0, false
}

func tableResponse(view *table.Table, versions []RowVersion) TableResponse {
	visible := make(map[table.BackendID]bool, len(view.Backends))
	for _, row := range view.Backends {
		visible[row.ID] = true
	}
	shown := view.Clone()
	// Empty slices are encoded as [] in JSON; nil slices would be null.
	if shown.Services == nil {
		shown.Services = []table.Service{}
	}
	if shown.Backends == nil {
		shown.Backends = []table.Backend{}
	}
	response := TableResponse{Table: shown, RowVersions: []RowVersion{}}
	for _, row := range versions {
		if visible[row.Backend] {
			response.RowVersions = append(response.RowVersions, row)
		}
	}
	return response
}

// change validates, authorizes and submits a change. A dry run is evaluated but
// not submitted.
func (s *service) change(ctx context.Context, principal tenant.Principal, request ChangeRequest) (ChangeResponse, error) {
	if err := request.ChangeMetadata.validate(); err != nil {
		return ChangeResponse{}, err
	}
	if err := request.Operations.validate(); err != nil {
		return ChangeResponse{}, err
	}
	current := s.store.Table().Table
	visible := newVisibility(principal, current)
	visible.added = request.AddServices
	change := request.change(author{principal, s.now()})
	// A retry gets the recorded outcome, even if its rows were removed since.
	if outcome, known := s.store.Outcome(change.ID); known {
		return outcomeToResponse(request.ID, outcome, visible), nil
	}
	var violation table.CellError
	if errors.As(visible.authorize(change), &violation) {
		refusal := Refusal(violation)
		return ChangeResponse{
			ID: request.ID, Outcome: Refused, Version: current.Version, Refusal: &refusal, DryRun: request.DryRun,
		}, nil
	}
	if request.DryRun {
		return s.preview(request.ID, change, visible)
	}
	ctx, cancel := context.WithTimeout(ctx, s.submitTimeout)
	defer cancel()
	return submitResultToResponse(request.ID, s.store.Submit(ctx, change), visible), nil
}

func (s *service) preview(id string, change *changelog.Change, visible visibility) (ChangeResponse, error) {
	preview, err := s.store.Preview(change)
	if err != nil {
		return ChangeResponse{}, err
	}
	response := outcomeToResponse(id, preview.Outcome, visible)
	response.DryRun = true
	response.Cells = cellChanges(preview.Cells)
	return response, nil
}

// drain sets the drain flag of one row.
func (s *service) drain(ctx context.Context, principal tenant.Principal, request drainRequest) (ChangeResponse, error) {
	if request.body.Drain == nil {
		return ChangeResponse{}, invalidRequest("drain is required")
	}
	return s.change(ctx, principal, ChangeRequest{
		ChangeMetadata: request.body.ChangeMetadata,
		Operations:     Operations{SetCells: []CellUpdate{{Backend: request.backend, Drain: request.body.Drain}}},
	})
}

// closeZone closes a zone to new flows, or reopens it.
func (s *service) closeZone(ctx context.Context, principal tenant.Principal, request zoneRequest) (ChangeResponse, error) {
	if request.body.Closed == nil {
		return ChangeResponse{}, invalidRequest("closed is required")
	}
	return s.change(ctx, principal, ChangeRequest{
		ChangeMetadata: request.body.ChangeMetadata,
		Operations:     Operations{SetZones: []ZoneUpdate{{Zone: request.zone, Closed: *request.body.Closed, Force: request.body.Force}}},
	})
}

// importSnapshot submits the change that turns the current table into the one of
// the request.
func (s *service) importSnapshot(ctx context.Context, principal tenant.Principal, request SnapshotRequest) (ChangeResponse, error) {
	if err := request.ChangeMetadata.validate(); err != nil {
		return ChangeResponse{}, err
	}
	if request.Table == nil {
		return ChangeResponse{}, invalidRequest("table is required")
	}
	current := s.store.Table().Table
	visible := newVisibility(principal, current)
	if outcome, known := s.store.Outcome(scopedID(principal.Team, request.ID)); known {
		return outcomeToResponse(request.ID, outcome, visible), nil
	}
	if *request.BaseVersion != current.Version {
		rule := fmt.Sprintf("expected %d, is %d", *request.BaseVersion, current.Version)
		return ChangeResponse{
			ID: request.ID, Outcome: Conflict, Version: current.Version, DryRun: request.DryRun,
			Refusal: &Refusal{Row: "table", Column: versionColumn, Rule: rule},
		}, nil
	}
	operations, err := planSnapshot(current, request.Table)
	var violation table.CellError
	if errors.As(err, &violation) {
		return ChangeResponse{
			ID: request.ID, Outcome: Refused, Version: current.Version, Refusal: visible.refusal(violation), DryRun: request.DryRun,
		}, nil
	}
	return s.change(ctx, principal, ChangeRequest{
		ChangeMetadata:  request.ChangeMetadata,
		ExpectedVersion: current.Version,
		Operations:      operations,
	})
}

func planSnapshot(current, wanted *table.Table) (Operations, error) {
	wanted.ApplyClosedZones()
	if err := wanted.Validate(); err != nil {
		return Operations{}, err
	}
	return Plan(current, wanted, RemoveMissing)
}

// outcome returns the recorded outcome of a change of the principal's team.
func (s *service) outcome(principal tenant.Principal, id string) ChangeResponse {
	outcome, known := s.store.Outcome(scopedID(principal.Team, id))
	if !known {
		return ChangeResponse{ID: id, Outcome: Unknown, Message: "no outcome of this change is recorded here"}
	}
	return outcomeToResponse(id, outcome, newVisibility(principal, s.store.Table().Table))
}

// history returns the latest visible records after a version, oldest first.
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
