package program

import (
	"flag"
	"fmt"
	"io"

	"github.com/vanetiller/vanetiller/internal/settings"
)

// options holds the values of the command line flags.
type options struct {
	settingsFile string
	name         string
	zone         string
	logLevel     string
	check        bool
	version      bool
}

func (p Program) newFlagSet(values *options, output io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	flags.SetOutput(output)
	flags.StringVar(&values.settingsFile, "settings", "", "`FILE` with the settings in TOML; required, no default")
	flags.StringVar(&values.name, "name", "", "`NAME` of the process within the fleet (default: the key name of the file)")
	flags.StringVar(&values.zone, "zone", "", "`ZONE` the process runs in (default: the key zone of the file)")
	flags.StringVar(&values.logLevel, "log-level", "",
		"lowest `LEVEL` that is logged: debug, info, warn or error (default: the key log.level of the file, or else info)")
	flags.BoolVar(&values.check, "check", false, "check the settings, print all errors, and exit (default: run)")
	flags.BoolVar(&values.version, "version", false, "print the version and exit (default: run)")
	flags.Usage = func() {
		fmt.Fprintf(flags.Output(), "%s %s\n\nUsage:\n  %s -settings FILE [flags]\n\nFlags:\n", p.Name, p.Summary, p.Name)
		flags.PrintDefaults()
		fmt.Fprintf(flags.Output(), usageFooter, p.logStream())
	}
	return flags
}

// logStream returns the name of the standard stream of the log: "output" or
// "error".
func (p Program) logStream() string {
	if p.LogToStdout {
		return "output"
	}
	return "error"
}

// overrides returns the settings that are set by flags.
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

// helpRequested reports whether the arguments contain a help flag. The usage text
// is then printed to standard output; after an invalid flag it is printed to
// standard error.
func helpRequested(arguments []string) bool {
	for _, argument := range arguments {
		switch argument {
		case "-help", "--help", "-h", "--h":
			return true
		}
	}
	return false
}
