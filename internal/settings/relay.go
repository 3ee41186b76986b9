package settings

import (
	"net/netip"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/requestqueue"
)

// Relay holds the settings of a process that carries the packets of flows
// whole. Exactly one of Balancer and Agent is set.
type Relay struct {
	// Peers is the UDP address for messages of other daemons. All balancers of
	// a fleet use one port, and all agents use another.
	Peers netip.AddrPort
	// FlowLifetime is the longest time for which a flow may last.
	FlowLifetime time.Duration
	// StopTimeout is how long a planned stop may take.
	StopTimeout time.Duration
	// FlowLimit is the largest number of flows held in memory.
	FlowLimit int
	Balancer  *RelayBalancer
	Agent     *RelayAgent
}

// RelayBalancer holds the settings of a balancer that carries packets whole.
type RelayBalancer struct {
	// Listen is the UDP address for clients' packets. Its port is also the one
	// on which clients receive packets and agents the messages of daemons.
	Listen netip.AddrPort
	// Store is the TCP address of the platform's store.
	Store netip.AddrPort
	// StoreRate is how many calls a second the store answers of all balancers
	// together.
	StoreRate int
	// ApplyTimeout is the time in which a change that the store has taken has to
	// be in force.
	ApplyTimeout time.Duration
	// DrainTimeout is the time after which an endpoint that the store tells to be
	// leaving must get no new flow.
	DrainTimeout time.Duration
	// CloseTimeout is the time after which the endpoints of a zone that the store tells to
	// be closed must get no new flow; it is DrainTimeout unless set.
	CloseTimeout time.Duration
	// ContactTimeout is the time in which a balancer has to be in touch again after its
	// connections were lost.
	ContactTimeout time.Duration
	// Exchange is the UDP and TCP address under which other balancers reach
	// this one. All of a fleet use the same port.
	Exchange netip.AddrPort
	// Updates is the UDP address for what other balancers tell of the directory. All of a
	// fleet use the same port, which is the one after that of Peers unless set.
	Updates netip.AddrPort
	// Seeds are Exchange addresses of balancers to ask at the start; there may
	// be none.
	Seeds []netip.AddrPort
	// Zones are the names of all zones, in the same order everywhere.
	Zones []string
	// FirstStart is set if the whole fleet starts for the first time, so that no traffic
	// waits for this process.
	FirstStart bool
}

// RelayAgent holds the settings of an agent that carries packets whole.
type RelayAgent struct {
	// Service is the service of the endpoint beside the agent.
	Service string
	// Endpoint is the UDP address of the endpoint.
	Endpoint netip.AddrPort
	// Emitted is the UDP address that the endpoint sends all its packets to.
	Emitted netip.AddrPort
	// FirstStart is set if the endpoint starts together with the agent, so that
	// it cannot hold any flow yet.
	FirstStart bool
	// ColdOverrun is how many times its rate, and ColdSlack how many requests beside that,
	// an endpoint may get in a second while it is cold.
	ColdOverrun float64
	ColdSlack   float64
	// OutlierDetection are the limits within which the endpoint counts as well.
	OutlierDetection outlier.Config
	// QueuePolicy decides which request that waits for the endpoint is served first.
	QueuePolicy requestqueue.Policy
}

// The values and bounds of relay settings.
const (
	DefaultFlowLifetime = "60s"
	DefaultStoreRate    = 1000
	DefaultApplyTimeout = "3s"
	DefaultDrainTimeout = "3s"
	// DefaultColdOverrun and DefaultColdSlack let a cold endpoint get no more than its rate.
	DefaultColdOverrun    = 1.0
	DefaultColdSlack      = 0.0
	MaxColdOverrun        = 100
	MaxColdSlack          = 100_000
	DefaultContactTimeout = "5s"
	// DefaultQueueDiscipline keeps the order that callers know until a deployment asks for
	// another.
	DefaultQueueDiscipline = requestqueue.DisciplineNewestFirst
	// MaxOutlierWindow is as many outcomes as an agent can tell of.
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
		c.broken("relay", "must have either a balancer or an agent table")
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
		Zones:    c.names("relay.balancer.zones", raw.Zones, membership.MaximumZones),

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
		c.broken("relay.balancer.zones", "must contain the zone of this process, %s", zone)
	}
	return checked
}

