// This file implements the life of a Node: its parts, its start and its end.

package cluster

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/cluster/liveness"
	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	// tickInterval suits both packages membership and dissemination.
	tickInterval = membership.TickInterval
	// metricsInterval is the time between two counts of the members.
	metricsInterval = time.Second
	// tellingInterval is the longest time between two tellings of who runs.
	tellingInterval = 10 * time.Second
)

// Node is a daemon among the others of its fleet. It is safe for concurrent
// use.
type Node struct {
	config  Config
	zones   zones
	address membership.Address
	seeds   []membership.Address
	socket  *socket
	started time.Time
	store   *Store
	fetches *queue[fetchTask]
	told    *queue[liveness.Effect]

	mutex   sync.Mutex
	members *membership.Machine
	spread  *dissemination.Machine
	agents  *liveness.Machine
	// self is the identity that the parts were told of. Membership takes
	// another incarnation if this process was taken for failed.
	self membership.Identity
	// changed tells that the members must be told to the other parts, which
	// happens at nextTelling anyway.
	changed     bool
	nextTelling time.Duration
	inquiries   []inquiry
	heard       statusList
	names       nameList
}

// New binds the address of a node. It fails if the address is in use or the
// settings cannot be used. Nothing is sent before Run.
func New(config Config) (*Node, error) {
	config.Metrics.fill()
	if err := config.validate(); err != nil {
		return nil, err
	}
	numbered, err := newZones(config.Zones)
	if err != nil {
		return nil, err
	}
	zone, region, listed := numbered.number(config.Zone)
	if !listed {
		return nil, errors.Errorf("cluster: zone %s is not among the zones", config.Zone)
	}
	address, _ := membership.AddressOf(config.Listen)
	self := membership.Identity{
		Address:     address,
		Region:      region,
		Zone:        zone,
		Incarnation: membership.Incarnation(time.Now().UnixMilli()),
	}
	created := &Node{
		config:  config,
		zones:   numbered,
		address: address,
		started: time.Now(),
		fetches: newQueue[fetchTask](),
		told:    newQueue[liveness.Effect](),
	}
	if err := created.newMachines(self); err != nil {
		return nil, err
	}
	created.newStore()
	created.socket, err = newSocket(config.Listen, config.Logger, config.Metrics)
	if err != nil {
		return nil, err
	}
	return created, nil
}

func (n *Node) newMachines(self membership.Identity) error {
	var err error
	n.members, err = membership.New(membership.DefaultConfig(self, n.newRandom(1)))
	if err != nil {
		return err
	}
	n.spread, err = dissemination.New(dissemination.DefaultConfig(self, n.newRandom(2)))
	if err != nil {
		return err
	}
	n.agents, err = liveness.New(liveness.Config{Self: self, Random: n.newRandom(3)})
	if err != nil {
		return err
	}
	n.self = self
	for _, seed := range n.config.Seeds {
		address, _ := membership.AddressOf(seed)
		n.seeds = append(n.seeds, address)
	}
	n.members.SetSeeds(n.seeds)
	return nil
}

func (n *Node) newRandom(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.config.Seed, stream))
}

func (n *Node) newStore() {
	n.store = &Store{node: n, LogStore: adminapi.NewLogStore(adminapi.LogStoreConfig{
		Limits:   n.config.Limits,
		Members:  n,
		OnChange: n.config.OnTable,
	})}
}

// Store returns the table.
func (n *Node) Store() *Store { return n.store }

// Address returns the address of the node.
func (n *Node) Address() netip.AddrPort { return n.config.Listen }

// Applied tells that this process forwards by a version.
func (n *Node) Applied(version table.Version) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.spread.Applied(version)
	n.attach()
}

// Run takes part until ctx ends; it then tells the others, closes the sockets
// and returns nil. It must be called once.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.tick(ctx) })
	group.Go(func() error { return n.fetchTables(ctx) })
	group.Go(func() error { return n.tellAgents(ctx) })
	group.Go(func() error { return n.socket.receive(n.accept) })
	group.Go(func() error { return n.socket.serve(ctx, n.answer) })
	return group.Wait()
}

func (n *Node) now() time.Duration { return time.Since(n.started) }

func (n *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	count := time.NewTicker(metricsInterval)
	defer count.Stop()
	for {
		select {
		case <-ctx.Done():
			n.leave()
			n.socket.close()
			return nil
		case <-ticker.C:
			n.advance()
		case <-count.C:
			n.observe()
		}
	}
}

func (n *Node) leave() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.executeMembership(n.members.Leave(n.now()))
}

// advance lets all parts handle the time.
func (n *Node) advance() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	n.executeMembership(n.members.Tick(now))
	n.followIdentity()
	n.executeSpread(n.spread.Tick(now))
	n.executeLiveness(n.agents.Tick(now))
	if n.changed || now >= n.nextTelling {
		n.changed = false
		n.nextTelling = now + tellingInterval
		n.tellMembers()
	}
	n.attach()
}

func (n *Node) observe() {
	n.mutex.Lock()
	members := n.members.Members()
	held := n.spread.Status().Held
	n.mutex.Unlock()
	n.config.Metrics.observeMembers(members)
	n.config.Metrics.HeldVersion.Set(float64(held))
}

// followIdentity tells the parts if this process has taken another incarnation.
// The mutex must be held.
func (n *Node) followIdentity() {
	taken := n.members.Self()
	if taken == n.self {
		return
	}
	n.self = taken
	n.agents.SetSelf(taken)
	n.changed = true
}
