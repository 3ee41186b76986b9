// Package settings parses and validates the TOML settings file of the daemons,
// vanetillerd and vanetiller-relay. The result is one typed Settings value for
// the role of the process: balancer, agent or relay.
//
// Unknown keys are errors. All errors of a file are reported at once, each with
// file, line and key. Code that receives a Settings does not validate it again.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
)

// Settings is the validated content of one settings file. Exactly one of
// Balancer, Agent and Relay is set.
type Settings struct {
	// Name identifies the process within the fleet.
	Name string
	// Zone is the zone the process runs in.
	Zone          string
	Log           Log
	Observability Observability
	// Platform is required for the balancer role. In other roles it may be the
	// zero value.
	Platform Platform
	// Control is required for the balancer role. In other roles it may be the
	// zero value.
	Control  Control
	Balancer *Balancer
	// API configures the administration API of a balancer. It is nil if the API
	// is disabled, and in other roles.
	API *API
	// Cluster configures the messages between balancers. It is nil for a
	// balancer that runs alone, and in other roles.
	Cluster *Cluster
	Agent   *Agent
	Relay   *Relay
}

// Log holds the settings of the log.
type Log struct {
	// Level is the lowest level that is logged.
	Level log.Level
}

// Observability holds the settings of the HTTP listener for metrics and
// health.
type Observability struct {
	// Listen is the TCP address. With port 0 the system chooses a free port.
	Listen netip.AddrPort
}

// Platform holds the addresses of the read-only services of the platform.
type Platform struct {
	ConfigurationURL string
	MachinesURL      string
	// PollInterval is the time between a response and the next request.
	PollInterval time.Duration
}

// Control holds the settings of the control listener, which serves agents.
type Control struct {
	// Listen is the UDP address that receives heartbeats.
	Listen netip.AddrPort
}

// Baseline selects a simplified algorithm that experiments compare with.
type Baseline string

// The baselines.
const (
	// BaselineNone selects the normal algorithm.
	BaselineNone Baseline = ""
	// BaselineHash leaves the assignment of packets to their hash alone: an agent
	// opens every new flow that reaches it and does not ask other agents for the
	// owner of an unknown flow.
	BaselineHash Baseline = "hash"
)

// Balancer holds the settings of the balancer role.
type Balancer struct {
	// Listen is the UDP address that receives encapsulated packets of the fabric.
	Listen netip.AddrPort
	// Sockets is the number of sockets on Listen, each with its own reader.
	Sockets  int
	Baseline Baseline
}

// API holds the settings of the administration API.
type API struct {
	// Listen is the TCP address. With port 0 the system chooses a free port.
	Listen netip.AddrPort
	// Certificate and Key are the names of PEM files.
	Certificate string
	Key         string
	// ClientAuthority is the name of a PEM file with the certificate authorities
	// for client certificates. If it is empty, clients need no certificate.
	ClientAuthority string
	// Tokens is the name of the file that defines API tokens and teams.
	Tokens string
}

// Cluster holds the settings of the messages between balancers.
type Cluster struct {
	// Listen is the UDP and TCP address that receives messages of other
	// balancers. All balancers of a fleet use the same port.
	Listen netip.AddrPort
	// Seeds are the addresses of balancers to contact at startup.
	Seeds []netip.AddrPort
	// Zones are the names of all zones, in the same order in every process.
	Zones []string
}

// Agent holds the settings of the agent role.
type Agent struct {
	// Listen is the UDP address that receives encapsulated packets. It equals
	// the agent column of the table rows that this agent serves.
	Listen netip.AddrPort
	// Fabric is the UDP address to which packets for clients are sent.
	Fabric netip.AddrPort
	// Daemons are the control addresses of the balancers to which the agent
	// sends heartbeats.
	Daemons []netip.AddrPort
	// StopTimeout is the maximum time that a planned stop waits for open flows.
	StopTimeout time.Duration
	// FlowLimit is the maximum number of flows held in memory for each back end.
	FlowLimit int
	Baseline  Baseline
	Backends  []AgentBackend
}

// AgentBackend is one back end on the machine of the agent.
type AgentBackend struct {
	// Service is the name of the service in the configuration table.
	Service string
	// Name is the name of the back end within the service.
	Name string
	// Address is the TCP or UDP address of the back end.
	Address netip.AddrPort
}

// Load reads and validates the settings file at path. Overrides replace keys of
// the file. Load returns Errors if the content is invalid, and another error if
// the file cannot be read.
func Load(path string, overrides ...Override) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, data, overrides...)
}

// Parse parses and validates the content of a settings file. Errors refer to it
// as file. Parse returns Errors if the content is invalid.
func Parse(file string, data []byte, overrides ...Override) (*Settings, error) {
	lines := findKeyLines(data)
	raw, decodeErrors := decode(file, data, lines)
	check := &checker{file: file, lines: lines, errors: decodeErrors}
	if raw == nil {
		return nil, check.errors
	}
	check.applyOverrides(raw, overrides)
	checked := check.settings(raw)
	if len(check.errors) > 0 {
		check.errors.sort()
		return nil, check.errors
	}
	return checked, nil
}
