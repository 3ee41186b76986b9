package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/daemon/version"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// The exit statuses of vanetillerd.
const (
	ExitStopped = 0
	ExitFailed  = 1
	ExitUsage   = 2
)

const usageHeader = `vanetillerd runs one process of a fleet: a balancer, or an agent beside back ends.

Usage:
  vanetillerd -settings FILE [flags]

Flags:
`

const usageFooter = `
The log goes to standard error, one JSON object a line. SIGTERM or SIGINT begins
a planned stop; a second one ends the process at once.

Exit status: 0 after a planned stop, -check, -version or -help; 1 if the process
failed; 2 for wrong flags or settings.
`

// options are the values of the flags.
type options struct {
	settingsFile string
	name         string
	zone         string
	logLevel     string
	check        bool
	version      bool
}

func newFlagSet(values *options, output io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet("vanetillerd", flag.ContinueOnError)
	flags.SetOutput(output)
	flags.StringVar(&values.settingsFile, "settings", "", "`FILE` with the settings in TOML; required, no default")
	flags.StringVar(&values.name, "name", "", "`NAME` of the process within the fleet (default: the key name of the file)")
	flags.StringVar(&values.zone, "zone", "", "`ZONE` the process runs in (default: the key zone of the file)")
	flags.StringVar(&values.logLevel, "log-level", "",
		"lowest `LEVEL` that is logged: debug, info, warn or error (default: the key log.level of the file, or else info)")
	flags.BoolVar(&values.check, "check", false, "check the settings, print what is wrong with them, and exit (default: run)")
	flags.BoolVar(&values.version, "version", false, "print the version and exit (default: run)")
	flags.Usage = func() {
		fmt.Fprint(flags.Output(), usageHeader)
		flags.PrintDefaults()
		fmt.Fprint(flags.Output(), usageFooter)
	}
	return flags
}

// overrides returns the settings that were given as flags.
func (o options) overrides(flags *flag.FlagSet) []settings.Override {
	var given []settings.Override
	flags.Visit(func(used *flag.Flag) {
		switch used.Name {
		case "name":
			given = append(given, settings.Override{Key: settings.KeyName, Value: o.name})
		case "zone":
			given = append(given, settings.Override{Key: settings.KeyZone, Value: o.zone})
		case "log-level":
			given = append(given, settings.Override{Key: settings.KeyLogLevel, Value: o.logLevel})
		}
	})
	return given
}

// Command runs vanetillerd with the arguments after the program name. A
// planned stop begins when ctx ends. It returns the exit status.
func Command(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	var values options
	flags := newFlagSet(&values, stderr)
	if askedForHelp(arguments) {
		flags.SetOutput(stdout)
	}
	err := flags.Parse(arguments)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitStopped
	case err != nil:
		return ExitUsage
	case flags.NArg() > 0:
		return usageError(stderr, "unexpected argument "+flags.Arg(0))
	case values.version:
		fmt.Fprintln(stdout, "vanetillerd", version.String())
		return ExitStopped
	case values.settingsFile == "":
		return usageError(stderr, "-settings is required")
	}
	checked, err := settings.Load(values.settingsFile, values.overrides(flags)...)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if values.check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", values.settingsFile)
		return ExitStopped
	}
	return serve(ctx, checked, stderr)
}

// askedForHelp reports whether help is what the caller wants, as opposed to
// what a wrong flag brings.
func askedForHelp(arguments []string) bool {
	for _, argument := range arguments {
		switch argument {
		case "-help", "--help", "-h", "--h":
			return true
		}
	}
	return false
}

func usageError(stderr io.Writer, message string) int {
	fmt.Fprintf(stderr, "vanetillerd: %s; -help lists the flags\n", message)
	return ExitUsage
}

func serve(ctx context.Context, checked *settings.Settings, stderr io.Writer) int {
	created, err := New(checked, stderr)
	if err != nil {
		fmt.Fprintln(stderr, "vanetillerd:", err)
		return ExitFailed
	}
	if err := created.Run(ctx); err != nil {
		return ExitFailed
	}
	return ExitStopped
}
