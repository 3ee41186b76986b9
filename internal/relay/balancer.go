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
	// AgentPort is the port on which all agents receive messages, and PeerPort that of all
	// balancers.
	AgentPort uint16
	PeerPort  uint16
	// FlowLifetime is the longest time that a flow may last.
	FlowLifetime time.Duration
	// FlowLimit is the maximum number of flows remembered.
	FlowLimit int
	// ApplyTimeout is the time within which a configuration change must take effect.
	ApplyTimeout time.Duration
	// DrainTimeout is the time after which an endpoint that is known to be leaving must not get new
	// flows.
	DrainTimeout time.Duration
	// ContactTimeout is the time after an outage of the store within which all processes follow it
	// again.
	ContactTimeout time.Duration
	// Random draws the endpoints that are compared for a new flow, and the agents that carry out
	// surveys. It must not be shared with other users.
	Random *rand.Rand
}

const (
	// offerTimeout is how long a balancer waits for an agent to report that its endpoint answered
	// an opening packet, before it offers the packet to another endpoint. It is shorter than the
	// first retransmission timeout of any client.
	offerTimeout = 45 * time.Millisecond
	// offerLifetime is how long an opening packet is offered to further endpoints. Clients give up
	// after that time.
	offerLifetime = 1400 * time.Millisecond
	// maxFallbackOffers limits the offers of a flow to endpoints that are suspected or ejected.
	// All healthy endpoints have been asked before.
	maxFallbackOffers = 3
	// confirmationMargin is added to ApplyTimeout. Their sum is how long after the last reply of
	// the store the balancer still relies on the absence of a route.
	confirmationMargin = time.Second
	// closingRetention is how long a flow is remembered after its client has closed it.
	closingRetention = 5 * time.Second
	// maxLocateAgents limits the agents that are asked for the owner of one flow. A flow whose
	// route has more agents is never declared ownerless. One survey has room for about 400 agents.
	maxLocateAgents = 2048
)

// balancerFlowState is the state of a flow at a balancer.
type balancerFlowState uint8

const (
	// flowOffering: the opening packet was offered and no endpoint has answered.
	flowOffering balancerFlowState = iota
	// flowPlaced: the owner is known.
	flowPlaced
	// flowLocating: agents are being asked for the owner.
	flowLocating
	// flowClosing: the client has closed its side.
	flowClosing
	// flowOwnerless: no endpoint holds the flow and its client was reset.
	flowOwnerless
)

// balancerFlow is a balancer's record of a flow. It is a cache; the agent of the owning endpoint
// is authoritative.
type balancerFlow struct {
	state balancerFlowState
	// counted is set while the flow is counted in the load of its endpoint. persistent is set once
	// it is counted as a flow for many requests. lastRequestAt is when the client last sent data in
	// it.
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
	// clientBeganAt is when the client began to open the flow, according to its packets.
	clientBeganAt time.Duration
	// offer is set in state flowOffering, search in state flowLocating.
	offer  *offer
	search *ownerSearch
}

// Balancer decides what happens to packets of clients. It is not safe for concurrent use.
type Balancer struct {
	config       BalancerConfig
	snapshot     *directory.Snapshot
	hasDirectory bool
	// directorySince is when the balancer received its first directory.
	directorySince time.Duration
	// inputDelay is for how long the current packet may have waited while the process was paused.
	inputDelay    time.Duration
	startupBuffer startupBuffer
	confirmedAt   time.Duration
	// currentThrough is the time up to which the directory contains everything that the store had
	// accepted.
	currentThrough time.Duration
	flows          map[segment.FlowKey]*balancerFlow
	offers         []*offer
	// pendingVerifications are searches with a verification scheduled.
	pendingVerifications []*ownerSearch
	// surveyCount is the number of the last survey that was sent.
	surveyCount uint32
	health      map[directory.EndpointID]*endpointHealth
	// lastEjectionEnd is the latest end of the ejections reported by agents.
	lastEjectionEnd time.Duration
	// demand holds the demand of persistent flows by service, updated at lastSweep.
	demand    map[string]*persistentDemand
	lastSweep time.Duration
	// utilization holds how busy each group of endpoints is.
	utilization map[endpointGroup]*placement.GroupUtilization
	// medianProcessingTimes caches the median processing time of each service.
	medianProcessingTimes map[string]cachedMedian
	// processingTimeScratch is reused by computeMedian.
	processingTimeScratch []uint32
	// candidateScratch, localScratch and placementScratch are reused by bestCandidate.
	candidateScratch []directory.Candidate
	localScratch     []bool
	placementScratch []placement.Candidate
	roundRobins      map[segment.Address]*weightedRoundRobin
	retryBudget      retryBudget
	searchLimiter    *rate.Limiter
	reachability     reachability
	// peers are the other balancers. unlisted holds the unlisted agents by their IP addresses.
	peers        []segment.Address
	unlisted     map[[4]byte]unlistedAgent
	shareLimiter *rate.Limiter
	nextSweep    time.Duration
	effects      []Effect
}

