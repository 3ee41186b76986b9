// Package timeline tells from the logs of vanetiller-relay how long processes took after
// their start until they knew the directory, placed a flow, or gave their endpoint one.
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

// longestLine bounds a line of a log, in bytes.
const maxLineLength = 1 << 20

// startMessage is the message of a process that has been started.
const startMessage = "daemon started"

// Step is something that a process does for the first time after its start.
type Step string

// The steps, by the message or the event of the log line that shows them.
const (
	// StepDirectory: a balancer knows routes and endpoints.
	StepDirectory Step = "directory changed"
	// StepReleased: a balancer handles a packet that came before that.
	StepReleased Step = "released"
	// StepPlaced: an endpoint has answered an opening packet of a balancer's.
	StepPlaced Step = "placed"
	// StepDelivered: an agent gives its endpoint a request.
	StepDelivered Step = "given"
	// StepAnswered: an agent's endpoint begins to answer one.
	StepAnswered Step = "answered"
)

// Steps lists all steps in the order in which they follow each other.
func Steps() []Step {
	return []Step{StepDirectory, StepReleased, StepPlaced, StepDelivered, StepAnswered}
}

// Start is one start of a process.
type Start struct {
	Process string
	At      time.Time
	// After tells how long after it steps were taken; those that were not are left out.
	After map[Step]time.Duration
}

// line is what is read of a line of a log.
type logLine struct {
	Time    time.Time `json:"time"`
	Name    string    `json:"name"`
	Message string    `json:"msg"`
	Event   string    `json:"event"`
	// Version and Revision are those of the directory, in lines about its change.
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
}

// Read returns the starts that a log shows, of any number of processes, in the order of
// time. It takes lines that are JSON objects, whatever stands before these. It fails if the
// input does.
func Read(input io.Reader) ([]Start, error) {
	lines, err := readLines(input)
	if err != nil {
		return nil, err
	}
	return startsOf(lines), nil
}

// readLines returns the lines of a log that are JSON objects of a process, in the order of
// time.
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
		return nil, errors.Wrap(err, "log")
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

// Between returns the starts from one time to another, each since the first start.
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

// Summary tells how long a step took after the starts that came to it.
type Summary struct {
	Step Step `json:"step"`
	// Starts is the number of starts that came to the step.
	Starts int `json:"starts"`
	// The times are in milliseconds.
	Median  float64 `json:"median_ms"`
	P90     float64 `json:"p90_ms"`
	Longest float64 `json:"longest_ms"`
}

// Summarize returns a summary for each step that any start came to.
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

// StepTimes returns how long a step took, in milliseconds and in order.
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

// quantile returns the least of sorted times that is not below a part of them.
func quantile(sorted []float64, rank float64) float64 {
	index := int(rank*float64(len(sorted))+0.5) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}
