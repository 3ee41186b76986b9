// This file implements the explain command, which shows from log files what happened to
// one request.

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
	// explainWindow is how long before the first and after the last line of a request
	// lines about the processes themselves are shown.
	explainWindow = 2 * time.Second
	// maxLogLineLength is the maximum length of a log line, in bytes.
	maxLogLineLength = 1 << 20
	// decisionMessage is the message of log lines about single flows.
	decisionMessage = "decision"
)

// logLine is one line of the JSON log of a process.
type logLine struct {
	Time    time.Time `json:"time"`
	Name    string    `json:"name"`
	Message string    `json:"msg"`
	Event   string    `json:"event"`
	Client  string    `json:"client"`
	Service string    `json:"service"`
	Request string    `json:"request"`
	Entry   string    `json:"entry"`
	// text is the complete JSON text of the line.
	text []byte
}

// flow returns the addresses of the client and the service.
func (l logLine) flow() [2]string { return [2]string{l.Client, l.Service} }

// refersTo reports whether the line refers to an entry of the store, given its key or the last
// path element of the key.
func (l logLine) refersTo(entry string) bool {
	return l.Entry != "" && (l.Entry == entry || strings.HasSuffix(l.Entry, "/"+entry))
}

// explain prints, in order of time, the log lines of several processes about the flows of a
// request and about these processes around that time. The first argument is the identifier
// of the request, the address of its client, or an entry of the store.
func explain(_ context.Context, inv invocation) error {
	if len(inv.arguments) < 2 {
		return newUsageError("explain takes a REQUEST (its identifier, its client's address and port, or an entry of the store) and one or more log FILEs")
	}
	lines, err := readLogs(inv.arguments[1:])
	if err != nil {
		return err
	}
	found := selectLines(lines, inv.arguments[0])
	if len(found) == 0 {
		return errors.Errorf("no log has a line about %s", inv.arguments[0])
	}
	if inv.options.format(formatTable) == formatJSON {
		for _, line := range found {
			fmt.Fprintf(inv.output, "%s\n", line.text)
		}
		return nil
	}
	return inv.print(nil, lineGrid(found))
}

func readLogs(paths []string) ([]logLine, error) {
	var lines []logLine
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "read log")
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

// readLog returns the lines that contain a JSON object. It ignores text before the object,
// since a log collector may prefix lines, for example with the machine name.
func readLog(input io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLogLineLength)
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

// selectLines returns the lines about the wanted entry of the store, if there are any.
// Otherwise it returns the lines about all flows of the wanted request or client, and the
// lines about the processes that handled these flows, from explainWindow before the first
// to explainWindow after the last line of the flows.
func selectLines(lines []logLine, wanted string) []logLine {
	entryLines := slices.DeleteFunc(slices.Clone(lines), func(line logLine) bool { return !line.refersTo(wanted) })
	if len(entryLines) > 0 {
		return entryLines
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
		aboutProcess := line.Message != decisionMessage || line.Client == ""
		inWindow := line.Time.After(first.Add(-explainWindow)) && line.Time.Before(last.Add(explainWindow))
		return !aboutProcess || !names[line.Name] || !inWindow
	})
}

// omittedFields lists the fields that have their own column or are not shown.
var omittedFields = []string{"time", "level", "msg", "name", "zone", "event"}

func lineGrid(lines []logLine) grid {
	columns := grid{header: []string{"time", "process", "what", "details"}}
	for _, line := range lines {
		what := cmp.Or(line.Event, line.Message)
		columns.rows = append(columns.rows, []string{line.Time.Format("15:04:05.000000"), line.Name, what, formatFields(line)})
	}
	return columns
}

func formatFields(line logLine) string {
	var fields map[string]any
	if json.Unmarshal(line.text, &fields) != nil {
		return ""
	}
	for _, name := range omittedFields {
		delete(fields, name)
	}
	var shown []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		shown = append(shown, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(shown, " ")
}
