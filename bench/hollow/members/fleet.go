// This file implements the fleet.

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
	network *simnet.Network[datagram]
	daemons []*daemon
	starts  uint64
	encoded []byte
	// falseFailures counts reports of the failure of a process that ran.
	falseFailures int
	largest       int
	// fetches counts tables and deltas fetched over a connection.
	fetches int
	changes []*change
	// agentStarts counts the restarts of each agent.
	agentStarts []int
	restarts    []*agentRestart
	// cut is set while the first region is cut from the others.
	cut bool
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
		network: simnet.New[datagram](layout, options.Seed),
	}
	created.agentStarts = make([]int, options.AgentsPerDaemon*options.Daemons/reportersOfAgent)
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
