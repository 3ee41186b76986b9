package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines maps each dotted key and table header to its line, counted from 1.
type keyLines map[string]int

// lineOf returns the line of the key. For an absent key it returns the line of
// the innermost table that would contain it, or 0 if there is none.
func (l keyLines) lineOf(key string) int {
	for key != "" {
		if line, found := l[key]; found {
			return line
		}
		end := strings.LastIndexByte(key, '.')
		if end < 0 {
			return 0
		}
		key = key[:end]
	}
	return 0
}

// keyAt returns the key or table header on a line, or the empty string if there
// is none.
func (l keyLines) keyAt(line int) string {
	for key, keyLine := range l {
		if keyLine == line {
			return key
		}
	}
	return ""
}

// findKeyLines returns the lines of all keys, up to the first syntax error. It
// parses the file a second time because the decoder reports positions only for
// the errors that it finds itself.
func findKeyLines(data []byte) keyLines {
	lines := keyLines{}
	arrayLengths := map[string]int{}
	var parser unstable.Parser
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		key, line := dottedKey(&parser, node)
		switch node.Kind {
		case unstable.Table:
			table = key
			lines[table] = line
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", key, arrayLengths[key])
			arrayLengths[key]++
			lines[table] = line
		case unstable.KeyValue:
			lines[joinKey(table, key)] = line
		}
	}
	return lines
}

// dottedKey returns the key and the line of a table header or a key-value pair,
// and zero values for any other node.
func dottedKey(parser *unstable.Parser, node *unstable.Node) (key string, line int) {
	if node.Kind != unstable.KeyValue && node.Kind != unstable.Table && node.Kind != unstable.ArrayTable {
		return "", 0
	}
	var parts []string
	for part := node.Key(); part.Next(); {
		if line == 0 {
			line = parser.Shape(part.Node().Raw).Start.Line
		}
		parts = append(parts, string(part.Node().Data))
	}
	return strings.Join(parts, "."), line
}

func joinKey(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
