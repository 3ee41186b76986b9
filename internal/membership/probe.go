// This file implements failure detection among the members that a process
// probes: ping, indirect ping, suspicion and its expiry.

package membership

import (
	"slices"
	"time"
)

const (
	// minimumGroup is how many members a zone, or else a region, must have
	// for its members to probe only each other.
	minimumGroup = 5
	// maximumRelays bounds the indirect pings on behalf of others.
	maximumRelays = 64
	// maximumHealthScore bounds the local health score.
	maximumHealthScore = 8
	// suspectPings is how often each prober itself pings a suspect before it
	// declares it failed, in case it missed the refutation.
	suspectPings = 3
)

// probe is the current probe and the order of those to come.
type probe struct {
	queue    []Address
	next     time.Duration
	target   Identity
	sequence uint32
	started  time.Duration
	pending  bool
	repeated bool
	indirect bool
}

// relay is an indirect ping on behalf of another member.
type relay struct {
	requester Address
	requested uint32
	target    Address
	sequence  uint32
	expires   time.Duration
}

// localHealth counts recent probes without an answer, after Lifeguard (Dadgar
// et al. 2018): a process whose probes fail gives others more time, since the
// fault may be its own.
type localHealth struct{ score int }

func (h *localHealth) failed()    { h.score = min(h.score+1, maximumHealthScore) }
func (h *localHealth) succeeded() { h.score = max(h.score-1, 0) }

// scale lengthens a duration by the score, at most to twice its length.
func (h *localHealth) scale(duration time.Duration) time.Duration {
	return duration + duration*time.Duration(h.score)/maximumHealthScore
}

// probes reports whether this process probes the member: if it is in the own
// zone, or the region if the zone is small, or anywhere if the region is.
func (m *Machine) probes(candidate Identity) bool {
	own := m.self.Member
	if m.roster.zones[own.Zone].live >= minimumGroup {
		return candidate.Zone == own.Zone
	}
	if m.liveInRegion(own.Region) >= minimumGroup {
		return candidate.Region == own.Region
	}
	return true
}

func (m *Machine) liveInRegion(region Region) int {
	live := 0
	for zone := range m.roster.zones {
		record := &m.roster.zones[zone]
		if len(record.members) > 0 && record.members[0].update.Member.Region == region {
			live += record.live
		}
	}
	return live
}

