package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// minSurveyAgents is the least number of agents for which it is less work to leave a
	// round to one of them, which asks the others.
	minSurveyAgents = 4
	// minFirstRoundSurveyAgents is the number of agents from which already the first round is
	// left to some of them, and every later one that has so many to ask. With fewer, the
	// owner is found sooner without.
	minFirstRoundSurveyAgents = 16
	// smallSurveyRounds is how many rounds with fewer agents than that are left to one.
	smallSurveyRounds = 2
	// messagesPerSurvey is the number of messages of a survey on the network of the balancer.
	messagesPerSurvey = 3
	// surveyPayloadSize is how much a survey carries, in bytes, of a packet and of targets, each
	// of which takes ipSize; groupSize and the name of the service come to each group.
	surveyPayloadSize = MaxMessageSize - 200
	groupOverhead     = 12
)

// delegatedSurvey is a part of a round that was left to an agent, the surveyor.
type delegatedSurvey struct {
	surveyor segment.Address
	number   uint32
	// targets are the endpoints whose agents the surveyor asks; it answers for itself.
	targets []directory.Candidate
}

// splitSurvey divides the agents to ask so that each part is of one zone, whose agents are
// near to each other, and fits into one message beside a packet of a length: two messages
// between zones find out what all agents of another zone say.
func splitSurvey(agents []directory.Candidate, packetSize int) [][]directory.Candidate {
	sorted := slices.Clone(agents)
	slices.SortStableFunc(sorted, func(a, b directory.Candidate) int {
		return cmp.Or(cmp.Compare(a.Endpoint.Zone, b.Endpoint.Zone), cmp.Compare(a.Endpoint.Service, b.Endpoint.Service))
	})
	var parts [][]directory.Candidate
	room, zone, service := 0, "", ""
	for _, candidate := range sorted {
		size := ipv4Size
		if candidate.Endpoint.Service != service {
			size += groupOverhead + len(candidate.Endpoint.Service)
		}
		if len(parts) == 0 || room < size || candidate.Endpoint.Zone != zone {
			parts = append(parts, nil)
			room = surveyPayloadSize - packetSize
			size = ipv4Size + groupOverhead + len(candidate.Endpoint.Service)
		}
		zone, service = candidate.Endpoint.Zone, candidate.Endpoint.Service
		room -= size
		parts[len(parts)-1] = append(parts[len(parts)-1], candidate)
	}
	return parts
}

// delegateSurvey leaves it to agents to ask the others, with probing to make them ask their
// endpoints. It reports whether that is less work than to ask all.
func (b *Balancer) delegateSurvey(search *ownerSearch, agents []directory.Candidate, probe bool) bool {
	if len(agents) < minSurveyAgents {
		return false
	}
	var packet []byte
	if probe {
		packet = search.held[0]
	}
	search.delegated = search.delegated[:0]
	for _, part := range splitSurvey(agents, len(packet)) {
		b.sendSurvey(search, part, packet)
	}
	return true
}

// sendSurvey leaves some of the agents to one among them.
func (b *Balancer) sendSurvey(search *ownerSearch, agents []directory.Candidate, packet []byte) {
	chosen := b.config.Random.IntN(len(agents))
	surveyor := agents[chosen]
	b.surveyCount++
	delegated := delegatedSurvey{
		surveyor: b.agentAddress(surveyor), number: b.surveyCount, targets: slices.Delete(slices.Clone(agents), chosen, chosen+1),
	}
	search.delegated = append(search.delegated, delegated)
	message := Message{
		Kind: KindSurvey, Service: surveyor.Endpoint.Service, Flow: EncodeFlow(search.key), Sequence: delegated.number,
		Acknowledgment: search.latestHeader.Acknowledgment, Flags: search.latestHeader.Flags,
		Parameters: b.parametersAt(search.key, delegated.surveyor), Packet: packet,
	}
	for _, candidate := range delegated.targets {
		message.Targets = appendToGroup(message.Targets, candidate.Endpoint.Service, b.agentAddress(candidate))
	}
	b.send(delegated.surveyor, message)
}

// receiveSurveyResult handles what the agents have answered that another agent asked. That
// one answers for itself.
func (b *Balancer) receiveSurveyResult(now time.Duration, from segment.Address, message Message) {
	flow, exists := b.searchedFlow(message)
	if !exists {
		return
	}
	search := flow.search
	// The answer to an earlier survey says nothing of those asked in a later one.
	index := slices.IndexFunc(search.delegated, func(delegated delegatedSurvey) bool {
		return delegated.surveyor == from && delegated.number == message.Sequence
	})
	if index < 0 {
		return
	}
	uncertain := groupAddresses(message.Uncertain)
	unresponsive := groupAddresses(message.Unresponsive)
	for _, candidate := range search.delegated[index].targets {
		agent := b.agentAddress(candidate)
		if slices.Contains(unresponsive, agent) {
			continue
		}
		search.replies[agent] = surveyReply{
			denied: !slices.Contains(uncertain, agent), probed: search.replies[agent].probed, agentStartedAt: now - message.Uptime,
		}
	}
	b.conclude(now, flow)
}

// probeUncertain makes agents ask their endpoints. The owner is among them, so that its
// flow is found by its own endpoint at the same time as others see a packet of it.
func (b *Balancer) probeUncertain(search *ownerSearch, uncertain []directory.Candidate) {
	var unprobed []directory.Candidate
	for _, candidate := range uncertain {
		agent := b.agentAddress(candidate)
		reply := search.replies[agent]
		if reply.probed {
			continue
		}
		reply.probed = true
		search.replies[agent] = reply
		unprobed = append(unprobed, candidate)
	}
	if len(unprobed) == 0 || b.delegateSurvey(search, unprobed, true) {
		return
	}
	for _, candidate := range unprobed {
		b.send(b.agentAddress(candidate), b.verificationMessage(search, candidate))
	}
}

// locateBySurvey leaves the search for an owner among many agents to some of them. While
// their answers are out, it lets some of those that do not know probe.
func (b *Balancer) locateBySurvey(now time.Duration, search *ownerSearch, owners []directory.Candidate, packet []byte) {
	restart := search.rounds == 0 || search.verifications >= verifyRounds
	if restart && !b.beginSurvey(now, search, owners) {
		return
	}
	if !restart {
		b.probeNext(now, search, packet)
	}
	search.lastRoundAt = now
	search.rounds++
}

// beginSurvey makes the first round of a search. It reports whether the network has room
// for it.
func (b *Balancer) beginSurvey(now time.Duration, search *ownerSearch, owners []directory.Candidate) bool {
	if !b.allowSearch(now, search.key, messagesPerSurvey*len(splitSurvey(owners, 0))) {
		return false
	}
	b.delegateSurvey(search, owners, false)
	b.recordEvent(Event{Kind: EventLocating, Flow: search.key, Version: b.snapshot.Version(), Reason: "survey"})
	search.verifications = 1
	b.scheduleVerification(now+verifyInterval, search)
	return true
}

// probeNext makes some agents that do not know ask their endpoints.
func (b *Balancer) probeNext(now time.Duration, search *ownerSearch, packet []byte) {
	for _, agent := range search.nextProbes(now) {
		candidate, exists := b.snapshot.At(agent.IP)
		if exists {
			b.send(agent, Message{Kind: KindProbe, Service: candidate.Endpoint.Service, Packet: packet})
		}
	}
}
