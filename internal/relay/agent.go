package relay

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/placement"
	"github.com/vanetiller/vanetiller/internal/requestqueue"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// AgentConfig holds the parameters of an Agent.
type AgentConfig struct {
	// Service is the service of the endpoint beside the agent.
	Service string
	Codec   segment.Codec
	// StartedWithEndpoint is set if the agent starts together with its endpoint, so that the
	// endpoint holds no flow that the agent has not recorded.
	StartedWithEndpoint bool
	// FlowLifetime is the longest time that a flow may last.
	FlowLifetime time.Duration
	// FlowLimit is the maximum number of flows remembered.
	FlowLimit int
	// ColdStartLimit is how far the requests for a cold endpoint may exceed its rate.
	ColdStartLimit ColdStartLimit
	// OutlierDetection configures outlier detection for the endpoint.
	OutlierDetection outlier.Config
	// QueuePolicy decides which waiting request is served first.
	QueuePolicy requestqueue.Policy
	// Random draws the balancers that the agent registers with. It must not be shared with other
	// users. It is not needed without seeds.
	Random *rand.Rand
}

// agentFlowState is the state of a flow at its agent.
type agentFlowState uint8

const (
	// stateOffered: the endpoint was given the opening packet.
	stateOffered agentFlowState = iota
	// stateAnswered: the endpoint answered the opening packet.
	stateAnswered
	// stateOpen: the client acknowledged this endpoint's answer.
	stateOpen
	// stateEnded: one end has closed the flow, or reset it.
	stateEnded
	// stateProbed: the agent has no record of the flow and gave the endpoint one packet of it to
	// find out whether the endpoint holds it.
	stateProbed
	// stateDenied: the endpoint does not hold the flow.
	stateDenied
)

// agentFlow is an agent's record of a flow.
type agentFlow struct {
	state agentFlowState
	// clientISN is the initial sequence number of the client. ackBase is that of the endpoint or,
	// once the endpoint has sent much data, a later sequence number.
	clientISN uint32
	ackBase   uint32
	// ackBaseKnown is set once ackBase is known.
	ackBaseKnown bool
	balancer     segment.Address
	// zone is the zone of the client, empty unless the balancer named it when the flow was opened.
	zone string
	// writtenEnd is the sequence number after the last data that the endpoint has written. It is
	// valid once writtenKnown is set.
	writtenEnd   uint32
	writtenKnown bool
	// prober is the daemon to notify, in stateProbed, if the endpoint does not hold the flow.
	// probedByForward is set if the prober took this agent for the owner.
	prober          segment.Address
	probedByForward bool
	// openedAt is when the endpoint was first given the opening packet, 0 if unknown.
	openedAt     time.Duration
	lastActivity time.Duration
	// endpointIncarnation is the value of Agent.endpointIncarnation when the endpoint last wrote in
	// the flow.
	endpointIncarnation uint64
	request             requestState
	// workStarted is when the endpoint began to work on a request. It belongs to an earlier request
	// while it is before request.admittedAt.
	workStarted time.Duration
}

// active reports whether the endpoint has the flow and the flow has not ended.
func (f *agentFlow) active() bool { return f.state <= stateOpen }

// never is later than any time.
const never = time.Duration(math.MaxInt64)

const (
	// ackWindow is how far an acknowledgment of the client may be ahead of ackBase for the packet
	// to belong to the flow.
	ackWindow = 1 << 26
	// handshakeAckWindow replaces ackWindow for the first packet after the handshake. The endpoint
	// has sent nothing else until its agent has passed that packet on, so that the client acknowledges
	// exactly its opening answer. In a window of 2^16 a packet for another endpoint that answered too
	// would be taken for one of this flow once in 2^16 times, and the flow be reset.
	handshakeAckWindow = 1
	// offeredRetention is how long a flow is remembered whose opening packet was not answered, or
	// whose answer was not acknowledged.
	offeredRetention = 5 * time.Second
	// endedRetention is how long an ended flow is remembered, so that its last packets still reach
	// the endpoint.
	endedRetention = 10 * time.Second
	// sweepInterval is the time between removals of old flows.
	sweepInterval = time.Second
	// drainRetention is how long the endpoint counts as draining after the last notice. By the end
	// of that time every balancer has received the drain from the directory. The time is finite
	// because another endpoint may take over the agent's address.
	drainRetention = 30 * time.Second
)