// probeNext advances the current probe and starts the next one when it is due. A process that
// does not know what others know would accuse nobody, and may know none but the seeds.
func (m *Machine) probeNext(now time.Duration) {
	if m.recovery.active {
		return
	}
	if m.probe.pending {
		m.urgeProbe(now)
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

// urgeProbe repeats the ping after half the timeout, since one lost datagram
// costs less to repeat than to ask others, and asks others after all of it.
func (m *Machine) urgeProbe(now time.Duration) {
	timeout := min(m.health.scale(m.config.ProbeTimeout), m.config.ProbeInterval*3/4)
	if !m.probe.repeated && now >= m.probe.started+timeout/2 {
		m.probe.repeated = true
		m.send(now, m.probe.target.Address, Message{Kind: KindPing, Sequence: m.probe.sequence})
	}
	if !m.probe.indirect && now >= m.probe.started+timeout {
		m.probeIndirectly(now)
	}
}

// nextTarget takes the next live member from a shuffled list, as in SWIM's
// round-robin selection, which bounds the time to the first probe.
func (m *Machine) nextTarget() (Identity, bool) {
	if len(m.probe.queue) == 0 {
		m.fillProbeQueue()
	}
	for len(m.probe.queue) > 0 {
		address := m.probe.queue[0]
		m.probe.queue = m.probe.queue[1:]
		known, exists := m.roster.byAddress[address]
		if exists && m.isLivePeer(known) && m.probes(known.update.Member) {
			return known.update.Member, true
		}
	}
	return Identity{}, false
}

func (m *Machine) fillProbeQueue() {
	for zone := range m.roster.zones {
		for _, candidate := range m.roster.zones[zone].members {
			if m.isLivePeer(candidate) && m.probes(candidate.update.Member) {
				m.probe.queue = append(m.probe.queue, candidate.update.Member.Address)
			}
		}
	}
	m.random.Shuffle(len(m.probe.queue), func(i, j int) {
		m.probe.queue[i], m.probe.queue[j] = m.probe.queue[j], m.probe.queue[i]
	})
}

// probeIndirectly asks others to ping the target, one of them in another zone
// if there is one, since the own zone's network may be at fault.
func (m *Machine) probeIndirectly(now time.Duration) {
	m.probe.indirect = true
	var asked []Address
	if helper, exists := m.nextRemote(m.isLivePeer); exists && helper.update.Member.Address != m.probe.target.Address {
		asked = append(asked, helper.update.Member.Address)
	}
	suits := func(candidate *member) bool {
		address := candidate.update.Member.Address
		return m.isLivePeer(candidate) && address != m.probe.target.Address && !slices.Contains(asked, address)
	}
	for len(asked) < m.config.IndirectProbes {
		helper, exists := m.roster.randomMember(m.random, m.self.Member.Zone, suits)
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
	if len(m.relays) >= maximumRelays || message.Target == 0 || message.Target == m.self.Member.Address {
		return
	}
	added := relay{
		requester: from,
		requested: message.Sequence,
		target:    message.Target,
		sequence:  m.nextSequence(),
		expires:   now + m.config.ProbeInterval,
	}
	m.relays = append(m.relays, added)
	m.send(now, added.target, Message{Kind: KindPing, Sequence: added.sequence})
}

func (m *Machine) expireRelays(now time.Duration) {
	m.relays = slices.DeleteFunc(m.relays, func(waiting relay) bool { return now >= waiting.expires })
}

// receiveAck ends the probe that is answered, or passes the answer on.
func (m *Machine) receiveAck(now time.Duration, from Address, message Message) {
	answering := from
	if message.Target != 0 {
		answering = message.Target
	}
	if m.probe.pending && message.Sequence == m.probe.sequence && answering == m.probe.target.Address {
		m.probe.pending = false
		m.health.succeeded()
	}
	for index, waiting := range m.relays {
		if waiting.sequence == message.Sequence && waiting.target == from {
			m.relays = slices.Delete(m.relays, index, index+1)
			m.send(now, waiting.requester, Message{
				Kind: KindAck, Sequence: waiting.requested, Target: waiting.target,
			})
			return
		}
	}
}

// failProbe suspects the target of a probe that nobody answered.
func (m *Machine) failProbe(now time.Duration) {
	m.probe.pending = false
	m.health.failed()
	known, exists := m.roster.byAddress[m.probe.target.Address]
	if !exists || m.recovery.active || known.update.State != StateAlive ||
		known.update.Member != m.probe.target {
		return
	}
	suspicion := known.update
	suspicion.State = StateSuspect
	m.merge(now, suspicion, true)
	// The suspect learns of it at once and can refute.
	m.send(now, suspicion.Member.Address, Message{Kind: KindPing, Sequence: m.nextSequence()})
}

// expireSuspicions declares suspects failed that did not refute in time. Only
// those who probe a member do so: others need not hear of its refutation.
func (m *Machine) expireSuspicions(now time.Duration) {
	if m.recovery.active {
		return
	}
	timeout := m.health.scale(m.config.SuspicionTimeout)
	for _, suspect := range slices.Clone(m.suspects) {
		probes := m.probes(suspect.update.Member)
		expired := now >= suspect.since+timeout
		switch {
		case probes && expired:
			m.declareFailed(now, suspect)
		case probes:
			m.verifySuspect(now, suspect, timeout)
		case expired:
			m.dropSuspicion(now, suspect)
		}
	}
}

// dropSuspicion forgets a suspicion that is for others to decide.
func (m *Machine) dropSuspicion(now time.Duration, suspect *member) {
	before := suspect.update
	after := before
	after.State = StateAlive
	m.install(now, after)
	m.report(before, after)
}

func (m *Machine) declareFailed(now time.Duration, known *member) {
	failure := known.update
	failure.State = StateFailed
	m.merge(now, failure, true)
}

// verifySuspect pings a suspect in the second half of its time. A refutation
// that went around, but missed this process, arrives with the answer.
func (m *Machine) verifySuspect(now time.Duration, suspect *member, timeout time.Duration) {
	spacing := timeout / (2 * (suspectPings + 1))
	due := suspect.since + timeout/2 + spacing*time.Duration(suspect.verifications)
	if suspect.verifications >= suspectPings || now < due {
		return
	}
	suspect.verifications++
	m.send(now, suspect.update.Member.Address, Message{Kind: KindPing, Sequence: m.nextSequence()})
}
