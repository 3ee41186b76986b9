package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// minSurveyAgents is the minimum number of agents to ask for a survey to be cheaper than direct
	// queries. In a survey one agent asks the others.
	minSurveyAgents = 4
	// minFirstRoundSurveyAgents is the number of agents from which any round, even the first, is a
	// survey. With fewer agents direct queries find the owner sooner.
	minFirstRoundSurveyAgents = 16
	// smallSurveyRounds is the number of verification rounds in which fewer than
	// minFirstRoundSurveyAgents agents are surveyed too, if they have to probe.
	smallSurveyRounds = 2
	// messagesPerSurvey is the number of messages of a survey on the balancer's network.
	messagesPerSurvey = 3
	// surveyPayloadSize is the number of bytes in a survey that are available for a packet and
	// targets. Each target takes ipv4Size bytes. Each group takes groupOverhead bytes and the
	// length of its service name.
	surveyPayloadSize = MaxMessageSize - 200
	groupOverhead     = 12
)

// delegatedSurvey is the part of a round that one agent, the surveyor, carries out.
type delegatedSurvey struct {
	surveyor segment.Address
	number   uint32
	// targets are the endpoints whose agents the surveyor asks. The surveyor replies for itself.
	targets []directory.Candidate
}

// splitSurvey splits the agents to ask into parts of one zone each that fit into one message beside
// a packet of the given size. Agents of a zone are near to each other, so two messages between
// zones are enough to collect the replies of all agents of another zone.
func splitSurvey(agents []directory.Candidate, packetSize int) [][]directory.Candidate {
	sorted := slices.Clone(agents)
	slices.SortStableFunc(sorted, func(a, b directory.Candidate) int {
		return cmp.Or(cmp.Compare(a.Endpoint.Zone, b.Endpoint.Zone), cmp.Compare(a.Endpoint.Service, b.Endpoint.Service))
	})
	var parts [][]directory.Candidate
	remaining, zone, service := 0, "", ""
	for _, candidate := range sorted {
		size := ipv4Size
		if candidate.Endpoint.Service != service {
			size += groupOverhead + len(candidate.Endpoint.Service)
		}
		if len(parts) == 0 || remaining < size || candidate.Endpoint.Zone != zone {
			parts = append(parts, nil)
			remaining = surveyPayloadSize - packetSize
			size = ipv4Size + groupOverhead + len(candidate.Endpoint.Service)
		}
		zone, service = candidate.Endpoint.Zone, candidate.Endpoint.Service
		remaining -= size
		parts[len(parts)-1] = append(parts[len(parts)-1], candidate)
	}
	return parts
}

// delegateSurvey sends surveys of the given agents, by KindProbe if probe is set. It reports
// whether it sent any: with few agents it does not, because direct queries are cheaper.
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

// sendSurvey sends a survey of the given agents to one of them.
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

// receiveSurveyResult handles the result of a survey. It does not cover the surveyor, which replies
// for itself.
func (b *Balancer) receiveSurveyResult(now time.Duration, from segment.Address, message Message) {
	flow, exists := b.searchedFlow(message)
	if !exists {
		return
	}
	search := flow.search
	// The result of an earlier survey does not apply to the agents asked in a later one.
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
		search.replies[agent] = searchReply{
			denied: !slices.Contains(uncertain, agent), probed: search.replies[agent].probed, registered: message.Registered,
		}
	}
	b.conclude(now, flow)
}

// probeUncertain makes all uncertain agents probe their endpoints at once. The owner is among them,
// so its own endpoint gets the packet at the same time as the others.
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

// locateBySurvey searches for an owner among many agents by surveys. While results are outstanding
// it makes some of the uncertain agents probe.
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

// beginSurvey sends the first round of a search. It reports whether the limit of search messages
// permits it.
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

// probeNext sends a probe to the next uncertain agents.
func (b *Balancer) probeNext(now time.Duration, search *ownerSearch, packet []byte) {
	for _, agent := range search.nextProbes(now) {
		candidate, exists := b.candidateOf(agent)
		if exists {
			b.send(agent, Message{Kind: KindProbe, Service: candidate.Endpoint.Service, Packet: packet})
		}
	}
}
