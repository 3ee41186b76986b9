// This file implements the command reach, which prints from the logs of balancers how long changes
// of the directory took to reach them.

package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/timeline"
)

// reachFlags holds the values of the flags of reach.
type reachFlags struct {
	minShare float64
	json     bool
}

// defaultMinShare omits changes that were lost before nearly all balancers had received them.
const defaultMinShare = 0.98

func reachCommand(arguments []string) int {
	var values reachFlags
	flags := flag.NewFlagSet("reach", flag.ContinueOnError)
	flags.SetOutput(os.Stderr)
	flags.Float64Var(&values.minShare, "part", defaultMinShare, "smallest `share` of the balancers that must have received a change for it to be shown")
	flags.BoolVar(&values.json, "json", false, "print a JSON array")
	err := flags.Parse(arguments)
	if err == nil && flags.NArg() != 1 {
		err = errors.New("reach needs exactly one file, with the logs of all balancers")
	}
	if err != nil {
		return usageError(err)
	}
	if err := printReach(values, flags.Arg(0)); err != nil {
		fmt.Fprintln(os.Stderr, "vanetiller-bench:", err)
		return exitFailure
	}
	return exitOK
}

func printReach(values reachFlags, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	defer file.Close()
	changes, err := timeline.ReadPropagation(file, values.minShare)
	if err != nil {
		return errors.Wrap(err, path)
	}
	if values.json {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(changes), "print the changes")
	}
	columns := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(columns, "FIRST\tVERSION\tREVISION\tBALANCERS\tMEDIAN MS\tP99 MS\tLONGEST MS")
	for _, each := range changes {
		fmt.Fprintf(columns, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\n", each.First.Format("15:04:05.000"),
			formatNumber(each.Version), formatNumber(each.Revision), each.Processes, each.Median, each.P99, each.Longest)
	}
	return errors.Wrap(columns.Flush(), "print the changes")
}

// formatNumber returns the number in decimal, or an empty string for zero.
func formatNumber(value uint64) string {
	if value == 0 {
		return ""
	}
	return fmt.Sprint(value)
}
