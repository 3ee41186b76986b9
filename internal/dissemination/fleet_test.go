// This file simulates a fleet of daemons, each with membership and dissemination, on a
// network in virtual time.

package dissemination_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/membership/virtualnet"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	firstAddress     = membership.Address(0x7f000001_0000 + 7100)
	addressStep      = membership.Address(1 << 16)
	firstIncarnation = membership.Incarnation(1_790_000_000_000)
	fetchTime        = 200 * time.Millisecond
)

// datagram carries a message of one of the two protocols.
type datagram struct {
	membership    *membership.Message
	dissemination *dissemination.Message
}

// contents stands for the table. Each version follows from the one before.
type contents struct {
	version table.Version
	hash    uint64
}

func (c contents) apply(delta dissemination.Delta) contents {
	mixed := binary.BigEndian.AppendUint64(slices.Clone(delta.Payload), c.hash)
	return contents{version: delta.Version, hash: xxhash.Sum64(mixed)}
}

// daemon is one process on the network.
type daemon struct {
	fleet     *fleet
	identity  membership.Identity
	members   *membership.Machine
	machine   *dissemination.Machine
	contents  contents
	appliedAt map[table.Version]time.Duration
	surveys   []dissemination.Survey
	fetches   int
	// peersChanged is set when the membership has changed.
	peersChanged bool
}

// fleet is a set of daemons on one network.
type fleet struct {
	seed          uint64
	random        *rand.Rand
	zones         int
	zonesInRegion int
	// regions is the number of regions. Zero means as many as needed.
	regions     int
	payloadSize int
	network     *virtualnet.Network[datagram]
	daemons     map[membership.Address]*daemon
	addresses   []membership.Address
	starts      int
	mutate      func(*dissemination.Message)
	// violations describes broken invariants.
	violations []string
	// betweenRegions counts the pushes and deltas sent to other regions.
	betweenRegions int
}

func newFleet(seed uint64, members, zones, zonesInRegion int, config virtualnet.Config) *fleet {
	created := &fleet{
		seed: seed, random: rand.New(rand.NewPCG(seed, 3)),
		zones: zones, zonesInRegion: zonesInRegion, payloadSize: 150,
		daemons: make(map[membership.Address]*daemon),
	}
	config.Seed = seed
	config.TickInterval = dissemination.TickInterval
	config.Delay = created.delay
	created.network = virtualnet.New[datagram](config)
	for index := range members {
		created.addresses = append(created.addresses, firstAddress+membership.Address(index)*addressStep)
	}
	return created
}

func (f *fleet) zoneOf(address membership.Address) membership.Zone {
	return membership.Zone(int((address-firstAddress)/addressStep) % f.zones)
}

func (f *fleet) regionOf(address membership.Address) membership.Region {
	region := int(f.zoneOf(address)) / f.zonesInRegion
	if f.regions > 0 {
		region = min(region, f.regions-1)
	}
	return membership.Region(region)
}

func (f *fleet) delay(from, to virtualnet.NodeID) time.Duration {
	if f.regionOf(membership.Address(from)) != f.regionOf(membership.Address(to)) {
		return 60 * time.Millisecond
	}
	return time.Millisecond
}

