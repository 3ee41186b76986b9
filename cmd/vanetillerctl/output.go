// This file implements the printing of results.

package main

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

const columnGap = 2

// grid is a result in columns.
type grid struct {
	header []string
	rows   [][]string
}

// print writes a result: value as JSON, or the grid in columns or as
// comma-separated values.
func (i invocation) print(value any, columns grid) error {
	switch i.options.format(formatTable) {
	case formatJSON:
		return printJSON(i.output, value)
	case formatCSV:
		return columns.printCSV(i.output)
	}
	return columns.printAligned(i.output)
}

func printJSON(output io.Writer, value any) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "output")
}

func (g grid) printCSV(output io.Writer) error {
	writer := csv.NewWriter(output)
	if err := writer.Write(g.header); err != nil {
		return errors.Wrap(err, "output")
	}
	return errors.Wrap(writer.WriteAll(g.rows), "output")
}

func (g grid) printAligned(output io.Writer) error {
	columns := tabwriter.NewWriter(output, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(columns, strings.ToUpper(strings.Join(g.header, "\t")))
	for _, row := range g.rows {
		fmt.Fprintln(columns, strings.Join(row, "\t"))
	}
	return errors.Wrap(columns.Flush(), "output")
}
