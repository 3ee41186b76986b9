// This file implements the summary of load from the logs of processes.

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

// loadMessage is the message of lines that sum up the load of a service and priority.
const loadMessage = "load"

// loadLine is one line of load.
type loadLine struct {
	Service   string         `json:"service"`
	Priority  string         `json:"priority"`
	Asked     int            `json:"asked"`
	Answered  int            `json:"answered"`
	Placed    int            `json:"placed"`
	Expired   int            `json:"expired"`
	Ownerless int            `json:"ownerless"`
	Returned  map[string]int `json:"returned"`
	Refused   map[string]int `json:"refused"`
	// Waits are counts by their upper bound in milliseconds; those beyond all bounds have
	// none.
	Waits     map[string]int `json:"waits"`
	LongestMS float64        `json:"longest_ms"`
}

// classLoad is the load of a service and priority over a span of time.
type classLoad struct {
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

// load prints what processes did with the load of each service and priority, given their
// logs.
func load(_ context.Context, called invocation) error {
	if len(called.arguments) == 0 {
		return wrongUsage("load takes FILES of logs")
	}
	span, err := called.options.span()
	if err != nil {
		return wrongUsage("%s", err)
	}
	lines, err := readLogs(called.arguments)
	if err != nil {
		return err
	}
	summed := sumLoad(lines, span)
	summed = slices.DeleteFunc(summed, func(each classLoad) bool {
		ofService := called.options.service == "" || each.Service == called.options.service
		return !ofService || called.options.priority != "" && each.Priority != called.options.priority
	})
	if len(summed) == 0 {
		return errors.New("no log has a line of such load in that time")
	}
	return called.print(summed, loadGrid(summed))
}

// timeSpan is a span of time, open where an end is zero.
type timeSpan struct{ from, to time.Time }

// contains reports whether a time is in the span.
func (s timeSpan) contains(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || !at.After(s.to))
}

// sumLoad sums up the lines of load in a span, by service and priority.
func sumLoad(lines []logLine, span timeSpan) []classLoad {
	sums := make(map[[2]string]*classLoad)
	for _, line := range lines {
		var read loadLine
		if line.Message != loadMessage || !span.contains(line.Time) || json.Unmarshal(line.text, &read) != nil {
			continue
		}
		key := [2]string{read.Service, read.Priority}
		if sums[key] == nil {
			sums[key] = &classLoad{
				Service: read.Service, Priority: read.Priority,
				Returned: make(map[string]int), Refused: make(map[string]int), waits: make(map[string]int),
			}
		}
		sums[key].add(read)
	}
	var all []classLoad
	for _, sum := range sums {
		sum.MedianMS = sum.median()
		all = append(all, *sum)
	}
	slices.SortFunc(all, func(a, b classLoad) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
	})
	return all
}

func (c *classLoad) add(read loadLine) {
	c.Placed += read.Placed
	c.Asked += read.Asked
	c.Answered += read.Answered
	c.Expired += read.Expired
	c.Ownerless += read.Ownerless
	c.LongestMS = max(c.LongestMS, read.LongestMS)
	addCounts(c.Returned, read.Returned)
	addCounts(c.Refused, read.Refused)
	addCounts(c.waits, read.Waits)
	for _, count := range read.Waits {
		c.Waited += count
	}
}

func addCounts(to, more map[string]int) {
	for name, count := range more {
		to[name] += count
	}
}

// median returns the bound that the median wait does not exceed, in milliseconds, empty if
// nothing waited.
func (c *classLoad) median() string {
	bounds := slices.SortedFunc(maps.Keys(c.waits), func(a, b string) int { return cmp.Compare(boundOf(a), boundOf(b)) })
	counted := 0
	for _, bound := range bounds {
		counted += c.waits[bound]
		if 2*counted >= c.Waited {
			return shownBound(bound)
		}
	}
	return ""
}

func shownBound(bucket string) string {
	if math.IsInf(boundOf(bucket), 1) {
		return bucket
	}
	return "<=" + bucket
}

// boundOf returns a bound in milliseconds, infinity for waits beyond all bounds.
func boundOf(bucket string) float64 {
	bound, err := strconv.ParseFloat(bucket, 64)
	if err != nil {
		return math.Inf(1)
	}
	return bound
}

func loadGrid(summed []classLoad) grid {
	columns := grid{header: []string{
		"service", "priority", "placed", "asked", "answered", "waited", "median ms", "longest ms", "expired", "returned",
		"refused", "ownerless",
	}}
	for _, each := range summed {
		columns.rows = append(columns.rows, []string{
			each.Service, each.Priority, strconv.Itoa(each.Placed), strconv.Itoa(each.Asked), strconv.Itoa(each.Answered),
			strconv.Itoa(each.Waited), each.MedianMS, strconv.FormatFloat(each.LongestMS, 'f', -1, 64),
			strconv.Itoa(each.Expired), reasons(each.Returned), reasons(each.Refused), strconv.Itoa(each.Ownerless),
		})
	}
	return columns
}

// reasons lists counts by reason, the most frequent first.
func reasons(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var shown []string
	for _, name := range names {
		shown = append(shown, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	return strings.Join(shown, " ")
}
