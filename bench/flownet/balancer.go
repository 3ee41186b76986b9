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
	// balancerStop and agentStop are how long stopping processes go on serving.
	balancerStop = 1500 * time.Millisecond
	agentStop    = 4500 * time.Millisecond
	// restartDelay is how long a stopped process stays away.
	restartDelay = 300 * time.Millisecond
	// digestInterval is how often a balancer tells others how much it knows.
	digestInterval = time.Second
	// digestFanout is how many others it tells.
	digestFanout = 2
	// applyTimeout is the time in which a change has to be in force, and
	// drainTimeout that after which a leaving endpoint must get no new flow.
	applyTimeout = 3 * time.Second
	drainTimeout = 3 * time.Second
	// fetchTimeout is how long it waits for the directory of another.
	fetchTimeout = 800 * time.Millisecond
)

var timing = directory.Timing{ApplyTimeout: applyTimeout, ContactTimeout: contactTime}

// balancerPart is the deciding part of a balancer, of the product or of a
// baseline.
type balancerPart interface {
	HandleClientPacket(now time.Duration, packet []byte) []relay.Effect
	Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect
	Install(now time.Duration, snapshot *directory.Snapshot) []relay.Effect
	MarkConfirmed(now time.Duration)
	Tick(now time.Duration) []relay.Effect
	Isolated() bool
	MarkCurrentThrough(now, through time.Duration) []relay.Effect
}

// balancerNode is one machine with a balancer.
type balancerNode struct {
	world *world
	id    simnet.NodeID
	ip    [4]byte
	zone  int

	part      balancerPart
	directory *directory.Replica
	follower  *directory.Follower
	confirmer *directory.Confirmer
	// confirming is the confirmer's call that is under way, and confirmed when it
	// was sent.
	confirming directory.Call
	confirmed  time.Duration
	exchange   *directory.PeerFetcher[simnet.NodeID]
	// spread decides who asks the store, and heard is when others were last found running.
	spread *directory.Disseminator
	heard  map[simnet.NodeID]time.Duration
	// questions are those of others that wait for a confirmation, and asked is the time
	// of its own question with a number.
	questions directory.ConfirmationQueue
	asked     time.Duration
	question  uint32
	watcher   directory.Peer
	fetching  time.Duration
	call      directory.Call
	// calling is set while a call is under way.
	calling bool
	number  uint64
	// refused is set while the store turns it away.
	refused  bool
	stopping bool
	removed  bool
	// cut is set while the store cannot be reached.
	cut bool
}

func (w *world) addBalancer(zone int) *balancerNode {
	created := &balancerNode{world: w, ip: w.machine(), zone: zone}
	created.id = w.net.AddNode(simnet.ZoneID(zone), created)
	w.nodes[created.ip] = created.id
	w.balancers = append(w.balancers, created)
	created.begin()
	return created
}

// begin starts a new process on the machine.
func (n *balancerNode) begin() {
	w := n.world
	n.part = w.options.newBalancer(relay.BalancerConfig{
		Zone: w.zoneName(n.zone), Codec: w.codec, AgentPort: packetPort, FlowLifetime: time.Minute, FlowLimit: 100_000,
		ApplyTimeout: applyTimeout, DrainTimeout: drainTimeout,
		Random: rand.New(rand.NewPCG(w.random.Uint64(), 1)),
	})
	n.directory = directory.NewReplica()
	self := directory.Member{Peer: directory.Peer(n.id), Zone: n.zone}
	n.spread = directory.NewDisseminator(n.directory, timing, self, w.seedPeers(n), rand.New(rand.NewPCG(w.random.Uint64(), 3)))
	n.heard = make(map[simnet.NodeID]time.Duration)
	n.follower = directory.NewFollower(n.directory, timing, n.spread)
	n.confirmer = directory.NewConfirmer(n.directory)
	n.confirmed, n.questions, n.asked = 0, directory.ConfirmationQueue{}, 0
	n.exchange = directory.NewPeerFetcher(n.directory, timing, w.seeds(n), rand.New(rand.NewPCG(w.random.Uint64(), 2)))
	n.fetching = 0
	n.stopping = false
	n.calling = false
	n.number++
	w.net.Schedule(n.id, tickInterval, tickTimer)
	w.net.Schedule(n.id, 0, digestTimer)
}

func (n *balancerNode) restart() {
	n.world.net.Restart(n.id, n)
	n.begin()
}

// ready is what the balancer answers to the fabric's probe.
func (n *balancerNode) ready() bool {
	running := !n.world.net.Stopped(n.id)
	return running && !n.stopping && n.directory.Ready() && !n.part.Isolated()
}

// callNext makes the next call of the store once its time has come.
func (n *balancerNode) callNext(now time.Duration) {
	if n.calling {
		return
	}
	call, at := n.follower.Next(now)
	if now < at {
		return
	}
	n.calling = true
	n.call = call
	n.number++
	sent := storeCall{
		listing: call.Listing, after: call.AfterKey, since: call.AfterRevision, wait: call.Wait, number: n.number,
	}
	n.world.ledger.called(call)
	if !n.cut {
		n.world.net.Send(n.id, n.world.store.id, simnet.Control, 100, datagram{port: peerPort, call: &sent})
	}
	n.world.net.Schedule(n.id, call.Timeout, timeoutTimer+uint32(n.number))
}

// HandleTimer implements simnet.Handler.
func (n *balancerNode) HandleTimer(now time.Duration, timer uint32) {
	switch timer {
	case tickTimer:
		n.execute(n.part.Tick(now))
		n.callNext(now)
		n.fetchNext(now)
		n.confirmNext(now)
		n.world.net.Schedule(n.id, tickInterval, tickTimer)
	case digestTimer:
		n.refreshMembers(now)
		n.sendDigest()
	default:
		if uint64(timer-timeoutTimer) == n.number && n.calling {
			n.calling = false
			n.failed(now, &directory.StoreError{Failure: directory.StoreUnreachable})
		}
	}
}

