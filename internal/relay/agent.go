package relay

import (
	"math"
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
	// StartedWithEndpoint is set if the agent starts together with its endpoint, so that
	// no flow can have been opened before.
	StartedWithEndpoint bool
	// FlowLifetime is the longest time for which a flow may last.
	FlowLifetime time.Duration
	// FlowLimit is the largest number of flows remembered.
	FlowLimit int
	// ColdStartLimit is what a cold endpoint may get beyond its rate.
	ColdStartLimit ColdStartLimit
	// OutlierLimits are the limits within which the endpoint counts as well.
	OutlierLimits outlier.Limits
	// QueuePolicy decides which request that waits is served first.
	QueuePolicy requestqueue.Policy
}

// agentFlowState is the progress of a flow as its agent sees it.
type agentFlowState uint8

const (
	// stateOffered: the opening packet went to the endpoint.
	stateOffered agentFlowState = iota
	// stateAnswered: the endpoint answered the opening packet.
	stateAnswered
	// stateOpen: the client acknowledged this endpoint's answer.
	stateOpen
	// stateEnded: one end has closed the flow, or reset it.
	stateEnded
	// stateProbed: the agent does not know the flow and has handed one packet
	// of it to the endpoint to learn whether it does.
	stateProbed
	// stateDenied: the endpoint does not hold the flow.
	stateDenied
)

// agentFlow is what an agent remembers of a flow.
type agentFlow struct {
	state agentFlowState
	// clientISN is the client's initial clientISN number, answer the endpoint's or, once
	// that has sent much, a later one.
	clientISN uint32
	ackBase   uint32
	// ackBaseKnown is set once answer is known.
	ackBaseKnown bool
	balancer     segment.Address
	// zone is that of the client, as far as the balancer told it when the flow was opened.
	zone string
	// writtenEnd is how far the endpoint has writtenEnd, once wrote is set.
	writtenEnd   uint32
	writtenKnown bool
	// prober is the daemon that wants to know, in stateProbed, if the endpoint does not
	// hold the flow, and forwarded is set if it took this agent for the owner.
	prober          segment.Address
	probedByForward bool
	// openedAt is when its opening packet was first given to the endpoint, 0 if that is not
	// known.
	openedAt     time.Duration
	lastActivity time.Duration
	// endpointIncarnation is the endpoint's, as far as it is told apart, in which it has written in the
	// flow last.
	endpointIncarnation uint64
	request             requestState
	// workStarted is when the endpoint began to work on the latest request, if that is not
	// before it was given it.
	workStarted time.Duration
}

// active reports whether the endpoint has the flow and it has not ended.
func (f *agentFlow) active() bool { return f.state <= stateOpen }

// never is later than any time.
const never = time.Duration(math.MaxInt64)

const (
	// ackWindow is how far a client's acknowledgment may be ahead of the
	// initial sequence number of the endpoint that holds its flow.
	ackWindow = 1 << 26
	// handshakeAckWindow is the same for the first packet after the handshake. The
	// endpoint has sent next to nothing then, and a packet for another endpoint
	// fits by chance only once in 2^16 times.
	handshakeAckWindow = 1 << 16
	// offeredRetention is how long an opening packet that was not answered, or
	// whose answer was not acknowledged, is remembered.
	offeredRetention = 5 * time.Second
	// endedRetention is how long an ended flow is remembered, so that its last
	// packets reach the endpoint.
	endedRetention = 10 * time.Second
	// sweepInterval is the time between removals of old flows.
	sweepInterval = time.Second
	// drainRetention is how long an agent believes that its endpoint is draining.
	// It outlasts what any balancer may not have heard, and ends since another
	// endpoint may come to the agent's address.
	drainRetention = 30 * time.Second
)

