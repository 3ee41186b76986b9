// This file implements what the contract tests have in common: addresses,
// tables, a running agent, and its counters.

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
	// generous is how long a test waits for what must happen; no verdict
	// depends on how early it happens.
	generous        = time.Minute
	maximumDatagram = 64 << 10
	flowLimit       = 1000
	// cutAtOnce is the stop timeout of agents whose stop is not the matter of
	// the test.
	cutAtOnce = time.Millisecond
)

var (
	loopback      = netip.MustParseAddr("127.0.0.1")
	callerAddress = netip.MustParseAddr("203.0.113.7")
)

// Two services and a row for each.
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

func serviceAt(id table.ServiceID, name string, address netip.AddrPort) table.Service {
	return table.Service{
		ID: id, Name: name, Address: table.Endpoint(address.String()),
		Protocol: table.ProtocolTCP, Owner: "team",
	}
}

func rowAt(id table.BackendID, service table.ServiceID, name string, at table.Endpoint) table.Backend {
	return table.Backend{ID: id, Service: service, Name: name, Incarnation: 1, Agent: at, Weight: 10}
}

// routeTo returns the way of a balancer that uses the row.
func routeTo(row table.Backend, version table.Version) route {
	return route{row.Agent, row.Service, encap.Routing{
		Version: version, Backend: row.ID, Incarnation: row.Incarnation,
	}}
}

// crafted returns the address of a caller whose packets are crafted.
func crafted(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("203.0.113.99"), port)
}

// freeEndpoint returns an address for an agent. It is drawn from all of the
// loopback network, so that no other process takes it meanwhile.
func freeEndpoint() table.Endpoint {
	address := netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: address.AsSlice()})
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(socket.Close()).To(Succeed()) }()
	return table.Endpoint(socket.LocalAddr().String())
}

// counts are the counters of one agent.
type counts struct {
	mutex  sync.Mutex
	values map[metric]float64
}

// metric names a counter or gauge and, for dropped packets, their reason.
type metric struct {
	name   string
	reason string
}

var (
	dropped   = metric{name: "dropped"}
	forwarded = metric{name: "forwarded"}
	delivered = metric{name: "delivered"}
	queries   = metric{name: "queries"}
	refused   = metric{name: "refused"}
	openFlows = metric{name: "open_flows"}
)

// recorder is one metric of an agent.
type recorder struct {
	counts *counts
	metric metric
}

// labelled returns the recorder of the last label value.
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
		MessagesSent:     counter{recorder{c, queries}},
		RefusedFlows:     counter{recorder{c, refused}},
		OpenFlows:        gauge{recorder{c, openFlows}},
	}
}

// of returns a function that reads one metric, to be polled.
func (c *counts) of(wanted metric) func() float64 {
	return func() float64 {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return c.values[wanted]
	}
}

// drops returns the number of packets dropped for each reason.
func (c *counts) drops() map[string]float64 {
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

// running is an agent in this process.
type running struct {
	counts *counts
	stop   context.CancelFunc
	// result receives what Run returned.
	result chan error
	ended  chan struct{}
}

// startAgent runs an agent until the end of the test or of its stop.
func startAgent(listen table.Endpoint, carrier *network, daemon *testDaemon, stopTimeout time.Duration, backends ...agent.Backend) *running {
	started := &running{counts: newCounts(), result: make(chan error, 1), ended: make(chan struct{})}
	created, err := agent.New(agent.Config{
		Listen:      listen.AddrPort(),
		Fabric:      carrier.fabricAddress(),
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
		Eventually(started.ended, 2*generous).Should(BeClosed())
	})
	return started
}

// awaitVersion waits until an agent has received a table.
func awaitVersion(daemon *testDaemon, at table.Endpoint, version table.Version) {
	GinkgoHelper()
	Eventually(func() table.Version { return daemon.versionHeldBy(at) }, generous).Should(Equal(version))
}
