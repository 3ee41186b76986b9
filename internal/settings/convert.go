package settings

import (
	"fmt"
	"time"
)

// The values of keys that a file leaves out.
const (
	DefaultLogLevel     = "info"
	DefaultPollInterval = "500ms"
	DefaultSockets      = 1
	DefaultStopTimeout  = "20s"
	DefaultFlowLimit    = 100_000
)

// The bounds of numbers and durations.
const (
	MinPollInterval = 10 * time.Millisecond
	MaxPollInterval = time.Minute
	MaxSockets      = 64
	MinStopTimeout  = time.Millisecond
	MaxStopTimeout  = time.Hour
	MaxFlowLimit    = 10_000_000
)

func withDefault(value, fallback any) any {
	if value == nil {
		return fallback
	}
	return value
}

func (c *checker) settings(raw *document) *Settings {
	checked := &Settings{
		Name:          c.name("name", raw.Name),
		Zone:          c.name("zone", raw.Zone),
		Log:           Log{Level: c.level("log.level", withDefault(raw.Log.Level, DefaultLogLevel))},
		Observability: Observability{Listen: c.address("observability.listen", raw.Observability.Listen, httpAddress)},
	}
	c.checkRole(raw)
	if raw.Platform != nil {
		checked.Platform = c.platform(raw.Platform)
	}
	if raw.Control != nil {
		checked.Control = Control{Listen: c.address("control.listen", raw.Control.Listen, listenAddress)}
	}
	if raw.Balancer != nil {
		checked.Balancer = c.balancer(raw.Balancer)
	}
	if raw.API != nil {
		checked.API = c.api(raw.API)
	}
	if raw.Cluster != nil {
		checked.Cluster = c.cluster(raw.Cluster, checked.Zone)
	}
	if raw.Agent != nil {
		checked.Agent = c.agent(raw.Agent)
	}
	if raw.Relay != nil {
		checked.Relay = c.relay(raw.Relay, checked.Zone)
	}
	return checked
}

func (c *checker) checkRole(raw *document) {
	if raw.Relay != nil {
		c.checkRelayAlone(raw)
		return
	}
	if raw.Balancer == nil && raw.Agent == nil {
		c.broken("balancer", "is required, unless there is an agent table")
	}
	if raw.Balancer != nil && raw.Agent != nil {
		c.broken("agent", "must not stand beside a balancer table")
	}
	if raw.API != nil && raw.Balancer == nil {
		c.broken("api", "must stand beside a balancer table")
	}
	if raw.Cluster != nil && raw.Balancer == nil {
		c.broken("cluster", "must stand beside a balancer table")
	}
	if raw.Balancer != nil && raw.Platform == nil {
		c.broken("platform", "is required for a balancer")
	}
	if raw.Balancer != nil && raw.Control == nil {
		c.broken("control", "is required for a balancer")
	}
}

func (c *checker) checkRelayAlone(raw *document) {
	if raw.Balancer != nil || raw.Agent != nil || raw.API != nil || raw.Cluster != nil {
		c.broken("relay", "must not stand beside a balancer, agent, api or cluster table")
	}
}

func (c *checker) platform(raw *platformDocument) Platform {
	return Platform{
		ConfigurationURL: c.url("platform.configuration_url", raw.ConfigurationURL),
		MachinesURL:      c.url("platform.machines_url", raw.MachinesURL),
		PollInterval: c.duration("platform.poll_interval",
			withDefault(raw.PollInterval, DefaultPollInterval), MinPollInterval, MaxPollInterval),
	}
}

func (c *checker) balancer(raw *balancerDocument) *Balancer {
	return &Balancer{
		Listen: c.address("balancer.listen", raw.Listen, listenAddress),
		Sockets: c.integer("balancer.sockets",
			withDefault(raw.Sockets, int64(DefaultSockets)), 1, MaxSockets),
		Baseline: c.baseline("balancer.baseline", withDefault(raw.Baseline, string(BaselineNone))),
	}
}

func (c *checker) api(raw *apiDocument) *API {
	checked := &API{
		Listen:      c.address("api.listen", raw.Listen, httpAddress),
		Certificate: c.path("api.certificate", raw.Certificate),
		Key:         c.path("api.key", raw.Key),
		Tokens:      c.path("api.tokens", raw.Tokens),
	}
	if raw.ClientAuthority != nil {
		checked.ClientAuthority = c.path("api.client_authority", raw.ClientAuthority)
	}
	return checked
}

func (c *checker) agent(raw *agentDocument) *Agent {
	return &Agent{
		// Other processes send to this address, so it must name the machine.
		Listen:  c.address("agent.listen", raw.Listen, remoteAddress),
		Fabric:  c.address("agent.fabric", raw.Fabric, remoteAddress),
		Daemons: c.addresses("agent.daemons", raw.Daemons, remoteAddress),
		StopTimeout: c.duration("agent.stop_timeout",
			withDefault(raw.StopTimeout, DefaultStopTimeout), MinStopTimeout, MaxStopTimeout),
		FlowLimit: c.integer("agent.flow_limit",
			withDefault(raw.FlowLimit, int64(DefaultFlowLimit)), 1, MaxFlowLimit),
		Baseline: c.baseline("agent.baseline", withDefault(raw.Baseline, string(BaselineNone))),
		Backends: c.backends(raw.Backends),
	}
}

type backendName struct {
	service string
	name    string
}

func (c *checker) backends(raw []backendDocument) []AgentBackend {
	if len(raw) == 0 {
		c.broken("agent.backend", "is required at least once")
		return nil
	}
	backends := make([]AgentBackend, len(raw))
	seen := make(map[backendName]bool, len(raw))
	for index, row := range raw {
		key := fmt.Sprintf("agent.backend[%d]", index)
		backend := AgentBackend{
			Service: c.rowName(key+".service", row.Service),
			Name:    c.rowName(key+".name", row.Name),
			Address: c.address(key+".address", row.Address, remoteAddress),
		}
		name := backendName{backend.Service, backend.Name}
		if seen[name] && name.name != "" {
			c.broken(key+".name", "must be unique within its service")
		}
		seen[name] = true
		backends[index] = backend
	}
	return backends
}
