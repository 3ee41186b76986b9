package agent

import (
	"errors"
	"net"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/admission"
	"github.com/vanetiller/vanetiller/internal/control"
	"github.com/vanetiller/vanetiller/internal/netstack"
	"github.com/vanetiller/vanetiller/internal/table"
)

// sendHeartbeats sends the heartbeats that are due. The mutex must be held.
func (a *Agent) sendHeartbeats(now time.Duration) {
	for _, outgoing := range a.client.Tick(now) {
		heartbeat := outgoing.Heartbeat
		encoded, err := (&control.Datagram{Heartbeat: &heartbeat}).MarshalMsg(nil)
		if err != nil {
			panic("agent: cannot encode a heartbeat: " + err.Error())
		}
		// A daemon that cannot be reached is heard from no more; its lease
		// runs out, which is all that can be done here.
		_, _ = a.control.WriteToUDPAddrPort(encoded, outgoing.Daemon)
	}
}

// receiveGrants handles the daemons' answers to heartbeats.
func (a *Agent) receiveGrants() error {
	buffer := make([]byte, receiveBufferSize)
	for {
		count, from, err := a.control.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		var datagram control.Datagram
		if _, err := datagram.UnmarshalMsg(buffer[:count]); err != nil || datagram.Grant == nil {
			a.dropped(reasonBadMessage)
			continue
		}
		a.mutex.Lock()
		now := a.now()
		if a.client.Receive(now, from, *datagram.Grant) {
			a.configure(now)
		}
		a.mutex.Unlock()
	}
}

// configure brings rows and machines to the state held from the daemons. The
// mutex must be held.
func (a *Agent) configure(now time.Duration) {
	state := a.client.State(now)
	if state.Table == nil {
		return
	}
	if !slices.Equal(a.down, state.Down) || !slices.Equal(a.left, state.Leaving) {
		a.down, a.left = state.Down, state.Leaving
		a.config.Logger.Info("availability changed", "down", a.down, "leaving", a.left)
	}
	if a.table != state.Table {
		a.config.Logger.Info("table received", "version", state.Table.Version)
		a.table = state.Table
		a.updatePeers()
		a.updateRows()
	}
	for _, served := range a.rows {
		served.machine.RenewLease(now, state.LeaseUntil)
		a.execute(served, served.machine.InstallView(now, admission.View{
			Version: state.Table.Version,
			Service: served.service.ID,
			Rows:    state.Table.BackendsOf(served.service.ID),
			Down:    state.Down,
			Leaving: state.Leaving,
		}))
	}
}

func (a *Agent) updatePeers() {
	clear(a.peers)
	for _, backend := range a.table.Backends {
		a.peers[backend.ID] = peer{
			agent:       backend.Agent.AddrPort(),
			incarnation: backend.Incarnation,
			service:     backend.Service,
		}
	}
}

// updateRows starts serving the rows that name this agent. Rows that no longer
// do are kept: their flows go on.
func (a *Agent) updateRows() {
	self := table.Endpoint(a.config.Listen.String())
	for _, backend := range a.table.Backends {
		if backend.Agent != self {
			continue
		}
		key := rowKey{backend.ID, backend.Incarnation}
		if served, exists := a.rows[key]; exists {
			served.backend = backend
			continue
		}
		service, exists := a.table.Service(backend.Service)
		if !exists || backend.Removed {
			continue
		}
		a.addRow(key, service, backend)
	}
}

func (a *Agent) addRow(key rowKey, service table.Service, backend table.Backend) {
	logger := a.config.Logger.With("service", service.Name, "row", backend.Name)
	configured, exists := a.backend(service.Name, backend.Name)
	if !exists {
		logger.Error("row has no back end in the settings")
		return
	}
	added := &row{
		agent:   a,
		machine: admission.New(a.machineConfig(backend.ID)),
		service: service,
		backend: backend,
		address: configured.Address,
	}
	stack, err := netstack.New(added)
	if err != nil {
		logger.Error("cannot serve row", "error", err)
		return
	}
	added.stack = stack
	if a.leaving {
		added.machine.Leave()
	}
	a.rows[key] = added
	a.group.Go(func() error { return a.transmit(stack) })
	logger.Info("serving row", "version", a.table.Version)
}

func (a *Agent) backend(service, name string) (Backend, bool) {
	for _, configured := range a.config.Backends {
		if configured.Service == service && configured.Name == name {
			return configured, true
		}
	}
	return Backend{}, false
}
