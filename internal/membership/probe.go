// This file implements failure detection by probing: ping, indirect ping, suspicion and the
// end of a suspicion by refutation or failure.

package membership

import (
	"slices"
	"time"
)

const (
	// minProbeGroup is the number of live members from which the members of a zone, or
	// else of a region, probe only each other.
	minProbeGroup = 5
	// maxRelayedPings limits the pings sent on behalf of other members at a time.
	maxRelayedPings = 64
	// maxHealthScore limits the local health score.
	maxHealthScore = 8
	// maxSuspectPings is how often each prober pings a suspect before it declares it
	// failed. The ack carries a refutation that the prober may have missed.
	maxSuspectPings = 3
)

// probeState is the current probe and the order of the next ones.
type probeState struct {
	queue    []Address
	next     time.Duration
	target   Identity
	sequence uint32
	started  time.Duration
	pending  bool
	repeated bool
	indirect bool
}

// relayedPing is a ping sent on behalf of another member.
type relayedPing struct {
	requester       Address
	requestSequence uint32
	target          Address
	sequence        uint32
	expires         time.Duration
}

// localHealth counts recent probes without an ack, after Lifeguard (Dadgar et al. 2018).
// A process whose probes fail gives others more time to reply, since the fault may be its
// own.
type localHealth struct{ score int }

func (h *localHealth) failed()    { h.score = min(h.score+1, maxHealthScore) }
func (h *localHealth) succeeded() { h.score = max(h.score-1, 0) }

// scale extends a duration in proportion to the score, at most to twice its length.
func (h *localHealth) scale(duration time.Duration) time.Duration {
	return duration + duration*time.Duration(h.score)/maxHealthScore
}

// shouldProbe reports whether this process probes the member. It probes its own zone, the
// whole region if the zone is small, and all members if the region is small as well.
func (m *Machine) shouldProbe(candidate Identity) bool {
	own := m.self.Member
	if m.memberList.zones[own.Zone].live >= minProbeGroup {
		return candidate.Zone == own.Zone
	}
	if m.liveInRegion(own.Region) >= minProbeGroup {
		return candidate.Region == own.Region
	}
	return true
}

func (m *Machine) liveInRegion(region Region) int {
	live := 0
	for zone := range m.memberList.zones {
		record := &m.memberList.zones[zone]
		if len(record.members) > 0 && record.members[0].update.Member.Region == region {
			live += record.live
		}
	}
	return live
}

// advanceProbe advances the current probe and starts the next one when it is due. While the
// process catches up it does not probe: it must not suspect any member then, and may list
// only the seeds.
func (m *Machine) advanceProbe(now time.Duration) {
	if m.recovery.active {
		return
	}
	if m.probe.pending {
		m.escalateProbe(now)
	}
	if now < m.probe.next {
		return
	}
	if m.probe.pending {
		m.failProbe(now)
	}
	m.probe.next = now + m.config.ProbeInterval
	target, exists := m.nextTarget()
	if !exists {
		return
	}
	m.probe.target = target
	m.probe.sequence = m.nextSequence()
	m.probe.started = now
	m.probe.pending = true
	m.probe.repeated = false
	m.probe.indirect = false
	m.send(now, target.Address, Message{Kind: KindPing, Sequence: m.probe.sequence})
}

// escalateProbe repeats the ping after half the timeout, because a lost datagram is cheaper
// to repeat than to ask other members. After the full timeout it asks other members.
func (m *Machine) escalateProbe(now time.Duration) {
	timeout := min(m.health.scale(m.config.ProbeTimeout), m.config.ProbeInterval*3/4)
	if !m.probe.repeated && now >= m.probe.started+timeout/2 {
		m.probe.repeated = true
		m.send(now, m.probe.target.Address, Message{Kind: KindPing, Sequence: m.probe.sequence})
	}
	if !m.probe.indirect && now >= m.probe.started+timeout {
		m.probeIndirectly(now)
	}
}

// nextTarget returns the next live member of a shuffled list, as in SWIM's round-robin
// selection, which limits the time until a member is probed.
func (m *Machine) nextTarget() (Identity, bool) {
	if len(m.probe.queue) == 0 {
		m.fillProbeQueue()
	}
	for len(m.probe.queue) > 0 {
		address := m.probe.queue[0]
		m.probe.queue = m.probe.queue[1:]
		known, exists := m.memberList.byAddress[address]
		if exists && m.isLivePeer(known) && m.shouldProbe(known.update.Member) {
			return known.update.Member, true
		}
	}
	return Identity{}, false
}

func (m *Machine) fillProbeQueue() {
	for zone := range m.memberList.zones {
		for _, candidate := range m.memberList.zones[zone].members {
			if m.isLivePeer(candidate) && m.shouldProbe(candidate.update.Member) {
				m.probe.queue = append(m.probe.queue, candidate.update.Member.Address)
			}
		}
	}
	m.random.Shuffle(len(m.probe.queue), func(i, j int) {
		m.probe.queue[i], m.probe.queue[j] = m.probe.queue[j], m.probe.queue[i]
	})
}

