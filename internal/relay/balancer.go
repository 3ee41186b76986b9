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
	// offerLifetime is how long an opening packet is offered to further endpoints: clients
	// give up then.
	offerLifetime = 1400 * time.Millisecond
	// maxUntrustedOffers bounds how many endpoints are asked that are suspected or ejected:
	// those that are well have been asked before.
	maxUntrustedOffers = 3
	// confirmationMargin is how much longer than ApplyTimeout after the last
	// answer of the store a missing route is still believed to be missing.
	confirmationMargin = time.Second
	// closingRetention is how long a flow is remembered after its client has
	// closed it.
	closingRetention = 5 * time.Second
	// maxLocateAgents bounds the agents that are asked for the owner of one flow. A survey
	// has room for some 400 of them; flows whose route has more are not proved dead.
	maxLocateAgents = 2048
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
	counted       bool
	persistent    bool
	lastRequestAt time.Duration
	clientISN     uint32
	agent         segment.Address
	endpoint      directory.EndpointID
	service       string
	openedAt      time.Duration
	lastActivity  time.Duration
	parameters    FlowParameters
	// clientBeganAt is when the client clientBeganAt to open the flow, as far as its packets show.
	clientBeganAt time.Duration
	// offer is set while the state is flowOffering, search while it is
	// flowLocating.
	offer  *offer
	search *ownerSearch
}

// Balancer decides what becomes of clients' packets. It is not safe for
// concurrent use.
type Balancer struct {
	config        BalancerConfig
	snapshot      *directory.Snapshot
	hasDirectory  bool
	startupBuffer startupBuffer
	confirmedAt   time.Duration
	// currentThrough is the time before which everything is known that the store had
	// accepted.
	currentThrough time.Duration
	flows          map[segment.FlowKey]*balancerFlow
	offers         []*offer
	// pendingVerifications are searches that are due to be verified.
	pendingVerifications []*ownerSearch
	// surveyCount counts the questions that were left to agents.
	surveyCount uint32
	health      map[directory.EndpointID]*endpointHealth
	// lastEjectionEnd is when the last ejection ends of which agents have told.
	lastEjectionEnd time.Duration
	// demand are what the kept flows of services ask for, measured at swept.
	demand    map[string]*persistentDemand
	lastSweep time.Duration
	// utilization are how far groups of endpoints are used.
	utilization map[endpointGroup]*placement.Level
	// medianServiceTimes are the paces that are medianServiceTimes for services.
	medianServiceTimes map[string]cachedMedian
	// serviceTimeScratch is room for the serviceTimeScratch of a service.
	serviceTimeScratch []uint32
	// candidateScratch, local and places are room for the endpoints that may get a flow.
	candidateScratch []directory.Candidate
	localScratch     []bool
	placementScratch []placement.Candidate
	roundRobins      map[segment.Address]*weightedRoundRobin
	retryBudget      retryBudget
	searchLimiter    *rate.Limiter
	reachability     reachability
	nextSweep        time.Duration
	effects          []Effect
}

