// This file implements the life of a Node: its parts, its start and its end.

package cluster

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/agreement"
	"github.com/vanetiller/vanetiller/internal/changelog"
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
	socket  *socket
	started time.Time
	store   *Store
	tasks   *queue[task]
	told    *queue[liveness.Effect]
	// wake tells that the log has led to a newer version.
	wake  chan struct{}
	voter atomic.Pointer[voter]

	// mutex may be held while a Replica is called, not the other way round.
	mutex   sync.Mutex
	members *membership.Machine
	spread  *dissemination.Machine
	agents  *liveness.Machine
	// changed tells that the members must be told to the other parts, which
	// happens at nextTelling anyway.
	changed     bool
	nextTelling time.Duration
	// running are the processes that the log was told of.
	running  []agreement.Member
	founding *founding
	hint     Hint
	// behindSince is when the log first was ahead of the table held.
	behindSince time.Duration
	behind      bool
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
		tasks:   newQueue[task](),
		told:    newQueue[liveness.Effect](),
		wake:    make(chan struct{}, 1),
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
	seeds := make([]membership.Address, len(n.config.Seeds))
	for index, seed := range n.config.Seeds {
		seeds[index], _ = membership.AddressOf(seed)
	}
	n.members.SetSeeds(seeds)
	n.founding = newFounding(self.Address, seeds)
	return nil
}

func (n *Node) newRandom(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.config.Seed, stream))
}

func (n *Node) newStore() {
	n.store = &Store{node: n, LogStore: adminapi.NewLogStore(adminapi.LogStoreConfig{
		Limits:   n.config.Limits,
		Proposer: n,
		Fleet:    n,
		Changed:  n.config.Changed,
	})}
	n.voter.Store(n.newVoter(processOf(n.members.Self())))
}

func (n *Node) newVoter(id agreement.ProcessID) *voter {
	return newVoter(n.config, id, sender{n, id}, n.now, n.wakeUp)
}

// Store returns the table, and takes changes of it.
func (n *Node) Store() *Store { return n.store }

// Address returns the address of the node.
func (n *Node) Address() netip.AddrPort { return n.config.Listen }

// Leads reports whether this process leads the log.
func (n *Node) Leads() bool { return n.voter.Load().machine.observed().leads }

// ImportedRevision returns the platform's revision that was imported last, as
// far as this process has followed the log. A leader has followed it.
func (n *Node) ImportedRevision() changelog.Revision {
	return n.voter.Load().state.importedRevision()
}

// Propose implements adminapi.Proposer.
func (n *Node) Propose(ctx context.Context, id changelog.ChangeID, payload []byte) adminapi.Decision {
	return n.voter.Load().replica.Propose(ctx, id, payload)
}

// InForce tells that this process forwards by a version.
func (n *Node) InForce(version table.Version) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.spread.InForce(version)
	n.attach()
}

// Run takes part until ctx ends; it then tells the others, closes the sockets
// and returns nil. It must be called once.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.tick(ctx) })
	group.Go(func() error { return n.takePart(ctx) })
	group.Go(func() error { return n.putInForce(ctx) })
	group.Go(func() error { return n.tellAgents(ctx) })
	group.Go(func() error { return n.socket.receive(n.accept) })
	group.Go(func() error { return n.socket.serve(ctx, n.answer) })
	return group.Wait()
}

func (n *Node) now() time.Duration { return time.Since(n.started) }

func (n *Node) wakeUp() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

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
		case <-n.wake:
			n.publish()
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
	n.executeSpread(n.spread.Tick(now))
	n.executeLiveness(n.agents.Tick(now))
	if n.changed || now >= n.nextTelling {
		n.changed = false
		n.nextTelling = now + tellingInterval
		n.tellMembers()
	}
	n.followLeader()
	n.foundIfDue(now)
	n.publishLog(now)
	n.attach()
}

// publish passes on what the log has led to.
func (n *Node) publish() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.publishLog(n.now())
	n.attach()
}

func (n *Node) observe() {
	n.mutex.Lock()
	members := n.members.Members()
	held := n.spread.Status().Held
	n.mutex.Unlock()
	n.config.Metrics.observeMembers(members)
	n.config.Metrics.observeLog(n.voter.Load().machine.observed())
	n.config.Metrics.HeldVersion.Set(float64(held))
}

// takePart runs the voter and puts another in its place when this process has
// taken another incarnation.
func (n *Node) takePart(ctx context.Context) error {
	for ctx.Err() == nil {
		current := n.voter.Load()
		running, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = current.run(running)
		}()
		n.awaitReplacement(ctx, current.id)
		stop()
		<-ended
	}
	return nil
}

// awaitReplacement returns once this process has another identity than the
// given one, or ctx ends.
func (n *Node) awaitReplacement(ctx context.Context, id agreement.ProcessID) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n.replaceVoter(id) {
			return
		}
	}
}

func (n *Node) replaceVoter(id agreement.ProcessID) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	taken := processOf(n.members.Self())
	if taken == id {
		return false
	}
	n.voter.Store(n.newVoter(taken))
	n.agents.SetSelf(n.members.Self())
	n.running = nil
	n.changed = true
	return true
}
