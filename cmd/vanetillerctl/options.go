// This file defines the flags and the help text.

package main

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/adminapi"
)

const usageHeader = `vanetillerctl shows and changes the configuration table.

Usage:
  vanetillerctl [flags] table show [FILE|URL]    print the table of the server, of a
                                                 file, or of the configuration
                                                 service at a URL
  vanetillerctl [flags] table validate FILE      validate a JSON table; print the row,
                                                 column and rule of the first violation
  vanetillerctl [flags] table diff FILE [FILE]   print the cells that differ between the
                                                 server's table and a file, or two files
  vanetillerctl [flags] table set ROW COLUMN=VALUE...
                                                 set cells of a row; the columns are
                                                 weight, connection_limit, drain and zone
  vanetillerctl [flags] table import FILE        apply the rows of a CSV file or the
                                                 table of a JSON file
  vanetillerctl [flags] table export             print the table as CSV, or as JSON
                                                 with -output json
  vanetillerctl [flags] table history            print who changed what, when and why
  vanetillerctl [flags] table wait VERSION       wait until every member has applied a
                                                 version, or name those that have not
  vanetillerctl [flags] drain ROW                stop new flows to a row
  vanetillerctl [flags] undrain ROW              allow new flows to a row again
  vanetillerctl [flags] zones                    print the zones, the version that closed each,
                                                 and the capacity that remains without it
  vanetillerctl [flags] zone close ZONE          stop new flows to all rows of a zone
  vanetillerctl [flags] zone open ZONE           allow new flows to all rows of a zone again
  vanetillerctl [flags] change ID                print the outcome of a change
  vanetillerctl [flags] members                  print the processes that forward traffic
  vanetillerctl token NAME ROLE [TEAM]           create a token; print it and its entry
                                                 for the tokens file
  vanetillerctl [flags] explain REQUEST FILE...  print from logs how processes handled a
                                                 request; REQUEST is its identifier, its
                                                 client's address and port, or an entry of
                                                 the store
  vanetillerctl [flags] load FILE...             print from logs how many requests of each
                                                 service and priority were asked for, waited,
                                                 and were returned or refused

ROW is SERVICE/NAME or the identifier of a row. Flags may also come after the
command. A file is CSV if its name ends in .csv, otherwise JSON.

Flags:
`

const usageFooter = `
Exit status: 0 for success; 1 if the command failed; 2 for invalid usage; 3 if
the change was refused; 4 if it conflicts with another change; 5 if it was not
accepted and not applied; 6 if its outcome is unknown.
`

// outputFormat selects how results are printed.
type outputFormat string

const (
	formatTable outputFormat = "table"
	formatCSV   outputFormat = "csv"
	formatJSON  outputFormat = "json"
)

// options holds the values of the flags.
type options struct {
	server        string
	tokenFile     string
	authority     string
	certificate   string
	key           string
	timeout       time.Duration
	output        string
	service       string
	reason        string
	id            string
	base          int64
	dryRun        bool
	force         bool
	removeMissing bool
	after         uint64
	limit         int
	version       bool
	priority      string
	from          string
	to            string
}

// currentBase is the value of -base that selects the current version of the
// server.
const currentBase = -1

const defaultTimeout = 15 * time.Second

