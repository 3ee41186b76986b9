// This file implements the commands that print and compare tables.

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

func validate(_ context.Context, called invocation) error {
	if err := called.takes(1, 1, "one FILE"); err != nil {
		return err
	}
	path := called.arguments[0]
	parsed, err := readFile(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(called.output, "%s: valid: version %d, %d services, %d rows\n",
		path, parsed.Version, len(parsed.Services), len(parsed.Backends))
	return nil
}

func show(ctx context.Context, called invocation) error {
	what := "one FILE or URL, or none with -server"
	if err := called.takes(0, 1, what); err != nil {
		return err
	}
	if len(called.arguments) == 0 {
		if called.options.server == "" {
			return wrongUsage("the command takes %s", what)
		}
		current, err := called.currentTable(ctx)
		if err != nil {
			return err
		}
		return called.printTable(current)
	}
	source := called.arguments[0]
	if !isURL(source) {
		parsed, err := readFile(source)
		if err != nil {
			return err
		}
		return called.printTable(parsed)
	}
	configuration, err := request(ctx, source)
	if err != nil {
		return err
	}
	if called.options.format(formatTable) == formatTable {
		fmt.Fprintf(called.output, "revision %d\n", configuration.Revision)
	}
	return called.printTable(configuration.Table)
}

// currentTable returns the server's table, or the service of the flags.
func (i invocation) currentTable(ctx context.Context) (*table.Table, error) {
	client, err := i.options.connect()
	if err != nil {
		return nil, err
	}
	answer, err := client.Table(ctx, i.options.service)
	return answer.Table, err
}

func export(ctx context.Context, called invocation) error {
	if err := called.takes(0, 0, "no argument"); err != nil {
		return err
	}
	current, err := called.currentTable(ctx)
	if err != nil {
		return err
	}
	called.options.output = string(called.options.format(formatCSV))
	return called.printTable(current)
}

func diff(ctx context.Context, called invocation) error {
	if err := called.takes(1, 2, "one or two FILEs"); err != nil {
		return err
	}
	var before *table.Table
	var err error
	if len(called.arguments) == 1 {
		before, err = called.currentTable(ctx)
	} else {
		before, err = readTable(called.arguments[0], nil)
	}
	if err != nil {
		return err
	}
	after, err := readTable(called.arguments[len(called.arguments)-1], before)
	if err != nil {
		return err
	}
	cells := table.Diff(before, after)
	columns := grid{header: []string{"kind", "row", "column", "before", "after"}}
	for _, cell := range cells {
		columns.rows = append(columns.rows, []string{string(cell.Kind), cell.Row, cell.Column, cell.Before, cell.After})
	}
	return called.print(cells, columns)
}

func isURL(source string) bool {
	return strings.HasPrefix(source, "http://") || strings.HasPrefix(source, "https://")
}

func readFile(path string) (*table.Table, error) {
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

// isCSV decides by the name of a file.
func isCSV(path string) bool { return strings.EqualFold(filepath.Ext(path), ".csv") }

// readTable reads a file in either form. A CSV file has no services; those of
// the table that it goes with are taken.
func readTable(path string, services *table.Table) (*table.Table, error) {
	if !isCSV(path) {
		return readFile(path)
	}
	if services == nil {
		return nil, wrongUsage("the first of two files must be JSON, since %s has no services", path)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	rows, err := table.ReadCSV(bytes.NewReader(data), services.Services)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	// A spreadsheet does not tell which zones are closed; they stay as they are.
	read := &table.Table{Version: services.Version, Services: services.Services, Backends: rows, ClosedZones: services.ClosedZones}
	read.ApplyClosedZones()
	return read, errors.Wrap(read.Validate(), path)
}

func request(ctx context.Context, source string) (platform.Configuration, error) {
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
		return errors.Wrap(err, "output")
	}
	return render(i.output, shown)
}

// render prints one line for each row, under the columns that operators edit.
func render(output io.Writer, shown *table.Table) error {
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
			limitText(row.ConnectionLimit), drainText(row.Drain), zoneText(row),
		}
		lines = append(lines, append(prefix[:len(prefix):len(prefix)], cells...))
	}
	if len(lines) == 0 {
		lines = append(lines, append(prefix, "-", "-", "-", "-", "-", "-"))
	}
	return lines
}

func limitText(limit uint32) string {
	if limit == 0 {
		return "none"
	}
	return strconv.FormatUint(uint64(limit), 10)
}

func zoneText(row table.Backend) string {
	switch {
	case row.Zone == "":
		return "-"
	case row.Closed:
		return row.Zone + " (closed)"
	}
	return row.Zone
}

func drainText(drain bool) string {
	if drain {
		return "yes"
	}
	return "no"
}
