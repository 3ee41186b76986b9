package relay

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/placement"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// BalancerConfig holds the parameters of a Balancer.
type BalancerConfig struct {
	// Zone is the zone of the balancer and of its clients.
	Zone  string
	Codec segment.Codec
	// AgentPort is the port on which all agents receive messages.
	AgentPort uint16
	// FlowLifetime is the longest time for which a flow may last.
	FlowLifetime time.Duration
	// FlowLimit is the largest number of flows remembered.
	FlowLimit int
	// ApplyTimeout is the time in which a change of the configuration has to be
	// in force.
	ApplyTimeout time.Duration
	// DrainTimeout is the time after which an endpoint that is known to be
	// leaving must get no new flow.
	DrainTimeout time.Duration
	// Random breaks ties. The balancer alone may use it.
	Random *rand.Rand
}

const (
	// offerTimeout is how long a balancer waits for an agent to tell that its
	// endpoint answered an opening packet before it offers the packet to
	// another. It is shorter than any client's first repetition.
	offerTimeout = 45 * time.Millisecond
	// offersLast is how long an opening packet is offered to further endpoints: clients
	// give up then.
	offersLast = 1400 * time.Millisecond
	// doubtfulOffers bounds how many endpoints are asked that are suspected or ejected:
	// those that are well have been asked before.
	doubtfulOffers = 3
	// confirmationMargin is how much longer than ApplyTimeout after the last
	// answer of the store a missing route is still believed to be missing.
	confirmationMargin = time.Second
	// closingRetention is how long a flow is remembered after its client has
	// closed it.
	closingRetention = 5 * time.Second
	// locateLimit bounds the agents that are asked for the owner of one flow. A survey
	// has room for some 400 of them; flows whose route has more are not proved dead.
	locateLimit = 2048
)

// balancerFlowState is the progress of a flow as a balancer sees it.
type balancerFlowState uint8

const (
	// flowOffering: the opening packet was offered and nobody has answered.
	flowOffering balancerFlowState = iota
	// flowPlaced: the owner is known.
	flowPlaced
	// flowLocating: agents were asked for the owner.
	flowLocating
	// flowClosing: the client has closed its end.
	flowClosing
	// flowOwnerless: no endpoint holds the flow; its client was told.
	flowOwnerless
)

// balancerFlow is what a balancer remembers of a flow. It is a cache: the
// agent of the flow's endpoint knows better.
type balancerFlow struct {
	state balancerFlowState
	// counted is set while the flow counts for its endpoint, and kept once it does so as a
	// flow for many requests, the last of which began at asked.
	counted  bool
	kept     bool
	asked    time.Duration
	sequence uint32
	agent    segment.Address
	endpoint directory.EndpointID
	service  string
	opened   time.Duration
	touched  time.Duration
	terms    FlowParameters
	// began is when the client began to open the flow, as far as its packets show.
	began time.Duration
	// offer is set while the state is flowOffering, search while it is
	// flowLocating.
	offer  *offer
	search *search
}

// Balancer decides what becomes of clients' packets. It is not safe for
// concurrent use.
type Balancer struct {
	config    BalancerConfig
	snapshot  *directory.Snapshot
	ready     bool
	early     early
	confirmed time.Duration
	// current is the time before which everything is known that the store had
	// accepted.
	current time.Duration
	flows   map[segment.FlowKey]*balancerFlow
	offers  []*offer
	// verifications are searches that are due to be verified.
	verifications []*search
	// surveys counts the questions that were left to agents.
	surveys uint32
	health  map[directory.EndpointID]*health
	// ejectionsEnd is when the last ejection ends of which agents have told.
	ejectionsEnd time.Duration
	// demands are what the kept flows of services ask for, measured at swept.
	demands map[string]*demand
	swept   time.Duration
	// levels are how far groups of endpoints are used.
	levels map[group]*placement.GroupUtilization
	// usual are the paces that are usual for services.
	usual map[string]usualPace
	// paces is room for the paces of a service.
	paces []uint32
	// candidates, local and places are room for the endpoints that may get a flow.
	candidates []directory.Candidate
	local      []bool
	places     []placement.Candidate
	sharing    map[segment.Address]*sharing
	budget     budget
	searches   *rate.Limiter
	reach      reach
	nextSweep  time.Duration
	effects    []Effect
}

