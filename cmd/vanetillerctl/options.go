// This file implements the flags and the help text.

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
  vanetillerctl [flags] table validate FILE      check a table in JSON; print the
                                                 row, column and rule of the first fault
  vanetillerctl [flags] table diff FILE [FILE]   print the cells in which the server's
                                                 table and a file differ, or two files
  vanetillerctl [flags] table set ROW COLUMN=VALUE...
                                                 set cells of a row; the columns are
                                                 weight, connection_limit, drain and zone
  vanetillerctl [flags] table import FILE        make the changes that lead to the rows
                                                 of a CSV file or the table of a JSON file
  vanetillerctl [flags] table export             print the table as CSV, or as JSON
                                                 with -output json
  vanetillerctl [flags] table history            print who changed what, when and why
  vanetillerctl [flags] table wait VERSION       wait until a version is in force on
                                                 every member, or name those without it
  vanetillerctl [flags] drain ROW                stop new flows to a row
  vanetillerctl [flags] undrain ROW              let new flows go to a row again
  vanetillerctl [flags] zones                    print the zones, which are closed and since
                                                 when, and what is left without each
  vanetillerctl [flags] zone close ZONE          stop new flows to all rows of a zone
  vanetillerctl [flags] zone open ZONE           let new flows go to a zone again
  vanetillerctl [flags] change ID                print what became of a change
  vanetillerctl [flags] members                  print the processes that forward
  vanetillerctl token NAME ROLE [TEAM]           print a new token and its entry for
                                                 the tokens file
  vanetillerctl [flags] explain REQUEST FILE...  print what processes did with a request,
                                                 from their logs; REQUEST is its identifier
                                                 or its client's address and port
  vanetillerctl [flags] load FILE...             print what was asked, waited and was turned
                                                 away of each service and priority, from
                                                 the logs of processes

ROW is SERVICE/NAME or the identifier of a row. Flags may also come after the
command. A file is CSV if its name ends in .csv, and else JSON.

Flags:
`

const usageFooter = `
Exit status: 0 if done or accepted; 1 if the command failed; 2 for wrong usage;
3 if the change was refused; 4 for a conflict with another change; 5 if the
change was not accepted and not applied; 6 if its outcome is not known.
`

// outputFormat is how results are printed.
type outputFormat string

const (
	formatTable outputFormat = "table"
	formatCSV   outputFormat = "csv"
	formatJSON  outputFormat = "json"
)

// options are the values of the flags.
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

// baseOfServer is the value of -base for the version that the server has.
const baseOfServer = -1

const defaultTimeout = 15 * time.Second

func newFlagSet(values *options, output io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet("vanetillerctl", flag.ContinueOnError)
	flags.SetOutput(output)
	flags.Usage = func() {}
	flags.StringVar(&values.server, "server", "", "`URL` of the administration API, such as https://192.0.2.10:8443 (no default)")
	flags.StringVar(&values.tokenFile, "token-file", "", "`FILE` with the token (no default)")
	flags.StringVar(&values.authority, "authority", "", "`FILE` with the authorities of the server's certificate in PEM form (default: those of the system)")
	flags.StringVar(&values.certificate, "certificate", "", "`FILE` with a certificate for the server in PEM form (default: none)")
	flags.StringVar(&values.key, "key", "", "`FILE` with the key of -certificate in PEM form (default: none)")
	flags.DurationVar(&values.timeout, "timeout", defaultTimeout, "longest `DURATION` of the command, with a unit such as 500ms or 1m")
	flags.StringVar(&values.output, "output", "", "`FORMAT` of the result: table, csv or json (default: table; csv for table export)")
	flags.StringVar(&values.service, "service", "", "`NAME` of the service that table show, table export and load print (default: every service)")
	flags.StringVar(&values.reason, "reason", "", "`TEXT` for the history of the change, at most 256 bytes; required for changes, no default")
	flags.StringVar(&values.id, "id", "", "`ID` of the change, to repeat one whose outcome is not known (default: a random one)")
	flags.Int64Var(&values.base, "base", baseOfServer, "table `VERSION` the change was made at, to repeat one; -1 means the version that the server has")
	flags.BoolVar(&values.dryRun, "dry-run", false, "print what a change would do without making it (default: make it)")
	flags.BoolVar(&values.force, "force", false, "let zone close close the last zone of a service (default: refuse that)")
	flags.BoolVar(&values.removeMissing, "remove-missing", false, "let table import remove rows that the file lacks (default: keep them)")
	flags.Uint64Var(&values.after, "after", 0, "table `VERSION` after which table history begins (default: the oldest that is remembered)")
	flags.IntVar(&values.limit, "limit", adminapi.DefaultHistoryLimit, fmt.Sprintf("largest `NUMBER` of records of table history, at most %d", adminapi.MaxHistoryLimit))
	flags.StringVar(&values.priority, "priority", "", "`PRIORITY` of the routes that load prints (default: every priority)")
	flags.StringVar(&values.from, "from", "", "`TIME` in RFC 3339 form at which load begins (default: the first line)")
	flags.StringVar(&values.to, "to", "", "`TIME` in RFC 3339 form at which load ends (default: the last line)")
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

// parse reads flags before, between and after the words of the command, and
// returns the words.
func parse(flags *flag.FlagSet, arguments []string) ([]string, error) {
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

// format returns the format of -output, or the fallback if it is not given.
func (o options) format(fallback outputFormat) outputFormat {
	if o.output == "" {
		return fallback
	}
	return outputFormat(o.output)
}

// span returns the time between -from and -to.
func (o options) span() (timeSpan, error) {
	from, err := timeOf("-from", o.from)
	if err != nil {
		return timeSpan{}, err
	}
	to, err := timeOf("-to", o.to)
	if err != nil {
		return timeSpan{}, err
	}
	if !to.IsZero() && to.Before(from) {
		return timeSpan{}, errors.New("-to must not be before -from")
	}
	return timeSpan{from, to}, nil
}

// timeOf returns the time that a flag gives, zero if it is not given.
func timeOf(name, given string) (time.Time, error) {
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
	if o.base < baseOfServer {
		return errors.New("-base must be a table version")
	}
	return nil
}
