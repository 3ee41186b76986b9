// This file implements the daemon of the tests: a control.Registry with its own
// socket.

package agent_test

import (
	"net"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/control"
	"github.com/vanetiller/vanetiller/internal/table"
)

// testDaemon answers heartbeats with the latest published table.
type testDaemon struct {
	socket  *net.UDPConn
	started time.Time

	mutex    sync.Mutex
	registry *control.Registry
	// held is the table version that each agent holds.
	held map[table.Endpoint]table.Version
	// leaving holds the agents that reported that they are stopping.
	leaving map[table.Endpoint]bool
	// silent is set while heartbeats are not answered.
	silent bool
}

func startDaemon() *testDaemon {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: loopback.AsSlice()})
	Expect(err).NotTo(HaveOccurred())
	daemon := &testDaemon{
		socket:   socket,
		started:  time.Now(),
		registry: control.NewRegistry(),
		held:     make(map[table.Endpoint]table.Version),
		leaving:  make(map[table.Endpoint]bool),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		daemon.run()
	}()
	DeferCleanup(func() {
		Expect(socket.Close()).To(Succeed())
		Eventually(ended, waitTimeout).Should(BeClosed())
	})
	return daemon
}

func (d *testDaemon) address() netip.AddrPort {
	return d.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// publish makes a table the latest one. It validates the table first, as the client
// of the platform does.
func (d *testDaemon) publish(published *table.Table) {
	Expect(published.Validate()).To(Succeed())
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.registry.Publish(time.Since(d.started), published)
	d.registry.ConfirmTable()
}

func (d *testDaemon) run() {
	buffer := make([]byte, maxDatagram)
	for {
		count, from, err := d.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var datagram control.Datagram
		if _, err := datagram.UnmarshalMsg(buffer[:count]); err != nil || datagram.Heartbeat == nil {
			continue
		}
		if encoded := d.answer(*datagram.Heartbeat); encoded != nil {
			_, _ = d.socket.WriteToUDPAddrPort(encoded, from)
		}
	}
}

func (d *testDaemon) answer(heartbeat control.Heartbeat) []byte {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.silent {
		return nil
	}
	now := time.Since(d.started)
	d.registry.Tick(now)
	// The test process may be delayed, which must not make the registry treat
	// its table as outdated. No newer table exists.
	d.registry.ConfirmTable()
	d.held[heartbeat.Agent] = heartbeat.Version
	d.leaving[heartbeat.Agent] = heartbeat.Leaving
	grant, granted := d.registry.Receive(now, heartbeat)
	if !granted {
		return nil
	}
	encoded, err := (&control.Datagram{Grant: &grant}).MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return encoded
}

// setSilent sets whether heartbeats remain unanswered.
func (d *testDaemon) setSilent(silent bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.silent = silent
}

// versionHeldBy returns the table version that the agent reported in its latest
// heartbeat.
func (d *testDaemon) versionHeldBy(agent table.Endpoint) table.Version {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.held[agent]
}

// reportedLeaving reports whether the agent's latest heartbeat said that it is
// stopping.
func (d *testDaemon) reportedLeaving(agent table.Endpoint) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.leaving[agent]
}
