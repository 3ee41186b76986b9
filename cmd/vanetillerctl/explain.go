// This file implements the explanation of a request from the logs of processes.

package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// explainMargin is how long before and after a request lines about the processes
	// themselves are shown.
	explainMargin = 2 * time.Second
	// longestLogLine bounds a line of a log, in bytes.
	longestLogLine = 1 << 20
	// decisionMessage is the message of lines about one flow.
	decisionMessage = "decision"
)

// logLine is one line of a process's log.
type logLine struct {
	Time    time.Time `json:"time"`
	Name    string    `json:"name"`
	Message string    `json:"msg"`
	Event   string    `json:"event"`
	Client  string    `json:"client"`
	Service string    `json:"service"`
	Request string    `json:"request"`
	Entry   string    `json:"entry"`
	// text is the whole line.
	text []byte
}

// flow returns the client's address and the one it called.
func (l logLine) flow() [2]string { return [2]string{l.Client, l.Service} }

// about reports whether the line is about an entry of the store, given its key or the last
// part of that.
func (l logLine) about(entry string) bool {
	return l.Entry != "" && (l.Entry == entry || strings.HasSuffix(l.Entry, "/"+entry))
}

// explain prints in the order of time what several processes did with the flows of a
// request, given its identifier or the address of its client, and what happened to
// these processes meanwhile.
func explain(_ context.Context, called invocation) error {
	if len(called.arguments) < 2 {
		return wrongUsage("explain takes the identifier of a request, a client's address and port, or an entry of the store, and FILES of logs")
	}
	lines, err := readLogs(called.arguments[1:])
	if err != nil {
		return err
	}
	found := explaining(lines, called.arguments[0])
	if len(found) == 0 {
		return errors.Errorf("no log has a line of %s", called.arguments[0])
	}
	if called.options.format(formatTable) == formatJSON {
		for _, line := range found {
			fmt.Fprintf(called.output, "%s\n", line.text)
		}
		return nil
	}
	return called.print(nil, explanation(found))
}

func readLogs(paths []string) ([]logLine, error) {
	var lines []logLine
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		read, err := readLog(file)
		_ = file.Close()
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// readLog reads the lines that are JSON objects, whatever stands before these, as a
// collector may add the machine.
func readLog(input io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, longestLogLine)
	var lines []logLine
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		line := logLine{text: bytes.Clone(scanner.Bytes()[start:])}
		if json.Unmarshal(line.text, &line) == nil {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// explaining returns the lines about an entry of the store or, of a request, those of all
// its flows and those about the processes that had them from shortly before to shortly after.
func explaining(lines []logLine, wanted string) []logLine {
	ofEntry := slices.DeleteFunc(slices.Clone(lines), func(line logLine) bool { return !line.about(wanted) })
	if len(ofEntry) > 0 {
		return ofEntry
	}
	flows := make(map[[2]string]bool)
	for _, line := range lines {
		if line.Client != "" && (line.Request == wanted || line.Client == wanted) {
			flows[line.flow()] = true
		}
	}
	var first, last time.Time
	names := make(map[string]bool)
	for _, line := range lines {
		if !flows[line.flow()] {
			continue
		}
		if first.IsZero() {
			first = line.Time
		}
		last = line.Time
		names[line.Name] = true
	}
	return slices.DeleteFunc(slices.Clone(lines), func(line logLine) bool {
		if flows[line.flow()] {
			return false
		}
		ofProcess := line.Message != decisionMessage || line.Client == ""
		near := line.Time.After(first.Add(-explainMargin)) && line.Time.Before(last.Add(explainMargin))
		return !ofProcess || !names[line.Name] || !near
	})
}

// shownApart are the fields that have columns of their own, or are not shown.
var shownApart = []string{"time", "level", "msg", "name", "zone", "event"}

func explanation(lines []logLine) grid {
	columns := grid{header: []string{"time", "process", "what", "details"}}
	for _, line := range lines {
		what := cmp.Or(line.Event, line.Message)
		columns.rows = append(columns.rows, []string{line.Time.Format("15:04:05.000000"), line.Name, what, details(line)})
	}
	return columns
}

func details(line logLine) string {
	var fields map[string]any
	if json.Unmarshal(line.text, &fields) != nil {
		return ""
	}
	for _, name := range shownApart {
		delete(fields, name)
	}
	var shown []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		shown = append(shown, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(shown, " ")
}