// Agent decides what becomes of packets to and from one endpoint. It is not
// safe for concurrent use.
type Agent struct {
	config      AgentConfig
	startedAt   time.Duration
	initialized bool
	now         time.Duration
	// currentParameters are those of the message in hand.
	currentParameters FlowParameters
	flows             map[segment.FlowKey]*agentFlow
	activeFlows       uint32
	queue             requestQueue
	usage             slotUsage
	serviceTimeMeter  placement.Meter
	// awaitingFirstRequest are the flows that have been accepted and whose first request may be to come.
	awaitingFirstRequest []*agentFlow
	// unanswered and detector tell how well the endpoint is.
	unanswered unansweredRequests
	detector   *outlier.Detector
	coldStart  coldStartLimiter
	// endpointIncarnation counts the times that the endpoint seemed to have been started again.
	endpointIncarnation uint64
	surveys             map[segment.FlowKey]*agentSurvey
	// drainingUntil is until when the endpoint is believed to be draining.
	drainingUntil time.Duration
	stopping      bool
	balancers     map[segment.Address]knownBalancer
	nextSweep     time.Duration
	effects       []Effect
}

// NewAgent returns an agent that knows no flow.
func NewAgent(config AgentConfig) *Agent {
	return &Agent{
		config:    config,
		flows:     make(map[segment.FlowKey]*agentFlow),
		surveys:   make(map[segment.FlowKey]*agentSurvey),
		balancers: make(map[segment.Address]knownBalancer),
		coldStart: newColdStartLimiter(config.ColdStartLimit),
		detector:  outlier.NewDetector(config.OutlierLimits),
		queue:     newRequestQueue(config.QueuePolicy),
	}
}

// FlowCount returns the number of flows remembered.
func (a *Agent) FlowCount() int { return len(a.flows) }

// Load returns how busy and how well the endpoint is.
func (a *Agent) Load() Load { return a.loadFor("") }

// loadFor is the load as a balancer of a zone shall know it.
func (a *Agent) loadFor(zone string) Load {
	serviceTime := uint32(min(a.serviceTimeMeter.Pace().Microseconds(), math.MaxUint32))
	coldWait := uint32(math.Ceil(a.coldStart.waitTime(a.now).Seconds() * 1000))
	return Load{
		Running: a.activeFlows, Waiting: uint32(len(a.queue.waiting)), Refusing: a.refusing(), ServiceTime: serviceTime, ColdWait: coldWait,
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
			a.coldStart.noteAgentStart(now)
		}
	}
}

// knowsAllFlows reports whether the agent knows all flows that its endpoint holds.
func (a *Agent) knowsAllFlows(now time.Duration) bool {
	return a.config.StartedWithEndpoint || now-a.startedAt > a.config.FlowLifetime
}

// Stop makes the agent take no more new flows and tells balancers so. The
// returned effects are valid until the next call.
func (a *Agent) Stop(now time.Duration) []Effect {
	a.beginCall(now)
	a.stopping = true
	for _, balancer := range a.knownBalancers() {
		a.send(balancer, Message{Kind: KindLeaving, Service: a.config.Service})
	}
	return a.effects
}

// Receive handles a message from a balancer. The returned effects are valid
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
	if message.Service != a.config.Service {
		a.refuseOtherService(from, key, header, message)
		return
	}
	if header.Opening() {
		a.receiveOpening(now, from, key, header, message)
		return
	}
	a.receiveSegment(now, from, key, header, message)
}

// refuseOtherService handles a packet for an endpoint that had this address before. A
// probe is part of a search and is not answered, or the search would never end.
func (a *Agent) refuseOtherService(from segment.Address, key segment.FlowKey, header segment.Header, message Message) {
	if message.Kind == KindProbe {
		return
	}
	a.returnPacket(from, key, header, message.Packet, "other_service")
}

// returnPacket returns a packet to the balancer it came from.
func (a *Agent) returnPacket(to segment.Address, key segment.FlowKey, header segment.Header, packet []byte, reason string) {
	message := Message{Kind: KindNotOwned, Service: a.config.Service, Sequence: header.Sequence, Packet: packet}
	event := EventNotOwned
	if header.Opening() {
		message.Kind = KindReturned
		message.LastResort = reason == reasonEjected || reason == reasonBusy
		event = EventReturned
	}
	a.send(to, message)
	a.recordEvent(Event{Kind: event, Flow: key, Peer: to, Reason: reason})
}

