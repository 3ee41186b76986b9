package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// verifyDelay is how long the owner of a flow has to reply to a search before all agents are
	// asked to confirm or deny the flow. Few replies come later.
	verifyDelay = 10 * time.Millisecond
	// verifyInterval is the time between two verification rounds. verifyRounds is their maximum
	// number; an agent that starts together with others needs some of them.
	verifyInterval = 100 * time.Millisecond
	verifyRounds   = 16
	// recheckRounds is the interval, in rounds, at which agents that replied that they are
	// uncertain are asked again. Their endpoint may have written in the flow since.
	recheckRounds = 4
	// inconclusivePause is the first pause of a search in which all agents have replied without a
	// proof. They are asked again after it. The pause doubles each time. Without it 900 flows whose
	// endpoints had lost power were searched for 58,000 times in 10 s, with 0.52 GB between zones
	// and 142 s of processor time instead of 0.06 GB and 37 s (60 emulated machines).
	inconclusivePause = time.Second
)

// searchReply is the reply of an agent to a search.
type searchReply struct {
	// denied is set if the agent's endpoint does not hold the flow. Otherwise the agent is
	// uncertain. probed is set once the agent was made to probe its endpoint.
	denied bool
	probed bool
	// registered is set if a balancer has confirmed a registration of the agent.
	registered bool
}

// scheduleVerification schedules the verification of a search in case the owner has not replied by
// then.
func (b *Balancer) scheduleVerification(due time.Duration, search *ownerSearch) {
	search.verifyAt = due
	if !slices.Contains(b.pendingVerifications, search) {
		b.pendingVerifications = append(b.pendingVerifications, search)
	}
}

// verifyDue runs the verifications that are due.
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

// activeSearch returns the flow of a search, and false if the search has ended.
func (b *Balancer) activeSearch(search *ownerSearch) (*balancerFlow, bool) {
	flow, exists := b.flows[search.key]
	return flow, exists && flow.search == search
}

// searchedFlow returns the flow that a message is about, and false if no search for its owner is
// active.
func (b *Balancer) searchedFlow(message Message) (*balancerFlow, bool) {
	flow, exists := b.flows[message.Flow.Key()]
	return flow, exists && flow.search != nil
}

