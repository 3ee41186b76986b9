// This file implements the commands that query the history, members, outcomes and
// version status.

package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/table"
)

// waitInterval is the delay between a response and the next request of table wait.
const waitInterval = 250 * time.Millisecond

func showHistory(ctx context.Context, inv invocation) error {
	if err := inv.checkArguments(0, 0, "no argument"); err != nil {
		return err
	}
	client, err := inv.options.connect()
	if err != nil {
		return err
	}
	response, err := client.History(ctx, table.Version(inv.options.after), inv.options.limit)
	if err != nil {
		return err
	}
	return inv.print(response.Records, historyGrid(response.Records))
}

// historyGrid has one line per modified cell, since operators search the history
// by cell.
func historyGrid(records []adminapi.HistoryRecord) grid {
	columns := grid{header: []string{"version", "when", "who", "why", "change", "row", "column", "before", "after"}}
	for _, record := range records {
		cells := record.Cells
		if len(cells) == 0 {
			cells = []adminapi.CellChange{{}}
		}
		for _, cell := range cells {
			columns.rows = append(columns.rows, []string{
				formatVersion(record.Version), record.Timestamp.Format(time.RFC3339), record.Author, record.Reason, record.ID,
				cell.Row, cell.Column, cell.Before, cell.After,
			})
		}
	}
	return columns
}

func formatVersion(version table.Version) string { return strconv.FormatUint(uint64(version), 10) }

func showMembers(ctx context.Context, inv invocation) error {
	if err := inv.checkArguments(0, 0, "no argument"); err != nil {
		return err
	}
	client, err := inv.options.connect()
	if err != nil {
		return err
	}
	response, err := client.Members(ctx)
	if err != nil {
		return err
	}
	columns := grid{header: []string{"name", "zone", "state", "version"}}
	for _, member := range response.Members {
		columns.rows = append(columns.rows, []string{member.Name, member.Zone, member.State, formatVersion(member.Version)})
	}
	return inv.print(response.Members, columns)
}

func showChange(ctx context.Context, inv invocation) error {
	if err := inv.checkArguments(1, 1, "one ID"); err != nil {
		return err
	}
	client, err := inv.options.connect()
	if err != nil {
		return err
	}
	response, err := client.Outcome(ctx, inv.arguments[0])
	if err != nil {
		return err
	}
	if err := inv.printChangeResponse(response); err != nil {
		return err
	}
	if response.Outcome == adminapi.Unknown {
		return outcomeError{response.Outcome, response.Message}
	}
	return outcomeToError(response, response.Version)
}

// waitForVersion polls the server until all members have applied the version or the command
// times out.
func waitForVersion(ctx context.Context, inv invocation) error {
	if err := inv.checkArguments(1, 1, "one VERSION"); err != nil {
		return err
	}
	number, err := strconv.ParseUint(inv.arguments[0], 10, 64)
	if err != nil {
		return newUsageError("version %q is not a whole number", inv.arguments[0])
	}
	client, err := inv.options.connect()
	if err != nil {
		return err
	}
	var last adminapi.VersionStatusResponse
	for {
		response, err := client.VersionStatus(ctx, table.Version(number))
		if err != nil && (ctx.Err() == nil || last.Version == 0) {
			return err
		}
		if err == nil {
			last = response
		}
		if last.Complete() {
			fmt.Fprintf(inv.output, "version %d is in force on all %d members\n", last.Version, last.Reached)
			return nil
		}
		if !waitForInterval(ctx) {
			return notReachedError(last)
		}
	}
}

// waitForInterval waits for waitInterval. It returns false if ctx ends first.
func waitForInterval(ctx context.Context) bool {
	timer := time.NewTimer(waitInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func notReachedError(last adminapi.VersionStatusResponse) error {
	if !last.Accepted {
		return errors.Errorf("version %d has not been accepted", last.Version)
	}
	return errors.Errorf("version %d is in force on %d members and not on %s",
		last.Version, last.Reached, strings.Join(last.NotReached, ", "))
}