// NewBalancer returns a balancer without a directory.
func NewBalancer(config BalancerConfig) *Balancer {
	return &Balancer{
		config:             config,
		snapshot:           directory.New().Snapshot(),
		flows:              make(map[segment.FlowKey]*balancerFlow),
		health:             make(map[directory.EndpointID]*endpointHealth),
		demand:             make(map[string]*persistentDemand),
		utilization:        make(map[endpointGroup]*placement.Level),
		medianServiceTimes: make(map[string]cachedMedian),
		roundRobins:        make(map[segment.Address]*weightedRoundRobin),
		retryBudget:        newRetryBudget(),
		searchLimiter:      rate.NewLimiter(searchMessageRate, searchMessageBurst),
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
	b.hasDirectory = true
	clear(b.medianServiceTimes)
	for id := range b.health {
		if _, exists := snapshot.Candidate(id); !exists {
			delete(b.health, id)
		}
	}
	b.notifyDraining(previous, snapshot)
	b.releaseBuffered(now)
	return b.effects
}

// notifyDraining tells agents that their endpoint must get no new flows, in case
// that a balancer which does not know offers it one. The address of an endpoint
// that has gone may be another's already.
func (b *Balancer) notifyDraining(previous, current *directory.Snapshot) {
	for _, candidate := range current.All() {
		before, existedBefore := previous.Candidate(candidate.ID)
		occupant, _ := current.At(candidate.Endpoint.IP)
		notified := existedBefore && before.Draining()
		if !candidate.Draining() || candidate.Gone || notified || occupant.ID != candidate.ID {
			continue
		}
		b.send(b.agentAddress(candidate), Message{Kind: KindDrain, Service: candidate.Endpoint.Service})
	}
}

// MarkConfirmed tells that the directory was current at a time.
func (b *Balancer) MarkConfirmed(now time.Duration) { b.confirmedAt = max(b.confirmedAt, now) }

// HandleClientPacket handles a client's packet. The returned effects are valid until the
// next call, and so must packet be.
func (b *Balancer) HandleClientPacket(now time.Duration, packet []byte) []Effect {
	b.effects = b.effects[:0]
	header, outcome := b.config.Codec.Decode(packet)
	if outcome != segment.Decoded {
		b.recordEvent(Event{Kind: EventMalformed, Reason: outcome.String()})
		return b.effects
	}
	if !validFromClient(header) {
		b.recordEvent(Event{Kind: EventForged, Reason: "not_a_client"})
		return b.effects
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	if !b.hasDirectory {
		b.bufferPacket(now, key, header, packet)
		return b.effects
	}
	b.routePacket(now, key, header, packet)
	return b.effects
}

// routePacket handles a client's packet once the directory is known.
func (b *Balancer) routePacket(now time.Duration, key segment.FlowKey, header segment.Header, packet []byte) {
	if header.Opening() {
		b.routeOpening(now, key, header, packet)
		return
	}
	b.routeSegment(now, key, header, packet)
}

// validFromClient reports whether a client may write such a packet.
func validFromClient(header segment.Header) bool {
	openingAnswer := header.Flags.Has(segment.Synchronize | segment.Acknowledge)
	return !openingAnswer && !header.Flags.Has(segment.Returned)
}

// routeSegment handles a packet of a flow that was opened before.
func (b *Balancer) routeSegment(now time.Duration, key segment.FlowKey, header segment.Header, packet []byte) {
	flow, exists := b.flows[key]
	if !exists {
		flow = b.startSearch(now, key)
		if flow == nil {
			return
		}
	}
	flow.lastActivity = now
	switch flow.state {
	case flowLocating:
		b.locate(now, key, flow, header, packet)
	case flowOwnerless:
		b.resetFlow(key, header)
	default:
		b.noteRequest(now, flow, header)
		b.send(flow.agent, Message{Kind: KindForward, Service: flow.service, Packet: packet})
		b.markClosing(flow, header)
	}
}

func (b *Balancer) markClosing(flow *balancerFlow, header segment.Header) {
	if !header.Flags.Has(segment.Finish) && !header.Flags.Has(segment.Reset) {
		return
	}
	b.endOffer(flow)
	b.uncountFlow(flow)
	flow.state = flowClosing
}

// Receive handles a message from an agent. The returned effects are valid
// until the next call.
func (b *Balancer) Receive(now time.Duration, from segment.Address, message Message) []Effect {
	b.effects = b.effects[:0]
	if !b.isAgent(from) {
		b.recordEvent(Event{Kind: EventForged, Peer: from, Reason: "not_an_agent"})
		return b.effects
	}
	b.noteAgentHeard()
	b.noteServiceTime(now, from, message.Load)
	b.noteUtilization(now, from, message)
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
		b.receiveSurveyResult(now, from, message)
	case KindNotOwned:
		b.receiveNotOwned(now, from, message)
	case KindLeaving:
		b.receiveLeaving(now, from)
	}
	return b.effects
}

// receiveLeaving handles that an agent is about to stop.
func (b *Balancer) receiveLeaving(now time.Duration, from segment.Address) {
	if candidate, exists := b.snapshot.At(from.IP); exists {
		b.healthOf(candidate.ID).suspect(now)
	}
}

// NextTick returns when Tick should be called at the latest.
func (b *Balancer) NextTick(time.Duration) time.Duration {
	next := min(b.nextSweep, b.nextReachabilityCheck())
	for _, offer := range b.offers {
		if !offer.done {
			next = min(next, offer.deadline)
		}
	}
	for _, search := range b.pendingVerifications {
		next = min(next, search.verifyAt)
	}
	return next
}

// Tick handles timeouts. The returned effects are valid until the next call.
func (b *Balancer) Tick(now time.Duration) []Effect {
	b.effects = b.effects[:0]
	b.offers = slices.DeleteFunc(b.offers, func(offer *offer) bool { return offer.done })
	for _, offer := range b.offers {
		if !offer.done && now >= offer.deadline {
			b.expireOffer(now, offer)
		}
	}
	b.verifyDue(now)
	b.checkReachability(now)
	if now >= b.nextSweep {
		b.nextSweep = now + sweepInterval
		b.sweep(now)
	}
	return b.effects
}

func (b *Balancer) sweep(now time.Duration) {
	for _, demand := range b.demand {
		demand.update(now - b.lastSweep)
	}
	b.lastSweep = now
	maps.DeleteFunc(b.utilization, func(_ endpointGroup, level *placement.Level) bool { return level.Expired(now) })
	for key, flow := range b.flows {
		retention := b.config.FlowLifetime
		switch flow.state {
		case flowClosing, flowOffering, flowLocating, flowOwnerless:
			retention = closingRetention
		}
		if now-flow.lastActivity > retention {
			b.forgetFlow(key, flow)
			continue
		}
		b.markPersistent(now, flow)
	}
}

func (b *Balancer) forgetFlow(key segment.FlowKey, flow *balancerFlow) {
	b.endOffer(flow)
	b.uncountFlow(flow)
	delete(b.flows, key)
}

func (b *Balancer) agentAddress(candidate directory.Candidate) segment.Address {
	return candidate.Endpoint.Address().WithPort(b.config.AgentPort)
}

func (b *Balancer) send(to segment.Address, message Message) {
	b.effects = append(b.effects, Effect{Kind: EffectSendMessage, To: to, Message: message})
}

func (b *Balancer) recordEvent(event Event) {
	event.Class = b.classify(event)
	b.effects = append(b.effects, Effect{Kind: EffectEvent, Event: event})
}
