package settings

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/requestqueue"
)

// Relay holds the settings of a vanetiller-relay process, which forwards the
// packets of a flow without terminating the flow. Exactly one of Balancer and
// Agent is set.
type Relay struct {
	// Peers is the UDP address that receives messages of other daemons. All
	// balancers of a fleet use one port, and all agents use another.
	Peers netip.AddrPort
	// FlowLifetime is the maximum duration of a flow.
	FlowLifetime time.Duration
	// StopTimeout is the maximum duration of a planned stop.
	StopTimeout time.Duration
	// FlowLimit is the maximum number of flows that the process holds in memory.
	FlowLimit int
	Balancer  *RelayBalancer
	Agent     *RelayAgent
}

// RelayBalancer holds the settings of the balancer role of vanetiller-relay.
type RelayBalancer struct {
	// Listen is the UDP address that receives packets of clients. Clients
	// receive packets, and agents receive messages of daemons, on the same port.
	Listen netip.AddrPort
	// Store is the TCP address of the platform's store.
	Store netip.AddrPort
	// StoreRate is the number of calls per second that the store answers, for
	// all balancers together.
	StoreRate int
	// ApplyTimeout is the time within which a change must take effect after the
	// store has accepted it.
	ApplyTimeout time.Duration
	// DrainTimeout is the time after which an endpoint must get no new flows
	// once the store lists it as leaving.
	DrainTimeout time.Duration
	// CloseTimeout is the time after which the endpoints of a zone must get no
	// new flows once the store lists the zone as closed. It defaults to
	// DrainTimeout.
	CloseTimeout time.Duration
	// ContactTimeout is the time within which a balancer must reconnect after it
	// has lost its connections.
	ContactTimeout time.Duration
	// Exchange is the UDP and TCP address that receives membership messages and
	// requests for the directory from other balancers. All balancers of a fleet
	// use the same port.
	Exchange netip.AddrPort
	// Updates is the UDP address that receives directory updates of other
	// balancers. All balancers of a fleet use the same port. The default is the
	// address of Peers with the next port.
	Updates netip.AddrPort
	// Seeds are the Exchange addresses of balancers to contact at startup. It
	// may be empty.
	Seeds []netip.AddrPort
	// Zones are the names of all zones, in the same order in every process.
	Zones []string
	// FirstStart is true if the whole fleet starts for the first time, so that
	// no traffic waits for this process and no endpoint has left before.
	FirstStart bool
}

// RelayAgent holds the settings of the agent role of vanetiller-relay.
type RelayAgent struct {
	// Service is the name of the service that the endpoint belongs to.
	Service string
	// Endpoint is the UDP address of the endpoint.
	Endpoint netip.AddrPort
	// Emitted is the UDP address to which the endpoint sends all its packets.
	Emitted netip.AddrPort
	// FirstStart is true if the endpoint starts together with the agent, so that
	// it cannot hold any flows yet.
	FirstStart bool
	// Seeds are the Peers addresses of balancers with which the agent registers
	// while it knows no other. Without seeds it does not register.
	Seeds []netip.AddrPort
	// ColdOverrun and ColdSlack limit the requests that a cold endpoint, which has
	// started recently, may get within one second. The limit is its request rate
	// for a cold start times ColdOverrun, plus ColdSlack.
	ColdOverrun float64
	ColdSlack   float64
	// OutlierDetection configures after which failures the endpoint is ejected,
	// and for how long.
	OutlierDetection outlier.Config
	// QueuePolicy defines the order in which waiting requests are served.
	QueuePolicy requestqueue.Policy
}

// The defaults and bounds of relay settings.
const (
	DefaultFlowLifetime = "60s"
	DefaultStoreRate    = 1000
	DefaultApplyTimeout = "3s"
	DefaultDrainTimeout = "3s"
	// DefaultColdOverrun and DefaultColdSlack limit a cold endpoint to its request
	// rate for a cold start.
	DefaultColdOverrun    = 1.0
	DefaultColdSlack      = 0.0
	MaxColdOverrun        = 100
	MaxColdSlack          = 100_000
	DefaultContactTimeout = "5s"
	// DefaultQueueDiscipline is the order that callers already rely on. A
	// deployment must select any other order explicitly.
	DefaultQueueDiscipline = requestqueue.DisciplineNewestFirst
	// MaxOutlierWindow must not exceed 255, because an agent reports the number
	// of outcomes in one byte.
	MaxOutlierWindow = 100
	MinEjectionTime  = 100 * time.Millisecond
	MaxEjectionTime  = time.Minute
	MinChangeTimeout = 500 * time.Millisecond
	MaxChangeTimeout = 30 * time.Second
	MaxStoreRate     = 1_000_000
	MinFlowLifetime  = time.Second
	MaxFlowLifetime  = time.Hour
	maxSeeds         = 64
)