// The reasons of the return of an opening packet which this endpoint shall get only if no
// other takes it.
const (
	reasonEjected = "ejected"
	reasonBusy    = "busy"
)

// reasonCold is the reason of the return of an opening packet for which the endpoint is
// too cold.
const reasonCold = "cold"

func (a *Agent) receiveOpening(now time.Duration, from segment.Address, key segment.FlowKey, header segment.Header, message Message) {
	a.learnColdStart(now, message.Parameters.ColdStart)
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
	a.coldStart.noteOpening(now)
	newFlow := &agentFlow{
		state: stateOffered, clientISN: header.Sequence, balancer: from, zone: message.Zone, openedAt: now, lastActivity: now, endpointIncarnation: a.endpointIncarnation,
		request: requestState{parameters: message.Parameters, askedAt: now - milliseconds(message.Parameters.Waited), sentEnd: header.Sequence + 1},
	}
	a.flows[key] = newFlow
	a.awaitingFirstRequest = append(a.awaitingFirstRequest, newFlow)
	a.activeFlows++
	a.detector.Gave(now)
	a.deliver(message.Packet)
}

// learnColdStart takes what a balancer tells of the endpoint's start. An agent that has just
// been started does not know whether its endpoint has been, too.
func (a *Agent) learnColdStart(now time.Duration, coldStart ColdStart) {
	first := a.coldStart.rate == 0
	a.coldStart.update(now, coldStart)
	if first && !a.config.StartedWithEndpoint && a.coldStart.revision == 0 {
		a.coldStart.coldUntil = max(a.coldStart.coldUntil, a.startedAt+a.coldStart.warmupTime)
	}
}

// receiveOpeningCopy handles a copy of an opening packet that the endpoint was given. One that it
// has not answered may open a flow after it was restarted.
func (a *Agent) receiveOpeningCopy(now time.Duration, from segment.Address, key segment.FlowKey, flow *agentFlow, header segment.Header, message Message) {
	if flow.state == stateOffered && !a.coldStart.admit(now, message.Parameters.Priority) {
		a.forgetFlow(now, key)
		a.returnPacket(from, key, header, message.Packet, reasonCold)
		return
	}
	flow.balancer = from
	a.coldStart.noteOpening(now)
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
		// An endpoint returns what it does not hold and need not answer a packet without data
		// that it does. Sent elsewhere, the packets of a flow that was alive reached six other
		// endpoints and not its own for 6 s, after its agent had been killed.
		flow.balancer, flow.prober = originBalancer(from, message), from
		flow.probedByForward = message.Kind == KindForward
		a.deliver(message.Packet)
	case message.Kind == KindForward:
		a.returnPacket(from, key, header, message.Packet, "not_owned")
	case a.certainlyNotHeld(now, flow):
		a.deny(now, from, key)
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

// NextTick returns when Tick should be called at the latest.
func (a *Agent) NextTick(now time.Duration) time.Duration {
	next := now + sweepInterval
	if len(a.queue.waiting) > 0 {
		next = now + queueCheckInterval
	}
	if due, waits := a.detector.Patience(); waits {
		next = min(next, due)
	}
	return min(next, a.nextSurveyReport())
}

// Tick handles timeouts. The returned effects are valid until the next call.
func (a *Agent) Tick(now time.Duration) []Effect {
	a.beginCall(now)
	a.releaseStuckSlots(now)
	a.expireSurveys(now)
	a.detector.Check(now)
	a.markWorkStarted(now)
	a.reportStateChanges()
	if now >= a.nextSweep {
		a.sweep(now)
	}
	return a.effects
}

// sweep forgets what is too old.
func (a *Agent) sweep(now time.Duration) {
	a.nextSweep = now + sweepInterval
	for key, flow := range a.flows {
		if now-flow.lastActivity > a.retention(flow) {
			a.forgetFlow(now, key)
		}
	}
	for balancer, record := range a.balancers {
		if now-record.heardAt > a.config.FlowLifetime {
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
