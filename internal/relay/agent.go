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
	OutlierLimits outlier.Config
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
	// sequence is the client's initial sequence number, answer the endpoint's or, once
	// that has sent much, a later one.
	sequence uint32
	answer   uint32
	// answered is set once answer is known.
	answered bool
	balancer segment.Address
	// zone is that of the client, as far as the balancer told it when the flow was opened.
	zone string
	// written is how far the endpoint has written, once wrote is set.
	written uint32
	wrote   bool
	// prober is the daemon that wants to know, in stateProbed, if the endpoint does not
	// hold the flow, and forwarded is set if it took this agent for the owner.
	prober    segment.Address
	forwarded bool
	// opened is when its opening packet was first given to the endpoint, 0 if that is not
	// known.
	opened  time.Duration
	touched time.Duration
	// life is the endpoint's, as far as it is told apart, in which it has written in the
	// flow last.
	life uint64
	work work
	// started is when the endpoint began to work on the latest request, if that is not
	// before it was given it.
	started time.Duration
}

// running reports whether the endpoint has the flow and it has not ended.
func (f *agentFlow) running() bool { return f.state <= stateOpen }

// never is later than any time.
const never = time.Duration(math.MaxInt64)

const (
	// openWindow is how far a client's acknowledgment may be ahead of the
	// initial sequence number of the endpoint that holds its flow.
	openWindow = 1 << 26
	// openingWindow is the same for the first packet after the handshake. The
	// endpoint has sent next to nothing then, and a packet for another endpoint
	// fits by chance only once in 2^16 times.
	openingWindow = 1 << 16
	// offeredRetention is how long an opening packet that was not answered, or
	// whose answer was not acknowledged, is remembered.
	offeredRetention = 5 * time.Second
	// endedRetention is how long an ended flow is remembered, so that its last
	// packets reach the endpoint.
	endedRetention = 10 * time.Second
	// sweepInterval is the time between removals of old flows.
	sweepInterval = time.Second
	// drainMemory is how long an agent believes that its endpoint is draining.
	// It outlasts what any balancer may not have heard, and ends since another
	// endpoint may come to the agent's address.
	drainMemory = 30 * time.Second
)

// Agent decides what becomes of packets to and from one endpoint. It is not
// safe for concurrent use.
type Agent struct {
	config  AgentConfig
	started time.Duration
	begun   bool
	now     time.Duration
	// terms are those of the message in hand.
	terms   FlowParameters
	flows   map[segment.FlowKey]*agentFlow
	running uint32
	queue   queue
	pace    pace
	meter   placement.ProcessingTimeEstimator
	// opening are the flows that have been accepted and whose first request may be to come.
	opening []*agentFlow
	// unanswered and detector tell how well the endpoint is.
	unanswered unanswered
	detector   *outlier.Detector
	cold       coldLimit
	// life counts the times that the endpoint seemed to have been started again.
	life    uint64
	surveys map[segment.FlowKey]*survey
	// drainEnds is until when the endpoint is believed to be draining.
	drainEnds time.Duration
	stopping  bool
	balancers map[segment.Address]knownBalancer
	nextSweep time.Duration
	effects   []Effect
}

// NewAgent returns an agent that knows no flow.
func NewAgent(config AgentConfig) *Agent {
	return &Agent{
		config:    config,
		flows:     make(map[segment.FlowKey]*agentFlow),
		surveys:   make(map[segment.FlowKey]*survey),
		balancers: make(map[segment.Address]knownBalancer),
		cold:      newColdLimit(config.ColdStartLimit),
		detector:  outlier.NewDetector(config.OutlierLimits),
		queue:     newQueue(config.QueuePolicy),
	}
}

// FlowCount returns the number of flows remembered.
func (a *Agent) FlowCount() int { return len(a.flows) }

// Load returns how busy and how well the endpoint is.
func (a *Agent) Load() Load { return a.loadFor("") }

// loadFor is the load as a balancer of a zone shall know it.
func (a *Agent) loadFor(zone string) Load {
	pace := uint32(min(a.meter.Estimate().Microseconds(), math.MaxUint32))
	hold := uint32(math.Ceil(a.cold.wait(a.now).Seconds() * 1000))
	return Load{
		Running: a.running, Waiting: uint32(len(a.queue.waiting)), Refusing: a.refusing(), ServiceTime: pace, ColdWait: hold,
		Report: a.detector.Report(a.now, zone), Pending: a.pending(),
	}
}

