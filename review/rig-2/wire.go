//go:build review2

package main

import (
	_ "embed"
	"strings"
)

//go:embed wire.txt
var wireText string

// wire holds the platform's words and the forms of its documents, as wire.txt lists them.
var wire = parseWire(wireText)

func parseWire(text string) map[string]string {
	parsed := make(map[string]string)
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " = ")
		parsed[name] = value
	}
	return parsed
}
