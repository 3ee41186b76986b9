package settings

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// document mirrors the layout of the file. Leaves are untyped, so that a value
// of the wrong type is one more broken rule and does not hide the others.
type document struct {
	Name          any                   `toml:"name"`
	Zone          any                   `toml:"zone"`
	Log           logDocument           `toml:"log"`
	Observability observabilityDocument `toml:"observability"`
	Platform      *platformDocument     `toml:"platform"`
	Control       *controlDocument      `toml:"control"`
	Balancer      *balancerDocument     `toml:"balancer"`
	API           *apiDocument          `toml:"api"`
	Cluster       *clusterDocument      `toml:"cluster"`
	Agent         *agentDocument        `toml:"agent"`
	Relay         *relayDocument        `toml:"relay"`
}

type logDocument struct {
	Level any `toml:"level"`
}

type observabilityDocument struct {
	Listen any `toml:"listen"`
}

type platformDocument struct {
	ConfigurationURL any `toml:"configuration_url"`
	MachinesURL      any `toml:"machines_url"`
	PollInterval     any `toml:"poll_interval"`
}

type controlDocument struct {
	Listen any `toml:"listen"`
}

type balancerDocument struct {
	Listen   any `toml:"listen"`
	Sockets  any `toml:"sockets"`
	Baseline any `toml:"baseline"`
}

type apiDocument struct {
	Listen          any `toml:"listen"`
	Certificate     any `toml:"certificate"`
	Key             any `toml:"key"`
	ClientAuthority any `toml:"client_authority"`
	Tokens          any `toml:"tokens"`
}

type clusterDocument struct {
	Listen any `toml:"listen"`
	Seeds  any `toml:"seeds"`
	Zones  any `toml:"zones"`
}

type agentDocument struct {
	Listen      any               `toml:"listen"`
	Fabric      any               `toml:"fabric"`
	Daemons     any               `toml:"daemons"`
	StopTimeout any               `toml:"stop_timeout"`
	FlowLimit   any               `toml:"flow_limit"`
	Baseline    any               `toml:"baseline"`
	Backends    []backendDocument `toml:"backend"`
}

type backendDocument struct {
	Service any `toml:"service"`
	Name    any `toml:"name"`
	Address any `toml:"address"`
}

// decode reads the text as TOML. It returns no document if the text is not
// TOML or a table stands where a value should or the reverse; unknown keys are
// reported beside the document.
func decode(file string, data []byte, lines positions) (*document, Errors) {
	var raw document
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&raw)
	if err == nil {
		return &raw, nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return &raw, unknownKeys(file, unknown)
	}
	return nil, Errors{syntaxError(file, err, lines)}
}

func unknownKeys(file string, unknown *toml.StrictMissingError) Errors {
	broken := make(Errors, len(unknown.Errors))
	for index := range unknown.Errors {
		missing := &unknown.Errors[index]
		line, _ := missing.Position()
		broken[index] = Error{file, line, strings.Join(missing.Key(), "."), "is not a known key"}
	}
	return broken
}

func syntaxError(file string, err error, lines positions) Error {
	var decodeError *toml.DecodeError
	if !errors.As(err, &decodeError) {
		return Error{File: file, Rule: err.Error()}
	}
	line, _ := decodeError.Position()
	key := lines.keyAt(line)
	return Error{file, line, key, syntaxRule(key, decodeError)}
}

// mismatchPrefix begins the library's messages about a value that does not fit
// its place in the document. They go on to name types of this package, which
// mean nothing to an operator.
const mismatchPrefix = "cannot "

func syntaxRule(key string, decodeError *toml.DecodeError) string {
	rule := strings.TrimPrefix(decodeError.Error(), "toml: ")
	if !strings.HasPrefix(rule, mismatchPrefix) {
		return rule
	}
	if key == "agent.backend" {
		return "must be an array of tables, each begun by [[agent.backend]]"
	}
	return "must be a table, begun by [" + key + "]"
}
