package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// verifyDelay is how long the owner of a flow has to answer a search, before all
	// agents are asked to deny the flow. Few answers come later.
	verifyDelay = 10 * time.Millisecond
	// verifyInterval is the time between two rounds of that, and verifyRounds their
	// largest number; an agent that starts together with others needs some.
	verifyInterval = 100 * time.Millisecond
	verifyRounds   = 16
	// recheckRounds is how many rounds come to each that asks agents again which have
	// answered that they do not know: their endpoint may have shown them the flow since.
	recheckRounds = 4
	// inconclusivePause is the time before agents are asked again which have all answered,
	// without a proof; it doubles each time. Without it 900 flows whose endpoints had lost
	// power were sought 58,000 times in 10 s: 0.52 GB between zones and 142 s of processor
	// time instead of 0.06 and 37 (60 emulated machines).
	inconclusivePause = time.Second
	// restartSpread is how much older than the directory of a balancer agents may be
	// that were started together with it.
	restartSpread = 3 * time.Second
)

// surveyReply is what an agent has answered to a search.
type surveyReply struct {
	// denied is set if its endpoint does not hold the flow; otherwise the agent does
	// not know, and probed is set once it was made to ask its endpoint.
	denied bool
	probed bool
	// agentStartedAt is when the agent was started.
	agentStartedAt time.Duration
}

// scheduleVerification makes the search be verified if the owner has not answered by a time.
func (b *Balancer) scheduleVerification(due time.Duration, search *ownerSearch) {
	search.verifyAt = due
	b.pendingVerifications = append(b.pendingVerifications, search)
}

// verifyDue asks agents about the flows whose owners have not answered.
func (b *Balancer) verifyDue(now time.Duration) {
	b.pendingVerifications = slices.DeleteFunc(b.pendingVerifications, func(search *ownerSearch) bool {
		_, active := b.activeSearch(search)
		return !active || search.verifications >= verifyRounds || search.inconclusive
	})
	for _, search := range b.pendingVerifications {
		if now >= search.verifyAt {
			b.verify(now, search)
		}
	}
}

// activeSearch returns the flow whose owner is sought, false if the search has ended.
func (b *Balancer) activeSearch(search *ownerSearch) (*balancerFlow, bool) {
	flow, exists := b.flows[search.key]
	return flow, exists && flow.search == search
}

// searchedFlow returns the flow of a message whose owner is sought, false if none is.
func (b *Balancer) searchedFlow(message Message) (*balancerFlow, bool) {
	flow, exists := b.flows[message.Flow.Key()]
	return flow, exists && flow.search != nil
}

// verify asks those agents that have not denied a flow whether its owner is among
// them. They are probed as soon as that is known to break nothing.
func (b *Balancer) verify(now time.Duration, search *ownerSearch) {
	search.verifyAt = now + verifyInterval
	search.verifications++
	recheckAll := search.verifications%recheckRounds == 0
	agents := slices.DeleteFunc(b.allPossibleOwners(search), func(candidate directory.Candidate) bool {
		reply, exists := search.replies[b.agentAddress(candidate)]
		return reply.denied || exists && !reply.probed && !recheckAll
	})
	if len(agents) == 0 {
		// All have denied it; a confirmation of the directory may have failed.
		if flow, active := b.activeSearch(search); active {
			b.conclude(now, flow)
		}
		return
	}
	probe := b.allProbed(search, agents)
	many := len(agents) >= minFirstRoundSurveyAgents
	first := search.verifications <= smallSurveyRounds
	if many && !first && !b.allowSearch(now, search.key, messagesPerSurvey*len(splitSurvey(agents, len(search.held[0])))) {
		return
	}
	if (many || probe && first) && b.delegateSurvey(search, agents, probe) {
		return
	}
	if !b.allowSearch(now, search.key, len(agents)) {
		return
	}
	for _, candidate := range agents {
		b.send(b.agentAddress(candidate), b.verificationMessage(search, candidate))
	}
}

// allProbed reports whether all agents were made to ask their endpoints.
func (b *Balancer) allProbed(search *ownerSearch, agents []directory.Candidate) bool {
	return !slices.ContainsFunc(agents, func(candidate directory.Candidate) bool {
		return !search.replies[b.agentAddress(candidate)].probed
	})
}

// MarkCurrentThrough tells that the directory has everything which the store had accepted before
// a time: flows that were open by then are held by endpoints that are known. The
// returned effects are valid until the next call.
func (b *Balancer) MarkCurrentThrough(now, through time.Duration) []Effect {
	b.effects = b.effects[:0]
	b.currentThrough = max(b.currentThrough, through)
	for _, search := range b.pendingVerifications {
		if flow, active := b.activeSearch(search); active {
			b.conclude(now, flow)
		}
	}
	return b.effects
}

