// This file implements the commands about zones.

package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/vanetiller/vanetiller/internal/adminapi"
)

func zones(ctx context.Context, called invocation) error {
	if err := called.takes(0, 0, "no argument"); err != nil {
		return err
	}
	client, err := called.options.connect()
	if err != nil {
		return err
	}
	answer, err := client.Zones(ctx)
	if err != nil {
		return err
	}
	return called.print(answer, zoneGrid(answer.Zones))
}

func zoneGrid(shown []adminapi.Zone) grid {
	columns := grid{header: []string{"zone", "state", "since version", "in force on", "back ends", "left without it"}}
	for _, zone := range shown {
		state, since, reached := "open", "-", "-"
		if zone.Closed {
			state, since, reached = "closed", versionText(zone.Since), reachText(zone.VersionStatus)
		}
		columns.rows = append(columns.rows, []string{
			zone.Zone, state, since, reached, strconv.Itoa(zone.Backends), sharesText(zone.Shares),
		})
	}
	return columns
}

func reachText(reach *adminapi.VersionStatusResponse) string {
	if reach == nil {
		return "-"
	}
	if len(reach.NotReached) == 0 {
		return "all"
	}
	return fmt.Sprintf("%d, not on %s", reach.Reached, strings.Join(reach.NotReached, " "))
}

func sharesText(shares []adminapi.ZoneShare) string {
	texts := make([]string, len(shares))
	for index, share := range shares {
		texts[index] = fmt.Sprintf("%s %.0f%%", share.Service, 100*share.Remaining)
	}
	return strings.Join(texts, ", ")
}

func closeZone(ctx context.Context, called invocation) error { return called.setZone(ctx, true) }
func openZone(ctx context.Context, called invocation) error  { return called.setZone(ctx, false) }

// setZone closes or opens the zone that the argument names. A dry run also tells what is
// left of each service while it is closed.
func (i invocation) setZone(ctx context.Context, closed bool) error {
	if err := i.takes(1, 1, "one ZONE"); err != nil {
		return err
	}
	client, err := i.options.connect()
	if err != nil {
		return err
	}
	current, err := client.Table(ctx, "")
	if err != nil {
		return err
	}
	made, err := i.options.header(current.Table.Version)
	if err != nil {
		return err
	}
	if made.DryRun && closed && i.options.format(formatTable) == formatTable {
		if err := i.printRemaining(ctx, client); err != nil {
			return err
		}
	}
	update := adminapi.ZoneUpdate{Zone: i.arguments[0], Closed: closed, Force: closed && i.options.force}
	return i.submit(ctx, client, adminapi.ChangeRequest{
		ChangeMetadata: made, Operations: adminapi.Operations{SetZones: []adminapi.ZoneUpdate{update}},
	})
}

func (i invocation) printRemaining(ctx context.Context, client *adminapi.Client) error {
	answer, err := client.Zones(ctx)
	if err != nil {
		return err
	}
	for _, zone := range answer.Zones {
		if zone.Zone == i.arguments[0] {
			fmt.Fprintf(i.output, "left without %s: %s\n", zone.Zone, sharesText(zone.Shares))
		}
	}
	return nil
}
