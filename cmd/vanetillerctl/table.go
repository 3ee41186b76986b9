// This file implements the commands on tables.

package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/platform"
	"github.com/vanetiller/vanetiller/internal/table"
)

func validate(_ context.Context, path string, output io.Writer) error {
	parsed, err := readFile(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(output, "%s: valid: version %d, %d services, %d rows\n",
		path, parsed.Version, len(parsed.Services), len(parsed.Backends))
	return nil
}

func show(ctx context.Context, source string, output io.Writer) error {
	if !isURL(source) {
		parsed, err := readFile(source)
		if err != nil {
			return err
		}
		return render(output, parsed)
	}
	configuration, err := request(ctx, source)
	if err != nil {
		return err
	}
	fmt.Fprintf(output, "revision %d\n", configuration.Revision)
	return render(output, configuration.Table)
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

func request(ctx context.Context, source string) (platform.Configuration, error) {
	client, err := platform.NewClient(platform.ClientConfig{ConfigurationURL: source})
	if err != nil {
		return platform.Configuration{}, err
	}
	return client.Configuration(ctx)
}

const columnGap = 2

// render prints one line for each row, under the columns that operators edit.
func render(output io.Writer, shown *table.Table) error {
	fmt.Fprintf(output, "version %d\n", shown.Version)
	columns := tabwriter.NewWriter(output, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(columns, "SERVICE\tADDRESS\tOWNER\tBACK END\tAGENT\tWEIGHT\tLIMIT\tDRAIN")
	for _, service := range shown.Services {
		renderService(columns, shown, service)
	}
	return errors.Wrap(columns.Flush(), "output")
}

func renderService(columns io.Writer, shown *table.Table, service table.Service) {
	prefix := fmt.Sprintf("%s\t%s/%s\t%s", service.Name, service.Address, service.Protocol, service.Owner)
	empty := true
	for _, row := range shown.BackendsOf(service.ID) {
		if row.Removed {
			continue
		}
		empty = false
		fmt.Fprintf(columns, "%s\t%s\t%s\t%d\t%s\t%s\n",
			prefix, row.Name, row.Agent, row.Weight, limitText(row.ConnectionLimit), drainText(row.Drain))
	}
	if empty {
		fmt.Fprintf(columns, "%s\t-\t-\t-\t-\t-\n", prefix)
	}
}

func limitText(limit uint32) string {
	if limit == 0 {
		return "none"
	}
	return strconv.FormatUint(uint64(limit), 10)
}

func drainText(drain bool) string {
	if drain {
		return "yes"
	}
	return "no"
}
