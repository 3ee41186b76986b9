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
	// unsureRounds is how many rounds come to each that asks agents again which have
	// answered that they do not know: their endpoint may have shown them the flow since.
	unsureRounds = 4
	// undecidedInterval is the time before agents are asked again which have all answered,
	// without a proof; it doubles each time. Without it 900 flows whose endpoints had lost
	// power were sought 58,000 times in 10 s: 0.52 GB between zones and 142 s of processor
	// time instead of 0.06 and 37 (60 emulated machines).
	undecidedInterval = time.Second
	// restartSpread is how much older than the directory of a balancer agents may be
	// that were started together with it.
	restartSpread = 3 * time.Second
)

// reply is what an agent has answered to a search.
type reply struct {
	// denied is set if its endpoint does not hold the flow; otherwise the agent does
	// not know, and probed is set once it was made to ask its endpoint.
	denied bool
	probed bool
	// began is when the agent was started.
	began time.Duration
}

// verifyAt makes the search be verified if the owner has not answered by a time.
func (b *Balancer) verifyAt(due time.Duration, sought *search) {
	sought.verifyAt = due
	b.verifications = append(b.verifications, sought)
}

// verifyDue asks agents about the flows whose owners have not answered.
func (b *Balancer) verifyDue(now time.Duration) {
	b.verifications = slices.DeleteFunc(b.verifications, func(sought *search) bool {
		_, goesOn := b.flowOf(sought)
		return !goesOn || sought.verified >= verifyRounds || sought.undecided
	})
	for _, sought := range b.verifications {
		if now >= sought.verifyAt {
			b.verify(now, sought)
		}
	}
}

// flowOf returns the flow whose owner is sought, false if the search has ended.
func (b *Balancer) flowOf(sought *search) (*balancerFlow, bool) {
	known, exists := b.flows[sought.key]
	return known, exists && known.search == sought
}

// soughtFlow returns the flow of a message whose owner is sought, false if none is.
func (b *Balancer) soughtFlow(message Message) (*balancerFlow, bool) {
	known, exists := b.flows[message.Flow.Key()]
	return known, exists && known.search != nil
}

// verify asks those agents that have not denied a flow whether its owner is among
// them. They are probed as soon as that is known to break nothing.
func (b *Balancer) verify(now time.Duration, sought *search) {
	sought.verifyAt = now + verifyInterval
	sought.verified++
	everyone := sought.verified%unsureRounds == 0
	asked := slices.DeleteFunc(b.everyOwner(sought), func(candidate directory.Candidate) bool {
		answered, exists := sought.replies[b.agentOf(candidate)]
		return answered.denied || exists && !answered.probed && !everyone
	})
	if len(asked) == 0 {
		// All have denied it; a confirmation of the directory may have failed.
		if known, goesOn := b.flowOf(sought); goesOn {
			b.conclude(now, known)
		}
		return
	}
	probing := b.allProbed(sought, asked)
	many := len(asked) >= surveyFirstMinimum
	first := sought.verified <= surveyRounds
	if many && !first && !b.maySearch(now, sought.key, surveyCost*len(surveyParts(asked, len(sought.held[0])))) {
		return
	}
	if (many || probing && first) && b.survey(sought, asked, probing) {
		return
	}
	if !b.maySearch(now, sought.key, len(asked)) {
		return
	}
	for _, candidate := range asked {
		b.send(b.agentOf(candidate), b.verification(sought, candidate))
	}
}

// allProbed reports whether all agents were made to ask their endpoints.
func (b *Balancer) allProbed(sought *search, asked []directory.Candidate) bool {
	return !slices.ContainsFunc(asked, func(candidate directory.Candidate) bool {
		return !sought.replies[b.agentOf(candidate)].probed
	})
}

// MarkCurrentThrough tells that the directory has everything which the store had accepted before
// a time: flows that were open by then are held by endpoints that are known. The
// returned effects are valid until the next call.
func (b *Balancer) MarkCurrentThrough(now, through time.Duration) []Effect {
	b.effects = b.effects[:0]
	b.current = max(b.current, through)
	for _, sought := range b.verifications {
		if known, goesOn := b.flowOf(sought); goesOn {
			b.conclude(now, known)
		}
	}
	return b.effects
}

