package relay

import (
	"math"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// AgentConfig holds the parameters of an Agent.
type AgentConfig struct {
	// Service is the service of the endpoint beside the agent.
	Service string
	Codec   segment.Codec
	// Complete is set if the agent starts together with its endpoint, so that
	// no flow can have been opened before.
	Complete bool
	// FlowLifetime is the longest time for which a flow may last.
	FlowLifetime time.Duration
	// FlowLimit is the largest number of flows remembered.
	FlowLimit int
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
	// prober is the daemon that wants to know, in stateProbed, if the endpoint does not
	// hold the flow, and forwarded is set if it took this agent for the owner.
	prober    segment.Address
	forwarded bool
	touched   time.Duration
	work      work
}

// follow keeps what the client may acknowledge within openWindow, however much the
// endpoint sends.
func (f *agentFlow) follow(sequence uint32) {
	if sent := sequence - f.answer; f.answered && f.state != stateAnswered && sent > openWindow/2 && sent < openWindow {
		f.answer = sequence - openWindow/2
	}
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
	// balancerLimit bounds the balancers that are remembered.
	balancerLimit = 4096
)

// Agent decides what becomes of packets to and from one endpoint. It is not
// safe for concurrent use.
type Agent struct {
	config  AgentConfig
	started time.Duration
	begun   bool
	now     time.Duration
	flows   map[segment.FlowKey]*agentFlow
	running uint32
	queue   queue
	pace    pace
	outlier outlier
	surveys map[segment.FlowKey]*survey
	// drainEnds is until when the endpoint is believed to be draining.
	drainEnds time.Duration
	stopping  bool
	balancers map[segment.Address]time.Duration
	nextSweep time.Duration
	effects   []Effect
}

// NewAgent returns an agent that knows no flow.
func NewAgent(config AgentConfig) *Agent {
	return &Agent{
		config:    config,
		flows:     make(map[segment.FlowKey]*agentFlow),
		surveys:   make(map[segment.FlowKey]*survey),
		balancers: make(map[segment.Address]time.Duration),
	}
}

// Flows returns the number of flows remembered.
func (a *Agent) Flows() int { return len(a.flows) }

// Load returns how busy the endpoint is.
func (a *Agent) Load() Load {
	refusing := a.refusing() || a.outlier.ejected(a.now)
	pace := uint32(a.pace.working * microsecondsInSecond)
	return Load{Running: a.running, Waiting: uint32(len(a.queue.waiting)), Refusing: refusing, Pace: pace}
}

const microsecondsInSecond = 1e6

// refusing reports whether the endpoint gets no new flows.
func (a *Agent) refusing() bool { return a.stopping || a.now < a.drainEnds }

func (a *Agent) begin(now time.Duration) {
	a.effects = a.effects[:0]
	a.now = now
	if !a.begun {
		a.begun = true
		a.started = now
	}
}

// complete reports whether the agent knows all flows that its endpoint holds.
func (a *Agent) complete(now time.Duration) bool {
	return a.config.Complete || now-a.started > a.config.FlowLifetime
}

// Stop makes the agent take no more new flows and tells balancers so. The
// returned effects are valid until the next call.
func (a *Agent) Stop(now time.Duration) []Effect {
	a.begin(now)
	a.stopping = true
	for balancer := range a.balancers {
		a.send(balancer, Message{Kind: KindLeaving, Service: a.config.Service})
	}
	return a.effects
}

// Receive handles a message from a balancer. The returned effects are valid
// until the next call.
func (a *Agent) Receive(now time.Duration, from segment.Address, message Message) []Effect {
	a.begin(now)
	switch message.Kind {
	case KindDenied, KindUncertain:
		a.receiveNotOwned(from, message)
		return a.effects
	case KindSurvey:
		a.receiveSurvey(now, from, message)
	}
	a.remember(now, a.balancerOf(from, message))
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
	return a.effects
}

// balancerOf returns the balancer that a message came from, or for which another agent
// sent it.
func (a *Agent) balancerOf(from segment.Address, message Message) segment.Address {
	if replyTo := message.ReplyTo.Address(); !replyTo.IsZero() {
		return replyTo
	}
	return from
}

// remember notes a balancer, which is told when the agent stops.
func (a *Agent) remember(now time.Duration, balancer segment.Address) {
	if _, known := a.balancers[balancer]; known || len(a.balancers) < balancerLimit {
		a.balancers[balancer] = now
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
	if header.Opening() {
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
	message := Message{Kind: KindUnknown, Service: a.config.Service, Sequence: header.Sequence, Packet: packet}
	event := EventNotOwned
	if header.Opening() {
		message.Kind = KindReturned
		message.LastResort = reason == reasonStuck
		event = EventReturned
	}
	a.send(to, message)
	a.event(Event{Kind: event, Flow: key, Peer: to, Reason: reason})
}

// reasonStuck is the reason of the return of an opening packet which this endpoint
// shall get only if no other takes it.
const reasonStuck = "stuck"

func (a *Agent) receiveOpening(now time.Duration, from segment.Address, key segment.FlowKey, header segment.Header, message Message) {
	known, exists := a.flows[key]
	if exists && known.sequence == header.Sequence && known.state <= stateOpen {
		known.balancer = from
		a.deliver(message.Packet)
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
	if a.overloaded(message.Terms) {
		a.bringBack(from, key, header, message.Packet, "overload")
		return
	}
	if !message.LastResort && !a.outlier.admits(now, a.pace.working) {
		a.bringBack(from, key, header, message.Packet, reasonStuck)
		return
	}
	a.forget(now, key)
	a.flows[key] = &agentFlow{
		state: stateOffered, sequence: header.Sequence, balancer: from, touched: now,
		work: work{terms: message.Terms, asked: now, sent: header.Sequence + 1},
	}
	a.running++
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
	case message.Kind == KindForward:
		a.bringBack(from, key, header, message.Packet, "not_owned")
	case known != nil && known.state == stateProbed:
		known.balancer, known.prober = a.balancerOf(from, message), from
		a.deliver(message.Packet)
	case a.disowns(now, known):
		a.deny(now, from, key)
	}
}

// disowns reports whether it is certain that the endpoint does not hold a flow, of
// which a packet has come that is not owned.
func (a *Agent) disowns(now time.Duration, known *agentFlow) bool {
	return a.complete(now) || known != nil && known.state != stateProbed
}

// deny tells a balancer that the endpoint does not hold a flow.
func (a *Agent) deny(now time.Duration, to segment.Address, key segment.FlowKey) {
	a.send(to, Message{Kind: KindDenied, Service: a.config.Service, Flow: FlowOf(key), Age: now - a.started})
}

// mayOwn reports whether the endpoint may hold a flow that this agent does not
// know, since the agent was restarted.
func (a *Agent) mayOwn(now time.Duration, known *agentFlow) bool {
	return known == nil && !a.complete(now) && len(a.flows) < a.config.FlowLimit
}

// receiveLocate answers whether this agent owns a flow. It does not answer if it
// does not, since all agents are asked.
func (a *Agent) receiveLocate(now time.Duration, from segment.Address, message Message) {
	if message.Service != a.config.Service {
		return
	}
	known := a.flows[message.Flow.Key()]
	header := segment.Header{Flags: message.Flags, Acknowledgment: message.Acknowledgment}
	switch {
	case known != nil && a.owns(known, header):
		a.send(from, Message{Kind: KindOwned, Service: a.config.Service, Flow: message.Flow})
	case a.mayOwn(now, known):
		a.sendUncertain(now, from, message)
	}
}

func (a *Agent) sendUncertain(now time.Duration, to segment.Address, question Message) {
	a.send(to, Message{Kind: KindUncertain, Service: a.config.Service, Flow: question.Flow, Age: now - a.started})
}

// receiveVerify answers whether the endpoint holds a flow. Of an endpoint of another
// service, which had this address before, nothing is left.
func (a *Agent) receiveVerify(now time.Duration, from segment.Address, message Message) {
	key := message.Flow.Key()
	known := a.flows[key]
	header := segment.Header{Flags: message.Flags, Acknowledgment: message.Acknowledgment}
	foreign := message.Service != a.config.Service
	switch {
	case !foreign && known != nil && a.owns(known, header):
		a.send(a.balancerOf(from, message), Message{Kind: KindOwned, Service: a.config.Service, Flow: message.Flow})
	case foreign || a.disowns(now, known):
		a.deny(now, from, key)
	default:
		a.sendUncertain(now, from, message)
	}
}

// owns reports whether a client's packet belongs to a flow of this endpoint.
func (a *Agent) owns(known *agentFlow, header segment.Header) bool {
	switch known.state {
	case stateOpen, stateEnded:
		return !known.answered || acknowledges(header, known.answer, openWindow)
	case stateAnswered:
		return acknowledges(header, known.answer, openingWindow)
	}
	return false
}

// acknowledges reports whether the packet acknowledges what the endpoint with
// the given initial sequence number has sent. A reset need not.
func acknowledges(header segment.Header, answer, window uint32) bool {
	if !header.Flags.Has(segment.Acknowledge) {
		return header.Flags.Has(segment.Reset)
	}
	return header.Acknowledgment-answer-1 < window
}

func (a *Agent) receiveOwned(now time.Duration, from segment.Address, key segment.FlowKey, known *agentFlow, header segment.Header, message Message) {
	known.touched = now
	known.balancer = a.balancerOf(from, message)
	known.work.learn(message.Terms)
	if known.state == stateAnswered {
		known.state = stateOpen
	}
	if message.Kind != KindForward {
		a.send(known.balancer, Message{Kind: KindOwned, Service: a.config.Service, Flow: FlowOf(key), Load: a.Load()})
	}
	if header.Flags.Has(segment.Finish) || header.Flags.Has(segment.Reset) {
		a.end(now, known)
	}
	if header.Length > 0 && !a.passes(now, key, known, header, message.Packet) {
		return
	}
	a.deliver(message.Packet)
}

// probe lets the endpoint tell whether it holds a flow that this agent does not
// know, since the agent was restarted. It happens once for each flow: if a
// balancer takes this agent for the owner or has found no other.
func (a *Agent) probe(now time.Duration, from segment.Address, key segment.FlowKey, header segment.Header, message Message) {
	a.flows[key] = &agentFlow{
		state: stateProbed, balancer: a.balancerOf(from, message), prober: from,
		forwarded: message.Kind == KindForward, touched: now,
		work: work{
			terms: message.Terms, asked: now, since: now, fed: now,
			request: a.config.Codec.RequestID(message.Packet), given: header.Length > 0,
			sent: header.Sequence + uint32(header.Length),
		},
	}
	a.event(Event{Kind: EventProbed, Flow: key, Peer: from})
	a.deliver(message.Packet)
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
	if len(a.queue.waiting) > 0 {
		return now + queueInterval
	}
	return now + sweepInterval
}

// Tick handles timeouts. The returned effects are valid until the next call.
func (a *Agent) Tick(now time.Duration) []Effect {
	a.begin(now)
	a.expire(now)
	a.expireSurveys(now)
	if now < a.nextSweep {
		return a.effects
	}
	a.nextSweep = now + sweepInterval
	for key, known := range a.flows {
		if now-known.touched > a.retention(known) {
			a.forget(now, key)
		}
	}
	for balancer, heard := range a.balancers {
		if now-heard > a.config.FlowLifetime {
			delete(a.balancers, balancer)
		}
	}
	return a.effects
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
	a.effects = append(a.effects, Effect{Kind: EffectEndpoint, Packet: packet})
}

func (a *Agent) send(to segment.Address, message Message) {
	message.Load = a.Load()
	a.effects = append(a.effects, Effect{Kind: EffectPeer, To: to, Message: message})
}

func (a *Agent) event(event Event) {
	a.effects = append(a.effects, Effect{Kind: EffectEvent, Event: event})
}
