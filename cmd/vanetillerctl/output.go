// This file prints results.

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

// grid is a result in rows and columns.
type grid struct {
	header []string
	rows   [][]string
}

// print writes a result in the format of -output: value as JSON, or columns as
// aligned text or CSV.
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
	return errors.Wrap(encoder.Encode(value), "write the result")
}

func (g grid) printCSV(output io.Writer) error {
	writer := csv.NewWriter(output)
	if err := writer.Write(g.header); err != nil {
		return errors.Wrap(err, "write the result")
	}
	return errors.Wrap(writer.WriteAll(g.rows), "write the result")
}

func (g grid) printAligned(output io.Writer) error {
	columns := tabwriter.NewWriter(output, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(columns, strings.ToUpper(strings.Join(g.header, "\t")))
	for _, row := range g.rows {
		fmt.Fprintln(columns, strings.Join(row, "\t"))
	}
	return errors.Wrap(columns.Flush(), "write the result")
}