// verify asks the agents that have not denied a flow whether they own it. The queries are probes if
// all of these agents have been probed before: only then are probes known to break nothing.
func (b *Balancer) verify(now time.Duration, search *ownerSearch) {
	search.verifyAt = now + verifyInterval
	search.verifications++
	recheckAll := search.verifications%recheckRounds == 0
	agents := slices.DeleteFunc(b.allPossibleOwners(search), func(candidate directory.Candidate) bool {
		reply, exists := search.replies[b.agentAddress(candidate)]
		return reply.denied || exists && !reply.probed && !recheckAll
	})
	if len(agents) == 0 {
		// All agents have denied the flow. The confirmation of the directory may have failed.
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

// allProbed reports whether all of the agents were made to probe their endpoints.
func (b *Balancer) allProbed(search *ownerSearch, agents []directory.Candidate) bool {
	return !slices.ContainsFunc(agents, func(candidate directory.Candidate) bool {
		return !search.replies[b.agentAddress(candidate)].probed
	})
}

// MarkCurrentThrough records that the directory contains everything that the store had accepted up
// to a time. Flows open at that time are held by endpoints in the directory. The returned effects
// are valid until the next call.
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

// verificationMessage returns the query for one agent. An agent that was made to probe and has no
// result yet is made to probe again.
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

// allPossibleOwners returns all endpoints that may hold a flow.
func (b *Balancer) allPossibleOwners(search *ownerSearch) []directory.Candidate {
	owners, _ := b.possibleOwners(search.key, true)
	return owners
}

// receiveDenied handles a reply that an agent's endpoint does not hold a flow.
func (b *Balancer) receiveDenied(now time.Duration, from segment.Address, message Message) {
	if flow, exists := b.searchedFlow(message); exists {
		b.recordReply(now, flow, from, searchReply{denied: true, registered: message.Registered})
	}
}

// recordReply records the reply of an agent to a search.
func (b *Balancer) recordReply(now time.Duration, flow *balancerFlow, from segment.Address, reply searchReply) {
	reply.probed = flow.search.replies[from].probed
	flow.search.replies[from] = reply
	b.conclude(now, flow)
}

// conclude resets a flow that no endpoint holds. Once all possible owners have replied, it makes
// those that are uncertain probe their endpoints.
func (b *Balancer) conclude(now time.Duration, flow *balancerFlow) {
	search := flow.search
	if search.verifications == 0 {
		return
	}
	owners, complete := b.possibleOwners(search.key, true)
	replies := b.repliesOf(search, owners)
	if !complete || replies.unresponsive {
		return
	}
	covered := b.directoryCovers(now)
	switch {
	case len(replies.uncertain) > 0 && b.ownerIncluded(now, replies):
		b.probeUncertain(search, replies.uncertain)
		if covered {
			b.awaitConfirmation(now, search)
		}
	case !covered:
		search.markInconclusive(now)
	case b.awaitConfirmation(now, search):
	default:
		b.withElapsed(now-search.beganAt, func() { b.declareOwnerless(flow) })
	}
}

// ownerIncluded reports whether the owner of a flow is expected to be among the possible owners, so
// that all of them may be probed: the directory covers it, or all agents are registered, as then is
// that of an endpoint without an entry. The latter is no proof, since an agent may not reach any
// balancer, and does not suffice for a reset.
func (b *Balancer) ownerIncluded(now time.Duration, replies searchReplies) bool {
	return b.directoryCovers(now) || replies.registered
}

// searchReplies summarizes the replies of the possible owners of a flow.
type searchReplies struct {
	// uncertain are the endpoints whose agents are uncertain. unresponsive is set if some agents
	// have not replied, and registered if all that have replied are registered.
	uncertain    []directory.Candidate
	unresponsive bool
	registered   bool
}

// repliesOf summarizes the replies of the possible owners of a flow.
func (b *Balancer) repliesOf(search *ownerSearch, owners []directory.Candidate) searchReplies {
	summary := searchReplies{registered: true}
	for _, candidate := range owners {
		reply, exists := search.replies[b.agentAddress(candidate)]
		if !exists {
			summary.unresponsive = true
			continue
		}
		summary.registered = summary.registered && reply.registered
		if !reply.denied {
			summary.uncertain = append(summary.uncertain, candidate)
		}
	}
	return summary
}

// awaitConfirmation requests a confirmation of the directory as of the start of a search, unless
// one was requested recently. It reports whether the confirmation is still missing. A confirmation
// costs a call to the store.
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

// markInconclusive ends the rounds of a search in which all agents have replied but nothing is
// proved, because an endpoint may have gone before the directory's history begins. The owner may
// still reply when the client repeats its packet.
func (s *ownerSearch) markInconclusive(now time.Duration) {
	if s.inconclusive {
		return
	}
	s.inconclusive = true
	s.pause = max(2*s.pause, inconclusivePause)
	s.resumeAt = now + s.pause
}

// directoryCovers reports whether the directory contains every endpoint that may hold a flow,
// including those whose entries are gone and that still serve. It does if it knows all departures
// within the lifetime of a flow. The age of the agents proves nothing: an endpoint outlives the
// processes beside it and in front of it, so that it may have left before all of them were killed.
func (b *Balancer) directoryCovers(now time.Duration) bool {
	return b.snapshot.DepartureHistory(now) >= b.config.FlowLifetime
}

// declareOwnerless resets a flow that no endpoint holds, so that its client need not wait for a
// timeout.
func (b *Balancer) declareOwnerless(flow *balancerFlow) {
	search := flow.search
	flow.search = nil
	flow.state = flowOwnerless
	b.recordEvent(Event{Kind: EventOwnerless, Flow: search.key, Version: b.snapshot.Version()})
	b.resetFlow(search.key, search.latestHeader)
}
