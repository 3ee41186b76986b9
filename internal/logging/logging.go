// Package logging implements the log of a process: one JSON object a line,
// with level, time, message and the name and zone of the process.
package logging

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// New returns a logger that writes lines of the given level and above to
// output. Times are UTC in RFC 3339 form with nanoseconds.
func New(output io.Writer, level log.Level, name, zone string) *log.Logger {
	return log.NewWithOptions(output, log.Options{
		Level:           level,
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFunction:    log.NowUTC,
		TimeFormat:      time.RFC3339Nano,
		Fields:          []any{"name", name, "zone", zone},
	})
}
