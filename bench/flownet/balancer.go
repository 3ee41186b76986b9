package flownet

import (
	"math/rand/v2"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	tickTimer uint32 = iota
	digestTimer
	timeoutTimer
)

const (
	tickInterval = 10 * time.Millisecond
	// balancerStopTime and agentStopTime are how long processes keep serving after a stop
	// request.
	balancerStopTime = 1500 * time.Millisecond
	agentStopTime    = 4500 * time.Millisecond
	// restartDelay is the time from the end of a stopped process to its restart.
	restartDelay = 300 * time.Millisecond
	// digestInterval is how often a balancer sends a digest of its directory.
	digestInterval = time.Second
	// digestFanout is the number of balancers that get each digest.
	digestFanout = 2
	// applyTimeout is the time within which a change must be in force. drainTimeout is the
	// time after which a leaving endpoint must not get new flows.
	applyTimeout = 3 * time.Second
	drainTimeout = 3 * time.Second
	// fetchTimeout is how long a balancer waits for the directory of a peer.
	fetchTimeout = 800 * time.Millisecond
)

var timing = directory.Timing{ApplyTimeout: applyTimeout, ContactTimeout: contactTime}

// balancerLogic is the decision logic of a balancer: that of the product or of a
// baseline.
type balancerLogic interface {
	HandleClientPacket(now time.Duration, packet []byte) []relay.Effect
	Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect
	Install(now time.Duration, snapshot *directory.Snapshot) []relay.Effect
	MarkConfirmed(now time.Duration)
	Tick(now time.Duration) []relay.Effect
	Isolated() bool
	MarkCurrentThrough(now, through time.Duration) []relay.Effect
	SetPeers(now time.Duration, peers []segment.Address) []relay.Effect
}

// balancerNode simulates one machine that runs a balancer.
type balancerNode struct {
	world *world
	id    simnet.NodeID
	ip    [4]byte
	zone  int

	logic     balancerLogic
	directory *directory.Replica
	follower  *directory.Follower
	confirmer *directory.Confirmer
	// confirmationCall is the pending call of the confirmer. confirmationSentAt is when it was
	// sent, or zero if none is pending.
	confirmationCall   directory.Call
	confirmationSentAt time.Duration
	fetcher            *directory.PeerFetcher[simnet.NodeID]
	// disseminator decides which balancers query the store. lastSeen is when each other
	// balancer was last seen running.
	disseminator *directory.Disseminator
	lastSeen     map[simnet.NodeID]time.Duration
	// waitingConfirmations are requests of other balancers that wait for a confirmation.
	// watcherAskedAt is when this balancer last asked a watcher, or zero if no reply is pending;
	// confirmationRequestID numbers its requests.
	waitingConfirmations  directory.ConfirmationQueue
	watcherAskedAt        time.Duration
	confirmationRequestID uint32
	watcher               directory.Peer
	fetchStartedAt        time.Duration
	call                  directory.Call
	// callPending is set while a store call is pending.
	callPending bool
	callNumber  uint64
	// rejected is set while the store rejects the calls of the balancer.
	rejected bool
	stopping bool
	removed  bool
	// storeUnreachable is set while the balancer cannot reach the store.
	storeUnreachable bool
}

func (w *world) addBalancer(zone int) *balancerNode {
	created := &balancerNode{world: w, ip: w.newMachineAddress(), zone: zone}
	created.id = w.net.AddNode(simnet.ZoneID(zone), created)
	w.nodes[created.ip] = created.id
	w.balancers = append(w.balancers, created)
	created.start()
	return created
}

// start starts a new process on the machine. At time zero the whole fleet starts for the first time.
func (n *balancerNode) start() {
	w := n.world
	n.logic = w.options.newBalancer(relay.BalancerConfig{
		Zone: w.zoneName(n.zone), Codec: w.codec, AgentPort: packetPort, PeerPort: peerPort, FlowLifetime: time.Minute, FlowLimit: 100_000,
		ApplyTimeout: applyTimeout, DrainTimeout: drainTimeout, ContactTimeout: contactTime,
		Random: rand.New(rand.NewPCG(w.random.Uint64(), 1)),
	})
	n.directory = directory.NewReplica()
	if w.net.Now() == 0 {
		n.directory.MarkFirstStart(0)
	}
	self := directory.Member{Peer: directory.Peer(n.id), Zone: n.zone}
	n.disseminator = directory.NewDisseminator(n.directory, timing, self, w.seedPeers(n), rand.New(rand.NewPCG(w.random.Uint64(), 3)))
	n.lastSeen = make(map[simnet.NodeID]time.Duration)
	n.follower = directory.NewFollower(n.directory, timing, n.disseminator)
	n.confirmer = directory.NewConfirmer(n.directory)
	n.confirmationSentAt, n.waitingConfirmations, n.watcherAskedAt = 0, directory.ConfirmationQueue{}, 0
	n.fetcher = directory.NewPeerFetcher(n.directory, timing, w.seeds(n), rand.New(rand.NewPCG(w.random.Uint64(), 2)))
	n.fetchStartedAt = 0
	n.stopping = false
	n.callPending = false
	n.callNumber++
	w.net.Schedule(n.id, tickInterval, tickTimer)
	w.net.Schedule(n.id, 0, digestTimer)
}