const microsecondsInSecond = 1e6

// refusing reports whether the endpoint gets no new flows.
func (a *Agent) refusing() bool { return a.stopping || a.now < a.drainEnds }

func (a *Agent) begin(now time.Duration) {
	a.effects = a.effects[:0]
	a.terms = FlowParameters{}
	a.now = now
	if !a.begun {
		a.begun = true
		a.started = now
		if !a.config.StartedWithEndpoint {
			a.cold.started(now)
		}
	}
}

// complete reports whether the agent knows all flows that its endpoint holds.
func (a *Agent) complete(now time.Duration) bool {
	return a.config.StartedWithEndpoint || now-a.started > a.config.FlowLifetime
}

// Stop makes the agent take no more new flows and tells balancers so. The
// returned effects are valid until the next call.
func (a *Agent) Stop(now time.Duration) []Effect {
	a.begin(now)
	a.stopping = true
	for _, balancer := range a.knownBalancers() {
		a.send(balancer, Message{Kind: KindLeaving, Service: a.config.Service})
	}
	return a.effects
}

// Receive handles a message from a balancer. The returned effects are valid
// until the next call.
func (a *Agent) Receive(now time.Duration, from segment.Address, message Message) []Effect {
	a.begin(now)
	a.terms = message.Parameters
	a.receive(now, from, message)
	a.noteStarts(now)
	a.tellChanges()
	return a.effects
}

func (a *Agent) receive(now time.Duration, from segment.Address, message Message) {
	switch message.Kind {
	case KindDenied, KindUncertain:
		a.receiveNotOwned(from, message)
		return
	case KindSurvey:
		a.receiveSurvey(now, from, message)
	}
	a.remember(now, balancerOf(from, message), message.Zone)
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
			a.drainEnds = now + drainMemory
		}
	}
}

