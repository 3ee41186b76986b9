package timeline

import (
	"io"
	"slices"
	"time"
)

// Propagation describes how long after the first process the others received a change of the
// directory.
type Propagation struct {
	// Version is the version of the configuration that changed, or zero if endpoints changed.
	// Revision identifies a change of endpoints and is zero otherwise.
	Version  uint64 `json:"version,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// First is the time at which the first process had the change.
	First time.Time `json:"first"`
	// Processes is the number of processes that received the change.
	Processes int `json:"processes"`
	// The times are in milliseconds.
	Median  float64 `json:"median_ms"`
	P99     float64 `json:"p99_ms"`
	Longest float64 `json:"longest_ms"`
}

// ReadPropagation returns the changes that a log shows, in the order of time: configurations, and
// the revisions at which any process had a new directory. It omits changes that less than minShare
// of all processes received, such as those before a loss of power.
func ReadPropagation(input io.Reader, minShare float64) ([]Propagation, error) {
	lines, err := readLines(input)
	if err != nil {
		return nil, err
	}
	lines = slices.DeleteFunc(lines, func(l logLine) bool { return Step(l.Message) != StepDirectory })
	processes := make(map[string]bool)
	versions := make(map[uint64]bool)
	revisions := make(map[uint64]bool)
	for _, l := range lines {
		processes[l.Name] = true
		versions[l.Version] = true
		revisions[l.Revision] = true
	}
	var changes []Propagation
	for version := range versions {
		changes = append(changes, measurePropagation(lines, Propagation{Version: version}, func(l logLine) bool { return l.Version >= version }))
	}
	for revision := range revisions {
		changes = append(changes, measurePropagation(lines, Propagation{Revision: revision}, func(l logLine) bool { return l.Revision >= revision }))
	}
	minProcesses := minShare * float64(len(processes))
	changes = slices.DeleteFunc(changes, func(p Propagation) bool { return float64(p.Processes) < minProcesses })
	slices.SortFunc(changes, func(a, b Propagation) int { return a.First.Compare(b.First) })
	return changes, nil
}

// measurePropagation fills in how long it took until each process logged a line that reflects the
// change.
func measurePropagation(lines []logLine, change Propagation, reflects func(logLine) bool) Propagation {
	known := make(map[string]bool)
	var times []float64
	for _, l := range lines {
		if known[l.Name] || !reflects(l) {
			continue
		}
		known[l.Name] = true
		if len(times) == 0 {
			change.First = l.Time
		}
		times = append(times, float64(l.Time.Sub(change.First).Microseconds())/1000)
	}
	change.Processes = len(times)
	if len(times) > 0 {
		change.Median, change.P99, change.Longest = quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1)
	}
	return change
}
