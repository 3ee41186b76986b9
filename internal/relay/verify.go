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
	// surveyRounds is how many rounds are left to an agent, which asks the others, and
	// surveyMinimum the least number of agents for which that is less work.
	surveyRounds  = 2
	surveyMinimum = 4
	// surveyFirstMinimum is the number of agents from which already the first round is
	// left to one of them. With fewer, the owner is found sooner without.
	surveyFirstMinimum = 16
	// surveyCost is the number of messages of a survey on the network of the balancer.
	surveyCost = 3
	// surveyTargets and surveyPacket bound what a survey carries, the latter in bytes.
	surveyTargets = 64
	surveyPacket  = 700
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

// verifyAfter makes the search be verified if the owner does not answer soon.
func (b *Balancer) verifyAfter(now time.Duration, sought *search) {
	sought.verifyAt = now + verifyDelay
	b.verifications = append(b.verifications, sought)
}

// verifyDue asks agents about the flows whose owners have not answered.
func (b *Balancer) verifyDue(now time.Duration) {
	b.verifications = slices.DeleteFunc(b.verifications, func(sought *search) bool {
		known, exists := b.flows[sought.key]
		return !exists || known.search != sought || sought.verified >= verifyRounds
	})
	for _, sought := range b.verifications {
		if now >= sought.verifyAt {
			b.verify(now, sought)
		}
	}
}

