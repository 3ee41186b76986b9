package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error reports one rule that a settings file or an overridden key breaks.
type Error struct {
	// File is the name of the file, or CommandLine for an overridden key.
	File string
	// Line counts from 1, and is 0 if no line applies. A missing key is
	// reported at the line of its table.
	Line int
	// Key is the dotted key, such as agent.backend[0].name; indices count from
	// 0. It is empty if the file is not valid TOML.
	Key string
	// Rule is the rule that the value must satisfy.
	Rule string
}

// Error implements error in the form file:line: key: rule.
func (e Error) Error() string {
	var text strings.Builder
	text.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&text, ":%d", e.Line)
	}
	if e.Key != "" {
		text.WriteString(": " + e.Key)
	}
	text.WriteString(": " + e.Rule)
	return text.String()
}

// Errors holds all errors of a settings file, sorted by file, line and key.
type Errors []Error

// Error implements error, with one line for each element.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for index, element := range e {
		lines[index] = element.Error()
	}
	return strings.Join(lines, "\n")
}

func (e Errors) sort() {
	slices.SortStableFunc(e, func(a, b Error) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Key, b.Key),
		)
	})
}
