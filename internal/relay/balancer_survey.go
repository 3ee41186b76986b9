package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// surveyMinimum is the least number of agents for which it is less work to leave a
	// round to one of them, which asks the others.
	surveyMinimum = 4
	// surveyFirstMinimum is the number of agents from which already the first round is
	// left to some of them, and every later one that has so many to ask. With fewer, the
	// owner is found sooner without.
	surveyFirstMinimum = 16
	// surveyRounds is how many rounds with fewer agents than that are left to one.
	surveyRounds = 2
	// surveyCost is the number of messages of a survey on the network of the balancer.
	surveyCost = 3
	// surveyRoom is how much a survey carries, in bytes, of a packet and of targets, each
	// of which takes ipSize; groupSize and the name of the service come to each group.
	surveyRoom = MaxMessageSize - 200
	groupSize  = 12
)

// delegated is a part of a round that was left to an agent, the surveyor.
type delegated struct {
	surveyor segment.Address
	number   uint32
	// asked are the endpoints whose agents the surveyor asks; it answers for itself.
	asked []directory.Candidate
}

// surveyParts divides the agents to ask so that each part is of one zone, whose agents are
// near to each other, and fits into one message beside a packet of a length: two messages
// between zones find out what all agents of another zone say.
func surveyParts(asked []directory.Candidate, packet int) [][]directory.Candidate {
	sorted := slices.Clone(asked)
	slices.SortStableFunc(sorted, func(a, b directory.Candidate) int {
		return cmp.Or(cmp.Compare(a.Endpoint.Zone, b.Endpoint.Zone), cmp.Compare(a.Endpoint.Service, b.Endpoint.Service))
	})
	var parts [][]directory.Candidate
	room, zone, service := 0, "", ""
	for _, candidate := range sorted {
		size := ipSize
		if candidate.Endpoint.Service != service {
			size += groupSize + len(candidate.Endpoint.Service)
		}
		if len(parts) == 0 || room < size || candidate.Endpoint.Zone != zone {
			parts = append(parts, nil)
			room = surveyRoom - packet
			size = ipSize + groupSize + len(candidate.Endpoint.Service)
		}
		zone, service = candidate.Endpoint.Zone, candidate.Endpoint.Service
		room -= size
		parts[len(parts)-1] = append(parts[len(parts)-1], candidate)
	}
	return parts
}

// survey leaves it to agents to ask the others, with probing to make them ask their
// endpoints. It reports whether that is less work than to ask all.
func (b *Balancer) survey(sought *search, asked []directory.Candidate, probing bool) bool {
	if len(asked) < surveyMinimum {
		return false
	}
	var packet []byte
	if probing {
		packet = sought.held[0]
	}
	sought.delegated = sought.delegated[:0]
	for _, part := range surveyParts(asked, len(packet)) {
		b.surveyPart(sought, part, packet)
	}
	return true
}

// surveyPart leaves some of the agents to one among them.
func (b *Balancer) surveyPart(sought *search, part []directory.Candidate, packet []byte) {
	chosen := b.config.Random.IntN(len(part))
	surveyor := part[chosen]
	b.surveys++
	left := delegated{
		surveyor: b.agentOf(surveyor), number: b.surveys, asked: slices.Delete(slices.Clone(part), chosen, chosen+1),
	}
	sought.delegated = append(sought.delegated, left)
	message := Message{
		Kind: KindSurvey, Service: surveyor.Endpoint.Service, Flow: EncodeFlow(sought.key), Sequence: left.number,
		Acknowledgment: sought.header.Acknowledgment, Flags: sought.header.Flags,
		Parameters: b.termsAt(sought.key, left.surveyor), Packet: packet,
	}
	for _, candidate := range left.asked {
		message.Targets = appendTarget(message.Targets, candidate.Endpoint.Service, b.agentOf(candidate))
	}
	b.send(left.surveyor, message)
}

// receiveSurveyed handles what the agents have answered that another agent asked. That
// one answers for itself.
func (b *Balancer) receiveSurveyed(now time.Duration, from segment.Address, message Message) {
	known, exists := b.soughtFlow(message)
	if !exists {
		return
	}
	sought := known.search
	// The answer to an earlier survey says nothing of those asked in a later one.
	index := slices.IndexFunc(sought.delegated, func(left delegated) bool {
		return left.surveyor == from && left.number == message.Sequence
	})
	if index < 0 {
		return
	}
	unsure := addressesOf(message.Uncertain)
	silent := addressesOf(message.Unresponsive)
	for _, candidate := range sought.delegated[index].asked {
		agent := b.agentOf(candidate)
		if slices.Contains(silent, agent) {
			continue
		}
		sought.replies[agent] = reply{
			denied: !slices.Contains(unsure, agent), probed: sought.replies[agent].probed, began: now - message.Uptime,
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

// locateBySurvey leaves the search for an owner among many agents to some of them. While
// their answers are out, it lets some of those that do not know probe.
func (b *Balancer) locateBySurvey(now time.Duration, sought *search, owners []directory.Candidate, packet []byte) {
	begins := sought.rounds == 0 || sought.verified >= verifyRounds
	if begins && !b.beginSurvey(now, sought, owners) {
		return
	}
	if !begins {
		b.probeSome(now, sought, packet)
	}
	sought.asked = now
	sought.rounds++
}

// beginSurvey makes the first round of a search. It reports whether the network has room
// for it.
func (b *Balancer) beginSurvey(now time.Duration, sought *search, owners []directory.Candidate) bool {
	if !b.maySearch(now, sought.key, surveyCost*len(surveyParts(owners, 0))) {
		return false
	}
	b.survey(sought, owners, false)
	b.event(Event{Kind: EventLocating, Flow: sought.key, Version: b.snapshot.Version(), Reason: "survey"})
	sought.verified = 1
	b.verifyAt(now+verifyInterval, sought)
	return true
}

// probeSome makes some agents that do not know ask their endpoints.
func (b *Balancer) probeSome(now time.Duration, sought *search, packet []byte) {
	for _, agent := range sought.nextProbes(now) {
		candidate, exists := b.snapshot.CandidateAt(agent.IP)
		if exists {
			b.send(agent, Message{Kind: KindProbe, Service: candidate.Endpoint.Service, Packet: packet})
		}
	}
}
