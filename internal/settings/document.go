package settings

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// document mirrors the layout of the file. Its leaves are untyped: if the
// decoder checked their types, it would stop at the first mismatch and hide all
// other errors.
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

// decode parses data as TOML. It returns a nil document if data is not valid
// TOML, or if it has a value of another type where the layout requires a table
// or an array of tables. Unknown keys are reported together with the document.
func decode(file string, data []byte, lines keyLines) (*document, Errors) {
	var raw document
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&raw)
	if err == nil {
		return &raw, nil
	}
	var strictError *toml.StrictMissingError
	if errors.As(err, &strictError) {
		return &raw, unknownKeys(file, strictError)
	}
	return nil, Errors{syntaxError(file, err, lines)}
}

func unknownKeys(file string, strictError *toml.StrictMissingError) Errors {
	found := make(Errors, len(strictError.Errors))
	for index := range strictError.Errors {
		unknown := &strictError.Errors[index]
		line, _ := unknown.Position()
		found[index] = Error{file, line, strings.Join(unknown.Key(), "."), "is not a known key"}
	}
	return found
}

func syntaxError(file string, err error, lines keyLines) Error {
	var decodeError *toml.DecodeError
	if !errors.As(err, &decodeError) {
		return Error{File: file, Rule: err.Error()}
	}
	line, _ := decodeError.Position()
	key := lines.keyAt(line)
	return Error{file, line, key, syntaxErrorRule(key, decodeError)}
}

// typeMismatchPrefix begins the decoder's messages about a value of the wrong
// type. The rest of such a message names Go types of this package, which mean
// nothing to an operator.
const typeMismatchPrefix = "cannot "

// syntaxErrorRule returns the decoder's message, or a text without Go types if
// the value at key has the wrong type.
func syntaxErrorRule(key string, decodeError *toml.DecodeError) string {
	rule := strings.TrimPrefix(decodeError.Error(), "toml: ")
	if !strings.HasPrefix(rule, typeMismatchPrefix) {
		return rule
	}
	if key == "agent.backend" {
		return "must be an array of tables, each written as [[agent.backend]]"
	}
	return "must be a table, written as [" + key + "]"
}