// NewBalancer returns a balancer without a directory.
func NewBalancer(config BalancerConfig) *Balancer {
	return &Balancer{
		config:   config,
		snapshot: directory.NewReplica().Snapshot(),
		flows:    make(map[segment.FlowKey]*balancerFlow),
		health:   make(map[directory.EndpointID]*health),
		demands:  make(map[string]*demand),
		levels:   make(map[group]*placement.GroupUtilization),
		usual:    make(map[string]usualPace),
		sharing:  make(map[segment.Address]*sharing),
		budget:   newBudget(),
		searches: rate.NewLimiter(searchRate, searchBurst),
	}
}

// FlowCount returns the number of flows remembered.
func (b *Balancer) FlowCount() int { return len(b.flows) }

// Install makes later decisions use a snapshot of the directory, and tells the
// agents of endpoints that are leaving so. The returned effects are valid until
// the next call.
func (b *Balancer) Install(now time.Duration, snapshot *directory.Snapshot) []Effect {
	b.effects = b.effects[:0]
	previous := b.snapshot
	b.snapshot = snapshot
	b.ready = true
	clear(b.usual)
	for id := range b.health {
		if _, exists := snapshot.Candidate(id); !exists {
			delete(b.health, id)
		}
	}
	b.tellLeaving(previous, snapshot)
	b.releaseEarly(now)
	return b.effects
}

// tellLeaving tells agents that their endpoint must get no new flows, in case
// that a balancer which does not know offers it one. The address of an endpoint
// that has gone may be another's already.
func (b *Balancer) tellLeaving(previous, current *directory.Snapshot) {
	for _, candidate := range current.All() {
		before, existed := previous.Candidate(candidate.ID)
		occupant, _ := current.CandidateAt(candidate.Endpoint.IP)
		told := existed && before.Draining()
		if !candidate.Draining() || candidate.Gone || told || occupant.ID != candidate.ID {
			continue
		}
		b.send(b.agentOf(candidate), Message{Kind: KindDrain, Service: candidate.Endpoint.Service})
	}
}

// MarkConfirmed tells that the directory was current at a time.
func (b *Balancer) MarkConfirmed(now time.Duration) { b.confirmed = max(b.confirmed, now) }

