// Package settings implements the settings file of vanetillerd: strict TOML
// that is parsed once into one checked, typed value.
//
// Code that receives a Settings does not check it again. Every broken rule of
// a file is reported at once, each with its file, line and key.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
)

// Settings is the checked content of one settings file. Exactly one of
// Balancer, Agent and Relay is set.
type Settings struct {
	// Name identifies the process within the fleet.
	Name string
	// Zone is the zone the process runs in.
	Zone          string
	Log           Log
	Observability Observability
	// Platform is required for the balancer role and otherwise may be zero.
	Platform Platform
	// Control is required for the balancer role and otherwise may be zero.
	Control  Control
	Balancer *Balancer
	// API is nil for a balancer without the administration API, and for
	// agents.
	API *API
	// Cluster is nil for a balancer on its own, and for agents.
	Cluster *Cluster
	Agent   *Agent
	Relay   *Relay
}

// Log holds the settings of the process's log.
type Log struct {
	// Level is the lowest level that is written.
	Level log.Level
}

// Observability holds the settings of the HTTP listener for metrics and
// health.
type Observability struct {
	// Listen is the TCP address; port 0 lets the system choose one.
	Listen netip.AddrPort
}

// Platform holds where the read-only services of the platform are found.
type Platform struct {
	ConfigurationURL string
	MachinesURL      string
	// PollInterval is the time from one answer to the next request.
	PollInterval time.Duration
}

// Control holds the settings of the control listener of a daemon.
type Control struct {
	// Listen is the UDP address for heartbeats.
	Listen netip.AddrPort
}

// Baseline names a simpler way of working that experiments compare with.
type Baseline string

// The baselines.
const (
	// BaselineNone is the normal way of working.
	BaselineNone Baseline = ""
	// BaselineHash sends every packet by hash alone.
	BaselineHash Baseline = "hash"
)

// Balancer holds the settings of the balancer role.
type Balancer struct {
	// Listen is the UDP address for encapsulated packets of the fabric.
	Listen netip.AddrPort
	// Sockets is the number of sockets, each with a reader, on Listen.
	Sockets  int
	Baseline Baseline
}

// API holds the settings of the administration API.
type API struct {
	// Listen is the TCP address; port 0 lets the system choose one.
	Listen netip.AddrPort
	// Certificate and Key are files in PEM form.
	Certificate string
	Key         string
	// ClientAuthority is a file in PEM form with the authorities that sign
	// the certificates of callers. Empty means that callers need none.
	ClientAuthority string
	// Tokens is the file with the tokens and teams.
	Tokens string
}

// Cluster holds the settings of what balancers tell each other.
type Cluster struct {
	// Listen is the UDP and TCP address under which other balancers reach
	// this one. All of a fleet use the same port.
	Listen netip.AddrPort
	// Seeds are the balancers to ask at the start.
	Seeds []netip.AddrPort
	// Zones are the names of all zones, in the same order everywhere.
	Zones []string
}

// Agent holds the settings of the agent role.
type Agent struct {
	// Listen is the UDP address for encapsulated packets. It equals the
	// agent column of the rows this agent serves.
	Listen netip.AddrPort
	// Fabric is the UDP address that answers to callers are sent to.
	Fabric netip.AddrPort
	// Daemons are the control addresses that heartbeats are sent to.
	Daemons []netip.AddrPort
	// StopTimeout bounds how long a planned stop waits for open flows.
	StopTimeout time.Duration
	// FlowLimit is the largest number of flows held in memory.
	FlowLimit int
	Baseline  Baseline
	Backends  []AgentBackend
}

// AgentBackend is one back end beside the agent.
type AgentBackend struct {
	// Service is the name of the service in the configuration table.
	Service string
	// Name is the name of the row within the service.
	Name string
	// Address is the TCP or UDP address of the back end itself.
	Address netip.AddrPort
}

// Load reads and checks the settings file at path, with overrides taking the
// place of keys of the file. A file that breaks rules is reported as Errors;
// any other error tells why the file could not be read.
func Load(path string, overrides ...Override) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, data, overrides...)
}

// Parse checks the content of a settings file; file is the name used in
// errors. It returns Errors if any rule is broken.
func Parse(file string, data []byte, overrides ...Override) (*Settings, error) {
	lines := locate(data)
	raw, broken := decode(file, data, lines)
	check := &checker{file: file, lines: lines, errors: broken}
	if raw == nil {
		return nil, check.errors
	}
	check.apply(raw, overrides)
	checked := check.settings(raw)
	if len(check.errors) > 0 {
		check.errors.sort()
		return nil, check.errors
	}
	return checked, nil
}
