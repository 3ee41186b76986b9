// Package logging creates the logger of a daemon. Each line is one JSON object
// with the level, time and message and the name and zone of the process.
// AsyncWriter decouples a logger from an output that may block.
package logging

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// New returns a logger that writes lines of the given level and above to output.
// Timestamps are in UTC and RFC 3339 format with nanoseconds.
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
