// Package timeline measures from the logs of vanetiller-relay how long processes take after their
// start to reach certain steps, such as to receive the directory, place a flow or deliver a
// request. It also measures how long changes of the directory take to reach all balancers.
// Summarize and Plot evaluate the steps of all starts.
package timeline

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// maxLineLength is the longest line of a log, in bytes.
const maxLineLength = 1 << 20

// startMessage is the log message of a process that has started.
const startMessage = "daemon started"

// Step is an action of a process, of which the first after each start is measured.
type Step string

// The steps. The value is the message or the event of the log line that shows the step.
const (
	// StepDirectory means that a balancer has routes and endpoints.
	StepDirectory Step = "directory changed"
	// StepReleased means that a balancer handles a packet that arrived before StepDirectory.
	StepReleased Step = "released"
	// StepPlaced means that an endpoint has answered an opening packet from a balancer.
	StepPlaced Step = "placed"
	// StepDelivered means that an agent delivers a request to its endpoint.
	StepDelivered Step = "given"
	// StepAnswered means that the endpoint of an agent starts to answer a request.
	StepAnswered Step = "answered"
)

// Steps lists the steps in the order in which they occur.
func Steps() []Step {
	return []Step{StepDirectory, StepReleased, StepPlaced, StepDelivered, StepAnswered}
}

// Start is one start of a process.
type Start struct {
	Process string
	At      time.Time
	// After is the time from the start to each step. It does not contain steps that did not
	// occur.
	After map[Step]time.Duration
}

// logLine holds the fields of a log line that the package uses.
type logLine struct {
	Time    time.Time `json:"time"`
	Name    string    `json:"name"`
	Message string    `json:"msg"`
	Event   string    `json:"event"`
	// Version and Revision identify the directory in lines that report its change.
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
}

// Read returns the starts in a log in order of time. The log may contain lines of several processes.
// It ignores lines without a JSON object, and text before the object. It fails if the input cannot
// be read.
func Read(input io.Reader) ([]Start, error) {
	lines, err := readLines(input)
	if err != nil {
		return nil, err
	}
	return startsOf(lines), nil
}

// readLines returns the JSON lines of a log that name a process, in order of time.
func readLines(input io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineLength)
	var lines []logLine
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var parsed logLine
		if json.Unmarshal(scanner.Bytes()[start:], &parsed) == nil && parsed.Name != "" {
			lines = append(lines, parsed)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read the log")
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

func startsOf(lines []logLine) []Start {
	var starts []*Start
	latest := make(map[string]*Start)
	for _, parsed := range lines {
		if parsed.Message == startMessage {
			start := &Start{Process: parsed.Name, At: parsed.Time, After: make(map[Step]time.Duration)}
			starts = append(starts, start)
			latest[parsed.Name] = start
			continue
		}
		start, known := latest[parsed.Name]
		step := Step(cmp.Or(parsed.Event, parsed.Message))
		if !known || !slices.Contains(Steps(), step) {
			continue
		}
		if _, taken := start.After[step]; !taken {
			start.After[step] = parsed.Time.Sub(start.At)
		}
	}
	results := make([]Start, len(starts))
	for index, start := range starts {
		results[index] = *start
	}
	return results
}

// Between returns the starts whose time since the first start is between from and to.
func Between(starts []Start, from, to time.Duration) []Start {
	if len(starts) == 0 {
		return nil
	}
	first := slices.MinFunc(starts, func(a, b Start) int { return a.At.Compare(b.At) }).At
	return slices.DeleteFunc(slices.Clone(starts), func(start Start) bool {
		since := start.At.Sub(first)
		return since < from || since > to
	})
}

// Summary describes how long after the start a step occurred.
type Summary struct {
	Step Step `json:"step"`
	// Starts is the number of starts after which the step occurred.
	Starts int `json:"starts"`
	// The times are in milliseconds.
	Median  float64 `json:"median_ms"`
	P90     float64 `json:"p90_ms"`
	Longest float64 `json:"longest_ms"`
}

// Summarize returns a summary for each step that occurred after at least one start.
func Summarize(starts []Start) []Summary {
	var summaries []Summary
	for _, step := range Steps() {
		times := StepTimes(starts, step)
		if len(times) == 0 {
			continue
		}
		summaries = append(summaries, Summary{
			Step: step, Starts: len(times), Median: quantile(times, 0.5), P90: quantile(times, 0.9), Longest: quantile(times, 1),
		})
	}
	return summaries
}

// StepTimes returns the times from the starts to a step, in milliseconds and ascending order.
func StepTimes(starts []Start, step Step) []float64 {
	var times []float64
	for _, start := range starts {
		if after, taken := start.After[step]; taken {
			times = append(times, float64(after.Microseconds())/1000)
		}
	}
	slices.Sort(times)
	return times
}

// quantile returns the element of the sorted times at the given rank between 0 and 1. It rounds to
// the nearest element.
func quantile(sorted []float64, rank float64) float64 {
	index := int(rank*float64(len(sorted))+0.5) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}