func newFlagSet(values *options, output io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet("vanetillerctl", flag.ContinueOnError)
	flags.SetOutput(output)
	flags.Usage = func() {}
	flags.StringVar(&values.server, "server", "", "`URL` of the administration API, such as https://192.0.2.10:8443 (no default)")
	flags.StringVar(&values.tokenFile, "token-file", "", "`FILE` with the token (no default)")
	flags.StringVar(&values.authority, "authority", "", "`FILE` with the CA certificates of the server in PEM form (default: those of the system)")
	flags.StringVar(&values.certificate, "certificate", "", "`FILE` with the client certificate in PEM form (default: none)")
	flags.StringVar(&values.key, "key", "", "`FILE` with the private key of -certificate in PEM form (default: none)")
	flags.DurationVar(&values.timeout, "timeout", defaultTimeout, "maximum `DURATION` of the command, with a unit such as 500ms or 1m")
	flags.StringVar(&values.output, "output", "", "`FORMAT` of the result: table, csv or json (default: table; csv for table export)")
	flags.StringVar(&values.service, "service", "", "`NAME` of the service that table show, table export and load print (default: every service)")
	flags.StringVar(&values.reason, "reason", "", "`TEXT` for the history of the change, at most 256 bytes; required for changes, no default")
	flags.StringVar(&values.id, "id", "", "`ID` of the change, to retry one whose outcome is unknown (default: a random one)")
	flags.Int64Var(&values.base, "base", currentBase, "base table `VERSION` of the change, to retry one; -1 means the current version of the server")
	flags.BoolVar(&values.dryRun, "dry-run", false, "print the effect of a change without applying it (default: apply it)")
	flags.BoolVar(&values.force, "force", false, "allow zone close to close the last zone of a service (default: refuse)")
	flags.BoolVar(&values.removeMissing, "remove-missing", false, "let table import remove rows that the file lacks (default: keep them)")
	flags.Uint64Var(&values.after, "after", 0, "table `VERSION` after which table history begins (default: the oldest retained version)")
	flags.IntVar(&values.limit, "limit", adminapi.DefaultHistoryLimit, fmt.Sprintf("maximum `NUMBER` of records of table history, at most %d", adminapi.MaxHistoryLimit))
	flags.StringVar(&values.priority, "priority", "", "`PRIORITY` of the routes that load prints (default: every priority)")
	flags.StringVar(&values.from, "from", "", "`TIME` in RFC 3339 format at which load begins (default: the first line)")
	flags.StringVar(&values.to, "to", "", "`TIME` in RFC 3339 format at which load ends (default: the last line)")
	flags.BoolVar(&values.version, "version", false, "print the version and exit (default: run a command)")
	return flags
}

// usage returns the help text.
func usage() string {
	var text strings.Builder
	text.WriteString(usageHeader)
	newFlagSet(&options{}, &text).PrintDefaults()
	text.WriteString("  -help\n    \tprint this text and exit (default: run a command)\n")
	text.WriteString(usageFooter)
	return text.String()
}

// parseArguments parses flags before, between and after the words of the command, and
// returns the words.
func parseArguments(flags *flag.FlagSet, arguments []string) ([]string, error) {
	var words []string
	for {
		if err := flags.Parse(arguments); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			return words, nil
		}
		words = append(words, flags.Arg(0))
		arguments = flags.Args()[1:]
	}
}

// format returns the value of -output, or the fallback if the flag is not given.
func (o options) format(fallback outputFormat) outputFormat {
	if o.output == "" {
		return fallback
	}
	return outputFormat(o.output)
}

// timeRange returns the time range from -from to -to.
func (o options) timeRange() (timeRange, error) {
	from, err := parseTimeFlag("-from", o.from)
	if err != nil {
		return timeRange{}, err
	}
	to, err := parseTimeFlag("-to", o.to)
	if err != nil {
		return timeRange{}, err
	}
	if !to.IsZero() && to.Before(from) {
		return timeRange{}, errors.New("-to must not be before -from")
	}
	return timeRange{from, to}, nil
}

// parseTimeFlag parses the value of a time flag. It returns the zero time if the flag is
// not given.
func parseTimeFlag(name, given string) (time.Time, error) {
	if given == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, given)
	if err != nil {
		return time.Time{}, errors.Errorf("%s %q: must be a time such as 2026-06-20T07:42:30Z", name, given)
	}
	return at, nil
}

func (o options) check() error {
	switch o.format(formatTable) {
	case formatTable, formatCSV, formatJSON:
	default:
		return errors.Errorf("-output %q: must be table, csv or json", o.output)
	}
	if o.timeout <= 0 {
		return errors.New("-timeout must be above 0")
	}
	if (o.certificate == "") != (o.key == "") {
		return errors.New("-certificate and -key must be given together")
	}
	if o.base < currentBase {
		return errors.New("-base must be a table version or -1")
	}
	return nil
}
