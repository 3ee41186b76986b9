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
	for _, outgoing := range a.controlClient.Tick(now) {
		heartbeat := outgoing.Heartbeat
		encoded, err := (&control.Datagram{Heartbeat: &heartbeat}).MarshalMsg(nil)
		if err != nil {
			panic("agent: cannot encode a heartbeat: " + err.Error())
		}
		// The error is ignored: a daemon that cannot be reached renews no
		// lease, and the agent stops opening flows when its lease ends.
		_, _ = a.heartbeatSocket.WriteToUDPAddrPort(encoded, outgoing.Daemon)
	}
}

// receiveGrants handles the daemons' replies to heartbeats until the socket is
// closed.
func (a *Agent) receiveGrants() error {
	buffer := make([]byte, receiveBufferSize)
	for {
		count, from, err := a.heartbeatSocket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		var datagram control.Datagram
		if _, err := datagram.UnmarshalMsg(buffer[:count]); err != nil || datagram.Grant == nil {
			a.countDrop(reasonBadMessage)
			continue
		}
		a.mutex.Lock()
		now := a.now()
		if a.controlClient.Receive(now, from, *datagram.Grant) {
			a.applyState(now)
		}
		a.mutex.Unlock()
	}
}

// applyState updates rows and machines with the latest table, availability and
// lease received from the daemons. The mutex must be held.
func (a *Agent) applyState(now time.Duration) {
	state := a.controlClient.State(now)
	if state.Table == nil {
		return
	}
	if !slices.Equal(a.downRows, state.Down) || !slices.Equal(a.leavingRows, state.Leaving) {
		a.downRows, a.leavingRows = state.Down, state.Leaving
		a.config.Logger.Info("availability changed", "down", a.downRows, "leaving", a.leavingRows)
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

// updatePeers replaces the addresses of all rows with those in the table. The mutex
// must be held.
func (a *Agent) updatePeers() {
	clear(a.peers)
	for _, backend := range a.table.Backends {
		a.peers[backend.ID] = peerRow{
			agentAddress: backend.Agent.AddrPort(),
			incarnation:  backend.Incarnation,
			service:      backend.Service,
		}
	}
}

// updateRows starts serving the rows of the table that name this agent. Rows that
// no longer name it are kept, because their flows continue. The mutex must be
// held.
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

// addRow starts serving a row. A row that has no back end in the settings is logged
// and skipped.
func (a *Agent) addRow(key rowKey, service table.Service, backend table.Backend) {
	logger := a.config.Logger.With("service", service.Name, "row", backend.Name)
	configured, exists := a.configuredBackend(service.Name, backend.Name)
	if !exists {
		logger.Error("row has no back end in the settings")
		return
	}
	added := &row{
		agent:          a,
		machine:        admission.New(a.machineConfig(backend.ID)),
		service:        service,
		backend:        backend,
		backendAddress: configured.Address,
	}
	stack, err := netstack.New(added)
	if err != nil {
		logger.Error("cannot serve row", "error", err)
		return
	}
	added.stack = stack
	if a.stopping {
		added.machine.Leave()
	}
	a.rows[key] = added
	a.group.Go(func() error { return a.sendResponses(stack) })
	logger.Info("serving row", "version", a.table.Version)
}

// configuredBackend returns the back end that the settings name for a row.
func (a *Agent) configuredBackend(service, name string) (Backend, bool) {
	for _, configured := range a.config.Backends {
		if configured.Service == service && configured.Name == name {
			return configured, true
		}
	}
	return Backend{}, false
}
