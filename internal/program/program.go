// Package program implements the command line that the daemons of a fleet have
// in common: flags, settings file, reload on request, and exit statuses.
package program

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/program/version"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// The exit statuses of a daemon.
const (
	ExitSuccess = 0
	ExitFailure = 1
	ExitUsage   = 2
)

const usageFooter = `
The log goes to standard %s, one JSON object a line. SIGTERM or SIGINT begins
a planned stop; a second one ends the process at once. SIGHUP reads the settings
again: the log level takes effect, and what else can; the log tells if changes
wait for the next start.

Exit status: 0 after a planned stop, -check, -version or -help; 1 if the process
failed; 2 for wrong flags or settings.
`

// Server is a process of the fleet.
type Server interface {
	// Run serves until ctx ends and then stops as planned. It returns nil after
	// a planned stop.
	Run(ctx context.Context) error
	// Reload puts in force what can be changed while the process runs.
	Reload(changed *settings.Settings)
	// ReloadFailed tells that the settings were to be read again and are wrong.
	ReloadFailed(err error)
}

// Program is one daemon program.
type Program struct {
	// Name is the name of the program.
	Name string
	// Summary tells in one sentence what a process of it does.
	Summary string
	// LogToStdout makes the log go to standard output in place of standard error.
	LogToStdout bool
	// New opens the sockets of a process that writes its log to output.
	New func(checked *settings.Settings, output io.Writer) (Server, error)
}

// Main runs the program as a process and ends it.
func (p Program) Main() {
	ctx, restore := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	// A second signal then has its usual effect and ends the process at once.
	context.AfterFunc(ctx, restore)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	os.Exit(p.RunCommand(ctx, reload, os.Args[1:], os.Stdout, os.Stderr))
}

// RunCommand runs the program with the arguments after its name. A planned stop
// begins when ctx ends; a value from reload makes it read the settings again.
// It returns the exit status.
func (p Program) RunCommand(ctx context.Context, reload <-chan os.Signal, arguments []string, stdout, stderr io.Writer) int {
	var values options
	flags := p.newFlagSet(&values, stderr)
	if askedForHelp(arguments) {
		flags.SetOutput(stdout)
	}
	err := flags.Parse(arguments)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitSuccess
	case err != nil:
		return ExitUsage
	case flags.NArg() > 0:
		return p.usageError(stderr, "unexpected argument "+flags.Arg(0))
	case values.version:
		fmt.Fprintln(stdout, p.Name, version.String())
		return ExitSuccess
	case values.settingsFile == "":
		return p.usageError(stderr, "-settings is required")
	}
	load := func() (*settings.Settings, error) {
		return settings.Load(values.settingsFile, values.overrides(flags)...)
	}
	checked, err := load()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if values.check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", values.settingsFile)
		return ExitSuccess
	}
	log := stderr
	if p.LogToStdout {
		log = stdout
	}
	return p.serve(ctx, reload, checked, load, log, stderr)
}

func (p Program) usageError(stderr io.Writer, message string) int {
	fmt.Fprintf(stderr, "%s: %s; -help lists the flags\n", p.Name, message)
	return ExitUsage
}

func (p Program) serve(ctx context.Context, reload <-chan os.Signal, checked *settings.Settings,
	load func() (*settings.Settings, error), log, stderr io.Writer) int {
	created, err := p.New(checked, log)
	var wrong settings.Errors
	switch {
	case errors.As(err, &wrong):
		fmt.Fprintln(stderr, err)
		return ExitUsage
	case err != nil:
		fmt.Fprintf(stderr, "%s: %s\n", p.Name, err)
		return ExitFailure
	}
	ended, end := context.WithCancel(context.Background())
	defer end()
	go reloadOnRequest(ended, reload, created, load)
	if err := created.Run(ctx); err != nil {
		return ExitFailure
	}
	return ExitSuccess
}

func reloadOnRequest(ended context.Context, reload <-chan os.Signal, created Server, load func() (*settings.Settings, error)) {
	for {
		select {
		case <-ended.Done():
			return
		case <-reload:
		}
		changed, err := load()
		if err != nil {
			created.ReloadFailed(err)
			continue
		}
		created.Reload(changed)
	}
}