// verificationMessage is the question to one agent. One that has been made to ask its
// endpoint, which has not answered, asks again.
func (b *Balancer) verificationMessage(search *ownerSearch, candidate directory.Candidate) Message {
	service := candidate.Endpoint.Service
	if search.replies[b.agentAddress(candidate)].probed {
		return Message{Kind: KindProbe, Service: service, Parameters: b.parametersAt(search.key, b.agentAddress(candidate)), Packet: search.held[0]}
	}
	return Message{
		Kind: KindVerify, Service: service, Flow: EncodeFlow(search.key),
		Acknowledgment: search.latestHeader.Acknowledgment, Flags: search.latestHeader.Flags,
	}
}

// allPossibleOwners returns the endpoints that may hold a flow.
func (b *Balancer) allPossibleOwners(search *ownerSearch) []directory.Candidate {
	owners, _ := b.possibleOwners(search.key, true)
	return owners
}

// receiveDenied handles that an agent's endpoint does not hold a flow.
func (b *Balancer) receiveDenied(now time.Duration, from segment.Address, message Message) {
	if flow, exists := b.searchedFlow(message); exists {
		b.noteReply(now, flow, from, surveyReply{denied: true, agentStartedAt: now - message.Uptime})
	}
}

// noteReply notes the answer of an agent to a search.
func (b *Balancer) noteReply(now time.Duration, flow *balancerFlow, from segment.Address, reply surveyReply) {
	reply.probed = flow.search.replies[from].probed
	flow.search.replies[from] = reply
	b.conclude(now, flow)
}

// conclude resets a flow that no endpoint holds. Once all agents have answered that may
// own it, it makes those ask their endpoints that do not know.
func (b *Balancer) conclude(now time.Duration, flow *balancerFlow) {
	search := flow.search
	if search.verifications == 0 {
		return
	}
	owners, complete := b.possibleOwners(search.key, true)
	if !complete {
		return
	}
	var uncertain []directory.Candidate
	conclusive := true
	for _, candidate := range owners {
		reply, exists := search.replies[b.agentAddress(candidate)]
		if !exists {
			return
		}
		conclusive = conclusive && b.directoryCovers(now, reply.agentStartedAt)
		if !reply.denied {
			uncertain = append(uncertain, candidate)
		}
	}
	switch {
	case !conclusive:
		search.markInconclusive(now)
	case len(uncertain) > 0:
		b.probeUncertain(search, uncertain)
		b.awaitConfirmation(now, search)
	case b.awaitConfirmation(now, search):
	default:
		b.withElapsed(now-search.beganAt, func() { b.declareOwnerless(flow) })
	}
}

// awaitConfirmation asks for a confirmation of the directory as of the time at which a search
// began, unless that is under way. It reports whether there is none yet.
func (b *Balancer) awaitConfirmation(now time.Duration, search *ownerSearch) bool {
	if b.currentThrough >= search.beganAt {
		return false
	}
	if now >= search.nextConfirmAt {
		search.nextConfirmAt = now + verifyInterval
		b.effects = append(b.effects, Effect{Kind: EffectConfirmDirectory})
	}
	return true
}

// markInconclusive ends the rounds of a search in which all agents have answered and which proves
// nothing: an endpoint may have left before the directory begins. The owner may still
// answer when the client repeats its packet.
func (s *ownerSearch) markInconclusive(now time.Duration) {
	if s.inconclusive {
		return
	}
	s.inconclusive = true
	s.pause = max(2*s.pause, inconclusivePause)
	s.resumeAt = now + s.pause
}

// directoryCovers reports whether the directory reaches back far enough to know every
// endpoint that may hold a flow, one that has left and serves on included: for as
// long as flows last or, since there was nothing before it, to when the agents were
// started. If all agents are as young as the directory, everything was started anew.
func (b *Balancer) directoryCovers(now, agentStartedAt time.Duration) bool {
	since := b.snapshot.Since()
	return now-since >= b.config.FlowLifetime || agentStartedAt+restartSpread >= since
}

// declareOwnerless resets a flow that no endpoint holds, so that its client need not
// wait for its time-out.
func (b *Balancer) declareOwnerless(flow *balancerFlow) {
	search := flow.search
	flow.search = nil
	flow.state = flowOwnerless
	b.recordEvent(Event{Kind: EventOwnerless, Flow: search.key, Version: b.snapshot.Version()})
	b.resetFlow(search.key, search.latestHeader)
}
