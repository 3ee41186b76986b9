// This file implements the commands that change the table.

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

// idPrefix begins the identifiers that are chosen at random.
const idPrefix = "ctl-"

// header returns what every change has, made at a version unless -base gives
// another.
func (o options) header(current table.Version) (adminapi.ChangeMetadata, error) {
	if o.reason == "" {
		return adminapi.ChangeMetadata{}, wrongUsage("-reason is required for a change")
	}
	made := adminapi.ChangeMetadata{ID: o.id, Reason: o.reason, BaseVersion: &current, DryRun: o.dryRun}
	if made.ID == "" {
		made.ID = idPrefix + strings.ToLower(rand.Text())
	}
	if o.base != baseOfServer {
		current = table.Version(o.base)
	}
	return made, nil
}

func drain(ctx context.Context, called invocation) error   { return called.setDrain(ctx, true) }
func undrain(ctx context.Context, called invocation) error { return called.setDrain(ctx, false) }

func (i invocation) setDrain(ctx context.Context, drain bool) error {
	if err := i.takes(1, 1, "one ROW"); err != nil {
		return err
	}
	return i.changeRow(ctx, adminapi.CellUpdate{Drain: &drain})
}

func set(ctx context.Context, called invocation) error {
	if len(called.arguments) < 2 {
		return wrongUsage("the command takes a ROW and at least one COLUMN=VALUE")
	}
	var update adminapi.CellUpdate
	for _, assignment := range called.arguments[1:] {
		if err := assign(&update, assignment); err != nil {
			return err
		}
	}
	return called.changeRow(ctx, update)
}

// assign sets a cell by text such as weight=5.
func assign(update *adminapi.CellUpdate, assignment string) error {
	column, value, found := strings.Cut(assignment, "=")
	if !found {
		return wrongUsage("%q is not COLUMN=VALUE", assignment)
	}
	switch column {
	case "weight":
		return assignNumber(&update.Weight, column, value)
	case "connection_limit":
		return assignNumber(&update.ConnectionLimit, column, value)
	case "drain":
		drain, err := strconv.ParseBool(value)
		if err != nil {
			return wrongUsage("drain=%s: must be true or false", value)
		}
		update.Drain = &drain
		return nil
	case "zone":
		update.Zone = &value
		return nil
	}
	return wrongUsage("column %q: must be weight, connection_limit, drain or zone", column)
}

func assignNumber(cell **uint32, column, value string) error {
	number, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		return wrongUsage("%s=%s: must be a whole number", column, value)
	}
	assigned := uint32(number)
	*cell = &assigned
	return nil
}

// changeRow sets cells of the row that the first argument names, unless the
// row changes in the meantime.
func (i invocation) changeRow(ctx context.Context, update adminapi.CellUpdate) error {
	client, err := i.options.connect()
	if err != nil {
		return err
	}
	answer, err := client.Table(ctx, "")
	if err != nil {
		return err
	}
	update.Backend, err = findRow(answer.Table, i.arguments[0])
	if err != nil {
		return err
	}
	made, err := i.options.header(answer.Table.Version)
	if err != nil {
		return err
	}
	return i.submit(ctx, client, adminapi.ChangeRequest{
		ChangeMetadata: made,
		ExpectedRows:   []adminapi.RowVersion{{Backend: update.Backend, Version: rowVersion(answer.RowVersions, update.Backend)}},
		Operations:     adminapi.Operations{SetCells: []adminapi.CellUpdate{update}},
	})
}

// findRow finds a row by SERVICE/NAME or identifier.
func findRow(searched *table.Table, text string) (table.BackendID, error) {
	for _, row := range searched.Backends {
		service, _ := searched.Service(row.Service)
		if !row.Removed && text == service.Name+"/"+row.Name {
			return row.ID, nil
		}
	}
	id, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, wrongUsage("no row %q; rows are SERVICE/NAME or an identifier", text)
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

// importFile applies to the table that was read, and to no later one.
func importFile(ctx context.Context, called invocation) error {
	if err := called.takes(1, 1, "one FILE"); err != nil {
		return err
	}
	client, err := called.options.connect()
	if err != nil {
		return err
	}
	answer, err := client.Table(ctx, "")
	if err != nil {
		return err
	}
	wanted, err := readTable(called.arguments[0], answer.Table)
	if err != nil {
		return err
	}
	missing := adminapi.KeepMissing
	if called.options.removeMissing {
		missing = adminapi.RemoveMissing
	}
	parts, err := adminapi.Plan(answer.Table, wanted, missing)
	if err != nil {
		return outcomeError{adminapi.Refused, err.Error()}
	}
	if parts.Empty() {
		fmt.Fprintf(called.output, "nothing to change at version %d\n", answer.Table.Version)
		return nil
	}
	made, err := called.options.header(answer.Table.Version)
	if err != nil {
		return err
	}
	return called.submit(ctx, client, adminapi.ChangeRequest{
		ChangeMetadata: made, ExpectedVersion: answer.Table.Version, Operations: parts,
	})
}

func (i invocation) submit(ctx context.Context, client *adminapi.Client, change adminapi.ChangeRequest) error {
	answer, err := client.Change(ctx, change)
	if err != nil {
		return err
	}
	if err := i.printAnswer(answer); err != nil {
		return err
	}
	return outcomeOf(answer, *change.BaseVersion)
}

func (i invocation) printAnswer(answer adminapi.ChangeResponse) error {
	if i.options.format(formatTable) == formatJSON {
		return printJSON(i.output, answer)
	}
	if answer.DryRun && len(answer.Cells) > 0 {
		if err := i.print(answer.Cells, cellGrid(answer.Cells)); err != nil {
			return err
		}
	}
	if answer.Outcome != adminapi.Accepted || i.options.format(formatTable) == formatCSV {
		return nil
	}
	if answer.DryRun {
		fmt.Fprintln(i.output, "dry run: would be accepted")
		return nil
	}
	fmt.Fprintf(i.output, "accepted: version %d, change %s\n", answer.Version, answer.ID)
	return nil
}

func cellGrid(cells []adminapi.CellChange) grid {
	columns := grid{header: []string{"row", "column", "before", "after"}}
	for _, cell := range cells {
		columns.rows = append(columns.rows, []string{cell.Row, cell.Column, cell.Before, cell.After})
	}
	return columns
}

// outcomeOf returns the error of a change that was not accepted.
func outcomeOf(answer adminapi.ChangeResponse, base table.Version) error {
	switch answer.Outcome {
	case adminapi.Accepted:
		return nil
	case adminapi.Refused, adminapi.Conflict:
		reason := "no rule is named"
		if answer.Refusal != nil {
			reason = answer.Refusal.Error()
		}
		return outcomeError{answer.Outcome, fmt.Sprintf("%s: %s", answer.Outcome, reason)}
	case adminapi.NotAccepted:
		return outcomeError{answer.Outcome, "not accepted, not applied: " + answer.Message}
	}
	return outcomeError{adminapi.Unknown, fmt.Sprintf(
		"outcome not known: %s; repeat the command with -id %s -base %d", answer.Message, answer.ID, base)}
}
