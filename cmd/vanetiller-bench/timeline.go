// This file implements the command timeline, which prints from logs when processes reached each step
// after their starts.

package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/timeline"
)

// timelineFlags holds the values of the flags of timeline.
type timelineFlags struct {
	from, to time.Duration
	plot     string
	json     bool
}

const entireLog = 1000 * time.Hour

func timelineCommand(arguments []string) int {
	var values timelineFlags
	flags := flag.NewFlagSet("timeline", flag.ContinueOnError)
	flags.SetOutput(os.Stderr)
	flags.DurationVar(&values.from, "from", 0, "earliest `time` of a start to include, since the first start in the logs")
	flags.DurationVar(&values.to, "to", entireLog, "latest `time` of a start to include, since the first start in the logs")
	flags.StringVar(&values.plot, "plot", "", "`file` for a plot; its name must end in png, svg or pdf (default: no plot)")
	flags.BoolVar(&values.json, "json", false, "print a JSON array")
	err := flags.Parse(arguments)
	if err == nil && flags.NArg() == 0 {
		err = errors.New("timeline needs at least one log file")
	}
	if err != nil {
		return usageError(err)
	}
	if err := printTimeline(values, flags.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "vanetiller-bench:", err)
		return exitFailure
	}
	return exitOK
}

func printTimeline(values timelineFlags, paths []string) error {
	var starts []timeline.Start
	for _, path := range paths {
		read, err := readTimeline(path)
		if err != nil {
			return errors.Wrap(err, path)
		}
		starts = append(starts, read...)
	}
	selected := timeline.Between(starts, values.from, values.to)
	if values.plot != "" {
		if err := timeline.Plot(selected, values.plot); err != nil {
			return err
		}
	}
	summaries := timeline.Summarize(selected)
	if values.json {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(summaries), "print the summaries")
	}
	columns := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(columns, "STEP\tSTARTS\tMEDIAN MS\tP90 MS\tLONGEST MS")
	for _, each := range summaries {
		fmt.Fprintf(columns, "%s\t%d\t%.1f\t%.1f\t%.1f\n", each.Step, each.Starts, each.Median, each.P90, each.Longest)
	}
	return errors.Wrap(columns.Flush(), "print the summaries")
}

func readTimeline(path string) ([]timeline.Start, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return timeline.Read(file)
}
