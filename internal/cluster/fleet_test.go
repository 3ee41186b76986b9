package cluster_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/cluster"
	"github.com/vanetiller/vanetiller/internal/cluster/liveness"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	// eventTimeout is generous, since real sockets are involved and no test checks speed.
	eventTimeout = 2 * time.Minute
	// port is the port of all nodes. Each node has its own address.
	port = 17100
)

var zoneNames = []string{"casablanca-1", "casablanca-2", "kolkata-1"}

// fleets counts the fleets of this process, so that successive fleets use different
// networks of loopback addresses. Concurrent test processes use different networks because
// the network also depends on the process id.
var fleets atomic.Uint32

// fleet is a set of nodes on real sockets, assigned to the zones in turn.
type fleet struct {
	network [3]byte
	seeds   []netip.AddrPort
}

func newFleet(seeds int) *fleet {
	process := uint32(os.Getpid())
	created := &fleet{}
	created.network = [3]byte{127, byte(64 + (process/128)%128), byte(process%128 + 128*(fleets.Add(1)%2))}
	for number := range seeds {
		created.seeds = append(created.seeds, created.address(number))
	}
	return created
}

func (f *fleet) address(number int) netip.AddrPort {
	octets := [4]byte{f.network[0], f.network[1], f.network[2], byte(number + 1)}
	return netip.AddrPortFrom(netip.AddrFrom4(octets), port)
}

// agentRecorder is an AgentListener that records its calls.
type agentRecorder struct {
	mutex  sync.Mutex
	ready  bool
	claims map[table.Endpoint]liveness.Claim
}

func (a *agentRecorder) ClaimChanged(claim liveness.Claim) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.claims == nil {
		a.claims = make(map[table.Endpoint]liveness.Claim)
	}
	a.claims[claim.Agent] = claim
}

func (a *agentRecorder) Ready() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ready = true
}

func (a *agentRecorder) of(agent table.Endpoint) liveness.Claim {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.claims[agent]
}

func (a *agentRecorder) isReady() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.ready
}

// node is a running node that applies every table.
type node struct {
	*cluster.Node
	name    string
	applied atomic.Uint64
	agents  agentRecorder
	cancel  context.CancelFunc
	ended   chan error
}

func (f *fleet) config(number int, changed func(*table.Table)) cluster.Config {
	return cluster.Config{
		Listen:  f.address(number),
		Name:    fmt.Sprint("balancer-", number),
		Zone:    zoneNames[number%len(zoneNames)],
		Zones:   zoneNames,
		Seeds:   f.seeds,
		Limits:  changelog.DefaultLimits(),
		OnTable: changed,
		Seed:    uint64(number),
		Logger:  log.New(io.Discard),
	}
}

func (f *fleet) start(number int) *node {
	started := &node{name: fmt.Sprint("balancer-", number), ended: make(chan error, 1)}
	config := f.config(number, started.applyTable)
	config.Agents = &started.agents
	created, err := cluster.New(config)
	Expect(err).NotTo(HaveOccurred())
	started.Node = created
	ctx, cancel := context.WithCancel(context.Background())
	started.cancel = cancel
	done := make(chan struct{})
	go func() {
		defer close(done)
		started.ended <- created.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		Eventually(done, eventTimeout).Should(BeClosed())
	})
	return started
}

func (f *fleet) startAll(count int) []*node {
	nodes := make([]*node, count)
	for number := range nodes {
		nodes[number] = f.start(number)
	}
	return nodes
}

func (n *node) applyTable(changed *table.Table) {
	n.applied.Store(uint64(changed.Version))
	n.Applied(changed.Version)
}

func (n *node) stop() {
	n.cancel()
	Eventually(n.ended, eventTimeout).Should(Receive(BeNil()))
}

// tableOf returns a table of the configuration service with the given number of rows.
func tableOf(version table.Version, rows int) *table.Table {
	created := &table.Table{Version: version, Services: []table.Service{{
		ID: 1, Name: "lookup", Protocol: table.ProtocolTCP, Address: "198.51.100.1:80", Owner: "gateway",
	}}}
	for number := range rows {
		created.Backends = append(created.Backends, table.Backend{
			ID: table.BackendID(number + 1), Service: 1, Name: fmt.Sprint("row-", number),
			Incarnation: 1, Agent: "127.0.0.1:6181", Weight: 1, ConnectionLimit: 1,
		})
	}
	return created
}

// updateTable gives a node a newer table of the configuration service.
func (n *node) updateTable(newer *table.Table) {
	GinkgoHelper()
	updated, err := n.UpdateTable(newer)
	Expect(err).NotTo(HaveOccurred())
	Expect(updated).To(BeTrue())
}

func (n *node) version() table.Version { return table.Version(n.applied.Load()) }

func expectApplied(nodes []*node, version table.Version) {
	GinkgoHelper()
	for _, running := range nodes {
		Eventually(running.version, eventTimeout).Should(Equal(version), running.name)
	}
}
