// This file implements the parts of a Node, its start and its stop.

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
	// tickInterval suits the packages membership, dissemination and liveness.
	tickInterval = membership.TickInterval
	// metricsInterval is the interval at which the metrics are updated.
	metricsInterval = time.Second
	// peerUpdateInterval is the longest time between two updates of the peers of
	// dissemination and liveness.
	peerUpdateInterval = 10 * time.Second
)

// Node connects this process with the other daemons of its fleet. It is safe for concurrent
// use.
type Node struct {
	config       Config
	zones        zones
	address      membership.Address
	seeds        []membership.Address
	socket       *socket
	started      time.Time
	store        *Store
	fetches      *queue[fetchTask]
	agentEffects *queue[liveness.Effect]

	mutex        sync.Mutex
	members      *membership.Machine
	disseminator *dissemination.Machine
	agents       *liveness.Machine
	// self is the identity that was passed to the other machines. Membership takes another
	// incarnation if this process was declared failed.
	self membership.Identity
	// membersChanged is set if the peers of the other machines must be updated. They are
	// also updated at nextPeerUpdate.
	membersChanged bool
	nextPeerUpdate time.Duration
	pendingSurveys []pendingSurvey
	statuses       statusByMember
	names          nameList
}

// New binds the address of a node. It returns an error if the address cannot be used or a
// setting is invalid. Nothing is sent before Run.
func New(config Config) (*Node, error) {
	config.Metrics.setDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	numbered, err := newZones(config.Zones)
	if err != nil {
		return nil, err
	}
	zone, region, listed := numbered.number(config.Zone)
	if !listed {
		return nil, errors.Errorf("cluster: the zone %q of this process is not in the list of zones", config.Zone)
	}
	address, _ := membership.AddressOf(config.Listen)
	self := membership.Identity{
		Address:     address,
		Region:      region,
		Zone:        zone,
		Incarnation: membership.Incarnation(time.Now().UnixMilli()),
	}
	created := &Node{
		config:       config,
		zones:        numbered,
		address:      address,
		started:      time.Now(),
		fetches:      newQueue[fetchTask](),
		agentEffects: newQueue[liveness.Effect](),
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
	n.disseminator, err = dissemination.New(dissemination.DefaultConfig(self, n.newRandom(2)))
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

// Store returns the store of the table.
func (n *Node) Store() *Store { return n.store }

// Address returns the address of the node.
func (n *Node) Address() netip.AddrPort { return n.config.Listen }

// Applied records that this process forwards packets according to a version of the
// table.
func (n *Node) Applied(version table.Version) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.disseminator.Applied(version)
	n.updateAttachment()
}

// Run takes part in the cluster until ctx ends. It then announces that it leaves, closes
// the sockets and returns nil. It must be called once.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.tick(ctx) })
	group.Go(func() error { return n.fetchTables(ctx) })
	group.Go(func() error { return n.notifyAgentListener(ctx) })
	group.Go(func() error { return n.socket.receive(n.accept) })
	group.Go(func() error { return n.socket.serve(ctx, n.serveFetch) })
	return group.Wait()
}

func (n *Node) now() time.Duration { return time.Since(n.started) }

func (n *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	metricsTicker := time.NewTicker(metricsInterval)
	defer metricsTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			n.leave()
			n.socket.close()
			return nil
		case <-ticker.C:
			n.tickMachines()
		case <-metricsTicker.C:
			n.updateMetrics()
		}
	}
}

func (n *Node) leave() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.executeMembership(n.members.Leave(n.now()))
}

// tickMachines ticks all machines and updates the peers if necessary.
func (n *Node) tickMachines() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	n.executeMembership(n.members.Tick(now))
	n.updateIdentity()
	n.executeDissemination(n.disseminator.Tick(now))
	n.executeLiveness(n.agents.Tick(now))
	if n.membersChanged || now >= n.nextPeerUpdate {
		n.membersChanged = false
		n.nextPeerUpdate = now + peerUpdateInterval
		n.updatePeers()
	}
	n.updateAttachment()
}

func (n *Node) updateMetrics() {
	n.mutex.Lock()
	members := n.members.Members()
	held := n.disseminator.Status().Held
	n.mutex.Unlock()
	n.config.Metrics.setMembers(members)
	n.config.Metrics.HeldVersion.Set(float64(held))
}

// updateIdentity passes on the identity of this process if it has taken another
// incarnation. The mutex must be held.
func (n *Node) updateIdentity() {
	taken := n.members.Self()
	if taken == n.self {
		return
	}
	n.self = taken
	n.agents.SetSelf(taken)
	n.membersChanged = true
}
