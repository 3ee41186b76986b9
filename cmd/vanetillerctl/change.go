// This file implements the commands that change rows of the table.

package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/table"
)

// idPrefix is the prefix of randomly generated change identifiers.
const idPrefix = "ctl-"

// changeMetadata returns the metadata of a change. Its base version is current, unless
// -base gives another.
func (o options) changeMetadata(current table.Version) (adminapi.ChangeMetadata, error) {
	if o.reason == "" {
		return adminapi.ChangeMetadata{}, newUsageError("-reason is required for a change")
	}
	metadata := adminapi.ChangeMetadata{ID: o.id, Reason: o.reason, BaseVersion: &current, DryRun: o.dryRun}
	if metadata.ID == "" {
		metadata.ID = idPrefix + strings.ToLower(rand.Text())
	}
	if o.base != currentBase {
		current = table.Version(o.base)
	}
	return metadata, nil
}

func drain(ctx context.Context, inv invocation) error   { return inv.setDrain(ctx, true) }
func undrain(ctx context.Context, inv invocation) error { return inv.setDrain(ctx, false) }

func (i invocation) setDrain(ctx context.Context, drain bool) error {
	if err := i.checkArguments(1, 1, "one ROW"); err != nil {
		return err
	}
	return i.changeRow(ctx, adminapi.CellUpdate{Drain: &drain})
}

func setCells(ctx context.Context, inv invocation) error {
	if len(inv.arguments) < 2 {
		return newUsageError("the command takes a ROW and at least one COLUMN=VALUE")
	}
	var update adminapi.CellUpdate
	for _, assignment := range inv.arguments[1:] {
		if err := assign(&update, assignment); err != nil {
			return err
		}
	}
	return inv.changeRow(ctx, update)
}

// assign sets a cell of update from an assignment such as weight=5.
func assign(update *adminapi.CellUpdate, assignment string) error {
	column, value, found := strings.Cut(assignment, "=")
	if !found {
		return newUsageError("%q is not COLUMN=VALUE", assignment)
	}
	switch column {
	case "weight":
		return assignNumber(&update.Weight, column, value)
	case "connection_limit":
		return assignNumber(&update.ConnectionLimit, column, value)
	case "drain":
		drain, err := strconv.ParseBool(value)
		if err != nil {
			return newUsageError("drain=%s: must be true or false", value)
		}
		update.Drain = &drain
		return nil
	case "zone":
		update.Zone = &value
		return nil
	}
	return newUsageError("column %q: must be weight, connection_limit, drain or zone", column)
}

func assignNumber(cell **uint32, column, value string) error {
	number, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		return newUsageError("%s=%s: must be a whole number", column, value)
	}
	assigned := uint32(number)
	*cell = &assigned
	return nil
}

// changeRow sets cells of the row named by the first argument. The change conflicts
// if the row is modified in the meantime.
func (i invocation) changeRow(ctx context.Context, update adminapi.CellUpdate) error {
	client, err := i.options.connect()
	if err != nil {
		return err
	}
	response, err := client.Table(ctx, "")
	if err != nil {
		return err
	}
	update.Backend, err = findRow(response.Table, i.arguments[0])
	if err != nil {
		return err
	}
	metadata, err := i.options.changeMetadata(response.Table.Version)
	if err != nil {
		return err
	}
	return i.submit(ctx, client, adminapi.ChangeRequest{
		ChangeMetadata: metadata,
		ExpectedRows:   []adminapi.RowVersion{{Backend: update.Backend, Version: rowVersion(response.RowVersions, update.Backend)}},
		Operations:     adminapi.Operations{SetCells: []adminapi.CellUpdate{update}},
	})
}

// findRow returns the identifier of the row given as SERVICE/NAME or identifier.
func findRow(searched *table.Table, text string) (table.BackendID, error) {
	for _, row := range searched.Backends {
		service, _ := searched.Service(row.Service)
		if !row.Removed && text == service.Name+"/"+row.Name {
			return row.ID, nil
		}
	}
	id, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, newUsageError("no row %q; a row is SERVICE/NAME or an identifier", text)
	}
	return table.BackendID(id), nil
}

func rowVersion(versions []adminapi.RowVersion, id table.BackendID) table.Version {
	for _, row := range versions {
		if row.Backend == id {
			return row.Version
		}
	}
	return 0
}

// importFile submits the change from the current table to that of a file. The
// change conflicts if the table is modified in the meantime.
func importFile(ctx context.Context, inv invocation) error {
	if err := inv.checkArguments(1, 1, "one FILE"); err != nil {
		return err
	}
	client, err := inv.options.connect()
	if err != nil {
		return err
	}
	response, err := client.Table(ctx, "")
	if err != nil {
		return err
	}
	wanted, err := readTable(inv.arguments[0], response.Table)
	if err != nil {
		return err
	}
	missing := adminapi.KeepMissing
	if inv.options.removeMissing {
		missing = adminapi.RemoveMissing
	}
	operations, err := adminapi.Plan(response.Table, wanted, missing)
	if err != nil {
		return outcomeError{adminapi.Refused, err.Error()}
	}
	if operations.Empty() {
		fmt.Fprintf(inv.output, "nothing to change at version %d\n", response.Table.Version)
		return nil
	}
	metadata, err := inv.options.changeMetadata(response.Table.Version)
	if err != nil {
		return err
	}
	return inv.submit(ctx, client, adminapi.ChangeRequest{
		ChangeMetadata: metadata, ExpectedVersion: response.Table.Version, Operations: operations,
	})
}

func (i invocation) submit(ctx context.Context, client *adminapi.Client, change adminapi.ChangeRequest) error {
	response, err := client.Change(ctx, change)
	if err != nil {
		return err
	}
	if err := i.printChangeResponse(response); err != nil {
		return err
	}
	return outcomeToError(response, *change.BaseVersion)
}

func (i invocation) printChangeResponse(response adminapi.ChangeResponse) error {
	if i.options.format(formatTable) == formatJSON {
		return printJSON(i.output, response)
	}
	if response.DryRun && len(response.Cells) > 0 {
		if err := i.print(response.Cells, cellGrid(response.Cells)); err != nil {
			return err
		}
	}
	if response.Outcome != adminapi.Accepted || i.options.format(formatTable) == formatCSV {
		return nil
	}
	if response.DryRun {
		fmt.Fprintln(i.output, "dry run: would be accepted")
		return nil
	}
	fmt.Fprintf(i.output, "accepted: version %d, change %s\n", response.Version, response.ID)
	return nil
}

func cellGrid(cells []adminapi.CellChange) grid {
	columns := grid{header: []string{"row", "column", "before", "after"}}
	for _, cell := range cells {
		columns.rows = append(columns.rows, []string{cell.Row, cell.Column, cell.Before, cell.After})
	}
	return columns
}

// outcomeToError returns an outcomeError unless the change was accepted.
func outcomeToError(response adminapi.ChangeResponse, base table.Version) error {
	switch response.Outcome {
	case adminapi.Accepted:
		return nil
	case adminapi.Refused, adminapi.Conflict:
		reason := "the server named no rule"
		if response.Refusal != nil {
			reason = response.Refusal.Error()
		}
		return outcomeError{response.Outcome, fmt.Sprintf("%s: %s", response.Outcome, reason)}
	case adminapi.NotAccepted:
		return outcomeError{response.Outcome, "not accepted, not applied: " + response.Message}
	}
	return outcomeError{adminapi.Unknown, fmt.Sprintf(
		"outcome unknown: %s; repeat the command with -id %s -base %d", response.Message, response.ID, base)}
}
