package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions holds the line, counted from 1, of every key and table header.
type positions map[string]int

// lineOf returns the line of the key or, for a key that is absent, of the
// nearest table around it. It returns 0 if there is none.
func (p positions) lineOf(key string) int {
	for key != "" {
		if line, found := p[key]; found {
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

// keyAt returns the key or table header that stands on the line, or the empty
// string if there is none.
func (p positions) keyAt(line int) string {
	for key, at := range p {
		if at == line {
			return key
		}
	}
	return ""
}

// locate finds the lines of all keys. Text that is not TOML gives the lines
// before the fault. The decoder itself reports positions only for the errors
// it finds, hence the second pass over the syntax tree.
func locate(data []byte) positions {
	found := positions{}
	arrayLengths := map[string]int{}
	var parser unstable.Parser
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		path, line := keyOf(&parser, node)
		switch node.Kind {
		case unstable.Table:
			table = path
			found[table] = line
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, arrayLengths[path])
			arrayLengths[path]++
			found[table] = line
		case unstable.KeyValue:
			found[join(table, path)] = line
		}
	}
	return found
}

func keyOf(parser *unstable.Parser, node *unstable.Node) (path string, line int) {
	if node.Kind != unstable.KeyValue && node.Kind != unstable.Table && node.Kind != unstable.ArrayTable {
		return "", 0
	}
	var parts []string
	for key := node.Key(); key.Next(); {
		if line == 0 {
			line = parser.Shape(key.Node().Raw).Start.Line
		}
		parts = append(parts, string(key.Node().Data))
	}
	return strings.Join(parts, "."), line
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
