// This file implements the hollow agent: the product's control client and its
// admission machine for one row.

package hollow

import (
	"net/netip"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/admission"
	"github.com/vanetiller/vanetiller/internal/control"
	"github.com/vanetiller/vanetiller/internal/table"
)

// Timers of an agent.
const (
	timerHeartbeat uint32 = iota
	timerSweep
	timerUndecided
)

const (
	heartbeatTick = 100 * time.Millisecond
	sweepTick     = time.Second
)

// agent is a hollow agent.
type agent struct {
	fleet   *fleet
	id      simnet.NodeID
	row     table.BackendID
	service *service
	address netip.AddrPort
	daemons []*daemon
	client  *control.Client
	machine *admission.Machine
	// process counts the processes that have run here.
	process uint16
	// ticking is set while timerUndecided is scheduled.
	ticking bool
	// startedAt is when the process began.
	startedAt time.Duration
	// stoppedAt is when the process ended, if none runs.
	stoppedAt time.Duration
}

// begin starts a process without any memory of earlier ones.
func (a *agent) begin() {
	a.process++
	a.startedAt = a.fleet.network.Now()
	a.ticking = false
	addresses := make([]netip.AddrPort, 0, len(a.daemons))
	for _, known := range a.daemons {
		addresses = append(addresses, known.address)
	}
	a.client = control.NewClient(table.Endpoint(a.address.String()), uint64(a.process), addresses)
	config := admission.DefaultConfig(a.row)
	config.LeaseDuration = control.MaximumLease
	a.machine = admission.New(config)
	a.fleet.network.Schedule(a.id, a.fleet.randomTime(heartbeatTick), timerHeartbeat)
	a.fleet.network.Schedule(a.id, a.fleet.randomTime(sweepTick), timerSweep)
}

// Wake implements simnet.Handler.
func (a *agent) Wake(now time.Duration, timer uint32) {
	switch timer {
	case timerHeartbeat:
		a.sendHeartbeats(now)
		a.fleet.network.Schedule(a.id, heartbeatTick, timerHeartbeat)
	case timerSweep:
		a.execute(now, a.machine.Tick(now))
		a.fleet.network.Schedule(a.id, sweepTick, timerSweep)
	case timerUndecided:
		a.ticking = false
		a.execute(now, a.machine.Tick(now))
	}
}

func (a *agent) sendHeartbeats(now time.Duration) {
	for _, outgoing := range a.client.Tick(now) {
		heartbeat := outgoing.Heartbeat
		datagram := &control.Datagram{Heartbeat: &heartbeat}
		to := a.fleet.daemons[indexOf(daemonNetwork, outgoing.Daemon)].id
		a.fleet.network.Send(a.id, to, simnet.Control, a.fleet.sizer.control(datagram), message{control: datagram})
	}
}

// Receive implements simnet.Handler.
func (a *agent) Receive(now time.Duration, from simnet.NodeID, received message) {
	switch {
	case received.packet != nil:
		a.execute(now, a.machine.Arrive(now, *received.packet))
	case received.question != nil:
		a.execute(now, a.machine.Receive(now, *received.question))
	case received.control != nil:
		address := a.fleet.daemons[from].address
		if a.client.Receive(now, address, *received.control.Grant) {
			a.configure(now)
		}
	}
}

// configure hands the machine what the client holds, as the product's agent
// does.
func (a *agent) configure(now time.Duration) {
	state := a.client.State(now)
	if state.Table == nil {
		return
	}
	a.machine.Renew(now, state.LeaseUntil)
	a.execute(now, a.machine.Configure(now, admission.View{
		Version: state.Table.Version,
		Service: a.service.id,
		Rows:    state.Table.BackendsOf(a.service.id),
		Down:    state.Down,
		Leaving: state.Leaving,
	}))
}

// execute carries out the effects of the machine.
func (a *agent) execute(now time.Duration, effects []admission.Effect) {
	for index := range effects {
		effect := &effects[index]
		switch effect.Kind {
		case admission.Deliver:
			a.fleet.traffic.delivered(now, a, &effect.Packet)
		case admission.Forward:
			a.forward(effect)
		case admission.Send:
			a.send(effect)
		case admission.Reset:
			a.fleet.traffic.reset(&effect.Packet)
		case admission.Drop:
			a.fleet.traffic.dropped(effect.Reason, &effect.Packet)
		case admission.Refresh:
			a.client.Refresh()
		}
	}
	a.tickUndecided()
}

// tickUndecided lets the machine handle timeouts while a flow is undecided.
func (a *agent) tickUndecided() {
	if a.ticking || a.machine.Pending() == 0 {
		return
	}
	a.ticking = true
	a.fleet.network.Schedule(a.id, admission.TickInterval(), timerUndecided)
}

func (a *agent) forward(effect *admission.Effect) {
	a.fleet.tally.Forwarded++
	forwarded := effect.Packet
	forwarded.Routing.Backend = effect.To
	a.fleet.network.Send(a.id, a.fleet.agentOf(effect.To).id, simnet.Payload, packetSize, message{packet: &forwarded})
}

func (a *agent) send(effect *admission.Effect) {
	sent := effect.Message
	size := a.fleet.sizer.question(a.service.id, &sent)
	a.fleet.tally.countQuestion(size)
	a.fleet.network.Send(a.id, a.fleet.agentOf(effect.To).id, simnet.Control, size, message{question: &sent})
}
