// This file implements the commands that list, close and open zones.

package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/vanetiller/vanetiller/internal/adminapi"
)

func showZones(ctx context.Context, inv invocation) error {
	if err := inv.checkArguments(0, 0, "no argument"); err != nil {
		return err
	}
	client, err := inv.options.connect()
	if err != nil {
		return err
	}
	response, err := client.Zones(ctx)
	if err != nil {
		return err
	}
	return inv.print(response, zoneGrid(response.Zones))
}

func zoneGrid(shown []adminapi.Zone) grid {
	columns := grid{header: []string{"zone", "state", "since version", "in force on", "back ends", "left without it"}}
	for _, zone := range shown {
		state, since, reached := "open", "-", "-"
		if zone.Closed {
			state, since, reached = "closed", formatVersion(zone.Since), formatVersionStatus(zone.VersionStatus)
		}
		columns.rows = append(columns.rows, []string{
			zone.Zone, state, since, reached, strconv.Itoa(zone.Backends), formatShares(zone.Shares),
		})
	}
	return columns
}

func formatVersionStatus(status *adminapi.VersionStatusResponse) string {
	if status == nil {
		return "-"
	}
	if len(status.NotReached) == 0 {
		return "all"
	}
	return fmt.Sprintf("%d, not on %s", status.Reached, strings.Join(status.NotReached, " "))
}

func formatShares(shares []adminapi.ZoneShare) string {
	texts := make([]string, len(shares))
	for index, share := range shares {
		texts[index] = fmt.Sprintf("%s %.0f%%", share.Service, 100*share.Remaining)
	}
	return strings.Join(texts, ", ")
}

func closeZone(ctx context.Context, inv invocation) error { return inv.setZone(ctx, true) }
func openZone(ctx context.Context, inv invocation) error  { return inv.setZone(ctx, false) }

// setZone closes or opens the zone given by the argument. A dry run of closing a zone also
// prints the fraction of each service that would remain.
func (i invocation) setZone(ctx context.Context, closed bool) error {
	if err := i.checkArguments(1, 1, "one ZONE"); err != nil {
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
	metadata, err := i.options.changeMetadata(current.Table.Version)
	if err != nil {
		return err
	}
	if metadata.DryRun && closed && i.options.format(formatTable) == formatTable {
		if err := i.printRemaining(ctx, client); err != nil {
			return err
		}
	}
	update := adminapi.ZoneUpdate{Zone: i.arguments[0], Closed: closed, Force: closed && i.options.force}
	return i.submit(ctx, client, adminapi.ChangeRequest{
		ChangeMetadata: metadata, Operations: adminapi.Operations{SetZones: []adminapi.ZoneUpdate{update}},
	})
}

func (i invocation) printRemaining(ctx context.Context, client *adminapi.Client) error {
	response, err := client.Zones(ctx)
	if err != nil {
		return err
	}
	for _, zone := range response.Zones {
		if zone.Zone == i.arguments[0] {
			fmt.Fprintf(i.output, "left without %s: %s\n", zone.Zone, formatShares(zone.Shares))
		}
	}
	return nil
}