// address returns the address at which the balancer receives messages of other daemons.
func (n *balancerNode) address() segment.Address { return segment.Address{IP: n.ip, Port: peerPort} }

func (n *balancerNode) restart() {
	n.world.net.Restart(n.id, n)
	n.start()
}

// ready reports what the balancer answers to the health probe of the fabric.
func (n *balancerNode) ready() bool {
	running := !n.world.net.Stopped(n.id)
	return running && !n.stopping && n.directory.Ready() && !n.logic.Isolated()
}

// callNext sends the next store call when it is due.
func (n *balancerNode) callNext(now time.Duration) {
	if n.callPending {
		return
	}
	call, at := n.follower.Next(now)
	if now < at {
		return
	}
	n.callPending = true
	n.call = call
	n.callNumber++
	sent := storeCall{
		listing: call.Listing, after: call.AfterKey, since: call.AfterRevision, wait: call.Wait, number: n.callNumber,
	}
	n.world.checker.recordStoreCall(call)
	if !n.storeUnreachable {
		n.world.net.Send(n.id, n.world.store.id, simnet.Control, 100, datagram{port: peerPort, call: &sent})
	}
	n.world.net.Schedule(n.id, call.Timeout, timeoutTimer+uint32(n.callNumber))
}

// HandleTimer implements simnet.Handler.
func (n *balancerNode) HandleTimer(now time.Duration, timer uint32) {
	switch timer {
	case tickTimer:
		n.execute(n.logic.Tick(now))
		n.callNext(now)
		n.fetchNext(now)
		n.continueConfirmation(now)
		n.world.net.Schedule(n.id, tickInterval, tickTimer)
	case digestTimer:
		n.refreshMembers(now)
		n.sendDigest()
	default:
		if uint64(timer-timeoutTimer) == n.callNumber && n.callPending {
			n.callPending = false
			n.handleStoreFailure(now, &directory.StoreError{Failure: directory.StoreUnreachable})
		}
	}
}

func (n *balancerNode) handleStoreFailure(now time.Duration, failure error) {
	n.follower.HandleFailure(now, failure, n.world.random.Float64())
	n.fetcher.StoreFailed()
}

// Receive implements simnet.Handler.
func (n *balancerNode) Receive(now time.Duration, from simnet.NodeID, received datagram) {
	switch {
	case received.reply != nil && received.reply.confirming:
		n.receiveConfirmation(now, *received.reply)
	case received.reply != nil:
		n.receiveReply(now, *received.reply)
	case n.world.isolated[n.ip] && received.message == nil && received.packet == nil:
		// The balancer is isolated, so that messages of other balancers are lost.
	case received.update != nil:
		n.receiveUpdate(now, from, *received.update)
	case received.digest != nil:
		n.fetcher.ReceiveDigest(now, from, *received.digest)
	case received.fetch != nil:
		n.disseminator.StateSent(now, directory.Peer(from))
		state := n.disseminator.State(now, *received.fetch)
		n.world.net.Send(n.id, from, simnet.Control, 1000, datagram{port: peerPort, state: &state})
	case received.state != nil:
		n.receiveState(now, from, *received.state)
	case received.message != nil:
		n.execute(n.logic.Receive(now, received.from, *received.message))
	case received.packet != nil:
		n.execute(n.logic.HandleClientPacket(now, received.packet))
	}
}

