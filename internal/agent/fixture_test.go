// This file implements the common parts of the tests: addresses, tables, a running
// agent and its metrics.

package agent_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-kit/kit/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/agent"
	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	// waitTimeout bounds the wait for an expected event. It is long because no
	// test depends on how soon the event happens.
	waitTimeout = time.Minute
	maxDatagram = 64 << 10
	flowLimit   = 1000
	// immediateStopTimeout is the stop timeout of agents in tests that do not
	// test the stop.
	immediateStopTimeout = time.Millisecond
)

var (
	loopback      = netip.MustParseAddr("127.0.0.1")
	callerAddress = netip.MustParseAddr("203.0.113.7")
)

// Two services with one row each.
const (
	lookupID  table.ServiceID = 7
	exportID  table.ServiceID = 8
	lookupRow table.BackendID = 71
	exportRow table.BackendID = 81
)

var (
	lookupAddress = netip.MustParseAddrPort("198.51.100.7:80")
	exportAddress = netip.MustParseAddrPort("198.51.100.8:80")
)

func testService(id table.ServiceID, name string, address netip.AddrPort) table.Service {
	return table.Service{
		ID: id, Name: name, Address: table.Endpoint(address.String()),
		Protocol: table.ProtocolTCP, Owner: "team",
	}
}

func rowAt(id table.BackendID, service table.ServiceID, name string, at table.Endpoint) table.Backend {
	return table.Backend{ID: id, Service: service, Name: name, Incarnation: 1, Agent: at, Weight: 10}
}

// routeToRow returns the route of a balancer that sends packets to the row.
func routeToRow(row table.Backend, version table.Version) route {
	return route{row.Agent, row.Service, encap.Routing{
		Version: version, Backend: row.ID, Incarnation: row.Incarnation,
	}}
}

// craftedCaller returns the address of a caller that sends single crafted packets.
func craftedCaller(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("203.0.113.99"), port)
}

// freeEndpoint returns a free address for an agent. The address is random within
// the loopback network, so that no other process takes it before the agent does.
func freeEndpoint() table.Endpoint {
	address := netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: address.AsSlice()})
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(socket.Close()).To(Succeed()) }()
	return table.Endpoint(socket.LocalAddr().String())
}

// counts holds the values of one agent's metrics.
type counts struct {
	mutex  sync.Mutex
	values map[metric]float64
}

// metric identifies a counter or gauge and, for dropped packets, the reason.
type metric struct {
	name   string
	reason string
}

var (
	dropped   = metric{name: "dropped"}
	forwarded = metric{name: "forwarded"}
	delivered = metric{name: "delivered"}
	messages  = metric{name: "messages"}
	refused   = metric{name: "refused"}
	openFlows = metric{name: "open_flows"}
)

// recorder writes one metric of an agent.
type recorder struct {
	counts *counts
	metric metric
}

// labelled returns the recorder for the last label value.
func (r recorder) labelled(values []string) recorder {
	r.metric.reason = values[len(values)-1]
	return r
}

// Add implements metrics.Counter and metrics.Gauge.
func (r recorder) Add(delta float64) {
	r.counts.mutex.Lock()
	defer r.counts.mutex.Unlock()
	r.counts.values[r.metric] += delta
}

// Set implements metrics.Gauge.
func (r recorder) Set(value float64) {
	r.counts.mutex.Lock()
	defer r.counts.mutex.Unlock()
	r.counts.values[r.metric] = value
}

type counter struct{ recorder }

// With implements metrics.Counter.
func (c counter) With(values ...string) metrics.Counter { return counter{c.labelled(values)} }

type gauge struct{ recorder }

// With implements metrics.Gauge.
func (g gauge) With(values ...string) metrics.Gauge { return gauge{g.labelled(values)} }

func newCounts() *counts { return &counts{values: make(map[metric]float64)} }

func (c *counts) metrics() agent.Metrics {
	return agent.Metrics{
		DroppedPackets:   counter{recorder{c, dropped}},
		ForwardedPackets: counter{recorder{c, forwarded}},
		DeliveredPackets: counter{recorder{c, delivered}},
		MessagesSent:     counter{recorder{c, messages}},
		RefusedFlows:     counter{recorder{c, refused}},
		OpenFlows:        gauge{recorder{c, openFlows}},
	}
}

// valueOf returns a function that reads one metric, for polling.
func (c *counts) valueOf(wanted metric) func() float64 {
	return func() float64 {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return c.values[wanted]
	}
}

// dropsByReason returns the number of packets dropped for each reason.
func (c *counts) dropsByReason() map[string]float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	found := make(map[string]float64)
	for counted, value := range c.values {
		if counted.name == dropped.name {
			found[counted.reason] = value
		}
	}
	return found
}

// runningAgent is an agent that runs in the test process.
type runningAgent struct {
	counts *counts
	stop   context.CancelFunc
	// result receives the return value of Run.
	result chan error
	ended  chan struct{}
}

// startAgent runs an agent until the test ends or stops it.
func startAgent(listen table.Endpoint, network *testNetwork, daemon *testDaemon, stopTimeout time.Duration, backends ...agent.Backend) *runningAgent {
	started := &runningAgent{counts: newCounts(), result: make(chan error, 1), ended: make(chan struct{})}
	created, err := agent.New(agent.Config{
		Listen:      listen.AddrPort(),
		Fabric:      network.fabricAddress(),
		Daemons:     []netip.AddrPort{daemon.address()},
		Backends:    backends,
		StopTimeout: stopTimeout,
		FlowLimit:   flowLimit,
		Logger:      log.New(io.Discard),
		Metrics:     started.counts.metrics(),
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	started.stop = cancel
	go func() {
		defer close(started.ended)
		started.result <- created.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		Eventually(started.ended, 2*waitTimeout).Should(BeClosed())
	})
	return started
}

// awaitVersion waits until an agent has reported a table version to the daemon.
func awaitVersion(daemon *testDaemon, at table.Endpoint, version table.Version) {
	GinkgoHelper()
	Eventually(func() table.Version { return daemon.versionHeldBy(at) }, waitTimeout).Should(Equal(version))
}