// verify asks those agents that have not denied a flow whether its owner is among
// them. They are probed as soon as that is known to break nothing.
func (b *Balancer) verify(now time.Duration, sought *search) {
	sought.verifyAt = now + verifyInterval
	sought.verified++
	asked := slices.DeleteFunc(b.everyOwner(sought), func(candidate directory.Candidate) bool {
		return sought.replies[b.agentOf(candidate)].denied
	})
	probing := b.allProbed(sought, asked)
	worthwhile := probing || len(asked) >= surveyFirstMinimum
	if sought.verified <= surveyRounds && worthwhile && b.survey(sought, asked, probing) {
		return
	}
	if !b.searches.AllowN(time.Unix(0, int64(now)), len(asked)) {
		b.event(Event{Kind: EventLocating, Flow: sought.key, Version: b.snapshot.Version(), Reason: "limited"})
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

// surveyable reports whether a survey can carry what is asked of these agents.
func surveyable(sought *search, asked []directory.Candidate) bool {
	return len(asked) >= surveyMinimum && len(asked) <= surveyTargets && len(sought.held[0]) <= surveyPacket
}

// survey leaves it to an agent to ask the others, with probing to make them ask their
// endpoints. It reports whether that is possible.
func (b *Balancer) survey(sought *search, asked []directory.Candidate, probing bool) bool {
	if !surveyable(sought, asked) {
		return false
	}
	chosen := b.config.Random.IntN(len(asked))
	surveyor := asked[chosen]
	sought.surveyor = b.agentOf(surveyor)
	sought.surveyed = slices.Delete(slices.Clone(asked), chosen, chosen+1)
	b.surveys++
	sought.survey = b.surveys
	message := Message{
		Kind: KindSurvey, Service: surveyor.Endpoint.Service, Flow: FlowOf(sought.key), Probing: probing,
		Sequence: sought.survey, Terms: b.termsAt(sought.key, sought.surveyor), Packet: sought.held[0],
	}
	for _, candidate := range sought.surveyed {
		agent := b.agentOf(candidate)
		message.Targets = append(message.Targets, Target{IP: agent.IP, Port: agent.Port, Service: candidate.Endpoint.Service})
	}
	b.send(sought.surveyor, message)
	return true
}

// receiveSurveyed handles that all agents have denied a flow that another agent asked.
// That one answers for itself.
func (b *Balancer) receiveSurveyed(now time.Duration, from segment.Address, message Message) {
	known, exists := b.flows[message.Flow.Key()]
	if !exists || known.search == nil {
		return
	}
	// The answer to an earlier survey says nothing of those asked in a later one.
	if known.search.surveyor != from || known.search.survey != message.Sequence {
		return
	}
	sought := known.search
	for _, candidate := range sought.surveyed {
		agent := b.agentOf(candidate)
		answer := reply{denied: !message.Unsure, probed: sought.replies[agent].probed, began: now - message.Age}
		sought.replies[agent] = answer
		b.noteAge(candidate, answer)
	}
	b.conclude(now, known)
}

// Current tells that the directory has everything which the store had accepted before
// a time: flows that were open by then are held by endpoints that are known. The
// returned effects are valid until the next call.
func (b *Balancer) Current(now, through time.Duration) []Effect {
	b.effects = b.effects[:0]
	b.current = max(b.current, through)
	for _, sought := range b.verifications {
		if known, exists := b.flows[sought.key]; exists && known.search == sought {
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
		return Message{Kind: KindProbe, Service: service, Terms: b.termsAt(sought.key, b.agentOf(candidate)), Packet: sought.held[0]}
	}
	return Message{
		Kind: KindVerify, Service: service, Flow: FlowOf(sought.key),
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
	known, exists := b.flows[message.Flow.Key()]
	if exists && known.search != nil {
		b.replied(now, known, from, reply{denied: true, began: now - message.Age})
	}
}

// replied notes the answer of an agent to a search.
func (b *Balancer) replied(now time.Duration, known *balancerFlow, from segment.Address, answer reply) {
	answer.probed = known.search.replies[from].probed
	known.search.replies[from] = answer
	if candidate, exists := b.snapshot.At(from.IP); exists {
		b.noteAge(candidate, answer)
	}
	b.conclude(now, known)
}

// noteAge notes how long an agent has been there, and whether it knows all flows of its
// endpoint. One that had to ask its endpoint does not.
func (b *Balancer) noteAge(candidate directory.Candidate, answer reply) {
	told := b.healthOf(candidate.ID)
	told.unsure = answer.probed || !answer.denied
	told.began = answer.began
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
	for _, candidate := range owners {
		answered, exists := sought.replies[b.agentOf(candidate)]
		if !exists || !b.reachesBack(now, answered.began) {
			return
		}
		if !answered.denied {
			unsure = append(unsure, candidate)
		}
	}
	switch {
	case len(unsure) > 0:
		b.surveyOrProbe(sought, unsure)
	case b.current < sought.begun:
		b.effects = append(b.effects, Effect{Kind: EffectConfirm})
	default:
		b.declareOwnerless(known)
	}
}

// reachesBack reports whether the directory reaches back far enough to know every
// endpoint that may hold a flow, one that has left and serves on included: for as
// long as flows last or, since there was nothing before it, to when the agents were
// started. If all agents are as young as the directory, everything was started anew.
func (b *Balancer) reachesBack(now, agentBegan time.Duration) bool {
	since := b.snapshot.Since()
	return now-since >= b.config.FlowLifetime || agentBegan+restartSpread >= since
}

// surveyOrProbe makes agents ask their endpoints. The owner is among them, so that its
// flow is found by its own endpoint at the same time as others see a packet of it.
func (b *Balancer) surveyOrProbe(sought *search, unsure []directory.Candidate) {
	var unasked []directory.Candidate
	for _, candidate := range unsure {
		agent := b.agentOf(candidate)
		answered := sought.replies[agent]
		if answered.probed {
			continue
		}
		answered.probed = true
		sought.replies[agent] = answered
		unasked = append(unasked, candidate)
	}
	if len(unasked) == 0 || b.survey(sought, unasked, true) {
		return
	}
	for _, candidate := range unasked {
		b.send(b.agentOf(candidate), b.verification(sought, candidate))
	}
}

// probesFirst reports whether all agents are made to ask their endpoints at once,
// without a search before. That is so after everything was restarted: hardly an agent
// knows the flows of its endpoint then, and searches would only add to the rush.
func (b *Balancer) probesFirst(now time.Duration, sought *search) bool {
	if b.ownerless < mostlyOwnerless {
		return false
	}
	owners := b.everyOwner(sought)
	unsure := 0
	for _, candidate := range owners {
		told, exists := b.health[candidate.ID]
		if !exists || told.began == 0 || !b.reachesBack(now, told.began) {
			return false
		}
		if told.unsure {
			unsure++
		}
	}
	return unsure > len(owners)/2
}

// probeFirst makes all agents that may own a flow ask their endpoints.
func (b *Balancer) probeFirst(now time.Duration, sought *search) {
	owners := b.everyOwner(sought)
	cost := surveyCost
	if !surveyable(sought, owners) {
		cost = len(owners)
	}
	if !b.searches.AllowN(time.Unix(0, int64(now)), cost) {
		b.event(Event{Kind: EventLocating, Flow: sought.key, Version: b.snapshot.Version(), Reason: "limited"})
		return
	}
	b.event(Event{Kind: EventLocating, Flow: sought.key, Version: b.snapshot.Version(), Reason: "probing"})
	b.surveyOrProbe(sought, owners)
	sought.asked = now
	sought.rounds++
	b.surveyedFirst(now, sought)
}

// surveyFirst leaves the first round of a search among many agents to one of them. It
// reports whether that is possible.
func (b *Balancer) surveyFirst(now time.Duration, sought *search) bool {
	owners := b.everyOwner(sought)
	if len(owners) < surveyFirstMinimum || !surveyable(sought, owners) || !b.searches.AllowN(time.Unix(0, int64(now)), surveyCost) {
		return false
	}
	if !b.survey(sought, owners, false) {
		return false
	}
	b.event(Event{Kind: EventLocating, Flow: sought.key, Version: b.snapshot.Version(), Reason: "survey"})
	sought.asked = now
	sought.rounds++
	b.surveyedFirst(now, sought)
	return true
}

// surveyedFirst makes a search be verified that was begun so.
func (b *Balancer) surveyedFirst(now time.Duration, sought *search) {
	sought.verified++
	sought.verifyAt = now + verifyInterval
	b.verifications = append(b.verifications, sought)
}

// outcomeWeight is the weight of the last search in the share of those that found no
// owner, and mostlyOwnerless the share from which further ones are begun with probes.
const (
	outcomeWeight   = 0.1
	mostlyOwnerless = 0.5
)

// noteOutcome notes whether a search found the owner of a flow.
func (b *Balancer) noteOutcome(ownerless bool) {
	outcome := 0.0
	if ownerless {
		outcome = 1
	}
	b.ownerless += outcomeWeight * (outcome - b.ownerless)
}

// declareOwnerless resets a flow that no endpoint holds, so that its client need not
// wait for its time-out.
func (b *Balancer) declareOwnerless(known *balancerFlow) {
	sought := known.search
	known.search = nil
	known.state = flowOwnerless
	b.noteOutcome(true)
	b.event(Event{Kind: EventOwnerless, Flow: sought.key, Version: b.snapshot.Version()})
	b.reset(sought.key, sought.header)
}
