// This file implements changes of the table and the time until they are in
// force.

package hollow

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

// change is an accepted change of the table.
type change struct {
	version  table.Version
	accepted time.Duration
	// daemons and agents are how long it took until every running one held
	// the change; zero until then.
	daemons time.Duration
	agents  time.Duration
}

const (
	// forceInterval is how often the fleet is asked for its versions.
	forceInterval = 100 * time.Millisecond
	// drainEvery makes one of that many changes drain a row, or end that.
	drainEvery = 4
	weightStep = 50
)

// changeTable changes the weight of a random row, or its drain flag.
func (f *fleet) changeTable() {
	now := f.network.Now()
	changed := f.table.Clone()
	changed.Version++
	row := &changed.Backends[f.random.IntN(len(changed.Backends))]
	if f.random.IntN(drainEvery) == 0 {
		row.Drain = !row.Drain
	} else {
		row.Weight = rowWeight + uint32(f.random.IntN(weightStep))
	}
	f.table = changed
	f.changes = append(f.changes, &change{version: changed.Version, accepted: now})
	for _, receiver := range f.daemons {
		if !f.network.Stopped(receiver.id) {
			f.publishTo(receiver, changed)
		}
	}
	f.network.At(now+f.options.ChangeInterval, f.changeTable)
}

// watchForce notes which changes are in force everywhere.
func (f *fleet) watchForce() {
	now := f.network.Now()
	atDaemons, atAgents := f.lowestVersions()
	for _, watched := range f.changes {
		if watched.daemons == 0 && watched.version <= atDaemons {
			watched.daemons = now - watched.accepted
		}
		if watched.agents == 0 && watched.version <= atAgents {
			watched.agents = now - watched.accepted
		}
	}
	f.network.At(now+forceInterval, f.watchForce)
}

// lowestVersions returns the lowest versions held by running daemons and
// agents.
func (f *fleet) lowestVersions() (daemons, agents table.Version) {
	daemons, agents = f.table.Version, f.table.Version
	for _, asked := range f.daemons {
		if !f.network.Stopped(asked.id) {
			daemons = min(daemons, asked.version)
		}
	}
	for _, asked := range f.agents {
		if !f.network.Stopped(asked.id) {
			agents = min(agents, asked.machine.Version())
		}
	}
	return daemons, agents
}