func (f *fleet) start(address membership.Address) {
	f.starts++
	identity := membership.Identity{
		Address: address, Zone: f.zoneOf(address), Region: f.regionOf(address),
		Incarnation: firstIncarnation + membership.Incarnation(f.starts),
	}
	random := rand.New(rand.NewPCG(f.seed, uint64(f.starts)+10))
	members, err := membership.New(membership.DefaultConfig(identity, random))
	must(err)
	machine, err := dissemination.New(dissemination.DefaultConfig(identity, random))
	must(err)
	seeds := make([]membership.Address, 0, 16)
	for _, index := range f.random.Perm(len(f.addresses))[:min(16, len(f.addresses))] {
		seeds = append(seeds, f.addresses[index])
	}
	members.SetSeeds(seeds)
	started := &daemon{
		fleet: f, identity: identity, members: members, machine: machine,
		appliedAt: make(map[table.Version]time.Duration),
	}
	f.daemons[address] = started
	f.network.Attach(virtualnet.NodeID(address), started)
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (f *fleet) startAll(spread, settle time.Duration) {
	for _, address := range f.addresses {
		f.network.After(time.Duration(f.random.Int64N(int64(spread))), func() { f.start(address) })
	}
	f.network.Run(spread + settle)
}

func (f *fleet) kill(address membership.Address) {
	f.network.Detach(virtualnet.NodeID(address))
	delete(f.daemons, address)
}

func (f *fleet) running() []*daemon {
	var running []*daemon
	for _, address := range f.addresses {
		if found, exists := f.daemons[address]; exists {
			running = append(running, found)
		}
	}
	return running
}

// deltaOf returns the delta to a version. It is the same on every daemon.
func (f *fleet) deltaOf(version table.Version) dissemination.Delta {
	payload := make([]byte, f.payloadSize)
	binary.BigEndian.PutUint64(payload, uint64(version))
	return dissemination.Delta{Version: version, Payload: payload}
}

// publish makes a daemon publish the version after the one it holds.
func (f *fleet) publish(address membership.Address) table.Version {
	origin := f.daemons[address]
	version := origin.machine.Status().Held + 1
	origin.apply(origin.machine.Publish(f.deltaOf(version)))
	return version
}

// behind returns the daemons that have not applied the version.
func (f *fleet) behind(version table.Version) []membership.Address {
	var behind []membership.Address
	for _, observed := range f.running() {
		if observed.machine.Status().Applied < version {
			behind = append(behind, observed.identity.Address)
		}
	}
	return behind
}

// runUntilApplied runs until all daemons have applied the version or the limit has passed.
func (f *fleet) runUntilApplied(version table.Version, limit time.Duration) (time.Duration, []membership.Address) {
	began := f.network.Now()
	for {
		behind := f.behind(version)
		taken := f.network.Now() - began
		if len(behind) == 0 || taken >= limit {
			return taken, behind
		}
		f.network.Run(100 * time.Millisecond)
	}
}

func (f *fleet) newest() table.Version {
	var newest table.Version
	for _, observed := range f.running() {
		newest = max(newest, observed.machine.Status().Held)
	}
	return newest
}

// Tick implements virtualnet.Node.
func (d *daemon) Tick(now time.Duration) {
	d.members.SetAttachment(d.machine.Attachment())
	d.applyMembership(now, d.members.Tick(now))
	if d.peersChanged {
		d.peersChanged = false
		d.machine.SetPeers(d.peers())
	}
	d.apply(d.machine.Tick(now))
}

func (d *daemon) peers() []dissemination.Peer {
	var peers []dissemination.Peer
	for _, known := range d.members.Members() {
		if known.State == membership.StateAlive || known.State == membership.StateSuspect {
			peers = append(peers, dissemination.Peer{Identity: known.Identity, Reachable: known.Reachable})
		}
	}
	return peers
}

// Receive implements virtualnet.Node.
func (d *daemon) Receive(now time.Duration, from virtualnet.NodeID, received datagram) {
	if received.membership != nil {
		d.applyMembership(now, d.members.Receive(now, membership.Address(from), *received.membership))
		return
	}
	d.apply(d.machine.Receive(now, membership.Address(from), *received.dissemination))
}

func (d *daemon) applyMembership(now time.Duration, effects []membership.Effect) {
	for _, effect := range slices.Clone(effects) {
		switch effect.Kind {
		case membership.EffectSend:
			encoded, err := effect.Message.MarshalMsg(nil)
			must(err)
			message := effect.Message
			d.send(effect.To, len(encoded), datagram{membership: &message})
		case membership.EffectAttachment:
			d.machine.ReceiveAttachment(now, effect.Member.Address, effect.Attachment)
		default:
			d.peersChanged = true
		}
	}
}

func (d *daemon) apply(effects []dissemination.Effect) {
	for _, effect := range slices.Clone(effects) {
		switch effect.Kind {
		case dissemination.EffectSend:
			d.transmit(effect)
		case dissemination.EffectApply:
			d.install(d.contents.apply(effect.Delta))
		case dissemination.EffectFetch:
			d.fetch(effect.To)
		case dissemination.EffectSurveyDone:
			d.surveys = append(d.surveys, effect.Survey)
		}
	}
}

func (d *daemon) transmit(effect dissemination.Effect) {
	message := effect.Message
	if d.fleet.mutate != nil {
		d.fleet.mutate(&message)
	}
	encoded, err := message.MarshalMsg(nil)
	must(err)
	if len(encoded) > dissemination.MaxDatagramSize {
		panic(fmt.Sprintf("a message of %d bytes exceeds the maximum datagram size", len(encoded)))
	}
	if len(message.Deltas) > 0 && d.fleet.regionOf(effect.To) != d.identity.Region {
		d.fleet.betweenRegions++
	}
	d.send(effect.To, len(encoded), datagram{dissemination: &message})
}

func (d *daemon) send(to membership.Address, size int, message datagram) {
	d.fleet.network.Send(virtualnet.NodeID(d.identity.Address), virtualnet.NodeID(to), size, message)
}

// install applies contents and checks them.
func (d *daemon) install(next contents) {
	if next.version <= d.contents.version {
		d.violate("returned to version %d", next.version)
	}
	var expected contents
	for version := range next.version {
		expected = expected.apply(d.fleet.deltaOf(version + 1))
	}
	if next != expected {
		d.violate("applied wrong contents at version %d", next.version)
	}
	d.contents = next
	d.machine.Applied(next.version)
	d.appliedAt[next.version] = d.fleet.network.Now()
}

func (d *daemon) violate(format string, arguments ...any) {
	description := fmt.Sprintf(format, arguments...)
	d.fleet.violations = append(d.fleet.violations, fmt.Sprintf("%s %s", d.identity.Address, description))
}

// fetch stands for a fetch over a connection: it takes fetchTime and fails if the other
// process has gone.
func (d *daemon) fetch(from membership.Address) {
	d.fetches++
	d.fleet.network.After(fetchTime, func() {
		now := d.fleet.network.Now()
		source, exists := d.fleet.daemons[from]
		if !exists {
			d.machine.FetchFailed(now, from)
			return
		}
		fetched := source.contents
		if fetched.version > d.contents.version {
			d.install(fetched)
		}
		d.apply(d.machine.Installed(now, fetched.version))
	})
}
