// This file implements how a fleet is laid out and started.

package hollow

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	rowWeight   = 100
	controlPort = 7000
	agentPort   = 6081
	servicePort = 443
	// agentNetwork and serviceNetwork are the upper halves of the addresses of
	// agents and services; the lower halves count.
	daemonNetwork  = 10 << 24
	agentNetwork   = 11 << 24
	serviceNetwork = 12 << 24
)

// fleet is the state of a run.
type fleet struct {
	options  Options
	random   *rand.Rand
	network  *network
	layout   simnet.Layout
	sizer    *sizer
	daemons  []*daemon
	agents   []*agent
	services []*service
	// agentsIn counts the agents of each zone.
	agentsIn []int
	regions  map[string][]*daemon
	// sprayed are the daemons of each region to which the fabric sends.
	sprayed map[string][]*daemon
	table   *table.Table
	// builds holds the lookup table that daemons with equal input share.
	builds      map[buildKey]*lookup.Table
	unavailable []table.BackendID
	excluded    map[table.BackendID]bool
	traffic     *traffic
	changes     []*change
	tally       tally
	// measuring is set while the measured time runs.
	measuring bool
}

// service is where the callers of a service send their packets.
type service struct {
	id      table.ServiceID
	address netip.AddrPort
	regions []string
	// rows are in the order of the table.
	rows []table.BackendID
}

// buildKey is all that a lookup table depends on, besides the table's content.
type buildKey struct {
	version     table.Version
	unavailable string
}

// Delays between nodes in one zone, in one region and in two regions.
const (
	zoneDelay    = 250 * time.Microsecond
	regionDelay  = 750 * time.Microsecond
	farDelay     = 40 * time.Millisecond
	zoneJitter   = 100 * time.Microsecond
	regionJitter = 250 * time.Microsecond
	farJitter    = 10 * time.Millisecond
	// duplication is the share of datagrams that arrive twice.
	duplication = 0.0001
)

func newLayout(options Options) simnet.Layout {
	link := func(delay, jitter time.Duration) simnet.Link {
		return simnet.Link{Delay: delay, Jitter: jitter, Loss: options.Loss, Duplication: duplication}
	}
	layout := simnet.Layout{
		WithinZone:     link(zoneDelay, zoneJitter),
		BetweenZones:   link(regionDelay, regionJitter),
		BetweenRegions: link(farDelay, farJitter),
	}
	for index := range options.Zones {
		layout.Zones = append(layout.Zones, simnet.Zone{
			Name:   fmt.Sprintf("zone-%d", index),
			Region: regionName(index % options.Regions),
		})
	}
	return layout
}

func regionName(index int) string { return fmt.Sprintf("region-%d", index) }

func newFleet(options Options) *fleet {
	created := &fleet{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, 1)),
		layout:   newLayout(options),
		sizer:    newSizer(),
		regions:  make(map[string][]*daemon),
		sprayed:  make(map[string][]*daemon),
		builds:   make(map[buildKey]*lookup.Table),
		excluded: make(map[table.BackendID]bool),
		agentsIn: make([]int, options.Zones),
	}
	created.network = simnet.New[message](created.layout, options.Seed)
	created.tally = newTally()
	created.addDaemons()
	created.addServices()
	created.traffic = newTraffic(created)
	return created
}

func (f *fleet) addDaemons() {
	for index := range f.options.Daemons {
		zone := simnet.ZoneID(index % f.options.Zones)
		added := &daemon{fleet: f, address: addressOf(daemonNetwork, index, controlPort)}
		added.id = f.network.AddNode(zone, added)
		f.daemons = append(f.daemons, added)
		region := f.layout.Zones[zone].Region
		f.regions[region] = append(f.regions[region], added)
	}
}

// addServices adds services with their rows and agents.
func (f *fleet) addServices() {
	f.table = &table.Table{Version: 1}
	for index := range f.options.Services {
		added := &service{
			id:      table.ServiceID(index + 1),
			address: addressOf(serviceNetwork, index, servicePort),
			regions: f.regionsOf(index),
		}
		f.services = append(f.services, added)
		f.table.Services = append(f.table.Services, table.Service{
			ID:       added.id,
			Name:     fmt.Sprintf("service-%d", index),
			Address:  table.Endpoint(added.address.String()),
			Protocol: table.ProtocolTCP,
			Owner:    fmt.Sprintf("owner-%d", index%100),
		})
		f.addRows(added)
	}
}

// regionsOf returns the regions of a service, those without daemons left out.
// Services, and among them those in two regions, are spread evenly.
func (f *fleet) regionsOf(index int) []string {
	count := 1
	round := index / f.options.Regions
	if f.options.SpanningEvery > 0 && round%f.options.SpanningEvery == 0 {
		count = 2
	}
	var regions []string
	for offset := range f.options.Regions {
		name := regionName((index + offset) % f.options.Regions)
		if len(f.regions[name]) > 0 && len(regions) < count {
			regions = append(regions, name)
		}
	}
	return regions
}

func (f *fleet) addRows(owner *service) {
	for index := range f.options.RowsPerService {
		region := owner.regions[index%len(owner.regions)]
		zones := f.layout.ZonesOf(region)
		zone := zones[(index/len(owner.regions))%len(zones)]
		id := table.BackendID(len(f.agents) + 1)
		address := addressOf(agentNetwork, len(f.agents), agentPort)
		f.table.Backends = append(f.table.Backends, table.Backend{
			ID:          id,
			Service:     owner.id,
			Name:        fmt.Sprintf("row-%d", index),
			Incarnation: 1,
			Agent:       table.Endpoint(address.String()),
			Weight:      rowWeight,
		})
		added := &agent{fleet: f, row: id, service: owner, address: address, daemons: f.daemonsNear(zone)}
		added.id = f.network.AddNode(zone, added)
		f.agents = append(f.agents, added)
		owner.rows = append(owner.rows, id)
	}
}

// daemonsNear returns the daemons of an agent, first those of its zone, so that
// all daemons of a zone have about as many agents.
func (f *fleet) daemonsNear(zone simnet.ZoneID) []*daemon {
	ordinal := f.agentsIn[zone]
	f.agentsIn[zone]++
	var near, others []*daemon
	for _, candidate := range f.daemons {
		if f.network.Zone(candidate.id) == zone {
			near = append(near, candidate)
		} else {
			others = append(others, candidate)
		}
	}
	chosen := make([]*daemon, 0, f.options.DaemonsPerAgent)
	for offset := range f.options.DaemonsPerAgent {
		position := ordinal*f.options.DaemonsPerAgent + offset
		if offset < len(near) {
			chosen = append(chosen, near[position%len(near)])
			continue
		}
		chosen = append(chosen, others[(ordinal+offset)%len(others)])
	}
	return chosen
}

func addressOf(network uint32, index int, port uint16) netip.AddrPort {
	var encoded [4]byte
	binary.BigEndian.PutUint32(encoded[:], network+uint32(index)+1)
	return netip.AddrPortFrom(netip.AddrFrom4(encoded), port)
}

// indexOf undoes addressOf.
func indexOf(network uint32, address netip.AddrPort) int {
	encoded := address.Addr().As4()
	return int(binary.BigEndian.Uint32(encoded[:])-network) - 1
}

func (f *fleet) agentOf(row table.BackendID) *agent { return f.agents[row-1] }

// start starts all processes, daemons first.
func (f *fleet) start() {
	for _, started := range f.daemons {
		started.begin()
	}
	for _, started := range f.agents {
		started.begin()
	}
}
