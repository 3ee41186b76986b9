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

// balancerRole runs a relay.Balancer and keeps its directory of routes and endpoints
// current.
type balancerRole struct {
	settings     settings.Relay
	self         directory.Peer
	newStore     func(netip.AddrPort) directory.Store
	executor     *executor
	balancer     *relay.Balancer
	health       *observability.Health
	replica      *directory.Replica
	follower     *directory.Follower
	confirmer    *directory.Confirmer
	disseminator *directory.Disseminator
	// followerSignal resumes runFollower when another store call may be due, or the same
	// one at another time.
	followerSignal chan struct{}
	// confirmerSignal resumes runConfirmer after a request for a confirmation. The request
	// itself is kept by confirmer.
	confirmerSignal chan struct{}
	store           directory.Store
	// storeGeneration is incremented when store is replaced. A response to a call with a
	// lower generation comes from an earlier store.
	storeGeneration  int
	peers            *peerExchange
	updates          *updateTransport
	directoryMetrics directoryMetrics
	serviceMetrics   *serviceMetrics
	refusals         *refusalLog
	// closedZones are the closed zones of the last installed snapshot.
	closedZones []directory.ClosedZone
	// isolated is set while conditionAgents is reported as not met.
	isolated bool
}

func newBalancerRole(dependencies Dependencies, config *settings.Settings, health *observability.Health, recorder *eventRecorder, reg *registry.Registry) (*balancerRole, error) {
	balancerConfig := config.Relay.Balancer
	balancer := relay.NewBalancer(relay.BalancerConfig{
		Zone:           config.Zone,
		Codec:          dependencies.Codec,
		AgentPort:      balancerConfig.Listen.Port(),
		PeerPort:       config.Relay.Peers.Port(),
		FlowLifetime:   config.Relay.FlowLifetime,
		FlowLimit:      config.Relay.FlowLimit,
		ApplyTimeout:   balancerConfig.ApplyTimeout,
		DrainTimeout:   balancerConfig.DrainTimeout,
		ContactTimeout: balancerConfig.ContactTimeout,
		Random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	replica := directory.NewReplica()
	if balancerConfig.FirstStart {
		replica.MarkFirstStart(0)
	}
	timing := timingOf(balancerConfig)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	disseminator := directory.NewDisseminator(replica, timing, selfMember(config), toPeers(otherSeeds(balancerConfig)), random)
	created := &balancerRole{
		settings:         *config.Relay,
		self:             selfMember(config).Peer,
		newStore:         dependencies.NewStore,
		executor:         newExecutor(balancer, balancerConfig.Listen.Port(), recorder),
		balancer:         balancer,
		health:           health,
		replica:          replica,
		follower:         directory.NewFollower(replica, timing, disseminator),
		confirmer:        directory.NewConfirmer(replica),
		disseminator:     disseminator,
		followerSignal:   make(chan struct{}, 1),
		store:            dependencies.NewStore(balancerConfig.Store),
		directoryMetrics: newDirectoryMetrics(reg),
		serviceMetrics:   newServiceMetrics(reg),
		refusals:         newRefusalLog(recorder.logger, reg),

		confirmerSignal: make(chan struct{}, 1),
	}
	created.executor.requestConfirmation = created.requestConfirmation
	created.executor.afterInput = created.updateMetrics
	health.SetReady(conditionAgents)
	health.SetNotReady(conditionDirectory, "routes and endpoints are not known yet")
	var err error
	created.executor.packetSocket, err = listen(balancerConfig.Listen, created.handleClientPacket)
	if err != nil {
		return nil, err
	}
	created.executor.peerSocket, err = listen(config.Relay.Peers, created.executor.handleMessage)
	if err != nil {
		return nil, err
	}
	created.updates, err = newUpdateTransport(balancerConfig, created)
	if err != nil {
		return nil, err
	}
	created.peers, err = newPeerExchange(config, created)
	return created, err
}

// timingOf returns the time limits within which the directory must follow the store.
// ListingDelay stays zero if there are no other seeds: the process lists the store at once
// because it cannot ask another balancer.
func timingOf(config *settings.RelayBalancer) directory.Timing {
	timing := directory.Timing{
		ApplyTimeout:   min(config.ApplyTimeout, config.DrainTimeout, config.CloseTimeout),
		ContactTimeout: config.ContactTimeout,
	}
	if others := otherSeeds(config); len(others) > 0 {
		isSeed := len(others) < len(config.Seeds)
		timing.ListingDelay = directory.FirstListingDelay(isSeed, config.FirstStart, rand.Float64())
	}
	return timing
}

// selfMember returns the exchange address and the zone by which the membership identifies
// this process.
func selfMember(config *settings.Settings) directory.Member {
	address, _ := membership.AddressOf(config.Relay.Balancer.Exchange)
	return directory.Member{Peer: directory.Peer(address), Zone: int(selfIdentity(config).Zone)}
}

func toPeers(addresses []membership.Address) []directory.Peer {
	var peers []directory.Peer
	for _, address := range addresses {
		peers = append(peers, directory.Peer(address))
	}
	return peers
}

// updateMetrics exports the load of the services and updates the readiness condition for
// agents.
func (r *balancerRole) updateMetrics(now time.Duration) {
	if r.serviceMetrics.due(now) {
		r.serviceMetrics.observe(r.balancer.ServiceLoads())
	}
	r.updateAgentReadiness()
}

// updateAgentReadiness reports a balancer that reaches no agent as not ready, so that the
// fabric sends it no packets.
func (r *balancerRole) updateAgentReadiness() {
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

func (r *balancerRole) handleClientPacket(_ netip.AddrPort, packet []byte) {
	r.executor.do(func(now time.Duration) []relay.Effect {
		r.balancer.SetInputDelay(r.disseminator.InputDelay(now))
		return r.balancer.HandleClientPacket(now, packet)
	})
}

func (r *balancerRole) addActors(group *run.Group) {
	addActor(group, r.executor.packetSocket.run)
	addActor(group, r.executor.peerSocket.run)
	addActor(group, r.executor.runTimer)
	addActor(group, r.runFollower)
	addActor(group, r.runConfirmer)
	addActor(group, r.updates.socket.run)
	r.peers.addActors(group)
}

// fabricDetectionDelay is how long the fabric takes to notice that a balancer is not ready
// and to send its flows to other balancers: two probes 500 ms apart, plus half of that time
// as a margin. A longer delay would keep more balancers of a zone out of service at once
// during a rolling restart.
const fabricDetectionDelay = 1500 * time.Millisecond

func (r *balancerRole) beginStop() time.Duration { return fabricDetectionDelay }

// idle always returns false: the fabric may send packets of further flows until it has
// noticed that the balancer is not ready.
func (r *balancerRole) idle() bool { return false }

// reload applies a changed store address, which starts a new listing, and changed seeds. It
// reports whether these and the stop timeout, which Daemon applies, are the only changes.
// Every other change needs a restart.
func (r *balancerRole) reload(changed *settings.Relay) bool {
	if changed.Balancer == nil {
		return false
	}
	r.peers.setSeeds(changed.Balancer)
	r.executor.do(func(time.Duration) []relay.Effect {
		if changed.Balancer.Store != r.settings.Balancer.Store {
			r.store = r.newStore(changed.Balancer.Store)
			r.storeGeneration++
			r.follower.Relist()
		}
		return nil
	})
	r.signalFollower()
	applied := *r.settings.Balancer
	applied.Store, applied.Seeds = changed.Balancer.Store, changed.Balancer.Seeds
	r.settings.Balancer, r.settings.StopTimeout = &applied, changed.StopTimeout
	return reflect.DeepEqual(*changed, r.settings)
}

// runFollower keeps the directory current by calls of the store until ctx ends.
func (r *balancerRole) runFollower(ctx context.Context) error {
	for ctx.Err() == nil {
		next, wait := r.nextStoreCall()
		if wait <= 0 {
			r.performStoreCall(ctx, next)
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-r.followerSignal:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// signalFollower makes runFollower stop waiting and determine the next store call again.
func (r *balancerRole) signalFollower() {
	select {
	case r.followerSignal <- struct{}{}:
	default:
	}
}

// storeCall is a call together with the store that was configured when the call was chosen.
type storeCall struct {
	call       directory.Call
	store      directory.Store
	generation int
}

// nextStoreCall returns the next store call and how long to wait before making it.
func (r *balancerRole) nextStoreCall() (storeCall, time.Duration) {
	r.executor.mutex.Lock()
	defer r.executor.mutex.Unlock()
	now := time.Since(r.executor.startedAt)
	call, at := r.follower.Next(now)
	return storeCall{call, r.store, r.storeGeneration}, at - now
}

func (r *balancerRole) performStoreCall(parent context.Context, next storeCall) {
	ctx, cancel := context.WithTimeout(parent, next.call.Timeout)
	defer cancel()
	if next.call.Listing {
		page, err := next.store.List(ctx, next.call.AfterKey)
		r.directoryMetrics.countStoreCall(storeCallKind(next.call), err)
		r.finishStoreCall(parent, next.generation, err, func(now time.Duration) bool {
			changed := r.follower.HandlePage(now, page)
			if r.follower.InSync() {
				r.disseminator.StoreListed()
			}
			return changed
		})
		return
	}
	changes, err := next.store.Watch(ctx, next.call.AfterRevision, next.call.Wait)
	r.directoryMetrics.countStoreCall(storeCallKind(next.call), err)
	r.finishStoreCall(parent, next.generation, err, func(now time.Duration) bool { return r.follower.HandleChanges(now, changes, rand.Float64()) })
}

// finishStoreCall passes the outcome of a call to the follower and installs the snapshot if
// it has changed. It drops a response of a store that was replaced during the call. A call
// that fails because the process is stopping is not logged as a loss of the store.
func (r *balancerRole) finishStoreCall(parent context.Context, generation int, err error, apply func(now time.Duration) bool) {
	stopped := parent.Err() != nil
	r.executor.do(func(now time.Duration) []relay.Effect {
		if generation != r.storeGeneration {
			return nil
		}
		wasInSync := r.follower.InSync()
		if err != nil {
			r.follower.HandleFailure(now, err, rand.Float64())
			r.peers.fetcher.StoreFailed()
			r.logStoreLoss(wasInSync && !stopped, err)
			return nil
		}
		changed := apply(now)
		if r.follower.InSync() {
			r.updates.send(r.disseminator.StoreAnswered(now, r.follower.CurrentAt()))
			r.balancer.MarkConfirmed(r.disseminator.ConfirmedAt())
		}
		if !wasInSync && r.follower.InSync() {
			r.executor.recorder.logger.Info("store followed", "revision", uint64(r.replica.AppliedRevision()))
		}
		return r.installIfChanged(changed, now)
	})
}

// installIfChanged installs the current snapshot if it has changed and the directory is
// ready.
func (r *balancerRole) installIfChanged(changed bool, now time.Duration) []relay.Effect {
	r.peers.announceDigest(r.replica.Digest())
	r.refusals.report(r.replica)
	if !changed || !r.replica.Ready() {
		return nil
	}
	return r.installSnapshot(now)
}

func (r *balancerRole) logStoreLoss(lost bool, err error) {
	if lost {
		r.executor.recorder.logger.Warn("store lost", "error", err)
	}
}

// logZoneChanges logs the zones that were closed or opened since the last installed
// snapshot. A closed zone is logged with the revision of the store entry that closes it. An
// opened zone is logged with the revision of the directory and the time for which it was
// closed.
func (r *balancerRole) logZoneChanges(now time.Duration, closed []directory.ClosedZone) {
	logger := r.executor.recorder.logger
	for _, zone := range closed {
		if !slices.ContainsFunc(r.closedZones, func(before directory.ClosedZone) bool { return before.Zone == zone.Zone }) {
			logger.Warn("zone closed to new flows", "zone_closed", zone.Zone, "revision", uint64(zone.Revision))
		}
	}
	for _, before := range r.closedZones {
		if !slices.ContainsFunc(closed, func(zone directory.ClosedZone) bool { return before.Zone == zone.Zone }) {
			logger.Info("zone opened to new flows", "zone_opened", before.Zone,
				"revision", uint64(r.replica.AppliedRevision()), "closed_ms", (now - before.Since).Milliseconds())
		}
	}
	r.closedZones = closed
}

func (r *balancerRole) installSnapshot(now time.Duration) []relay.Effect {
	snapshot := r.replica.Snapshot()
	r.logZoneChanges(now, snapshot.ClosedZones())
	r.health.SetReady(conditionDirectory)
	r.directoryMetrics.observe(snapshot)
	r.executor.recorder.logger.Info("directory changed",
		"version", snapshot.Version(), "revision", uint64(r.replica.AppliedRevision()),
		"routes", snapshot.RouteCount(), "endpoints", len(snapshot.All()))
	return r.balancer.Install(now, snapshot)
}

// sleep waits for duration and reports whether ctx is still active.
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