// HandleClientPacket handles a client's packet. The returned effects are valid until the
// next call, and so must packet be.
func (b *Balancer) HandleClientPacket(now time.Duration, packet []byte) []Effect {
	b.effects = b.effects[:0]
	header, outcome := b.config.Codec.Decode(packet)
	if outcome != segment.Decoded {
		b.event(Event{Kind: EventMalformed, Reason: outcome.String()})
		return b.effects
	}
	if !writtenByClient(header) {
		b.event(Event{Kind: EventForged, Reason: "not_a_client"})
		return b.effects
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	if !b.ready {
		b.holdEarly(now, key, header, packet)
		return b.effects
	}
	b.arrive(now, key, header, packet)
	return b.effects
}

// arrive handles a client's packet once the directory is known.
func (b *Balancer) arrive(now time.Duration, key segment.FlowKey, header segment.Header, packet []byte) {
	if header.OpensFlow() {
		b.arriveOpening(now, key, header, packet)
		return
	}
	b.arriveSegment(now, key, header, packet)
}

// writtenByClient reports whether a client may write such a packet.
func writtenByClient(header segment.Header) bool {
	answer := header.Flags.Has(segment.Synchronize | segment.Acknowledge)
	return !answer && !header.Flags.Has(segment.Returned)
}

// arriveSegment handles a packet of a flow that was opened before.
func (b *Balancer) arriveSegment(now time.Duration, key segment.FlowKey, header segment.Header, packet []byte) {
	known, exists := b.flows[key]
	if !exists {
		known = b.remember(now, key)
		if known == nil {
			return
		}
	}
	known.touched = now
	switch known.state {
	case flowLocating:
		b.locate(now, key, known, header, packet)
	case flowOwnerless:
		b.reset(key, header)
	default:
		b.noteRequest(now, known, header)
		b.send(known.agent, Message{Kind: KindForward, Service: known.service, Packet: packet})
		b.noteClosing(known, header)
	}
}

func (b *Balancer) noteClosing(known *balancerFlow, header segment.Header) {
	if !header.Flags.Has(segment.Finish) && !header.Flags.Has(segment.Reset) {
		return
	}
	b.settle(known)
	b.uncount(known)
	known.state = flowClosing
}

// Receive handles a message from an agent. The returned effects are valid
// until the next call.
func (b *Balancer) Receive(now time.Duration, from segment.Address, message Message) []Effect {
	b.effects = b.effects[:0]
	if !b.isAgent(from) {
		b.event(Event{Kind: EventForged, Peer: from, Reason: "not_an_agent"})
		return b.effects
	}
	b.heardAgent()
	b.notePace(now, from, message.Load)
	b.noteUse(now, from, message)
	b.noteReport(now, from, message)
	switch message.Kind {
	case KindPlaced:
		b.receivePlaced(now, from, message)
	case KindReturned:
		b.receiveReturned(now, from, message)
	case KindOwned:
		b.receiveOwned(now, from, message)
	case KindUncertain:
		b.receiveUncertain(now, from, message)
	case KindDenied:
		b.receiveDenied(now, from, message)
	case KindSurveyResult:
		b.receiveSurveyed(now, from, message)
	case KindNotOwned:
		b.receiveUnknown(now, from, message)
	case KindLeaving:
		b.receiveLeaving(now, from)
	}
	return b.effects
}

// receiveLeaving handles that an agent is about to stop.
func (b *Balancer) receiveLeaving(now time.Duration, from segment.Address) {
	if candidate, exists := b.snapshot.CandidateAt(from.IP); exists {
		b.healthOf(candidate.ID).suspect(now)
	}
}

// NextTick returns when Tick should be called at the latest.
func (b *Balancer) NextTick(time.Duration) time.Duration {
	next := min(b.nextSweep, b.nextReach())
	for _, waiting := range b.offers {
		if !waiting.done {
			next = min(next, waiting.deadline)
		}
	}
	for _, sought := range b.verifications {
		next = min(next, sought.verifyAt)
	}
	return next
}

// Tick handles timeouts. The returned effects are valid until the next call.
func (b *Balancer) Tick(now time.Duration) []Effect {
	b.effects = b.effects[:0]
	b.offers = slices.DeleteFunc(b.offers, func(waiting *offer) bool { return waiting.done })
	for _, waiting := range b.offers {
		if !waiting.done && now >= waiting.deadline {
			b.offerExpired(now, waiting)
		}
	}
	b.verifyDue(now)
	b.watchReach(now)
	if now >= b.nextSweep {
		b.nextSweep = now + sweepInterval
		b.sweep(now)
	}
	return b.effects
}

func (b *Balancer) sweep(now time.Duration) {
	for _, known := range b.demands {
		known.measure(now - b.swept)
	}
	b.swept = now
	maps.DeleteFunc(b.levels, func(_ group, level *placement.GroupUtilization) bool { return level.Expired(now) })
	for key, known := range b.flows {
		retention := b.config.FlowLifetime
		switch known.state {
		case flowClosing, flowOffering, flowLocating, flowOwnerless:
			retention = closingRetention
		}
		if now-known.touched > retention {
			b.forget(key, known)
			continue
		}
		b.keepOld(now, known)
	}
}

func (b *Balancer) forget(key segment.FlowKey, known *balancerFlow) {
	b.settle(known)
	b.uncount(known)
	delete(b.flows, key)
}

func (b *Balancer) agentOf(candidate directory.Candidate) segment.Address {
	return candidate.Endpoint.Address().WithPort(b.config.AgentPort)
}

func (b *Balancer) send(to segment.Address, message Message) {
	b.effects = append(b.effects, Effect{Kind: EffectSendMessage, To: to, Message: message})
}

func (b *Balancer) event(event Event) {
	event.Class = b.classify(event)
	b.effects = append(b.effects, Effect{Kind: EffectEvent, Event: event})
}
