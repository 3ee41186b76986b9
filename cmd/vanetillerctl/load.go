// This file implements the load command, which sums up the load of services from log files.

package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// loadMessage is the message of log lines with the load of a service and priority over an
// interval.
const loadMessage = "load"

// loadRecord is one log line with the message loadMessage.
type loadRecord struct {
	Service   string         `json:"service"`
	Priority  string         `json:"priority"`
	Asked     int            `json:"asked"`
	Answered  int            `json:"answered"`
	Placed    int            `json:"placed"`
	Expired   int            `json:"expired"`
	Ownerless int            `json:"ownerless"`
	Returned  map[string]int `json:"returned"`
	Refused   map[string]int `json:"refused"`
	// Waits maps the upper bound of a histogram bucket, in milliseconds, to the number of
	// waits in it. The key of the last bucket, which has no upper bound, is not a number.
	Waits     map[string]int `json:"waits"`
	LongestMS float64        `json:"longest_ms"`
}

// loadSummary is the total load of a service and priority over a time range.
type loadSummary struct {
	Service   string         `json:"service"`
	Priority  string         `json:"priority"`
	Placed    int            `json:"placed"`
	Asked     int            `json:"asked"`
	Answered  int            `json:"answered"`
	Waited    int            `json:"waited"`
	MedianMS  string         `json:"median_ms"`
	LongestMS float64        `json:"longest_ms"`
	Expired   int            `json:"expired"`
	Returned  map[string]int `json:"returned"`
	Refused   map[string]int `json:"refused"`
	Ownerless int            `json:"ownerless"`
	waits     map[string]int
}

// showLoad prints the total load of each service and priority from the log files given as
// arguments.
func showLoad(_ context.Context, inv invocation) error {
	if len(inv.arguments) == 0 {
		return newUsageError("load takes one or more log FILEs")
	}
	span, err := inv.options.timeRange()
	if err != nil {
		return newUsageError("%s", err)
	}
	lines, err := readLogs(inv.arguments)
	if err != nil {
		return err
	}
	summed := summarizeLoad(lines, span)
	summed = slices.DeleteFunc(summed, func(each loadSummary) bool {
		matchesService := inv.options.service == "" || each.Service == inv.options.service
		return !matchesService || inv.options.priority != "" && each.Priority != inv.options.priority
	})
	if len(summed) == 0 {
		return errors.New("no log has a load line that matches -service, -priority, -from and -to")
	}
	return inv.print(summed, loadGrid(summed))
}

// timeRange is a time range including both ends. A zero end means unbounded.
type timeRange struct{ from, to time.Time }

// contains reports whether a time is in the range.
func (r timeRange) contains(at time.Time) bool {
	return !at.Before(r.from) && (r.to.IsZero() || !at.After(r.to))
}

// summarizeLoad adds up the load lines in a time range by service and priority. The result is
// sorted by service and priority.
func summarizeLoad(lines []logLine, span timeRange) []loadSummary {
	sums := make(map[[2]string]*loadSummary)
	for _, line := range lines {
		var read loadRecord
		if line.Message != loadMessage || !span.contains(line.Time) || json.Unmarshal(line.text, &read) != nil {
			continue
		}
		key := [2]string{read.Service, read.Priority}
		if sums[key] == nil {
			sums[key] = &loadSummary{
				Service: read.Service, Priority: read.Priority,
				Returned: make(map[string]int), Refused: make(map[string]int), waits: make(map[string]int),
			}
		}
		sums[key].add(read)
	}
	var all []loadSummary
	for _, sum := range sums {
		sum.MedianMS = sum.median()
		all = append(all, *sum)
	}
	slices.SortFunc(all, func(a, b loadSummary) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
	})
	return all
}

func (s *loadSummary) add(read loadRecord) {
	s.Placed += read.Placed
	s.Asked += read.Asked
	s.Answered += read.Answered
	s.Expired += read.Expired
	s.Ownerless += read.Ownerless
	s.LongestMS = max(s.LongestMS, read.LongestMS)
	addCounts(s.Returned, read.Returned)
	addCounts(s.Refused, read.Refused)
	addCounts(s.waits, read.Waits)
	for _, count := range read.Waits {
		s.Waited += count
	}
}

func addCounts(to, more map[string]int) {
	for name, count := range more {
		to[name] += count
	}
}

// median returns the upper bound in milliseconds of the bucket with the median wait, empty
// if there were no waits.
func (s *loadSummary) median() string {
	bounds := slices.SortedFunc(maps.Keys(s.waits), func(a, b string) int { return cmp.Compare(parseBound(a), parseBound(b)) })
	counted := 0
	for _, bound := range bounds {
		counted += s.waits[bound]
		if 2*counted >= s.Waited {
			return formatBound(bound)
		}
	}
	return ""
}

func formatBound(bucket string) string {
	if math.IsInf(parseBound(bucket), 1) {
		return bucket
	}
	return "<=" + bucket
}

// parseBound returns the upper bound of a bucket in milliseconds, or infinity for the bucket
// without an upper bound.
func parseBound(bucket string) float64 {
	bound, err := strconv.ParseFloat(bucket, 64)
	if err != nil {
		return math.Inf(1)
	}
	return bound
}

func loadGrid(summed []loadSummary) grid {
	columns := grid{header: []string{
		"service", "priority", "placed", "asked", "answered", "waited", "median ms", "longest ms", "expired", "returned",
		"refused", "ownerless",
	}}
	for _, each := range summed {
		columns.rows = append(columns.rows, []string{
			each.Service, each.Priority, strconv.Itoa(each.Placed), strconv.Itoa(each.Asked), strconv.Itoa(each.Answered),
			strconv.Itoa(each.Waited), each.MedianMS, strconv.FormatFloat(each.LongestMS, 'f', -1, 64),
			strconv.Itoa(each.Expired), formatReasons(each.Returned), formatReasons(each.Refused), strconv.Itoa(each.Ownerless),
		})
	}
	return columns
}

// formatReasons formats counts by reason, the most frequent first.
func formatReasons(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var shown []string
	for _, name := range names {
		shown = append(shown, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	return strings.Join(shown, " ")
}