// Agent decides what happens to packets to and from one endpoint. It is not safe for concurrent
// use.
type Agent struct {
	config      AgentConfig
	startedAt   time.Duration
	initialized bool
	now         time.Duration
	// currentParameters are those of the message being handled.
	currentParameters FlowParameters
	flows             map[segment.FlowKey]*agentFlow
	activeFlows       uint32
	queue             requestQueue
	usage             slotUsage
	processingTimes   placement.ProcessingTimeEstimator
	// awaitingFirstRequest are accepted flows whose first request may still come.
	awaitingFirstRequest []*agentFlow
	// unanswered and detector measure the health of the endpoint.
	unanswered unansweredRequests
	detector   *outlier.Detector
	coldStart  coldStartLimiter
	// endpointIncarnation counts the detected restarts of the endpoint.
	endpointIncarnation uint64
	surveys             map[segment.FlowKey]*agentSurvey
	registration        registration
	// drainingUntil is the time until which the endpoint counts as draining.
	drainingUntil time.Duration
	stopping      bool
	balancers     map[segment.Address]knownBalancer
	nextSweep     time.Duration
	effects       []Effect
}

// NewAgent returns an agent without flows.
func NewAgent(config AgentConfig) *Agent {
	return &Agent{
		config:    config,
		flows:     make(map[segment.FlowKey]*agentFlow),
		surveys:   make(map[segment.FlowKey]*agentSurvey),
		balancers: make(map[segment.Address]knownBalancer),
		coldStart: newColdStartLimiter(config.ColdStartLimit),
		detector:  outlier.NewDetector(config.OutlierDetection),
		queue:     newRequestQueue(config.QueuePolicy),

		registration: registration{retryDelay: firstRegistrationRetry},
	}
}

// FlowCount returns the number of flows remembered.
func (a *Agent) FlowCount() int { return len(a.flows) }

// Load returns the load and the health of the endpoint.
func (a *Agent) Load() Load { return a.loadFor("") }

// loadFor returns the load and the health of the endpoint as reported to balancers of a zone.
func (a *Agent) loadFor(zone string) Load {
	processingTime := uint32(min(a.processingTimes.Estimate().Microseconds(), math.MaxUint32))
	coldWait := uint32(math.Ceil(a.coldStart.waitTime(a.now).Seconds() * 1000))
	return Load{
		Running: a.activeFlows, Waiting: uint32(len(a.queue.waiting)), Refusing: a.refusing(), ProcessingTime: processingTime, ColdWait: coldWait,
		Report: a.detector.Report(a.now, zone), Pending: a.pending(),
	}
}

const microsecondsPerSecond = 1e6

// refusing reports whether the endpoint gets no new flows.
func (a *Agent) refusing() bool { return a.stopping || a.now < a.drainingUntil }

func (a *Agent) beginCall(now time.Duration) {
	a.effects = a.effects[:0]
	a.currentParameters = FlowParameters{}
	a.now = now
	if !a.initialized {
		a.initialized = true
		a.startedAt = now
		if !a.config.StartedWithEndpoint {
			a.coldStart.recordAgentStart(now)
		}
	}
}

// flowsComplete reports whether the agent has recorded all flows that its endpoint holds.
func (a *Agent) flowsComplete(now time.Duration) bool {
	return a.config.StartedWithEndpoint || now-a.startedAt > a.config.FlowLifetime
}

// Stop makes the agent refuse new flows and notifies the balancers on its list. The returned
// effects are valid until the next call.
func (a *Agent) Stop(now time.Duration) []Effect {
	a.beginCall(now)
	a.stopping = true
	for _, balancer := range a.knownBalancers() {
		a.send(balancer, Message{Kind: KindLeaving, Service: a.config.Service})
	}
	return a.effects
}

// Receive handles a message from a balancer or from another agent. The returned effects are valid
// until the next call.
func (a *Agent) Receive(now time.Duration, from segment.Address, message Message) []Effect {
	a.beginCall(now)
	a.currentParameters = message.Parameters
	a.receive(now, from, message)
	a.markWorkStarted(now)
	a.reportStateChanges()
	return a.effects
}

func (a *Agent) receive(now time.Duration, from segment.Address, message Message) {
	switch message.Kind {
	case KindDenied, KindUncertain:
		a.receiveSurveyReply(from, message)
		return
	case KindRegistered:
		a.receiveRegistered(now)
		return
	case KindSurvey:
		a.receiveSurvey(now, from, message)
	}
	a.rememberBalancer(now, originBalancer(from, message), message.Zone)
	switch message.Kind {
	case KindOffer, KindForward, KindProbe:
		a.receivePacket(now, from, message)
	case KindLocate:
		a.receiveLocate(now, from, message)
	case KindVerify:
		a.receiveVerify(now, from, message)
	case KindPing:
		a.send(from, Message{Kind: KindPong, Service: a.config.Service})
	case KindDrain:
		if message.Service == a.config.Service {
			a.drainingUntil = now + drainRetention
		}
	}
}

