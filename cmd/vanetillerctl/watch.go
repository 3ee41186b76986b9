// This file implements the commands that print what the server knows of
// changes and members.

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

// waitInterval is the time from one answer to the next request of table wait.
const waitInterval = 250 * time.Millisecond

func history(ctx context.Context, called invocation) error {
	if err := called.takes(0, 0, "no argument"); err != nil {
		return err
	}
	client, err := called.options.connect()
	if err != nil {
		return err
	}
	answer, err := client.History(ctx, table.Version(called.options.after), called.options.limit)
	if err != nil {
		return err
	}
	return called.print(answer.Records, historyGrid(answer.Records))
}

// historyGrid has a line for each cell, since that is what is searched for.
func historyGrid(records []adminapi.HistoryRecord) grid {
	columns := grid{header: []string{"version", "when", "who", "why", "change", "row", "column", "before", "after"}}
	for _, record := range records {
		cells := record.Cells
		if len(cells) == 0 {
			cells = []adminapi.CellChange{{}}
		}
		for _, cell := range cells {
			columns.rows = append(columns.rows, []string{
				versionText(record.Version), record.Timestamp.Format(time.RFC3339), record.Author, record.Reason, record.ID,
				cell.Row, cell.Column, cell.Before, cell.After,
			})
		}
	}
	return columns
}

func versionText(version table.Version) string { return strconv.FormatUint(uint64(version), 10) }

func members(ctx context.Context, called invocation) error {
	if err := called.takes(0, 0, "no argument"); err != nil {
		return err
	}
	client, err := called.options.connect()
	if err != nil {
		return err
	}
	answer, err := client.Members(ctx)
	if err != nil {
		return err
	}
	columns := grid{header: []string{"name", "zone", "state", "version"}}
	for _, member := range answer.Members {
		columns.rows = append(columns.rows, []string{member.Name, member.Zone, member.State, versionText(member.Version)})
	}
	return called.print(answer.Members, columns)
}

func showChange(ctx context.Context, called invocation) error {
	if err := called.takes(1, 1, "one ID"); err != nil {
		return err
	}
	client, err := called.options.connect()
	if err != nil {
		return err
	}
	answer, err := client.Outcome(ctx, called.arguments[0])
	if err != nil {
		return err
	}
	if err := called.printAnswer(answer); err != nil {
		return err
	}
	if answer.Outcome == adminapi.Unknown {
		return outcomeError{answer.Outcome, answer.Message}
	}
	return outcomeOf(answer, answer.Version)
}

// wait asks until the version is in force everywhere or the time of the
// command is over.
func wait(ctx context.Context, called invocation) error {
	if err := called.takes(1, 1, "one VERSION"); err != nil {
		return err
	}
	number, err := strconv.ParseUint(called.arguments[0], 10, 64)
	if err != nil {
		return wrongUsage("version %q is not a whole number", called.arguments[0])
	}
	client, err := called.options.connect()
	if err != nil {
		return err
	}
	var last adminapi.VersionStatusResponse
	for {
		answer, err := client.VersionStatus(ctx, table.Version(number))
		if err != nil && (ctx.Err() == nil || last.Version == 0) {
			return err
		}
		if err == nil {
			last = answer
		}
		if last.Complete() {
			fmt.Fprintf(called.output, "version %d is in force on all %d members\n", last.Version, last.Reached)
			return nil
		}
		if !pause(ctx) {
			return notReached(last)
		}
	}
}

// pause waits until the next request and reports whether there is time for it.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(waitInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func notReached(last adminapi.VersionStatusResponse) error {
	if !last.Accepted {
		return errors.Errorf("version %d has not been accepted", last.Version)
	}
	return errors.Errorf("version %d is in force on %d members and not on %s",
		last.Version, last.Reached, strings.Join(last.NotReached, ", "))
}
