// This file implements changes of the table and the time until they are in
// force.

package members

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/table"
)

// changeSize is the size in bytes of an encoded change of one row with author
// and reason, as package slopes measures it.
const changeSize = 173

// change is a change of the table that was published.
type change struct {
	version   table.Version
	published time.Duration
	// inForce is how long it took until every running process had it in
	// force; zero until then.
	inForce time.Duration
	// excused is set for changes during the cut, which one side cannot get.
	excused bool
}

// publish lets a daemon that has the newest version publish the next one.
func (f *fleet) publish() {
	newest := f.newest()
	for _, origin := range f.daemons {
		eligible := f.runs(origin) && origin.spread.Status().Held == newest && (!f.cut || origin.region != 0)
		if !eligible {
			continue
		}
		delta := dissemination.Delta{Version: newest + 1, Payload: make([]byte, changeSize)}
		origin.executeDissemination(origin.spread.Publish(delta))
		f.changes = append(f.changes, &change{version: newest + 1, published: f.network.Now(), excused: f.cut})
		return
	}
}

func (f *fleet) newest() table.Version {
	var newest table.Version
	for _, asked := range f.daemons {
		if f.runs(asked) {
			newest = max(newest, asked.spread.Status().Held)
		}
	}
	return newest
}

// lowest returns the oldest version in force at a running process.
func (f *fleet) lowest() table.Version {
	lowest := f.newest()
	for _, asked := range f.daemons {
		if f.runs(asked) {
			lowest = min(lowest, asked.spread.Status().InForce)
		}
	}
	return lowest
}

// watchForce notes which changes are in force everywhere.
func (f *fleet) watchForce() {
	now := f.network.Now()
	lowest := f.lowest()
	for _, watched := range f.changes {
		if watched.inForce == 0 && watched.version <= lowest {
			watched.inForce = now - watched.published
		}
	}
	f.network.At(now+forceInterval, f.watchForce)
}

// forceInterval is how often the fleet is asked for its versions.
const forceInterval = 100 * time.Millisecond

// force returns the times of the changes published outside the cut, in seconds,
// and how many were never in force.
func (f *fleet) force() (times []float64, unfinished int) {
	for _, watched := range f.changes {
		switch {
		case watched.excused:
		case watched.inForce == 0:
			unfinished++
		default:
			times = append(times, watched.inForce.Seconds())
		}
	}
	return times, unfinished
}