func (a *Agent) receivePacket(now time.Duration, from segment.Address, message Message) {
	header, outcome := a.config.Codec.Decode(message.Packet)
	if outcome != segment.Decoded {
		a.recordEvent(Event{Kind: EventMalformed, Peer: from, Reason: outcome.String()})
		return
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	// A probe asks whether the endpoint holds a flow, as KindVerify does.
	if message.Service != a.config.Service && (message.Kind != KindProbe || header.OpensFlow()) {
		a.returnPacket(from, key, header, message.Packet, "other_service")
		return
	}
	if header.OpensFlow() {
		a.receiveOpening(now, from, key, header, message)
		return
	}
	a.receiveSegment(now, from, key, header, message)
}

// returnPacket sends a packet back to the balancer it came from.
func (a *Agent) returnPacket(to segment.Address, key segment.FlowKey, header segment.Header, packet []byte, reason string) {
	message := Message{Kind: KindNotOwned, Service: a.config.Service, Sequence: header.Sequence, Packet: packet}
	event := EventNotOwned
	if header.OpensFlow() {
		message.Kind = KindReturned
		message.LastResort = reason == reasonEjected || reason == reasonBusy
		event = EventReturned
	}
	a.send(to, message)
	a.recordEvent(Event{Kind: event, Flow: key, Peer: to, Reason: reason})
}

// Reasons for returning an opening packet that this endpoint still takes if no other does.
const (
	reasonEjected = "ejected"
	reasonBusy    = "busy"
)

// reasonCold is the reason for returning an opening packet that exceeds the rate of a cold
// endpoint.
const reasonCold = "cold"

func (a *Agent) receiveOpening(now time.Duration, from segment.Address, key segment.FlowKey, header segment.Header, message Message) {
	a.recordColdStart(now, message.Parameters.ColdStart)
	flow, exists := a.flows[key]
	if exists && flow.clientISN == header.Sequence && flow.state <= stateOpen {
		a.receiveOpeningCopy(now, from, key, flow, header, message)
		return
	}
	if a.refusing() {
		a.returnPacket(from, key, header, message.Packet, "leaving")
		return
	}
	if len(a.flows) >= a.config.FlowLimit && !exists {
		a.returnPacket(from, key, header, message.Packet, "flow_limit")
		return
	}
	if a.overloaded(message.Parameters) {
		a.returnPacket(from, key, header, message.Packet, "overload")
		return
	}
	if !message.LastResort && a.busy(message.Parameters) {
		a.returnPacket(from, key, header, message.Packet, reasonBusy)
		return
	}
	if !message.LastResort && !message.IgnoreEjection && !a.admitsNewFlow(now, message.Zone) {
		a.returnPacket(from, key, header, message.Packet, reasonEjected)
		return
	}
	if !a.coldStart.admit(now, message.Parameters.Priority) {
		a.returnPacket(from, key, header, message.Packet, reasonCold)
		return
	}
	a.forgetFlow(now, key)
	a.coldStart.recordOpening(now)
	newFlow := &agentFlow{
		state: stateOffered, clientISN: header.Sequence, balancer: from, zone: message.Zone, openedAt: now, lastActivity: now, endpointIncarnation: a.endpointIncarnation,
		request: requestState{parameters: message.Parameters, askedAt: now - milliseconds(message.Parameters.Waited), sentEnd: header.Sequence + 1},
	}
	a.flows[key] = newFlow
	a.awaitingFirstRequest = append(a.awaitingFirstRequest, newFlow)
	a.activeFlows++
	a.detector.RecordOpening(now)
	a.deliver(message.Packet)
}

// recordColdStart records what a balancer reports about the start of the endpoint. If the balancer
// reports no start, an agent without StartedWithEndpoint treats its endpoint as cold from its own
// start, because it cannot determine whether the endpoint has started too.
func (a *Agent) recordColdStart(now time.Duration, coldStart ColdStart) {
	first := a.coldStart.rate == 0
	a.coldStart.update(now, coldStart)
	if first && !a.config.StartedWithEndpoint && a.coldStart.revision == 0 {
		a.coldStart.coldUntil = max(a.coldStart.coldUntil, a.startedAt+a.coldStart.warmupTime)
	}
}

// receiveOpeningCopy handles a copy of an opening packet that the endpoint was given. The cold
// start limit applies if the endpoint has not answered the first copy: it may have restarted, and
// the copy then opens a flow.
func (a *Agent) receiveOpeningCopy(now time.Duration, from segment.Address, key segment.FlowKey, flow *agentFlow, header segment.Header, message Message) {
	if flow.state == stateOffered && !a.coldStart.admit(now, message.Parameters.Priority) {
		a.forgetFlow(now, key)
		a.returnPacket(from, key, header, message.Packet, reasonCold)
		return
	}
	flow.balancer = from
	a.coldStart.recordOpening(now)
	a.deliver(message.Packet)
}

// receiveSegment handles a client's packet that does not open a flow.
func (a *Agent) receiveSegment(now time.Duration, from segment.Address, key segment.FlowKey, header segment.Header, message Message) {
	flow, exists := a.flows[key]
	if exists && a.owns(flow, header) {
		a.receiveOwnedSegment(now, from, key, flow, header, message)
		return
	}
	switch {
	case a.mayOwn(now, flow):
		a.probe(now, from, key, header, message)
	case flow != nil && flow.state == stateProbed:
		// The endpoint returns packets of flows that it does not hold, but it need not answer a
		// packet without data of a flow that it holds. No answer therefore does not mean that it
		// lacks the flow. When such packets were sent elsewhere after an agent had been killed,
		// packets of a live flow reached six other endpoints and not its own for 6 s.
		flow.balancer, flow.prober = originBalancer(from, message), from
		flow.probedByForward = message.Kind == KindForward
		a.deliver(message.Packet)
	case message.Kind == KindForward:
		a.returnPacket(from, key, header, message.Packet, "not_owned")
	case a.certainlyNotHeld(now, flow):
		a.deny(from, key)
	}
}

func (a *Agent) endFlow(now time.Duration, flow *agentFlow) {
	if flow.active() {
		a.activeFlows--
	}
	flow.state = stateEnded
	a.releaseSlot(now, flow)
}

func (a *Agent) forgetFlow(now time.Duration, key segment.FlowKey) {
	flow, exists := a.flows[key]
	if !exists {
		return
	}
	if flow.active() {
		a.activeFlows--
	}
	delete(a.flows, key)
	flow.state = stateEnded
	a.releaseSlot(now, flow)
}

// NextTick returns the latest time for the next call of Tick.
func (a *Agent) NextTick(now time.Duration) time.Duration {
	next := now + sweepInterval
	if len(a.queue.waiting) > 0 {
		next = now + queueCheckInterval
	}
	if due, waits := a.detector.CheckDue(); waits {
		next = min(next, due)
	}
	return min(next, a.nextSurveyReport(), a.nextRegistration())
}

// Tick handles timeouts. The returned effects are valid until the next call.
func (a *Agent) Tick(now time.Duration) []Effect {
	a.beginCall(now)
	a.releaseStuckSlots(now)
	a.expireSurveys(now)
	a.registerIfDue(now)
	a.detector.CheckOpenings(now)
	a.markWorkStarted(now)
	a.reportStateChanges()
	if now >= a.nextSweep {
		a.sweep(now)
	}
	return a.effects
}

// sweep removes flows and balancers that were idle for too long.
func (a *Agent) sweep(now time.Duration) {
	a.nextSweep = now + sweepInterval
	for key, flow := range a.flows {
		if now-flow.lastActivity > a.retention(flow) {
			a.forgetFlow(now, key)
		}
	}
	for balancer, record := range a.balancers {
		if now-record.receivedAt > a.config.FlowLifetime {
			delete(a.balancers, balancer)
		}
	}
}

func (a *Agent) retention(flow *agentFlow) time.Duration {
	switch flow.state {
	case stateOffered, stateAnswered:
		return offeredRetention
	case stateEnded:
		return endedRetention
	}
	return a.config.FlowLifetime
}

func (a *Agent) deliver(packet []byte) {
	a.effects = append(a.effects, Effect{Kind: EffectSendToEndpoint, Packet: packet})
}

func (a *Agent) send(to segment.Address, message Message) {
	message.Load = a.loadFor(a.balancers[to].zone)
	a.effects = append(a.effects, Effect{Kind: EffectSendMessage, To: to, Message: message})
}

func (a *Agent) recordEvent(event Event) {
	event.Class = a.classify(event)
	a.effects = append(a.effects, Effect{Kind: EffectEvent, Event: event})
}
