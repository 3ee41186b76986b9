// This file simulates a fleet of membership machines on a network in virtual time.

package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/membership/virtualnet"
)

const (
	firstAddress     = membership.Address(0x7f000001_0000 + 7000)
	addressStep      = membership.Address(1 << 16)
	firstIncarnation = membership.Incarnation(1_790_000_000_000)
	// defaultSeeds is the number of seeds that a starting process is given.
	defaultSeeds = 3
)

// layout is the shape of a fleet.
type layout struct {
	members int
	zones   int
	// zonesInRegion is the number of zones in each region except the last.
	zonesInRegion int
	// regions is the number of regions. Zero means as many as needed.
	regions int
}

func (l layout) zoneOf(index int) membership.Zone { return membership.Zone(index % l.zones) }

func (l layout) regionOf(zone membership.Zone) membership.Region {
	region := int(zone) / l.zonesInRegion
	if l.regions > 0 {
		region = min(region, l.regions-1)
	}
	return membership.Region(region)
}

// process is one machine on the network.
type process struct {
	fleet    *fleet
	address  membership.Address
	identity membership.Identity
	machine  *membership.Machine
	started  time.Duration
	// failures holds the members that this process saw fail, with the time.
	failures map[membership.Identity]time.Duration
	// effects counts the effects by kind.
	effects map[membership.EffectKind]int
}

// fleet is a set of processes on one network.
type fleet struct {
	layout    layout
	seed      uint64
	random    *rand.Rand
	network   *virtualnet.Network[membership.Message]
	processes map[membership.Address]*process
	addresses []membership.Address
	configure func(*membership.Config)
	// mutate, if set, changes or drops the effects of a process, to inject a fault.
	mutate    func(*process, []membership.Effect) []membership.Effect
	seedCount int
	// fixedSeeds are the seeds of every process. If there are none, each process gets
	// random ones.
	fixedSeeds      []membership.Address
	starts          int
	messages        int
	largestDatagram int
}

func newFleet(seed uint64, shape layout, config virtualnet.Config) *fleet {
	created := &fleet{
		layout:    shape,
		seed:      seed,
		random:    rand.New(rand.NewPCG(seed, 2)),
		processes: make(map[membership.Address]*process),
		configure: func(*membership.Config) {},
		seedCount: defaultSeeds,
	}
	config.Seed = seed
	config.TickInterval = membership.TickInterval
	config.Delay = created.delay
	created.network = virtualnet.New[membership.Message](config)
	for index := range shape.members {
		created.addresses = append(created.addresses, firstAddress+membership.Address(index)*addressStep)
	}
	return created
}

func (f *fleet) zoneAt(address membership.Address) membership.Zone {
	return f.layout.zoneOf(int((address - firstAddress) / addressStep))
}

// delay returns the delay of links within a zone, within a region and between regions.
func (f *fleet) delay(from, to virtualnet.NodeID) time.Duration {
	a, b := f.zoneAt(membership.Address(from)), f.zoneAt(membership.Address(to))
	switch {
	case a == b:
		return 500 * time.Microsecond
	case f.layout.regionOf(a) == f.layout.regionOf(b):
		return 1500 * time.Microsecond
	}
	return 60 * time.Millisecond
}

// start runs a new process, which has no memory of earlier ones, at an address.
func (f *fleet) start(address membership.Address) *process {
	f.starts++
	zone := f.zoneAt(address)
	identity := membership.Identity{
		Address: address, Region: f.layout.regionOf(zone), Zone: zone,
		Incarnation: firstIncarnation + membership.Incarnation(f.starts),
	}
	config := membership.DefaultConfig(identity, rand.New(rand.NewPCG(f.seed, uint64(f.starts)+10)))
	f.configure(&config)
	machine, err := membership.New(config)
	if err != nil {
		panic(fmt.Sprintf("create a membership machine: %v", err))
	}
	machine.SetSeeds(f.seeds())
	started := &process{
		fleet: f, address: address, identity: identity, machine: machine, started: f.network.Now(),
		failures: make(map[membership.Identity]time.Duration), effects: make(map[membership.EffectKind]int),
	}
	f.processes[address] = started
	f.network.Attach(virtualnet.NodeID(address), started)
	return started
}

// seeds returns random addresses of the fleet, each at most once.
func (f *fleet) seeds() []membership.Address {
	if len(f.fixedSeeds) > 0 {
		return f.fixedSeeds
	}
	var seeds []membership.Address
	for _, index := range f.random.Perm(len(f.addresses))[:min(f.seedCount, len(f.addresses))] {
		seeds = append(seeds, f.addresses[index])
	}
	return seeds
}

