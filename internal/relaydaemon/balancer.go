package relaydaemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/oklog/run"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/observability"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// minimumTick bounds how often the balancer looks at its timeouts.
const minimumTick = 5 * time.Millisecond

// balancerRole runs a relay.Balancer and keeps its directory current.
type balancerRole struct {
	executor  executor
	balancer  *relay.Balancer
	health    *observability.Health
	directory *directory.Machine
	follower  *directory.Follower
	store     directory.Store
	timer     *time.Timer
	armed     time.Duration
}

func newBalancerRole(surroundings Surroundings, whole *settings.Settings, health *observability.Health, journal *journal) (*balancerRole, error) {
	checked := whole.Relay
	machine := directory.New()
	created := &balancerRole{
		executor: executor{started: time.Now(), clientPort: checked.Balancer.Listen.Port(), journal: journal},
		balancer: relay.NewBalancer(relay.BalancerConfig{
			Zone:         whole.Zone,
			Codec:        surroundings.Codec,
			AgentPort:    checked.Balancer.Listen.Port(),
			FlowLifetime: checked.FlowLifetime,
			FlowLimit:    checked.FlowLimit,
			Random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		health:    health,
		directory: machine,
		follower:  directory.NewFollower(machine),
		store:     surroundings.NewStore(checked.Balancer.Store),
		timer:     time.NewTimer(0),
	}
	health.SetNotReady(conditionDirectory, "routes and endpoints are not known yet")
	var err error
	created.executor.packets, err = listen(checked.Balancer.Listen, created.arrive)
	if err != nil {
		return nil, err
	}
	created.executor.peers, err = listen(checked.Peers, created.receive())
	return created, err
}

func (r *balancerRole) arrive(_ netip.AddrPort, packet []byte) {
	r.executor.mutex.Lock()
	defer r.executor.mutex.Unlock()
	r.executor.execute(r.balancer.Arrive(r.executor.now(), packet))
	r.arm()
}

func (r *balancerRole) receive() func(netip.AddrPort, []byte) {
	handle := r.executor.handleMessage(r.balancer)
	return func(from netip.AddrPort, datagram []byte) {
		handle(from, datagram)
	}
}

func (r *balancerRole) add(group *run.Group) {
	addActor(group, r.executor.packets.run)
	addActor(group, r.executor.peers.run)
	addActor(group, r.tick)
	addActor(group, r.follow)
}

func (r *balancerRole) stop() {}

// arm sets the timer if the next timeout comes before it.
func (r *balancerRole) arm() {
	next := r.balancer.NextTick()
	if next >= r.armed {
		return
	}
	r.armed = next
	r.timer.Reset(max(next-r.executor.now(), minimumTick))
}

func (r *balancerRole) tick(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.timer.C:
		}
		r.executor.mutex.Lock()
		r.executor.execute(r.balancer.Tick(r.executor.now()))
		r.armed = r.balancer.NextTick()
		r.timer.Reset(max(r.armed-r.executor.now(), minimumTick))
		r.executor.mutex.Unlock()
	}
}

// follow keeps the directory current until ctx ends.
func (r *balancerRole) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		call := r.nextCall()
		if !sleep(ctx, call.Delay) {
			return nil
		}
		r.perform(ctx, call)
	}
	return nil
}

func (r *balancerRole) nextCall() directory.Call {
	r.executor.mutex.Lock()
	defer r.executor.mutex.Unlock()
	return r.follower.Next(rand.Float64())
}

func (r *balancerRole) perform(ctx context.Context, call directory.Call) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	if call.Listing {
		page, err := r.store.List(ctx, call.After)
		r.conclude(err, func(now time.Duration) bool { return r.follower.Listed(now, page) })
		return
	}
	changes, err := r.store.Watch(ctx, call.AfterRevision, call.Wait)
	r.conclude(err, func(now time.Duration) bool { return r.follower.Watched(now, changes) })
}

// conclude hands the outcome of a call to the follower and puts a changed
// snapshot in force.
func (r *balancerRole) conclude(err error, merge func(now time.Duration) bool) {
	r.executor.mutex.Lock()
	defer r.executor.mutex.Unlock()
	now := r.executor.now()
	before := r.follower.Following()
	if err != nil {
		r.follower.Failed(err)
		if before {
			r.executor.journal.logger.Warn("store lost", "error", err)
		}
		return
	}
	changed := merge(now)
	if !before && r.follower.Following() {
		r.executor.journal.logger.Info("store followed", "revision", uint64(r.directory.Complete()))
	}
	if r.follower.Following() {
		r.balancer.Confirm(now)
	}
	if changed {
		r.install(now)
	}
}

func (r *balancerRole) install(now time.Duration) {
	if !r.directory.Ready() {
		return
	}
	snapshot := r.directory.Snapshot()
	r.executor.execute(r.balancer.Install(now, snapshot))
	r.health.SetReady(conditionDirectory)
	r.executor.journal.logger.Info("directory changed",
		"version", snapshot.Version(), "revision", uint64(r.directory.Complete()),
		"routes", snapshot.Routes(), "endpoints", len(snapshot.All()))
}

// sleep waits and reports whether ctx is still live.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