func (n *balancerNode) failed(now time.Duration, failure error) {
	n.follower.HandleFailure(now, failure, n.world.random.Float64())
	n.exchange.StoreFailed()
}

// Receive implements simnet.Handler.
func (n *balancerNode) Receive(now time.Duration, from simnet.NodeID, received datagram) {
	switch {
	case received.reply != nil && received.reply.confirming:
		n.receiveConfirmation(now, *received.reply)
	case received.reply != nil:
		n.receiveReply(now, *received.reply)
	case n.world.cutOff[n.ip] && received.message == nil && received.packet == nil:
		// No other balancer reaches it.
	case received.update != nil:
		n.receiveUpdate(now, from, *received.update)
	case received.digest != nil:
		n.exchange.ReceiveDigest(now, from, *received.digest)
	case received.fetch != nil:
		n.spread.StateSent(now, directory.Peer(from))
		state := n.spread.State(now, *received.fetch)
		n.world.net.Send(n.id, from, simnet.Control, 1000, datagram{port: peerPort, state: &state})
	case received.state != nil:
		n.adopt(now, from, *received.state)
	case received.message != nil:
		n.execute(n.part.Receive(now, received.from, *received.message))
	case received.packet != nil:
		n.execute(n.part.HandleClientPacket(now, received.packet))
	}
}

func (n *balancerNode) receiveReply(now time.Duration, reply storeReply) {
	if reply.number != n.number || n.cut || !n.calling {
		return
	}
	n.calling = false
	changed := false
	planted := n.world.options.Defect
	reply.page.Items = planted.filter(reply.page.Items)
	reply.changes.Items = planted.filter(reply.changes.Items)
	switch {
	case reply.failure != nil:
		n.failed(now, reply.failure)
		return
	case n.call.Listing:
		changed = n.follower.HandlePage(now, reply.page)
		if n.follower.InSync() {
			n.spread.StoreListed()
		}
	default:
		changed = n.follower.HandleChanges(now, reply.changes, n.world.random.Float64())
	}
	if n.follower.InSync() {
		n.part.MarkConfirmed(now)
		n.tell(n.spread.StoreAnswered(now))
	}
	n.installIf(now, changed)
}

func (n *balancerNode) installIf(now time.Duration, changed bool) {
	if changed && n.directory.Ready() {
		n.execute(n.part.Install(now, n.directory.Snapshot()))
	}
}

// seeds returns some other balancers, which may be down.
func (w *world) seeds(except *balancerNode) []simnet.NodeID {
	var seeds []simnet.NodeID
	for _, each := range w.balancers[:min(len(w.balancers), 3)] {
		if each != except {
			seeds = append(seeds, each.id)
		}
	}
	return seeds
}

// sendDigest stands in for the membership, whose messages carry digests.
func (n *balancerNode) sendDigest() {
	digest := n.directory.Digest()
	for range digestFanout {
		other, _ := pick(n.world, n.world.balancers)
		if other != n && !n.world.cutOff[n.ip] && n.world.options.Defect != DefectEmptyUpdates {
			n.world.net.Send(n.id, other.id, simnet.Control, 60, datagram{port: peerPort, digest: &digest})
		}
	}
	n.world.net.Schedule(n.id, digestInterval, digestTimer)
}

func (n *balancerNode) fetchNext(now time.Duration) {
	if n.fetching > 0 && now-n.fetching > fetchTimeout {
		n.fetching = 0
		n.exchange.FetchFailed()
	}
	n.tell(n.spread.Repeat(now))
	n.tell(n.spread.RenewalRequest(now))
	if now%startInterval < tickInterval {
		if question, exists := n.spread.StartupRequest(now); exists {
			n.tell([]directory.Outgoing{question})
		}
	}
	if from, wanted := n.exchange.Next(now); wanted {
		n.fetching = now
		known := n.directory.Digest()
		n.world.net.Send(n.id, from, simnet.Control, 60, datagram{port: peerPort, fetch: &known})
	}
}

func (n *balancerNode) adopt(now time.Duration, from simnet.NodeID, state directory.State) {
	if n.fetching == 0 {
		return
	}
	asked := n.fetching
	n.fetching = 0
	changed := n.exchange.Fetched(now, state)
	n.tell(n.spread.StateFetched(now, asked, directory.Peer(from), state))
	n.part.MarkConfirmed(n.spread.ConfirmedAt())
	n.installIf(now, changed)
}

func (n *balancerNode) execute(effects []relay.Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case relay.EffectSendMessage:
			n.world.sendMessage(n.id, segment.Address{IP: n.ip, Port: peerPort}, effect.To, effect.Message)
		case relay.EffectSendToClient:
			n.world.sendToClient(n.id, effect.To, effect.Packet)
		case relay.EffectEvent:
			n.world.ledger.decided(effect.Event)
		case relay.EffectConfirmDirectory:
			n.wantConfirmation()
		}
	}
}

// sendMessage sends a message between daemons in its encoded form, as they do.
func (w *world) sendMessage(from simnet.NodeID, source, to segment.Address, message relay.Message) {
	encoded, err := message.MarshalMsg(nil)
	if err != nil {
		panic("flownet: cannot encode a message: " + err.Error())
	}
	var decoded relay.Message
	if _, err := decoded.UnmarshalMsg(encoded); err != nil {
		panic("flownet: cannot decode a message: " + err.Error())
	}
	if w.cutOff[source.IP] || w.cutOff[to.IP] {
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