// verification is the question to one agent. One that has been made to ask its
// endpoint, which has not answered, asks again.
func (b *Balancer) verification(sought *search, candidate directory.Candidate) Message {
	service := candidate.Endpoint.Service
	if sought.replies[b.agentOf(candidate)].probed {
		return Message{Kind: KindProbe, Service: service, Parameters: b.termsAt(sought.key, b.agentOf(candidate)), Packet: sought.held[0]}
	}
	return Message{
		Kind: KindVerify, Service: service, Flow: EncodeFlow(sought.key),
		Acknowledgment: sought.header.Acknowledgment, Flags: sought.header.Flags,
	}
}

// everyOwner returns the endpoints that may hold a flow.
func (b *Balancer) everyOwner(sought *search) []directory.Candidate {
	owners, _ := b.ownersAmong(sought.key, true)
	return owners
}

// receiveDenied handles that an agent's endpoint does not hold a flow.
func (b *Balancer) receiveDenied(now time.Duration, from segment.Address, message Message) {
	if known, exists := b.soughtFlow(message); exists {
		b.replied(now, known, from, reply{denied: true, began: now - message.Uptime})
	}
}

// replied notes the answer of an agent to a search.
func (b *Balancer) replied(now time.Duration, known *balancerFlow, from segment.Address, answer reply) {
	answer.probed = known.search.replies[from].probed
	known.search.replies[from] = answer
	b.conclude(now, known)
}

// conclude resets a flow that no endpoint holds. Once all agents have answered that may
// own it, it makes those ask their endpoints that do not know.
func (b *Balancer) conclude(now time.Duration, known *balancerFlow) {
	sought := known.search
	if sought.verified == 0 {
		return
	}
	owners, all := b.ownersAmong(sought.key, true)
	if !all {
		return
	}
	var unsure []directory.Candidate
	proves := true
	for _, candidate := range owners {
		answered, exists := sought.replies[b.agentOf(candidate)]
		if !exists {
			return
		}
		proves = proves && b.reachesBack(now, answered.began)
		if !answered.denied {
			unsure = append(unsure, candidate)
		}
	}
	switch {
	case !proves:
		sought.undecide(now)
	case len(unsure) > 0:
		b.surveyOrProbe(sought, unsure)
		b.confirmFor(now, sought)
	case b.confirmFor(now, sought):
	default:
		b.timed(now-sought.begun, func() { b.declareOwnerless(known) })
	}
}

// confirmFor asks for a confirmation of the directory as of the time at which a search
// began, unless that is under way. It reports whether there is none yet.
func (b *Balancer) confirmFor(now time.Duration, sought *search) bool {
	if b.current >= sought.begun {
		return false
	}
	if now >= sought.confirmAgain {
		sought.confirmAgain = now + verifyInterval
		b.effects = append(b.effects, Effect{Kind: EffectConfirmDirectory})
	}
	return true
}

// undecide ends the rounds of a search in which all agents have answered and which proves
// nothing: an endpoint may have left before the directory begins. The owner may still
// answer when the client repeats its packet.
func (s *search) undecide(now time.Duration) {
	if s.undecided {
		return
	}
	s.undecided = true
	s.pause = max(2*s.pause, undecidedInterval)
	s.resumes = now + s.pause
}

// reachesBack reports whether the directory reaches back far enough to know every
// endpoint that may hold a flow, one that has left and serves on included: for as
// long as flows last or, since there was nothing before it, to when the agents were
// started. If all agents are as young as the directory, everything was started anew.
func (b *Balancer) reachesBack(now, agentBegan time.Duration) bool {
	since := b.snapshot.DeparturesKnownSince()
	return now-since >= b.config.FlowLifetime || agentBegan+restartSpread >= since
}

// declareOwnerless resets a flow that no endpoint holds, so that its client need not
// wait for its time-out.
func (b *Balancer) declareOwnerless(known *balancerFlow) {
	sought := known.search
	known.search = nil
	known.state = flowOwnerless
	b.event(Event{Kind: EventOwnerless, Flow: sought.key, Version: b.snapshot.Version()})
	b.reset(sought.key, sought.header)
}