type relayDocument struct {
	Peers        any                    `toml:"peers"`
	FlowLifetime any                    `toml:"flow_lifetime"`
	StopTimeout  any                    `toml:"stop_timeout"`
	FlowLimit    any                    `toml:"flow_limit"`
	Balancer     *relayBalancerDocument `toml:"balancer"`
	Agent        *relayAgentDocument    `toml:"agent"`
}

type relayBalancerDocument struct {
	Listen         any `toml:"listen"`
	Store          any `toml:"store"`
	StoreRate      any `toml:"store_rate"`
	ApplyTimeout   any `toml:"apply_timeout"`
	DrainTimeout   any `toml:"drain_timeout"`
	CloseTimeout   any `toml:"close_timeout"`
	ContactTimeout any `toml:"contact_timeout"`
	Exchange       any `toml:"exchange"`
	Updates        any `toml:"updates"`
	Seeds          any `toml:"seeds"`
	Zones          any `toml:"zones"`
	FirstStart     any `toml:"first_start"`
}

type relayAgentDocument struct {
	Service    any `toml:"service"`
	Endpoint   any `toml:"endpoint"`
	Emitted    any `toml:"emitted"`
	FirstStart any `toml:"first_start"`

	Seeds        any `toml:"seeds"`
	BalancerPort any `toml:"balancer_port"`

	ColdOverrun any `toml:"cold_overrun"`
	ColdSlack   any `toml:"cold_slack"`

	OutlierWindow   any `toml:"outlier_window"`
	OutlierFailures any `toml:"outlier_failures"`
	FirstEjection   any `toml:"first_ejection"`
	LongestEjection any `toml:"longest_ejection"`

	QueueDiscipline any `toml:"queue_discipline"`
	FairShare       any `toml:"fair_share"`
}

func (c *checker) relay(raw *relayDocument, zone string) *Relay {
	checked := &Relay{
		Peers: c.address("relay.peers", raw.Peers, remoteAddress),
		FlowLifetime: c.duration("relay.flow_lifetime",
			withDefault(raw.FlowLifetime, DefaultFlowLifetime), MinFlowLifetime, MaxFlowLifetime),
		StopTimeout: c.duration("relay.stop_timeout",
			withDefault(raw.StopTimeout, DefaultStopTimeout), MinStopTimeout, MaxStopTimeout),
		FlowLimit: c.integer("relay.flow_limit",
			withDefault(raw.FlowLimit, int64(DefaultFlowLimit)), 1, MaxFlowLimit),
	}
	if (raw.Balancer == nil) == (raw.Agent == nil) {
		c.addError("relay", "must have exactly one of a balancer and an agent table")
	}
	if raw.Balancer != nil {
		checked.Balancer = c.relayBalancer(raw.Balancer, zone, checked.Peers)
	}
	if raw.Agent != nil {
		checked.Agent = c.relayAgent(raw.Agent)
	}
	return checked
}

func (c *checker) relayBalancer(raw *relayBalancerDocument, zone string, peers netip.AddrPort) *RelayBalancer {
	checked := &RelayBalancer{
		Listen: c.address("relay.balancer.listen", raw.Listen, remoteAddress),
		Store:  c.address("relay.balancer.store", raw.Store, remoteAddress),
		StoreRate: c.integer("relay.balancer.store_rate",
			withDefault(raw.StoreRate, int64(DefaultStoreRate)), 1, MaxStoreRate),
		ApplyTimeout: c.duration("relay.balancer.apply_timeout",
			withDefault(raw.ApplyTimeout, DefaultApplyTimeout), MinChangeTimeout, MaxChangeTimeout),
		DrainTimeout: c.duration("relay.balancer.drain_timeout",
			withDefault(raw.DrainTimeout, DefaultDrainTimeout), MinChangeTimeout, MaxChangeTimeout),
		ContactTimeout: c.duration("relay.balancer.contact_timeout",
			withDefault(raw.ContactTimeout, DefaultContactTimeout), MinChangeTimeout, MaxChangeTimeout),
		Exchange: c.address("relay.balancer.exchange", raw.Exchange, remoteAddress),
		Updates:  netip.AddrPortFrom(peers.Addr(), peers.Port()+1),
		Seeds:    c.seeds("relay.balancer.seeds", raw.Seeds),
		Zones:    c.names("relay.balancer.zones", raw.Zones, membership.MaxZones),

		FirstStart: c.boolean("relay.balancer.first_start", withDefault(raw.FirstStart, false)),
	}
	checked.CloseTimeout = checked.DrainTimeout
	if raw.CloseTimeout != nil {
		checked.CloseTimeout = c.duration("relay.balancer.close_timeout", raw.CloseTimeout, MinChangeTimeout, MaxChangeTimeout)
	}
	if raw.Updates != nil {
		checked.Updates = c.address("relay.balancer.updates", raw.Updates, remoteAddress)
	}
	if len(checked.Zones) > 0 && !slices.Contains(checked.Zones, zone) {
		c.addError("relay.balancer.zones", "must contain the zone of this process, %s", zone)
	}
	return checked
}