// startAll starts every process within spread, then runs for the time settle.
func (f *fleet) startAll(spread, settle time.Duration) {
	for _, address := range f.addresses {
		f.network.After(time.Duration(f.random.Int64N(int64(spread))), func() { f.start(address) })
	}
	f.network.Run(spread + settle)
}

// kill ends a process without notice.
func (f *fleet) kill(address membership.Address) {
	f.network.Detach(virtualnet.NodeID(address))
	delete(f.processes, address)
}

// leave ends a process as planned.
func (f *fleet) leave(address membership.Address) {
	leaving := f.processes[address]
	leaving.apply(leaving.machine.Leave(f.network.Now()))
	f.kill(address)
}

// partitionZones separates the zones for which side is true from the others.
func (f *fleet) partitionZones(side func(membership.Zone) bool) {
	f.network.SetPartition(func(from, to virtualnet.NodeID) bool {
		return side(f.zoneAt(membership.Address(from))) != side(f.zoneAt(membership.Address(to)))
	})
}

// running returns the processes in order of their addresses.
func (f *fleet) running() []*process {
	var running []*process
	for _, address := range f.addresses {
		if found, exists := f.processes[address]; exists {
			running = append(running, found)
		}
	}
	return running
}

// disagreement describes the first wrong view of a member. It is empty if all views are
// right.
func (f *fleet) disagreement() string {
	running := f.running()
	for _, observer := range running {
		if wrong := observer.disagreement(running); wrong != "" {
			return wrong
		}
	}
	return ""
}

func (p *process) disagreement(running []*process) string {
	for _, known := range p.machine.Members() {
		_, runs := p.fleet.processes[known.Identity.Address]
		if !runs && known.State != membership.StateFailed && known.State != membership.StateLeft {
			return fmt.Sprintf("%s (zone %d) lists %+v, which is not running", p.address, p.identity.Zone, known)
		}
	}
	for _, other := range running {
		known, exists := p.machine.Member(other.address)
		if !exists || known.Identity != other.machine.Self() || known.State != membership.StateAlive || !known.Reachable {
			return fmt.Sprintf("%s lists %+v for %s (exists %t)", p.address, known, other.address, exists)
		}
	}
	return ""
}

// runUntilAgreed runs until all views are right or the limit has passed. It returns the
// time taken and the last disagreement.
func (f *fleet) runUntilAgreed(limit time.Duration) (time.Duration, string) {
	began := f.network.Now()
	for {
		wrong := f.disagreement()
		taken := f.network.Now() - began
		if wrong == "" || taken >= limit {
			return taken, wrong
		}
		f.network.Run(250 * time.Millisecond)
	}
}

// Tick implements virtualnet.Node.
func (p *process) Tick(now time.Duration) { p.apply(p.machine.Tick(now)) }

// Receive implements virtualnet.Node.
func (p *process) Receive(now time.Duration, from virtualnet.NodeID, message membership.Message) {
	p.apply(p.machine.Receive(now, membership.Address(from), message))
}

func (p *process) apply(effects []membership.Effect) {
	effects = slices.Clone(effects)
	if p.fleet.mutate != nil {
		effects = p.fleet.mutate(p, effects)
	}
	for _, effect := range effects {
		p.effects[effect.Kind]++
		switch effect.Kind {
		case membership.EffectSend:
			p.transmit(effect)
		case membership.EffectFailed:
			p.failures[effect.Member] = p.fleet.network.Now()
		}
	}
}

// transmit encodes the message as the transport does, to count its bytes.
func (p *process) transmit(effect membership.Effect) {
	encoded, err := effect.Message.MarshalMsg(nil)
	if err != nil {
		panic(fmt.Sprintf("encode a membership message: %v", err))
	}
	if len(encoded) > membership.MaxDatagramSize {
		panic(fmt.Sprintf("a message of %d bytes exceeds the maximum datagram size", len(encoded)))
	}
	p.fleet.messages++
	p.fleet.largestDatagram = max(p.fleet.largestDatagram, len(encoded))
	p.fleet.network.Send(virtualnet.NodeID(p.address), virtualnet.NodeID(effect.To), len(encoded), effect.Message)
}

func (f *fleet) suspicionTimeout() time.Duration {
	return membership.DefaultConfig(membership.Identity{}, nil).SuspicionTimeout
}
