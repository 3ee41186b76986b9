// This file implements the choice of a command from the arguments.

package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/daemon/version"
)

// Exit statuses.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

const usage = `vanetillerctl checks and shows configuration tables.

Usage:
  vanetillerctl table validate FILE      check a table in JSON; print the row,
                                         column and rule of the first fault
  vanetillerctl table show FILE|URL      print a table in columns; a URL is that
                                         of the configuration service, whose
                                         revision is printed too

Flags:
  -version    print the version and exit (default: run a command)
  -help       print this text and exit

A request to a URL takes at most one second.

Exit status: 0 if done; 1 if the table is not valid or cannot be read; 2 for
wrong usage.
`

// tableCommand is one of the commands on tables. It writes its result and
// returns why it could not.
type tableCommand func(ctx context.Context, source string, output io.Writer) error

// run executes the arguments after the program name and returns the exit
// status.
func run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("vanetillerctl", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {}
	printVersion := flags.Bool("version", false, "")
	err := flags.Parse(arguments)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(stdout, usage)
		return exitDone
	case err != nil:
		return exitUsage
	case *printVersion:
		fmt.Fprintln(stdout, "vanetillerctl", version.String())
		return exitDone
	}
	command, source, err := choose(flags.Args())
	if err != nil {
		fmt.Fprintf(stderr, "vanetillerctl: %s; -help lists the commands\n", err)
		return exitUsage
	}
	if err := command(ctx, source, stdout); err != nil {
		fmt.Fprintln(stderr, "vanetillerctl:", err)
		return exitFailed
	}
	return exitDone
}

func choose(words []string) (tableCommand, string, error) {
	if len(words) == 0 {
		return nil, "", errors.New("no command given")
	}
	if words[0] != "table" {
		return nil, "", errors.Errorf("unknown command %q", words[0])
	}
	if len(words) != 3 {
		return nil, "", errors.New("table takes a command and one FILE or URL")
	}
	switch words[1] {
	case "validate":
		return validate, words[2], nil
	case "show":
		return show, words[2], nil
	}
	return nil, "", errors.Errorf("unknown command %q of table", words[1])
}
