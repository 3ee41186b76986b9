package settings

import (
	"fmt"
	"time"
)

// The defaults of optional keys.
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

func withDefault(value, defaultValue any) any {
	if value == nil {
		return defaultValue
	}
	return value
}

func (c *checker) settings(raw *document) *Settings {
	checked := &Settings{
		Name:          c.name("name", raw.Name),
		Zone:          c.name("zone", raw.Zone),
		Log:           Log{Level: c.logLevel("log.level", withDefault(raw.Log.Level, DefaultLogLevel))},
		Observability: Observability{Listen: c.address("observability.listen", raw.Observability.Listen, httpAddress)},
	}
	c.checkRoles(raw)
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

// checkRoles checks that the document configures exactly one role (balancer,
// agent or relay) and has the other tables that this role requires.
func (c *checker) checkRoles(raw *document) {
	if raw.Relay != nil {
		c.checkRelayHasNoOtherRole(raw)
		return
	}
	if raw.Balancer == nil && raw.Agent == nil {
		c.addError("balancer", "is required unless there is an agent or relay table")
	}
	if raw.Balancer != nil && raw.Agent != nil {
		c.addError("agent", "must not be combined with a balancer table")
	}
	if raw.API != nil && raw.Balancer == nil {
		c.addError("api", "requires a balancer table")
	}
	if raw.Cluster != nil && raw.Balancer == nil {
		c.addError("cluster", "requires a balancer table")
	}
	if raw.Balancer != nil && raw.Platform == nil {
		c.addError("platform", "is required for a balancer")
	}
	if raw.Balancer != nil && raw.Control == nil {
		c.addError("control", "is required for a balancer")
	}
}

func (c *checker) checkRelayHasNoOtherRole(raw *document) {
	if raw.Balancer != nil || raw.Agent != nil || raw.API != nil || raw.Cluster != nil {
		c.addError("relay", "must not be combined with a balancer, agent, api or cluster table")
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
		Certificate: c.filePath("api.certificate", raw.Certificate),
		Key:         c.filePath("api.key", raw.Key),
		Tokens:      c.filePath("api.tokens", raw.Tokens),
	}
	if raw.ClientAuthority != nil {
		checked.ClientAuthority = c.filePath("api.client_authority", raw.ClientAuthority)
	}
	return checked
}

func (c *checker) agent(raw *agentDocument) *Agent {
	return &Agent{
		// Other processes send to this address, so it must not be 0.0.0.0.
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

// backendKey identifies a back end row of the configuration table.
type backendKey struct {
	service string
	name    string
}

func (c *checker) backends(raw []backendDocument) []AgentBackend {
	if len(raw) == 0 {
		c.addError("agent.backend", "is required at least once")
		return nil
	}
	backends := make([]AgentBackend, len(raw))
	seen := make(map[backendKey]bool, len(raw))
	for index, entry := range raw {
		key := fmt.Sprintf("agent.backend[%d]", index)
		backend := AgentBackend{
			Service: c.tableRowName(key+".service", entry.Service),
			Name:    c.tableRowName(key+".name", entry.Name),
			Address: c.address(key+".address", entry.Address, remoteAddress),
		}
		identity := backendKey{backend.Service, backend.Name}
		if seen[identity] && identity.name != "" {
			c.addError(key+".name", "must be unique within its service")
		}
		seen[identity] = true
		backends[index] = backend
	}
	return backends
}
