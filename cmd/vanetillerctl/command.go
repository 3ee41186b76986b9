// This file selects the command from the arguments and maps its result to an exit
// status.

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

// Exit statuses, as listed in usageFooter.
const (
	exitSuccess     = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitNotAccepted = 5
	exitUnknown     = 6
)

// invocation holds the flags, arguments and output of one run of a command.
type invocation struct {
	options   options
	arguments []string
	output    io.Writer
}

// usageError is the error of a command with invalid flags or arguments.
type usageError struct{ message string }

// Error implements error.
func (u usageError) Error() string { return u.message }

func newUsageError(message string, arguments ...any) error {
	return usageError{fmt.Sprintf(message, arguments...)}
}

// outcomeError is the error of a change that was not accepted.
type outcomeError struct {
	outcome adminapi.ChangeOutcome
	message string
}

// Error implements error.
func (o outcomeError) Error() string { return o.message }

// command executes one command and writes its result to the output of the
// invocation.
type command func(ctx context.Context, inv invocation) error

// run executes the command given by the arguments after the program name, and
// returns the exit status.
func run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	var values options
	flags := newFlagSet(&values, stderr)
	words, err := parseArguments(flags, arguments)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(stdout, usage())
		return exitSuccess
	case err != nil:
		return exitUsage
	case values.version:
		fmt.Fprintln(stdout, "vanetillerctl", version.String())
		return exitSuccess
	}
	err = runCommand(ctx, words, values, stdout)
	if err == nil {
		return exitSuccess
	}
	status := exitStatus(err)
	if status == exitUsage {
		fmt.Fprintf(stderr, "vanetillerctl: %s; -help lists the commands\n", err)
		return status
	}
	fmt.Fprintln(stderr, "vanetillerctl:", err)
	return status
}

func runCommand(ctx context.Context, words []string, values options, output io.Writer) error {
	if err := values.check(); err != nil {
		return newUsageError("%s", err)
	}
	selected, rest, err := findCommand(words)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, values.timeout)
	defer cancel()
	return selected(ctx, invocation{values, rest, output})
}

func exitStatus(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	var apiError adminapi.Error
	if errors.As(err, &apiError) && apiError.Code == adminapi.CodeRateExceeded {
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

func findCommand(words []string) (command, []string, error) {
	if len(words) == 0 {
		return nil, nil, newUsageError("no command given")
	}
	rest := words[1:]
	switch words[0] {
	case "table":
		return findTableCommand(rest)
	case "drain":
		return drain, rest, nil
	case "undrain":
		return undrain, rest, nil
	case "zones":
		return showZones, rest, nil
	case "zone":
		return findZoneCommand(rest)
	case "change":
		return showChange, rest, nil
	case "members":
		return showMembers, rest, nil
	case "token":
		return createToken, rest, nil
	case "explain":
		return explain, rest, nil
	case "load":
		return showLoad, rest, nil
	}
	return nil, nil, newUsageError("unknown command %q", words[0])
}

func findTableCommand(words []string) (command, []string, error) {
	if len(words) == 0 {
		return nil, nil, newUsageError("table requires a command, such as show")
	}
	rest := words[1:]
	switch words[0] {
	case "validate":
		return validateFile, rest, nil
	case "show":
		return showTable, rest, nil
	case "diff":
		return diffTables, rest, nil
	case "set":
		return setCells, rest, nil
	case "import":
		return importFile, rest, nil
	case "export":
		return exportTable, rest, nil
	case "history":
		return showHistory, rest, nil
	case "wait":
		return waitForVersion, rest, nil
	}
	return nil, nil, newUsageError("unknown command %q of table", words[0])
}

func findZoneCommand(words []string) (command, []string, error) {
	if len(words) == 0 {
		return nil, nil, newUsageError("zone requires a command: close or open")
	}
	switch words[0] {
	case "close":
		return closeZone, words[1:], nil
	case "open":
		return openZone, words[1:], nil
	}
	return nil, nil, newUsageError("unknown command %q of zone", words[0])
}

// checkArguments returns a usageError unless the number of arguments is from minimum
// to maximum. The text what describes the expected arguments.
func (i invocation) checkArguments(minimum, maximum int, what string) error {
	if len(i.arguments) < minimum || len(i.arguments) > maximum {
		return newUsageError("the command takes %s", what)
	}
	return nil
}