func (c *checker) relayAgent(raw *relayAgentDocument) *RelayAgent {
	return &RelayAgent{
		Service:    c.rowName("relay.agent.service", raw.Service),
		Endpoint:   c.address("relay.agent.endpoint", raw.Endpoint, remoteAddress),
		Emitted:    c.address("relay.agent.emitted", raw.Emitted, remoteAddress),
		FirstStart: c.boolean("relay.agent.first_start", withDefault(raw.FirstStart, false)),
		ColdOverrun: c.number("relay.agent.cold_overrun",
			withDefault(raw.ColdOverrun, DefaultColdOverrun), 1, MaxColdOverrun),
		ColdSlack: c.number("relay.agent.cold_slack",
			withDefault(raw.ColdSlack, DefaultColdSlack), 0, MaxColdSlack),
		OutlierDetection: c.outliers(raw),
		QueuePolicy: requestqueue.Policy{
			Discipline: c.discipline("relay.agent.queue_discipline",
				withDefault(raw.QueueDiscipline, DefaultQueueDiscipline.String())),
			FairShare: c.number("relay.agent.fair_share", withDefault(raw.FairShare, 0.0), 0, requestqueue.MaxFairShare),
		},
	}
}

func (c *checker) discipline(key string, value any) requestqueue.Discipline {
	text, isText := c.text(key, value)
	if !isText {
		return DefaultQueueDiscipline
	}
	for _, discipline := range requestqueue.Disciplines() {
		if discipline.String() == text {
			return discipline
		}
	}
	c.broken(key, "must be one of %v", requestqueue.Disciplines())
	return DefaultQueueDiscipline
}

func (c *checker) outliers(raw *relayAgentDocument) outlier.Config {
	standard := outlier.DefaultConfig()
	limits := outlier.Config{
		Window: c.integer("relay.agent.outlier_window",
			withDefault(raw.OutlierWindow, int64(standard.Window)), 1, MaxOutlierWindow),
		BaseEjectionTime: c.duration("relay.agent.first_ejection",
			withDefault(raw.FirstEjection, standard.BaseEjectionTime.String()), MinEjectionTime, MaxEjectionTime),
	}
	limits.FailureThreshold = c.integer("relay.agent.outlier_failures",
		withDefault(raw.OutlierFailures, int64(standard.FailureThreshold)), 0, MaxOutlierWindow)
	limits.MaxEjectionTime = c.duration("relay.agent.longest_ejection",
		withDefault(raw.LongestEjection, standard.MaxEjectionTime.String()), MinEjectionTime, MaxEjectionTime)
	if limits.FailureThreshold > limits.Window {
		c.broken("relay.agent.outlier_failures", "must not be more than outlier_window, %d", limits.Window)
	}
	if limits.MaxEjectionTime < limits.BaseEjectionTime {
		c.broken("relay.agent.longest_ejection", "must not be less than first_ejection, %s", limits.BaseEjectionTime)
	}
	return limits
}

// seeds takes an array that may be left out or empty.
func (c *checker) seeds(key string, value any) []netip.AddrPort {
	items, isArray := withDefault(value, []any{}).([]any)
	if !isArray || len(items) > maxSeeds {
		c.broken(key, "must be an array of at most %d addresses", maxSeeds)
		return nil
	}
	seeds := make([]netip.AddrPort, len(items))
	for index, item := range items {
		seeds[index] = c.address(key, item, remoteAddress)
	}
	return seeds
}

func (c *checker) boolean(key string, value any) bool {
	truth, isBoolean := value.(bool)
	if !isBoolean {
		c.broken(key, "must be true or false")
	}
	return truth
}
