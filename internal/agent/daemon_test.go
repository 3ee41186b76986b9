// This file implements the daemon of the contract tests: the product's registry
// behind a socket of its own.

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

// testDaemon answers heartbeats with the table published last.
type testDaemon struct {
	socket  *net.UDPConn
	started time.Time

	mutex    sync.Mutex
	registry *control.Registry
	// held is the table version that each agent holds.
	held map[table.Endpoint]table.Version
	// leaving holds the agents that said they are stopping.
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
		Eventually(ended, generous).Should(BeClosed())
	})
	return daemon
}

func (d *testDaemon) address() netip.AddrPort {
	return d.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// publish checks the table as the platform's client does.
func (d *testDaemon) publish(published *table.Table) {
	Expect(published.Validate()).To(Succeed())
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.registry.Publish(time.Since(d.started), published)
	d.registry.ConfirmTable()
}

func (d *testDaemon) run() {
	buffer := make([]byte, maximumDatagram)
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
	// The test's process may be held up; its table is the newest there is.
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

// setSilent stops or resumes answering heartbeats.
func (d *testDaemon) setSilent(silent bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.silent = silent
}

// versionHeldBy returns the table version that the agent reported last.
func (d *testDaemon) versionHeldBy(agent table.Endpoint) table.Version {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.held[agent]
}

// knowsLeaving reports whether the agent said that it is stopping.
func (d *testDaemon) knowsLeaving(agent table.Endpoint) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.leaving[agent]
}
