// This file implements the agents that report to hollow daemons, and the time
// until all daemons know of a change.

package members

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/cluster/liveness"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	agentNetwork = 11 << 24
	agentPort    = 6081
	// reportersOfAgent is the number of daemons that an agent reports to.
	reportersOfAgent = 2
	firstStart       = 1_790_000_000_000_000_000
)

// agentRestart is a restart of an agent that its daemons have noticed.
type agentRestart struct {
	agent   table.Endpoint
	start   uint64
	noticed time.Duration
	// told counts the daemons that others have told.
	told int
	// known is how long it took until every daemon that ran then was told, or
	// noticed it itself; zero until then.
	known time.Duration
}

// agentAt returns the address of an agent.
func agentAt(index int) table.Endpoint {
	var encoded [4]byte
	binary.BigEndian.PutUint32(encoded[:], uint32(agentNetwork+index+1))
	return table.Endpoint(netip.AddrPortFrom(netip.AddrFrom4(encoded), agentPort).String())
}

func (f *fleet) agentCount() int {
	return f.options.AgentsPerDaemon * len(f.daemons) / reportersOfAgent
}

// reporters returns the daemons that an agent reports to: two of one zone.
func (f *fleet) reporters(agent int) [reportersOfAgent]*daemon {
	first := agent % len(f.daemons)
	second := (first + f.options.Zones) % len(f.daemons)
	return [reportersOfAgent]*daemon{f.daemons[first], f.daemons[second]}
}

// claimAll claims the agents that report to this daemon, as the control server
// does once it has heard them.
func (d *daemon) claimAll() {
	for agent := range d.fleet.agentCount() {
		reporters := d.fleet.reporters(agent)
		if slices.Contains(reporters[:], d) {
			d.claim(agent)
		}
	}
}

func (d *daemon) claim(agent int) {
	d.executeLiveness(d.agents.Claim(liveness.Claim{
		Agent:     agentAt(agent),
		Start:     firstStart + uint64(d.fleet.agentStarts[agent]),
		Condition: liveness.Alive,
	}))
}

// restartAgent lets the daemons of a random agent notice that it has restarted.
func (f *fleet) restartAgent() {
	if f.agentCount() == 0 {
		return
	}
	agent := f.random.IntN(f.agentCount())
	f.agentStarts[agent]++
	restart := &agentRestart{
		agent:   agentAt(agent),
		start:   firstStart + uint64(f.agentStarts[agent]),
		noticed: f.network.Now(),
	}
	f.restarts = append(f.restarts, restart)
	for _, reporter := range f.reporters(agent) {
		if f.runs(reporter) {
			reporter.claim(agent)
		}
	}
}

func (d *daemon) executeLiveness(effects []liveness.Effect) {
	for index := range effects {
		effect := &effects[index]
		switch effect.Kind {
		case liveness.EffectSend:
			message := effect.Message
			message.Records = slices.Clone(message.Records)
			d.send(effect.To, datagram{liveness: &message})
		case liveness.EffectCondition:
			d.fleet.noteCondition(effect.Claim)
		}
	}
}

// noteCondition counts a daemon that was told of the latest restart.
func (f *fleet) noteCondition(claim liveness.Claim) {
	if len(f.restarts) == 0 {
		return
	}
	latest := f.restarts[len(f.restarts)-1]
	if claim.Agent != latest.agent || claim.Start != latest.start || claim.Condition != liveness.Alive {
		return
	}
	latest.told++
	if latest.told >= f.running()-reportersOfAgent && latest.known == 0 {
		latest.known = f.network.Now() - latest.noticed
	}
}

// agentsKnown returns the times until restarts of agents were known, in seconds
// and ascending, and how many were not known everywhere before the next one.
func (f *fleet) agentsKnown() (times []float64, unfinished int) {
	for _, restart := range f.restarts {
		if restart.known == 0 {
			unfinished++
			continue
		}
		times = append(times, restart.known.Seconds())
	}
	slices.Sort(times)
	return times, unfinished
}