// probeIndirectly asks other members to ping the target. One of them is in another zone if
// possible, since the network of the own zone may be at fault.
func (m *Machine) probeIndirectly(now time.Duration) {
	m.probe.indirect = true
	var asked []Address
	if helper, exists := m.nextRemoteMember(m.isLivePeer); exists && helper.update.Member.Address != m.probe.target.Address {
		asked = append(asked, helper.update.Member.Address)
	}
	matches := func(candidate *member) bool {
		address := candidate.update.Member.Address
		return m.isLivePeer(candidate) && address != m.probe.target.Address && !slices.Contains(asked, address)
	}
	for len(asked) < m.config.IndirectProbes {
		helper, exists := m.memberList.randomMember(m.random, m.self.Member.Zone, matches)
		if !exists {
			break
		}
		asked = append(asked, helper.update.Member.Address)
	}
	for _, address := range asked {
		m.send(now, address, Message{
			Kind: KindPingRequest, Sequence: m.probe.sequence, Target: m.probe.target.Address,
		})
	}
}

// relayPing pings a target on behalf of another member.
func (m *Machine) relayPing(now time.Duration, from Address, message Message) {
	if len(m.relayedPings) >= maxRelayedPings || message.Target == 0 || message.Target == m.self.Member.Address {
		return
	}
	added := relayedPing{
		requester:       from,
		requestSequence: message.Sequence,
		target:          message.Target,
		sequence:        m.nextSequence(),
		expires:         now + m.config.ProbeInterval,
	}
	m.relayedPings = append(m.relayedPings, added)
	m.send(now, added.target, Message{Kind: KindPing, Sequence: added.sequence})
}

func (m *Machine) expireRelayedPings(now time.Duration) {
	m.relayedPings = slices.DeleteFunc(m.relayedPings, func(waiting relayedPing) bool { return now >= waiting.expires })
}

// receiveAck completes the current probe or forwards the ack to the member that
// requested the ping.
func (m *Machine) receiveAck(now time.Duration, from Address, message Message) {
	replying := from
	if message.Target != 0 {
		replying = message.Target
	}
	if m.probe.pending && message.Sequence == m.probe.sequence && replying == m.probe.target.Address {
		m.probe.pending = false
		m.health.succeeded()
	}
	for index, waiting := range m.relayedPings {
		if waiting.sequence == message.Sequence && waiting.target == from {
			m.relayedPings = slices.Delete(m.relayedPings, index, index+1)
			m.send(now, waiting.requester, Message{
				Kind: KindAck, Sequence: waiting.requestSequence, Target: waiting.target,
			})
			return
		}
	}
}

// failProbe marks the target of an unanswered probe as suspect.
func (m *Machine) failProbe(now time.Duration) {
	m.probe.pending = false
	m.health.failed()
	known, exists := m.memberList.byAddress[m.probe.target.Address]
	if !exists || m.recovery.active || known.update.State != StateAlive ||
		known.update.Member != m.probe.target {
		return
	}
	suspicion := known.update
	suspicion.State = StateSuspect
	m.merge(now, suspicion, true)
	// Pings the suspect, so that it receives the suspicion at once and can refute it.
	m.send(now, suspicion.Member.Address, Message{Kind: KindPing, Sequence: m.nextSequence()})
}

// expireSuspicions declares suspects failed that did not refute in time. Only members that
// probe the suspect do so, because refutations are not sent to the others.
func (m *Machine) expireSuspicions(now time.Duration) {
	if m.recovery.active {
		return
	}
	timeout := m.health.scale(m.config.SuspicionTimeout)
	for _, suspect := range slices.Clone(m.suspects) {
		probes := m.shouldProbe(suspect.update.Member)
		expired := now >= suspect.since+timeout
		switch {
		case probes && expired:
			m.declareFailed(now, suspect)
		case probes:
			m.pingSuspect(now, suspect, timeout)
		case expired:
			m.dropSuspicion(now, suspect)
		}
	}
}

// dropSuspicion marks a suspect that this process does not probe as alive again. Only
// members that probe the suspect decide whether it has failed.
func (m *Machine) dropSuspicion(now time.Duration, suspect *member) {
	before := suspect.update
	after := before
	after.State = StateAlive
	m.record(now, after)
	m.emitChange(before, after)
}

func (m *Machine) declareFailed(now time.Duration, known *member) {
	failure := known.update
	failure.State = StateFailed
	m.merge(now, failure, true)
}

// pingSuspect pings a suspect in the second half of its timeout. If this process missed the
// refutation, it arrives with the ack.
func (m *Machine) pingSuspect(now time.Duration, suspect *member, timeout time.Duration) {
	spacing := timeout / (2 * (maxSuspectPings + 1))
	due := suspect.since + timeout/2 + spacing*time.Duration(suspect.suspectPings)
	if suspect.suspectPings >= maxSuspectPings || now < due {
		return
	}
	suspect.suspectPings++
	m.send(now, suspect.update.Member.Address, Message{Kind: KindPing, Sequence: m.nextSequence()})
}