func (a *Agent) receivePacket(now time.Duration, from segment.Address, message Message) {
	header, outcome := a.config.Codec.Decode(message.Packet)
	if outcome != segment.Decoded {
		a.event(Event{Kind: EventMalformed, Peer: from, Reason: outcome.String()})
		return
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	if message.Service != a.config.Service {
		a.refuseForeign(from, key, header, message)
		return
	}
	if header.OpensFlow() {
		a.receiveOpening(now, from, key, header, message)
		return
	}
	a.receiveSegment(now, from, key, header, message)
}

// refuseForeign handles a packet for an endpoint that had this address before. A
// probe is part of a search and is not answered, or the search would never end.
func (a *Agent) refuseForeign(from segment.Address, key segment.FlowKey, header segment.Header, message Message) {
	if message.Kind == KindProbe {
		return
	}
	a.bringBack(from, key, header, message.Packet, "other_service")
}

// bringBack returns a packet to the balancer it came from.
func (a *Agent) bringBack(to segment.Address, key segment.FlowKey, header segment.Header, packet []byte, reason string) {
	message := Message{Kind: KindNotOwned, Service: a.config.Service, Sequence: header.Sequence, Packet: packet}
	event := EventNotOwned
	if header.OpensFlow() {
		message.Kind = KindReturned
		message.LastResort = reason == reasonEjected || reason == reasonBusy
		event = EventReturned
	}
	a.send(to, message)
	a.event(Event{Kind: event, Flow: key, Peer: to, Reason: reason})
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
	a.learnCold(now, message.Parameters.ColdStart)
	known, exists := a.flows[key]
	if exists && known.sequence == header.Sequence && known.state <= stateOpen {
		a.receiveCopy(now, from, key, known, header, message)
		return
	}
	if a.refusing() {
		a.bringBack(from, key, header, message.Packet, "leaving")
		return
	}
	if len(a.flows) >= a.config.FlowLimit && !exists {
		a.bringBack(from, key, header, message.Packet, "flow_limit")
		return
	}
	if a.overloaded(message.Parameters) {
		a.bringBack(from, key, header, message.Packet, "overload")
		return
	}
	if !message.LastResort && a.busy(message.Parameters) {
		a.bringBack(from, key, header, message.Packet, reasonBusy)
		return
	}
	if !message.LastResort && !message.IgnoreEjection && !a.trusts(now, message.Zone) {
		a.bringBack(from, key, header, message.Packet, reasonEjected)
		return
	}
	if !a.cold.admits(now, message.Parameters.Priority) {
		a.bringBack(from, key, header, message.Packet, reasonCold)
		return
	}
	a.forget(now, key)
	a.cold.gives(now)
	opened := &agentFlow{
		state: stateOffered, sequence: header.Sequence, balancer: from, zone: message.Zone, opened: now, touched: now, life: a.life,
		work: work{terms: message.Parameters, asked: now - milliseconds(message.Parameters.Waited), sent: header.Sequence + 1},
	}
	a.flows[key] = opened
	a.opening = append(a.opening, opened)
	a.running++
	a.detector.RecordOpening(now)
	a.deliver(message.Packet)
}

// learnCold takes what a balancer tells of the endpoint's start. An agent that has just
// been started does not know whether its endpoint has been, too.
func (a *Agent) learnCold(now time.Duration, told ColdStart) {
	first := a.cold.rate == 0
	a.cold.learn(now, told)
	if first && !a.config.StartedWithEndpoint && a.cold.told == 0 {
		a.cold.ends = max(a.cold.ends, a.started+a.cold.lasts)
	}
}

// receiveCopy handles a copy of an opening packet that the endpoint was given. One that it
// has not answered may open a flow after it was restarted.
func (a *Agent) receiveCopy(now time.Duration, from segment.Address, key segment.FlowKey, known *agentFlow, header segment.Header, message Message) {
	if known.state == stateOffered && !a.cold.admits(now, message.Parameters.Priority) {
		a.forget(now, key)
		a.bringBack(from, key, header, message.Packet, reasonCold)
		return
	}
	known.balancer = from
	a.cold.gives(now)
	a.deliver(message.Packet)
}

// receiveSegment handles a client's packet that does not open a flow.
func (a *Agent) receiveSegment(now time.Duration, from segment.Address, key segment.FlowKey, header segment.Header, message Message) {
	known, exists := a.flows[key]
	if exists && a.owns(known, header) {
		a.receiveOwned(now, from, key, known, header, message)
		return
	}
	switch {
	case a.mayOwn(now, known):
		a.probe(now, from, key, header, message)
	case known != nil && known.state == stateProbed:
		// An endpoint returns what it does not hold and need not answer a packet without data
		// that it does. Sent elsewhere, the packets of a flow that was alive reached six other
		// endpoints and not its own for 6 s, after its agent had been killed.
		known.balancer, known.prober = balancerOf(from, message), from
		known.forwarded = message.Kind == KindForward
		a.deliver(message.Packet)
	case message.Kind == KindForward:
		a.bringBack(from, key, header, message.Packet, "not_owned")
	case a.disowns(now, known):
		a.deny(now, from, key)
	}
}

func (a *Agent) end(now time.Duration, known *agentFlow) {
	if known.running() {
		a.running--
	}
	known.state = stateEnded
	a.release(now, known)
}

func (a *Agent) forget(now time.Duration, key segment.FlowKey) {
	known, exists := a.flows[key]
	if !exists {
		return
	}
	if known.running() {
		a.running--
	}
	delete(a.flows, key)
	known.state = stateEnded
	a.release(now, known)
}

// NextTick returns when Tick should be called at the latest.
func (a *Agent) NextTick(now time.Duration) time.Duration {
	next := now + sweepInterval
	if len(a.queue.waiting) > 0 {
		next = now + queueInterval
	}
	if due, waits := a.detector.CheckDue(); waits {
		next = min(next, due)
	}
	return min(next, a.nextSurvey())
}

// Tick handles timeouts. The returned effects are valid until the next call.
func (a *Agent) Tick(now time.Duration) []Effect {
	a.begin(now)
	a.expire(now)
	a.expireSurveys(now)
	a.detector.CheckOpenings(now)
	a.noteStarts(now)
	a.tellChanges()
	if now >= a.nextSweep {
		a.sweep(now)
	}
	return a.effects
}

// sweep forgets what is too old.
func (a *Agent) sweep(now time.Duration) {
	a.nextSweep = now + sweepInterval
	for key, known := range a.flows {
		if now-known.touched > a.retention(known) {
			a.forget(now, key)
		}
	}
	for balancer, known := range a.balancers {
		if now-known.heard > a.config.FlowLifetime {
			delete(a.balancers, balancer)
		}
	}
}

func (a *Agent) retention(known *agentFlow) time.Duration {
	switch known.state {
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

func (a *Agent) event(event Event) {
	event.Class = a.classify(event)
	a.effects = append(a.effects, Effect{Kind: EffectEvent, Event: event})
}