func (n *balancerNode) receiveReply(now time.Duration, reply storeReply) {
	if reply.number != n.callNumber || n.storeUnreachable || !n.callPending {
		return
	}
	n.callPending = false
	changed := false
	defect := n.world.options.Defect
	reply.page.Items = defect.filterItems(reply.page.Items)
	reply.changes.Items = defect.filterItems(reply.changes.Items)
	switch {
	case reply.failure != nil:
		n.handleStoreFailure(now, reply.failure)
		return
	case n.call.Listing:
		changed = n.follower.HandlePage(now, reply.page)
		if n.follower.InSync() {
			n.disseminator.StoreListed()
		}
	default:
		changed = n.follower.HandleChanges(now, reply.changes, n.world.random.Float64())
	}
	if n.follower.InSync() {
		n.sendUpdates(n.disseminator.StoreAnswered(now, n.follower.CurrentAt()))
		n.logic.MarkConfirmed(n.disseminator.ConfirmedAt())
	}
	n.installIfChanged(now, changed)
}

func (n *balancerNode) installIfChanged(now time.Duration, changed bool) {
	if changed && n.directory.Ready() {
		n.execute(n.logic.Install(now, n.directory.Snapshot()))
	}
}

// seeds returns up to three other balancers, which may be down.
func (w *world) seeds(except *balancerNode) []simnet.NodeID {
	var seeds []simnet.NodeID
	for _, each := range w.balancers[:min(len(w.balancers), 3)] {
		if each != except {
			seeds = append(seeds, each.id)
		}
	}
	return seeds
}

// sendDigest simulates the digests that messages of the membership carry. It sends none with
// DefectEmptyUpdates.
func (n *balancerNode) sendDigest() {
	digest := n.directory.Digest()
	for range digestFanout {
		other, _ := pickRandom(n.world, n.world.balancers)
		if other != n && !n.world.isolated[n.ip] && n.world.options.Defect != DefectEmptyUpdates {
			n.world.net.Send(n.id, other.id, simnet.Control, 60, datagram{port: peerPort, digest: &digest})
		}
	}
	n.world.net.Schedule(n.id, digestInterval, digestTimer)
}

func (n *balancerNode) fetchNext(now time.Duration) {
	if n.fetchStartedAt > 0 && now-n.fetchStartedAt > fetchTimeout {
		n.fetchStartedAt = 0
		n.fetcher.FetchFailed()
	}
	n.sendUpdates(n.disseminator.Repeat(now))
	n.sendUpdates(n.disseminator.RenewalRequest(now))
	if now%startupRequestInterval < tickInterval {
		if question, exists := n.disseminator.StartupRequest(now); exists {
			n.sendUpdates([]directory.Outgoing{question})
		}
	}
	if from, wanted := n.fetcher.Next(now); wanted {
		n.fetchStartedAt = now
		known := n.directory.Digest()
		n.world.net.Send(n.id, from, simnet.Control, 60, datagram{port: peerPort, fetch: &known})
	}
}

func (n *balancerNode) receiveState(now time.Duration, from simnet.NodeID, state directory.State) {
	if n.fetchStartedAt == 0 {
		return
	}
	state = state.Delayed(now - n.fetchStartedAt)
	n.fetchStartedAt = 0
	changed := n.fetcher.Fetched(now, state)
	n.sendUpdates(n.disseminator.StateFetched(now, directory.Peer(from), state))
	n.logic.MarkConfirmed(n.disseminator.ConfirmedAt())
	n.installIfChanged(now, changed)
}

func (n *balancerNode) execute(effects []relay.Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case relay.EffectSendMessage:
			n.world.sendMessage(n.id, n.address(), effect.To, effect.Message)
		case relay.EffectSendToClient:
			n.world.sendToClient(n.id, effect.To, effect.Packet)
		case relay.EffectEvent:
			n.world.checker.recordDecision(effect.Event)
		case relay.EffectConfirmDirectory:
			n.requestConfirmation()
		}
	}
}

// sendMessage sends a message between daemons. It encodes and decodes the message as the
// daemons do.
func (w *world) sendMessage(from simnet.NodeID, source, to segment.Address, message relay.Message) {
	encoded, err := message.MarshalMsg(nil)
	if err != nil {
		panic("flownet: encode relay message: " + err.Error())
	}
	var decoded relay.Message
	if _, err := decoded.UnmarshalMsg(encoded); err != nil {
		panic("flownet: decode relay message: " + err.Error())
	}
	if w.isolated[source.IP] || w.isolated[to.IP] {
		return
	}
	target, exists := w.nodes[to.IP]
	if to.Port == packetPort {
		target, exists = w.agents[to.IP], w.agents[to.IP] != 0
	}
	if exists {
		w.net.Send(from, target, simnet.Payload, len(encoded), datagram{port: to.Port, from: source, message: &decoded})
	}
}
