// This file implements the hollow daemon: the product's membership,
// dissemination and exchange of agents' liveness.

package members

import (
	"math/rand/v2"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/cluster/liveness"
	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// datagram carries a message of one of the protocols. Messages are passed
// as values, but their sizes are those of the product's encoding.
type datagram struct {
	membership    *membership.Message
	dissemination *dissemination.Message
	liveness      *liveness.Message
}

const (
	timerTick = uint32(0)
	// fetchTime is how long a fetch over a connection takes.
	fetchTime = 300 * time.Millisecond
)

// daemon is a hollow daemon.
type daemon struct {
	fleet    *fleet
	id       simnet.NodeID
	address  membership.Address
	region   membership.Region
	zone     membership.Zone
	identity membership.Identity
	machine  *membership.Machine
	spread   *dissemination.Machine
	agents   *liveness.Machine
	// stalePeers is set when the membership has changed.
	stalePeers bool
	// failed is when this process last learned of the watched failure.
	failed time.Duration
}

// start runs a new process, with amnesia, on a node.
func (d *daemon) start() {
	d.fleet.starts++
	d.fleet.network.Restart(d.id, d)
	d.identity = membership.Identity{
		Address: d.address, Region: d.region, Zone: d.zone,
		Incarnation: firstIncarnation + membership.Incarnation(d.fleet.starts),
	}
	random := rand.New(rand.NewPCG(d.fleet.options.Seed, d.fleet.starts))
	var err error
	d.machine, err = membership.New(membership.DefaultConfig(d.identity, random))
	if err != nil {
		panic("members: the default settings are refused: " + err.Error())
	}
	d.spread, err = dissemination.New(dissemination.DefaultConfig(d.identity, random))
	if err != nil {
		panic("members: the default settings are refused: " + err.Error())
	}
	d.agents, err = liveness.New(liveness.Config{Self: d.identity, Random: random})
	if err != nil {
		panic("members: the default settings are refused: " + err.Error())
	}
	d.claimAll()
	d.machine.SetSeeds(d.fleet.seeds())
	d.failed = 0
	phase := time.Duration(d.fleet.random.Int64N(int64(membership.TickInterval)))
	d.fleet.network.Schedule(d.id, phase, timerTick)
}

// Wake implements simnet.Handler.
func (d *daemon) Wake(now time.Duration, _ uint32) {
	d.machine.SetAttachment(d.spread.Attachment())
	d.executeMembership(now, d.machine.Tick(now))
	if d.stalePeers {
		d.stalePeers = false
		d.setPeers(now)
	}
	d.executeDissemination(d.spread.Tick(now))
	if d.fleet.options.AgentsPerDaemon > 0 {
		d.executeLiveness(d.agents.Tick(now))
	}
	d.fleet.network.Schedule(d.id, membership.TickInterval, timerTick)
}

// setPeers tells the other machines of the members.
func (d *daemon) setPeers(now time.Duration) {
	known := d.machine.Members()
	peers := make([]dissemination.Peer, 0, len(known))
	reporters := make([]liveness.Peer, 0, len(known))
	for _, member := range known {
		if member.State == membership.StateAlive || member.State == membership.StateSuspect {
			peers = append(peers, dissemination.Peer{Identity: member.Identity, Reachable: member.Reachable})
			reporters = append(reporters, liveness.Peer{Identity: member.Identity, Reachable: member.Reachable})
		}
	}
	d.spread.SetPeers(peers)
	d.executeLiveness(d.agents.SetPeers(now, reporters))
}

// Receive implements simnet.Handler.
func (d *daemon) Receive(now time.Duration, from simnet.NodeID, received datagram) {
	sender := d.fleet.daemons[from].address
	switch {
	case received.membership != nil:
		d.executeMembership(now, d.machine.Receive(now, sender, *received.membership))
	case received.dissemination != nil:
		d.executeDissemination(d.spread.Receive(now, sender, *received.dissemination))
	case received.liveness != nil:
		d.executeLiveness(d.agents.Receive(now, sender, *received.liveness))
	}
}

func (d *daemon) executeMembership(now time.Duration, effects []membership.Effect) {
	for index := range effects {
		effect := &effects[index]
		switch effect.Kind {
		case membership.EffectSend:
			message := effect.Message
			d.send(effect.To, datagram{membership: &message})
		case membership.EffectAttachment:
			d.spread.Heard(now, effect.Member.Address, effect.Attachment)
		case membership.EffectFailed:
			d.learn(now, effect.Member)
			d.stalePeers = true
		default:
			d.stalePeers = true
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

func (d *daemon) executeDissemination(effects []dissemination.Effect) {
	for index := range effects {
		effect := &effects[index]
		switch effect.Kind {
		case dissemination.EffectSend:
			message := effect.Message
			d.send(effect.To, datagram{dissemination: &message})
		case dissemination.EffectApply:
			d.spread.InForce(effect.Delta.Version)
		case dissemination.EffectFetch:
			d.fetch(effect.To)
		}
	}
}

// fetch stands for a connection over which the table or deltas are fetched; its
// bytes are not counted.
func (d *daemon) fetch(from membership.Address) {
	d.fleet.fetches++
	process := d.spread
	d.fleet.network.At(d.fleet.network.Now()+fetchTime, func() {
		if d.spread != process || !d.fleet.runs(d) {
			return
		}
		now := d.fleet.network.Now()
		source := d.fleet.at(from)
		if !d.fleet.reaches(d, source) {
			d.spread.FetchFailed(now, from)
			return
		}
		d.install(now, source.spread.Status().Held)
	})
}

func (d *daemon) install(now time.Duration, version table.Version) {
	if version > d.spread.Status().InForce {
		d.spread.InForce(version)
	}
	d.executeDissemination(d.spread.Installed(now, version))
}

func (d *daemon) send(receiver membership.Address, sent datagram) {
	size := d.fleet.sizeOf(sent)
	d.fleet.largest = max(d.fleet.largest, size)
	d.fleet.network.Send(d.id, d.fleet.at(receiver).id, simnet.Control, size, sent)
}

func (f *fleet) sizeOf(sent datagram) int {
	var err error
	switch {
	case sent.membership != nil:
		f.encoded, err = sent.membership.MarshalMsg(f.encoded[:0])
	case sent.dissemination != nil:
		f.encoded, err = sent.dissemination.MarshalMsg(f.encoded[:0])
	case sent.liveness != nil:
		f.encoded, err = sent.liveness.MarshalMsg(f.encoded[:0])
	}
	if err != nil {
		panic("members: cannot encode a message: " + err.Error())
	}
	return len(f.encoded)
}

// reaches reports whether a connection from one daemon to another can be made.
func (f *fleet) reaches(from, to *daemon) bool {
	separated := from.region != to.region && (from.region == 0 || to.region == 0)
	return f.runs(to) && !(f.cut && separated)
}