func (c *checker) relayAgent(raw *relayAgentDocument) *RelayAgent {
	return &RelayAgent{
		Service:    c.tableRowName("relay.agent.service", raw.Service),
		Endpoint:   c.address("relay.agent.endpoint", raw.Endpoint, remoteAddress),
		Emitted:    c.address("relay.agent.emitted", raw.Emitted, remoteAddress),
		FirstStart: c.boolean("relay.agent.first_start", withDefault(raw.FirstStart, false)),
		Seeds:      c.agentSeeds(raw),
		ColdOverrun: c.float("relay.agent.cold_overrun",
			withDefault(raw.ColdOverrun, DefaultColdOverrun), 1, MaxColdOverrun),
		ColdSlack: c.float("relay.agent.cold_slack",
			withDefault(raw.ColdSlack, DefaultColdSlack), 0, MaxColdSlack),
		OutlierDetection: c.outlierDetection(raw),
		QueuePolicy: requestqueue.Policy{
			Discipline: c.discipline("relay.agent.queue_discipline",
				withDefault(raw.QueueDiscipline, DefaultQueueDiscipline.String())),
			FairShare: c.float("relay.agent.fair_share", withDefault(raw.FairShare, 0.0), 0, requestqueue.MaxFairShare),
		},
	}
}

// agentSeeds returns the Peers addresses of the balancers at the seeds, which are given by their
// Exchange addresses as for a balancer.
func (c *checker) agentSeeds(raw *relayAgentDocument) []netip.AddrPort {
	seeds := c.seeds("relay.agent.seeds", raw.Seeds)
	if len(seeds) == 0 {
		return nil
	}
	port := uint16(c.integer("relay.agent.balancer_port", raw.BalancerPort, 1, math.MaxUint16))
	for index := range seeds {
		seeds[index] = netip.AddrPortFrom(seeds[index].Addr(), port)
	}
	return seeds
}

func (c *checker) discipline(key string, value any) requestqueue.Discipline {
	text, ok := c.stringValue(key, value)
	if !ok {
		return DefaultQueueDiscipline
	}
	for _, discipline := range requestqueue.Disciplines() {
		if discipline.String() == text {
			return discipline
		}
	}
	c.addError(key, "must be one of %v", requestqueue.Disciplines())
	return DefaultQueueDiscipline
}

func (c *checker) outlierDetection(raw *relayAgentDocument) outlier.Config {
	defaults := outlier.DefaultConfig()
	config := outlier.Config{
		Window: c.integer("relay.agent.outlier_window",
			withDefault(raw.OutlierWindow, int64(defaults.Window)), 1, MaxOutlierWindow),
		BaseEjectionTime: c.duration("relay.agent.first_ejection",
			withDefault(raw.FirstEjection, defaults.BaseEjectionTime.String()), MinEjectionTime, MaxEjectionTime),
	}
	config.FailureThreshold = c.integer("relay.agent.outlier_failures",
		withDefault(raw.OutlierFailures, int64(defaults.FailureThreshold)), 0, MaxOutlierWindow)
	config.MaxEjectionTime = c.duration("relay.agent.longest_ejection",
		withDefault(raw.LongestEjection, defaults.MaxEjectionTime.String()), MinEjectionTime, MaxEjectionTime)
	if config.FailureThreshold > config.Window {
		c.addError("relay.agent.outlier_failures", "must not be more than outlier_window, %d", config.Window)
	}
	if config.MaxEjectionTime < config.BaseEjectionTime {
		c.addError("relay.agent.longest_ejection", "must not be less than first_ejection, %s", config.BaseEjectionTime)
	}
	return config
}

// seeds accepts an array of addresses, which may be absent or empty.
func (c *checker) seeds(key string, value any) []netip.AddrPort {
	items, isArray := withDefault(value, []any{}).([]any)
	if !isArray || len(items) > maxSeeds {
		c.addError(key, "must be an array of at most %d addresses", maxSeeds)
		return nil
	}
	seeds := make([]netip.AddrPort, len(items))
	for index, item := range items {
		seeds[index] = c.address(key, item, remoteAddress)
	}
	return seeds
}

func (c *checker) boolean(key string, value any) bool {
	boolean, isBoolean := value.(bool)
	if !isBoolean {
		c.addError(key, "must be true or false")
	}
	return boolean
}
