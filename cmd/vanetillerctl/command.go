// This file implements the choice of a command from the arguments, and the
// exit statuses.

package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/program/version"
)

// Exit statuses.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitNotAccepted = 5
	exitUnknown     = 6
)

// invocation is one run of a command.
type invocation struct {
	options   options
	arguments []string
	output    io.Writer
}

// usageError is the error of a command that was given wrong arguments.
type usageError struct{ message string }

// Error implements error.
func (u usageError) Error() string { return u.message }

func wrongUsage(message string, arguments ...any) error {
	return usageError{fmt.Sprintf(message, arguments...)}
}

// outcomeError is the error of a change that was not accepted.
type outcomeError struct {
	outcome adminapi.ChangeOutcome
	message string
}

// Error implements error.
func (o outcomeError) Error() string { return o.message }

// command writes its result and returns why it could not.
type command func(ctx context.Context, called invocation) error

// run executes the arguments after the program name and returns the exit
// status.
func run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	var values options
	flags := newFlagSet(&values, stderr)
	words, err := parse(flags, arguments)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(stdout, usage())
		return exitDone
	case err != nil:
		return exitUsage
	case values.version:
		fmt.Fprintln(stdout, "vanetillerctl", version.String())
		return exitDone
	}
	err = perform(ctx, words, values, stdout)
	if err == nil {
		return exitDone
	}
	status := exitStatus(err)
	if status == exitUsage {
		fmt.Fprintf(stderr, "vanetillerctl: %s; -help lists the commands\n", err)
		return status
	}
	fmt.Fprintln(stderr, "vanetillerctl:", err)
	return status
}

func perform(ctx context.Context, words []string, values options, output io.Writer) error {
	if err := values.check(); err != nil {
		return wrongUsage("%s", err)
	}
	chosen, rest, err := choose(words)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, values.timeout)
	defer cancel()
	return chosen(ctx, invocation{values, rest, output})
}

func exitStatus(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	var failure adminapi.Error
	if errors.As(err, &failure) && failure.Code == adminapi.CodeRateExceeded {
		return exitNotAccepted
	}
	var outcome outcomeError
	if !errors.As(err, &outcome) {
		return exitFailed
	}
	switch outcome.outcome {
	case adminapi.Refused:
		return exitRefused
	case adminapi.Conflict:
		return exitConflict
	case adminapi.NotAccepted:
		return exitNotAccepted
	}
	return exitUnknown
}

func choose(words []string) (command, []string, error) {
	if len(words) == 0 {
		return nil, nil, wrongUsage("no command given")
	}
	rest := words[1:]
	switch words[0] {
	case "table":
		return chooseOfTable(rest)
	case "drain":
		return drain, rest, nil
	case "undrain":
		return undrain, rest, nil
	case "zones":
		return zones, rest, nil
	case "zone":
		return chooseOfZone(rest)
	case "change":
		return showChange, rest, nil
	case "members":
		return members, rest, nil
	case "token":
		return createToken, rest, nil
	case "explain":
		return explain, rest, nil
	case "load":
		return load, rest, nil
	}
	return nil, nil, wrongUsage("unknown command %q", words[0])
}

func chooseOfTable(words []string) (command, []string, error) {
	if len(words) == 0 {
		return nil, nil, wrongUsage("table takes a command")
	}
	rest := words[1:]
	switch words[0] {
	case "validate":
		return validate, rest, nil
	case "show":
		return show, rest, nil
	case "diff":
		return diff, rest, nil
	case "set":
		return set, rest, nil
	case "import":
		return importFile, rest, nil
	case "export":
		return export, rest, nil
	case "history":
		return history, rest, nil
	case "wait":
		return wait, rest, nil
	}
	return nil, nil, wrongUsage("unknown command %q of table", words[0])
}

func chooseOfZone(words []string) (command, []string, error) {
	if len(words) == 0 {
		return nil, nil, wrongUsage("zone takes a command")
	}
	switch words[0] {
	case "close":
		return closeZone, words[1:], nil
	case "open":
		return openZone, words[1:], nil
	}
	return nil, nil, wrongUsage("unknown command %q of zone", words[0])
}

// takes checks the number of arguments.
func (i invocation) takes(least, most int, what string) error {
	if len(i.arguments) < least || len(i.arguments) > most {
		return wrongUsage("the command takes %s", what)
	}
	return nil
}
