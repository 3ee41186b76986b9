// Package program implements the command line that the daemons vanetillerd and
// vanetiller-relay share. It parses the flags, loads the settings file, runs the
// process, reloads the settings on SIGHUP and determines the exit status.
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
a planned stop; a second one ends the process at once. SIGHUP reloads the
settings: the log level and other settings that can change at run time take
effect; the log reports whether other changes require a restart.

Exit status: 0 after a planned stop, -check, -version or -help; 1 if the process
failed; 2 for invalid flags or settings.
`

// Server is the daemon that a Program runs.
type Server interface {
	// Run serves until ctx ends and then performs a planned stop. It returns nil
	// after a planned stop.
	Run(ctx context.Context) error
	// Reload applies the settings of changed that can change while the process
	// runs.
	Reload(changed *settings.Settings)
	// ReloadFailed is called if the settings cannot be read or are invalid.
	ReloadFailed(err error)
}

// Program describes a daemon program.
type Program struct {
	// Name is the name of the program.
	Name string
	// Summary completes the sentence that begins with the name of the program
	// and states what it does.
	Summary string
	// LogToStdout selects standard output instead of standard error for the log.
	LogToStdout bool
	// New opens the sockets of a daemon that writes its log to output.
	New func(config *settings.Settings, output io.Writer) (Server, error)
}

// Main runs the program with the arguments and signals of the process, and exits
// with its status.
func (p Program) Main() {
	ctx, restore := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	// After the first signal, restore the default handling, so that a second
	// signal ends the process at once.
	context.AfterFunc(ctx, restore)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	os.Exit(p.RunCommand(ctx, reload, os.Args[1:], os.Stdout, os.Stderr))
}

// RunCommand runs the program with the given command line arguments and returns
// the exit status. A planned stop begins when ctx ends. Each value from reload
// makes the program reload the settings.
func (p Program) RunCommand(ctx context.Context, reload <-chan os.Signal, arguments []string, stdout, stderr io.Writer) int {
	var values options
	flags := p.newFlagSet(&values, stderr)
	if helpRequested(arguments) {
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
	config, err := load()
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
	return p.serve(ctx, reload, config, load, log, stderr)
}

func (p Program) usageError(stderr io.Writer, message string) int {
	fmt.Fprintf(stderr, "%s: %s; -help lists the flags\n", p.Name, message)
	return ExitUsage
}

func (p Program) serve(ctx context.Context, reload <-chan os.Signal, config *settings.Settings,
	load func() (*settings.Settings, error), log, stderr io.Writer) int {
	server, err := p.New(config, log)
	var invalid settings.Errors
	switch {
	case errors.As(err, &invalid):
		fmt.Fprintln(stderr, err)
		return ExitUsage
	case err != nil:
		fmt.Fprintf(stderr, "%s: %s\n", p.Name, err)
		return ExitFailure
	}
	reloadContext, stopReloads := context.WithCancel(context.Background())
	defer stopReloads()
	go reloadOnSignal(reloadContext, reload, server, load)
	if err := server.Run(ctx); err != nil {
		return ExitFailure
	}
	return ExitSuccess
}

// reloadOnSignal reloads the settings for each value from reload until ctx ends.
func reloadOnSignal(ctx context.Context, reload <-chan os.Signal, server Server, load func() (*settings.Settings, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		changed, err := load()
		if err != nil {
			server.ReloadFailed(err)
			continue
		}
		server.Reload(changed)
	}
}
