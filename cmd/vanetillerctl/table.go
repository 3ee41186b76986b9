// This file implements the commands that print, validate and compare tables.

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/platform"
	"github.com/vanetiller/vanetiller/internal/table"
)

func validateFile(_ context.Context, inv invocation) error {
	if err := inv.checkArguments(1, 1, "one FILE"); err != nil {
		return err
	}
	path := inv.arguments[0]
	parsed, err := readJSONTable(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(inv.output, "%s: valid: version %d, %d services, %d rows\n",
		path, parsed.Version, len(parsed.Services), len(parsed.Backends))
	return nil
}

func showTable(ctx context.Context, inv invocation) error {
	what := "one FILE or URL, or none with -server"
	if err := inv.checkArguments(0, 1, what); err != nil {
		return err
	}
	if len(inv.arguments) == 0 {
		if inv.options.server == "" {
			return newUsageError("the command takes %s", what)
		}
		current, err := inv.currentTable(ctx)
		if err != nil {
			return err
		}
		return inv.printTable(current)
	}
	source := inv.arguments[0]
	if !isURL(source) {
		parsed, err := readJSONTable(source)
		if err != nil {
			return err
		}
		return inv.printTable(parsed)
	}
	configuration, err := fetchConfiguration(ctx, source)
	if err != nil {
		return err
	}
	if inv.options.format(formatTable) == formatTable {
		fmt.Fprintf(inv.output, "revision %d\n", configuration.Revision)
	}
	return inv.printTable(configuration.Table)
}

// currentTable returns the table of the server, restricted to the service of
// -service if the flag is given.
func (i invocation) currentTable(ctx context.Context) (*table.Table, error) {
	client, err := i.options.connect()
	if err != nil {
		return nil, err
	}
	response, err := client.Table(ctx, i.options.service)
	return response.Table, err
}

func exportTable(ctx context.Context, inv invocation) error {
	if err := inv.checkArguments(0, 0, "no argument"); err != nil {
		return err
	}
	current, err := inv.currentTable(ctx)
	if err != nil {
		return err
	}
	inv.options.output = string(inv.options.format(formatCSV))
	return inv.printTable(current)
}

func diffTables(ctx context.Context, inv invocation) error {
	if err := inv.checkArguments(1, 2, "one or two FILEs"); err != nil {
		return err
	}
	var before *table.Table
	var err error
	if len(inv.arguments) == 1 {
		before, err = inv.currentTable(ctx)
	} else {
		before, err = readTable(inv.arguments[0], nil)
	}
	if err != nil {
		return err
	}
	after, err := readTable(inv.arguments[len(inv.arguments)-1], before)
	if err != nil {
		return err
	}
	cells := table.Diff(before, after)
	columns := grid{header: []string{"kind", "row", "column", "before", "after"}}
	for _, cell := range cells {
		columns.rows = append(columns.rows, []string{string(cell.Kind), cell.Row, cell.Column, cell.Before, cell.After})
	}
	return inv.print(cells, columns)
}

func isURL(source string) bool {
	return strings.HasPrefix(source, "http://") || strings.HasPrefix(source, "https://")
}

func readJSONTable(path string) (*table.Table, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	parsed, err := table.Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	if parsed.Version == 0 {
		return nil, errors.Errorf("%s: version must not be 0", path)
	}
	return parsed, nil
}

// isCSV reports whether the name of a file ends in .csv.
func isCSV(path string) bool { return strings.EqualFold(filepath.Ext(path), ".csv") }

// readTable reads a CSV or JSON file. A CSV file holds only rows; its services are
// taken from the table in the parameter services.
func readTable(path string, services *table.Table) (*table.Table, error) {
	if !isCSV(path) {
		return readJSONTable(path)
	}
	if services == nil {
		return nil, newUsageError("the first of two files must be JSON: the CSV file %s has no services", path)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	rows, err := table.ReadCSV(bytes.NewReader(data), services.Services)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	// A CSV file does not contain closed zones, so they are left unchanged.
	read := &table.Table{Version: services.Version, Services: services.Services, Backends: rows, ClosedZones: services.ClosedZones}
	read.ApplyClosedZones()
	return read, errors.Wrap(read.Validate(), path)
}

func fetchConfiguration(ctx context.Context, source string) (platform.Configuration, error) {
	client, err := platform.NewClient(platform.ClientConfig{ConfigurationURL: source})
	if err != nil {
		return platform.Configuration{}, err
	}
	return client.Configuration(ctx)
}

func (i invocation) printTable(shown *table.Table) error {
	switch i.options.format(formatTable) {
	case formatCSV:
		return table.WriteCSV(i.output, shown)
	case formatJSON:
		encoded, err := shown.Encode()
		if err != nil {
			return err
		}
		_, err = i.output.Write(append(encoded, '\n'))
		return errors.Wrap(err, "write the result")
	}
	return printRows(i.output, shown)
}

// printRows prints one line per row, with the columns that operators edit.
func printRows(output io.Writer, shown *table.Table) error {
	fmt.Fprintf(output, "version %d\n", shown.Version)
	columns := grid{header: []string{"service", "address", "owner", "back end", "agent", "weight", "limit", "drain"}}
	zoned := slices.ContainsFunc(shown.Backends, func(row table.Backend) bool { return row.Zone != "" })
	if zoned {
		columns.header = append(columns.header, "zone")
	}
	for _, service := range shown.Services {
		for _, line := range serviceLines(shown, service) {
			columns.rows = append(columns.rows, line[:len(columns.header)])
		}
	}
	return columns.printAligned(output)
}

func serviceLines(shown *table.Table, service table.Service) [][]string {
	prefix := []string{service.Name, fmt.Sprintf("%s/%s", service.Address, service.Protocol), service.Owner}
	var lines [][]string
	for _, row := range shown.BackendsOf(service.ID) {
		if row.Removed {
			continue
		}
		cells := []string{
			row.Name, string(row.Agent), strconv.FormatUint(uint64(row.Weight), 10),
			formatLimit(row.ConnectionLimit), formatDrain(row.Drain), formatZone(row),
		}
		lines = append(lines, append(prefix[:len(prefix):len(prefix)], cells...))
	}
	if len(lines) == 0 {
		lines = append(lines, append(prefix, "-", "-", "-", "-", "-", "-"))
	}
	return lines
}

func formatLimit(limit uint32) string {
	if limit == 0 {
		return "none"
	}
	return strconv.FormatUint(uint64(limit), 10)
}

func formatZone(row table.Backend) string {
	switch {
	case row.Zone == "":
		return "-"
	case row.Closed:
		return row.Zone + " (closed)"
	}
	return row.Zone
}

func formatDrain(drain bool) string {
	if drain {
		return "yes"
	}
	return "no"
}
