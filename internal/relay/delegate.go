package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// surveyRounds is how many rounds are left to an agent, which asks the others, and
	// surveyMinimum the least number of agents for which that is less work.
	surveyRounds  = 2
	surveyMinimum = 4
	// surveyFirstMinimum is the number of agents from which already the first round is
	// left to one of them. With fewer, the owner is found sooner without.
	surveyFirstMinimum = 16
	// surveyCost is the number of messages of a survey on the network of the balancer.
	surveyCost = 3
	// surveyRoom is how much a survey carries, in bytes, of a packet and of targets, each
	// of which takes targetSize and the name of its service.
	surveyRoom = MaximumMessage - 200
	targetSize = 12
)

// surveyable reports whether a survey can carry what is asked of these agents.
func surveyable(sought *search, asked []directory.Candidate) bool {
	size := len(sought.held[0])
	for _, candidate := range asked {
		size += targetSize + len(candidate.Endpoint.Service)
	}
	return len(asked) >= surveyMinimum && size <= surveyRoom
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
	known, exists := b.soughtFlow(message)
	if !exists {
		return
	}
	// The answer to an earlier survey says nothing of those asked in a later one.
	if known.search.surveyor != from || known.search.survey != message.Sequence {
		return
	}
	sought := known.search
	for _, candidate := range sought.surveyed {
		agent := b.agentOf(candidate)
		sought.replies[agent] = reply{
			denied: !message.Unsure, probed: sought.replies[agent].probed, began: now - message.Age,
		}
	}
	b.conclude(now, known)
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

// surveyFirst leaves the first round of a search among many agents to one of them. It
// reports whether that is possible.
func (b *Balancer) surveyFirst(now time.Duration, sought *search) bool {
	owners := b.everyOwner(sought)
	possible := len(owners) >= surveyFirstMinimum && surveyable(sought, owners)
	if !possible || !b.searches.AllowN(time.Unix(0, int64(now)), surveyCost) {
		return false
	}
	b.survey(sought, owners, false)
	b.event(Event{Kind: EventLocating, Flow: sought.key, Version: b.snapshot.Version(), Reason: "survey"})
	sought.asked = now
	sought.rounds++
	sought.verified++
	b.verifyAt(now+verifyInterval, sought)
	return true
}