// NewBalancer returns a balancer without a directory.
func NewBalancer(config BalancerConfig) *Balancer {
	return &Balancer{
		config:                config,
		snapshot:              directory.NewReplica().Snapshot(),
		flows:                 make(map[segment.FlowKey]*balancerFlow),
		health:                make(map[directory.EndpointID]*endpointHealth),
		demand:                make(map[string]*persistentDemand),
		utilization:           make(map[endpointGroup]*placement.GroupUtilization),
		medianProcessingTimes: make(map[string]cachedMedian),
		roundRobins:           make(map[segment.Address]*weightedRoundRobin),
		retryBudget:           newRetryBudget(),
		searchLimiter:         rate.NewLimiter(searchMessageRate, searchMessageBurst),
		unlisted:              make(map[[4]byte]unlistedAgent),
		shareLimiter:          rate.NewLimiter(registrationShareRate, registrationShareBurst),
	}
}

// FlowCount returns the number of flows remembered.
func (b *Balancer) FlowCount() int { return len(b.flows) }

// Install replaces the snapshot of the directory for later decisions and notifies the agents of
// endpoints that are leaving. The returned effects are valid until the next call.
func (b *Balancer) Install(now time.Duration, snapshot *directory.Snapshot) []Effect {
	b.effects = b.effects[:0]
	previous := b.snapshot
	b.snapshot = snapshot
	b.forgetListedAgents()
	if !b.hasDirectory {
		b.hasDirectory, b.directorySince = true, now
		b.shareRegistrations(now, b.peers)
	}
	clear(b.medianProcessingTimes)
	for id := range b.health {
		if _, exists := snapshot.Candidate(id); !exists {
			delete(b.health, id)
		}
	}
	b.notifyDraining(previous, snapshot)
	b.releaseBuffered(now)
	return b.effects
}

// notifyDraining notifies agents whose endpoint began to drain that it must not get new flows,
// because a balancer that has not received the change may still offer some. It skips an endpoint
// that is gone or whose address belongs to another endpoint now.
func (b *Balancer) notifyDraining(previous, current *directory.Snapshot) {
	for _, candidate := range current.All() {
		before, existedBefore := previous.Candidate(candidate.ID)
		occupant, _ := current.CandidateAt(candidate.Endpoint.IP)
		notified := existedBefore && before.Draining()
		if !candidate.Draining() || candidate.Gone || notified || occupant.ID != candidate.ID {
			continue
		}
		b.send(b.agentAddress(candidate), Message{Kind: KindDrain, Service: candidate.Endpoint.Service})
	}
}

// MarkConfirmed records that the directory was up to date at a time.
func (b *Balancer) MarkConfirmed(now time.Duration) { b.confirmedAt = max(b.confirmedAt, now) }

// SetInputDelay sets for how long the following packets of clients may have waited while the process
// was paused, or 0.
func (b *Balancer) SetInputDelay(delay time.Duration) { b.inputDelay = delay }

// HandleClientPacket handles a packet of a client. The returned effects are valid until the next
// call, and packet must not change before then.
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

// routePacket handles a packet of a client once the directory is known.
func (b *Balancer) routePacket(now time.Duration, key segment.FlowKey, header segment.Header, packet []byte) {
	if header.OpensFlow() {
		b.routeOpening(now, key, header, packet)
		return
	}
	b.routeSegment(now, key, header, packet)
}

// validFromClient reports whether the flags of a packet are ones that a client may send.
func validFromClient(header segment.Header) bool {
	openingAnswer := header.Flags.Has(segment.Synchronize | segment.Acknowledge)
	return !openingAnswer && !header.Flags.Has(segment.Returned)
}

// routeSegment handles a packet of a client that does not open a flow.
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
		b.recordRequest(now, flow, header)
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
	if message.Kind == KindRegister {
		b.receiveRegister(now, from, message)
		return b.effects
	}
	if !b.isAgent(from) {
		b.recordEvent(Event{Kind: EventForged, Peer: from, Reason: "not_an_agent"})
		return b.effects
	}
	b.recordAgentReachable()
	b.recordProcessingTime(now, from, message.Load)
	b.recordUtilization(now, from, message)
	b.recordReport(now, from, message)
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

// receiveLeaving handles the notice of an agent that it is about to stop.
func (b *Balancer) receiveLeaving(now time.Duration, from segment.Address) {
	if candidate, exists := b.snapshot.CandidateAt(from.IP); exists {
		b.healthOf(candidate.ID).suspect(now)
	}
}

// NextTick returns the latest time for the next call of Tick.
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
	b.expireRegistrations(now)
	maps.DeleteFunc(b.utilization, func(_ endpointGroup, utilization *placement.GroupUtilization) bool { return utilization.Expired(now) })
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
