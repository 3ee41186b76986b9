package relaydaemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"time"

	"github.com/oklog/run"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/observability"
	"github.com/vanetiller/vanetiller/internal/observability/registry"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// balancerRole runs a relay.Balancer and keeps its directory current.
type balancerRole struct {
	settings  settings.Relay
	newStore  func(netip.AddrPort) directory.Store
	executor  *executor
	balancer  *relay.Balancer
	health    *observability.Health
	directory *directory.Replica
	follower  *directory.Follower
	confirmer *directory.Confirmer
	spread    *directory.Disseminator
	// wake wakes follow once what it waits for may have changed.
	wake chan struct{}
	// confirmations wakes confirm; what is wanted is in the confirmer.
	confirmations chan struct{}
	store         directory.Store
	// storeTurn counts the stores that were turned to.
	storeTurn int
	peers     *peers
	updates   *updates
	metrics   directoryMetrics
	services  *serviceMetrics
	refusals  *refusalLog
	// closed are the zones that were reported last as closed.
	closed []directory.ClosedZone
	// isolated is what was reported last.
	isolated bool
}

func newBalancerRole(surroundings Dependencies, checked *settings.Settings, health *observability.Health, journal *journal, registered *registry.Registry) (*balancerRole, error) {
	given := checked.Relay.Balancer
	balancer := relay.NewBalancer(relay.BalancerConfig{
		Zone:         checked.Zone,
		Codec:        surroundings.Codec,
		AgentPort:    given.Listen.Port(),
		FlowLifetime: checked.Relay.FlowLifetime,
		FlowLimit:    checked.Relay.FlowLimit,
		ApplyTimeout: given.ApplyTimeout,
		DrainTimeout: given.DrainTimeout,
		Random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	machine := directory.NewReplica()
	timing := timingOf(given)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	spread := directory.NewDisseminator(machine, timing, memberOf(checked), peersOf(seedsOf(given)), random)
	created := &balancerRole{
		settings:  *checked.Relay,
		newStore:  surroundings.NewStore,
		executor:  newExecutor(balancer, given.Listen.Port(), journal),
		balancer:  balancer,
		health:    health,
		directory: machine,
		follower:  directory.NewFollower(machine, timing, spread),
		confirmer: directory.NewConfirmer(machine),
		spread:    spread,
		wake:      make(chan struct{}, 1),
		store:     surroundings.NewStore(given.Store),
		metrics:   newDirectoryMetrics(registered),
		services:  newServiceMetrics(registered),
		refusals:  newRefusalLog(journal.logger, registered),

		confirmations: make(chan struct{}, 1),
	}
	created.executor.confirm = created.wantConfirmation
	created.executor.after = created.observe
	health.SetReady(conditionAgents)
	health.SetNotReady(conditionDirectory, "routes and endpoints are not known yet")
	var err error
	created.executor.packets, err = listen(given.Listen, created.arrive)
	if err != nil {
		return nil, err
	}
	created.executor.peers, err = listen(checked.Relay.Peers, created.executor.message)
	if err != nil {
		return nil, err
	}
	created.updates, err = newUpdates(given, created)
	if err != nil {
		return nil, err
	}
	created.peers, err = newPeers(checked, created)
	return created, err
}

// timingOf returns how much time the news of the store have. Where there is nobody to ask,
// a process that starts lists the store at once.
func timingOf(given *settings.RelayBalancer) directory.Timing {
	timing := directory.Timing{
		ApplyTimeout:   min(given.ApplyTimeout, given.DrainTimeout, given.CloseTimeout),
		ContactTimeout: given.ContactTimeout,
	}
	if others := seedsOf(given); len(others) > 0 {
		isSeed := len(others) < len(given.Seeds)
		timing.ListingDelay = directory.FirstListingDelay(isSeed, given.FirstStart, rand.Float64())
	}
	return timing
}

// memberOf returns how the membership names this process.
func memberOf(checked *settings.Settings) directory.Member {
	address, _ := membership.AddressOf(checked.Relay.Balancer.Exchange)
	return directory.Member{Peer: directory.Peer(address), Zone: int(identityOf(checked).Zone)}
}

func peersOf(addresses []membership.Address) []directory.Peer {
	var peers []directory.Peer
	for _, address := range addresses {
		peers = append(peers, directory.Peer(address))
	}
	return peers
}

// observe shows the load of the services, and whether agents can be reached.
func (r *balancerRole) observe(now time.Duration) {
	if r.services.due(now) {
		r.services.observe(r.balancer.ServiceLoads())
	}
	r.reportReach()
}

// reportReach makes the fabric leave a balancer out that reaches no agent.
func (r *balancerRole) reportReach() {
	isolated := r.balancer.Isolated()
	if isolated == r.isolated {
		return
	}
	r.isolated = isolated
	if isolated {
		r.health.SetNotReady(conditionAgents, "no agent can be reached")
		return
	}
	r.health.SetReady(conditionAgents)
}

func (r *balancerRole) arrive(_ netip.AddrPort, packet []byte) {
	r.executor.do(func(now time.Duration) []relay.Effect { return r.balancer.HandleClientPacket(now, packet) })
}

func (r *balancerRole) add(group *run.Group) {
	addActor(group, r.executor.packets.run)
	addActor(group, r.executor.peers.run)
	addActor(group, r.executor.tick)
	addActor(group, r.follow)
	addActor(group, r.confirm)
	addActor(group, r.updates.socket.run)
	r.peers.add(group)
}

// fabricDelay is how long the fabric takes to notice that a balancer is not
// ready, two probes half a second apart, and half as long again. Other balancers
// then carry its flows. To go on for longer would keep more balancers of a zone
// out at once while they are restarted in turn.
const fabricDelay = 1500 * time.Millisecond

func (r *balancerRole) stop() time.Duration { return fabricDelay }

// idle is never so: the fabric may send further flows until it has noticed.
func (r *balancerRole) idle() bool { return false }

// reload turns to another store, with a new listing, and to other seeds. All else
// that has changed takes a new start.
func (r *balancerRole) reload(changed *settings.Relay) bool {
	if changed.Balancer == nil {
		return false
	}
	r.peers.setSeeds(changed.Balancer)
	r.executor.do(func(time.Duration) []relay.Effect {
		if changed.Balancer.Store != r.settings.Balancer.Store {
			r.store = r.newStore(changed.Balancer.Store)
			r.storeTurn++
			r.follower.Relist()
		}
		return nil
	})
	r.wakeFollow()
	given := *r.settings.Balancer
	given.Store, given.Seeds = changed.Balancer.Store, changed.Balancer.Seeds
	r.settings.Balancer, r.settings.StopTimeout = &given, changed.StopTimeout
	return reflect.DeepEqual(*changed, r.settings)
}

// follow keeps the directory current until ctx ends.
func (r *balancerRole) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		next, wait := r.nextCall()
		if wait <= 0 {
			r.perform(ctx, next)
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-r.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// wakeFollow makes follow decide again.
func (r *balancerRole) wakeFollow() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// storeCall is a call of the store that was used when it was decided on.
type storeCall struct {
	call  directory.Call
	store directory.Store
	turn  int
}

// nextCall returns the next call of the store and how long to wait before it.
func (r *balancerRole) nextCall() (storeCall, time.Duration) {
	r.executor.mutex.Lock()
	defer r.executor.mutex.Unlock()
	now := time.Since(r.executor.started)
	call, at := r.follower.Next(now)
	return storeCall{call, r.store, r.storeTurn}, at - now
}

func (r *balancerRole) perform(running context.Context, next storeCall) {
	ctx, cancel := context.WithTimeout(running, next.call.Timeout)
	defer cancel()
	if next.call.Listing {
		page, err := next.store.List(ctx, next.call.AfterKey)
		r.metrics.called(kindOf(next.call), err)
		r.conclude(running, next.turn, err, func(now time.Duration) bool {
			changed := r.follower.HandlePage(now, page)
			if r.follower.InSync() {
				r.spread.StoreListed()
			}
			return changed
		})
		return
	}
	changes, err := next.store.Watch(ctx, next.call.AfterRevision, next.call.Wait)
	r.metrics.called(kindOf(next.call), err)
	r.conclude(running, next.turn, err, func(now time.Duration) bool { return r.follower.HandleChanges(now, changes, rand.Float64()) })
}

// conclude hands the outcome of a call to the follower and puts a changed
// snapshot in force. An answer of a store that is no longer used is dropped. A call
// that fails since the process ends is no loss of the store.
func (r *balancerRole) conclude(running context.Context, turn int, err error, merge func(now time.Duration) bool) {
	stopped := running.Err() != nil
	r.executor.do(func(now time.Duration) []relay.Effect {
		if turn != r.storeTurn {
			return nil
		}
		before := r.follower.InSync()
		if err != nil {
			r.follower.HandleFailure(now, err, rand.Float64())
			r.peers.exchange.StoreFailed()
			r.reportLoss(before && !stopped, err)
			return nil
		}
		changed := merge(now)
		if r.follower.InSync() {
			r.balancer.MarkConfirmed(now)
			r.updates.send(r.spread.StoreAnswered(now))
		}
		if !before && r.follower.InSync() {
			r.executor.journal.logger.Info("store followed", "revision", uint64(r.directory.AppliedRevision()))
		}
		return r.installIf(changed, now)
	})
}

// installIf puts the directory in force if it has changed.
func (r *balancerRole) installIf(changed bool, now time.Duration) []relay.Effect {
	r.peers.announce(r.directory.Digest())
	r.refusals.report(r.directory)
	if !changed || !r.directory.Ready() {
		return nil
	}
	return r.install(now)
}

func (r *balancerRole) reportLoss(followed bool, err error) {
	if followed {
		r.executor.journal.logger.Warn("store lost", "error", err)
	}
}

// reportZones logs which zones have been closed or opened since the last time, each with the
// revision at which that is known and for how long it has been closed.
func (r *balancerRole) reportZones(now time.Duration, closed []directory.ClosedZone) {
	logger := r.executor.journal.logger
	for _, zone := range closed {
		if !slices.ContainsFunc(r.closed, func(before directory.ClosedZone) bool { return before.Zone == zone.Zone }) {
			logger.Warn("zone closed to new flows", "zone_closed", zone.Zone, "revision", uint64(zone.Revision))
		}
	}
	for _, before := range r.closed {
		if !slices.ContainsFunc(closed, func(zone directory.ClosedZone) bool { return before.Zone == zone.Zone }) {
			logger.Info("zone opened to new flows", "zone_opened", before.Zone,
				"revision", uint64(r.directory.AppliedRevision()), "closed_ms", (now - before.Since).Milliseconds())
		}
	}
	r.closed = closed
}

func (r *balancerRole) install(now time.Duration) []relay.Effect {
	snapshot := r.directory.Snapshot()
	r.reportZones(now, snapshot.ClosedZones())
	r.health.SetReady(conditionDirectory)
	r.metrics.observe(snapshot)
	r.executor.journal.logger.Info("directory changed",
		"version", snapshot.Version(), "revision", uint64(r.directory.AppliedRevision()),
		"routes", snapshot.RouteCount(), "endpoints", len(snapshot.All()))
	return r.balancer.Install(now, snapshot)
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
