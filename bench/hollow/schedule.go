// This file implements the schedule of faults and of changes to the table.

package hollow

import (
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/table"
)

// The faults of a run. Times are in parts of the measured time; a day's faults
// are packed into it.
const (
	restartInterval = 2 * time.Second
	restartTime     = time.Second
	pauseInterval   = 5 * time.Second
	pauseTime       = 1500 * time.Millisecond

	rackBegin  = 0.2
	rackEnd    = 0.3
	rackSize   = 20 // one of that many nodes of a zone
	rackZone   = 3
	zoneBegin  = 0.4
	zoneEnd    = 0.55
	failedZone = 5
	cutBegin   = 0.65
	cutEnd     = 0.8
	// quietPart is the part at the end without new faults.
	quietPart = 0.1
)

// scheduleFaults plans restarts of random daemons and agents, pauses, the loss
// of a rack and of a zone, and the cut of a region from the others.
func (f *fleet) scheduleFaults() {
	if !f.options.Faults {
		return
	}
	begin := f.options.Starting + f.options.Filling
	end := begin + f.part(1-quietPart)
	for at := begin; at < end; at += restartInterval {
		f.network.At(at, f.restartSome)
	}
	for at := begin; at < end; at += pauseInterval {
		f.network.At(at, f.pauseSome)
	}
	rack := f.nodesOf(simnet.ZoneID(rackZone%f.options.Zones), rackSize)
	f.failBetween(begin+f.part(rackBegin), begin+f.part(rackEnd), rack)
	zone := f.nodesOf(simnet.ZoneID(failedZone%f.options.Zones), 1)
	f.failBetween(begin+f.part(zoneBegin), begin+f.part(zoneEnd), zone)
	f.network.At(begin+f.part(cutBegin), func() { f.cutRegion(true) })
	f.network.At(begin+f.part(cutEnd), func() { f.cutRegion(false) })
}

func (f *fleet) part(share float64) time.Duration {
	return time.Duration(share * float64(f.options.Duration))
}

// nodesOf returns one of every so many nodes of a zone.
func (f *fleet) nodesOf(zone simnet.ZoneID, every int) []process {
	var nodes []process
	for _, candidate := range f.processes() {
		if f.network.Zone(candidate.node()) == zone {
			nodes = append(nodes, candidate)
		}
	}
	var chosen []process
	for index := 0; index < len(nodes); index += every {
		chosen = append(chosen, nodes[index])
	}
	return chosen
}

// process is a daemon or an agent.
type process interface {
	node() simnet.NodeID
	// end notes that the process ends now.
	end(now time.Duration)
	begin()
	handler() simnet.Handler[message]
}

func (d *daemon) node() simnet.NodeID              { return d.id }
func (d *daemon) end(time.Duration)                {}
func (d *daemon) handler() simnet.Handler[message] { return d }
func (a *agent) node() simnet.NodeID               { return a.id }
func (a *agent) end(now time.Duration)             { a.stoppedAt = now }
func (a *agent) handler() simnet.Handler[message]  { return a }

func (f *fleet) processes() []process {
	all := make([]process, 0, len(f.daemons)+len(f.agents))
	for _, listed := range f.daemons {
		all = append(all, listed)
	}
	for _, listed := range f.agents {
		all = append(all, listed)
	}
	return all
}

func (f *fleet) failBetween(begin, end time.Duration, failing []process) {
	f.network.At(begin, func() {
		for _, failed := range failing {
			f.stop(failed)
		}
	})
	f.network.At(end, func() {
		for _, failed := range failing {
			f.restart(failed)
		}
	})
}

func (f *fleet) stop(stopped process) {
	f.network.Stop(stopped.node())
	stopped.end(f.network.Now())
}

func (f *fleet) restart(restarted process) {
	f.network.Restart(restarted.node(), restarted.handler())
	restarted.begin()
}

// restartSome stops a daemon and an agent without warning and starts them
// again.
func (f *fleet) restartSome() {
	chosen := []process{
		f.daemons[f.random.IntN(len(f.daemons))],
		f.agents[f.random.IntN(len(f.agents))],
	}
	for _, failed := range chosen {
		if f.network.Stopped(failed.node()) {
			continue
		}
		f.stop(failed)
		f.network.At(f.network.Now()+restartTime, func() { f.restart(failed) })
	}
}

// pauseSome pauses a daemon and an agent.
func (f *fleet) pauseSome() {
	chosen := []process{
		f.daemons[f.random.IntN(len(f.daemons))],
		f.agents[f.random.IntN(len(f.agents))],
	}
	for _, paused := range chosen {
		id := paused.node()
		f.network.Pause(id)
		f.network.At(f.network.Now()+pauseTime, func() { f.network.Resume(id) })
	}
}

// cutRegion cuts the first region from all others, or ends the cut.
func (f *fleet) cutRegion(cut bool) {
	for index := 1; index < f.options.Regions; index++ {
		if cut {
			f.network.Cut(regionName(0), regionName(index))
			continue
		}
		f.network.Heal(regionName(0), regionName(index))
	}
}

// agreedDelay is after how long a stopped agent's lease must have ended.
const agreedDelay = 4200 * time.Millisecond

// agreeOnLiveness renews, every second, the list that LivenessAgreed tells.
func (f *fleet) agreeOnLiveness() {
	now := f.network.Now()
	f.unavailable = nil
	clear(f.excluded)
	for _, candidate := range f.agents {
		if f.network.Stopped(candidate.id) && now >= candidate.stoppedAt+agreedDelay {
			f.unavailable = append(f.unavailable, candidate.row)
			f.excluded[candidate.row] = true
		}
	}
	f.network.At(now+livenessInterval, f.agreeOnLiveness)
}

// unavailableOf returns the rows of a service on the agreed list.
func (f *fleet) unavailableOf(owner *service) []table.BackendID {
	var rows []table.BackendID
	if len(f.excluded) == 0 {
		return nil
	}
	for _, row := range owner.rows {
		if f.excluded[row] {
			rows = append(rows, row)
		}
	}
	return rows
}
