// This file implements the fleet and its hollow daemons.

package members

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/membership"
)

const (
	firstAddress     = membership.Address(0x0a000001<<16 + 7000)
	addressStep      = membership.Address(1 << 16)
	firstIncarnation = membership.Incarnation(1_790_000_000_000)
	seedAddresses    = 3
	timerTick        = uint32(0)
)

// Delays of the simulated network, as in package hollow.
const (
	zoneDelay   = 250 * time.Microsecond
	regionDelay = 750 * time.Microsecond
	farDelay    = 40 * time.Millisecond
	farJitter   = 10 * time.Millisecond
)

// fleet is the state of a run.
type fleet struct {
	options Options
	random  *rand.Rand
	network *simnet.Network[membership.Message]
	daemons []*daemon
	starts  uint64
	encoded []byte
	// falseFailures counts reports of the failure of a process that ran.
	falseFailures int
	largest       int
}

// daemon is a hollow daemon.
type daemon struct {
	fleet    *fleet
	id       simnet.NodeID
	address  membership.Address
	region   membership.Region
	zone     membership.Zone
	identity membership.Identity
	machine  *membership.Machine
	// failed is when this process last learned of the watched failure.
	failed time.Duration
}

func newFleet(options Options) *fleet {
	layout := simnet.Layout{
		WithinZone:     simnet.Link{Delay: zoneDelay, Jitter: zoneDelay, Loss: options.Loss},
		BetweenZones:   simnet.Link{Delay: regionDelay, Jitter: regionDelay, Loss: options.Loss},
		BetweenRegions: simnet.Link{Delay: farDelay, Jitter: farJitter, Loss: options.Loss},
	}
	for zone := range options.Zones {
		layout.Zones = append(layout.Zones, simnet.Zone{
			Name: fmt.Sprintf("zone-%d", zone), Region: regionName(zone % options.Regions),
		})
	}
	created := &fleet{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 2)),
		network: simnet.New[membership.Message](layout, options.Seed),
	}
	for index := range options.Daemons {
		zone := index % options.Zones
		added := &daemon{
			fleet:   created,
			address: firstAddress + membership.Address(index)*addressStep,
			region:  membership.Region(zone % options.Regions),
			zone:    membership.Zone(zone),
		}
		added.id = created.network.AddNode(simnet.ZoneID(zone), added)
		created.network.Stop(added.id)
		created.daemons = append(created.daemons, added)
	}
	return created
}

func regionName(index int) string { return fmt.Sprintf("region-%d", index) }

// start runs a new process, with amnesia, on a node.
func (d *daemon) start() {
	d.fleet.starts++
	d.fleet.network.Restart(d.id, d)
	d.identity = membership.Identity{
		Address: d.address, Region: d.region, Zone: d.zone,
		Incarnation: firstIncarnation + membership.Incarnation(d.fleet.starts),
	}
	random := rand.New(rand.NewPCG(d.fleet.options.Seed, d.fleet.starts))
	machine, err := membership.New(membership.DefaultConfig(d.identity, random))
	if err != nil {
		panic("members: the default settings are refused: " + err.Error())
	}
	machine.SetSeeds(d.fleet.seeds())
	d.machine = machine
	d.failed = 0
	phase := time.Duration(d.fleet.random.Int64N(int64(membership.TickInterval)))
	d.fleet.network.Schedule(d.id, phase, timerTick)
}

func (f *fleet) seeds() []membership.Address {
	seeds := make([]membership.Address, 0, seedAddresses)
	for range seedAddresses {
		seeds = append(seeds, f.daemons[f.random.IntN(len(f.daemons))].address)
	}
	return seeds
}

func (f *fleet) runs(d *daemon) bool { return !f.network.Stopped(d.id) }

func (f *fleet) running() int {
	running := 0
	for _, counted := range f.daemons {
		if f.runs(counted) {
			running++
		}
	}
	return running
}

func (f *fleet) at(address membership.Address) *daemon {
	return f.daemons[(address-firstAddress)/addressStep]
}

// Wake implements simnet.Handler.
func (d *daemon) Wake(now time.Duration, _ uint32) {
	d.execute(now, d.machine.Tick(now))
	d.fleet.network.Schedule(d.id, membership.TickInterval, timerTick)
}

// Receive implements simnet.Handler.
func (d *daemon) Receive(now time.Duration, from simnet.NodeID, message membership.Message) {
	d.execute(now, d.machine.Receive(now, d.fleet.daemons[from].address, message))
}

func (d *daemon) execute(now time.Duration, effects []membership.Effect) {
	for index := range effects {
		effect := &effects[index]
		switch effect.Kind {
		case membership.EffectSend:
			d.send(effect)
		case membership.EffectFailed:
			d.learn(now, effect.Member)
		}
	}
}

// learn notes that another process has failed, and whether that is true.
func (d *daemon) learn(now time.Duration, failed membership.Identity) {
	d.failed = now
	accused := d.fleet.at(failed.Address)
	if d.fleet.runs(accused) && accused.identity == failed {
		d.fleet.falseFailures++
	}
}

func (d *daemon) send(effect *membership.Effect) {
	encoded, err := effect.Message.MarshalMsg(d.fleet.encoded[:0])
	if err != nil {
		panic("members: cannot encode a message: " + err.Error())
	}
	d.fleet.encoded = encoded
	d.fleet.largest = max(d.fleet.largest, len(encoded))
	to := d.fleet.at(effect.To).id
	d.fleet.network.Send(d.id, to, simnet.Control, len(encoded), effect.Message)
}

// agreed reports whether every running process takes exactly the running ones
// for live.
func (f *fleet) agreed() bool {
	running := f.running()
	for _, asked := range f.daemons {
		if f.runs(asked) && (asked.machine.Live() != running || !f.knowsAll(asked)) {
			return false
		}
	}
	return true
}

// knowsAll reports whether a process knows every running one by its present
// identity and can reach it.
func (f *fleet) knowsAll(asked *daemon) bool {
	for _, other := range f.daemons {
		if !f.runs(other) {
			continue
		}
		known, exists := asked.machine.Member(other.address)
		if !exists || known.Identity != other.identity || !known.Reachable {
			return false
		}
	}
	return true
}
