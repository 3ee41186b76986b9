// This file implements the machine's entry points and the messages it sends.

package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// TickInterval is how often Tick shall be called.
const TickInterval = 100 * time.Millisecond

const (
	// leaveCopies is how many members of the own zone and of other zones are
	// told of a planned stop.
	leaveCopies = 5
	// forgetInterval is the time between two searches for members that have
	// been failed for longer than the retention.
	forgetInterval = 10 * time.Second
)

// Machine is the membership of one process. It is not safe for concurrent use.
type Machine struct {
	config  Config
	random  *rand.Rand
	self    Update
	roster  *roster
	gossip  *gossip
	effects []Effect

	attachment []byte
	seeds      []Address
	lastTick   time.Duration
	everTicked bool
	stopped    bool
	sequence   uint32
	nextForget time.Duration

	probe    probe
	relays   []relay
	suspects []*member
	recovery recovery
	sync     synchronization
	remote   remoteContact
	health   localHealth
	// digestTurn is the zone whose digest goes into the next message.
	digestTurn Zone
}

// New returns the machine of a process that knows nobody yet. It fails if the
// configuration cannot be used.
func New(config Config) (*Machine, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	created := &Machine{
		config: config,
		random: config.Random,
		self:   Update{Member: config.Self},
		roster: newRoster(),
		gossip: newGossip(),
	}
	created.sync.credit = answerBurst
	created.roster.put(0, created.self)
	created.gossip.add(0, created.self, audienceAll)
	return created, nil
}

// Self returns the identity under which the process is known.
func (m *Machine) Self() Identity { return m.self.Member }

// SetSeeds replaces the addresses that are pinged if no member is known there,
// such as the platform's list of machines. The list decides nothing else: a
// member is neither alive nor failed for being listed or not. A random choice
// is kept if there are too many.
func (m *Machine) SetSeeds(seeds []Address) {
	kept := slices.DeleteFunc(slices.Clone(seeds), func(seed Address) bool {
		return seed == 0 || seed == m.self.Member.Address
	})
	m.random.Shuffle(len(kept), func(i, j int) { kept[i], kept[j] = kept[j], kept[i] })
	m.seeds = kept[:min(len(kept), maximumSeeds)]
}

// SetAttachment sets what every message carries for another protocol. What is
// longer than MaximumAttachment breaks an invariant of the caller.
func (m *Machine) SetAttachment(attachment []byte) {
	if len(attachment) > MaximumAttachmentSize {
		panic("membership: attachment too long")
	}
	m.attachment = slices.Clone(attachment)
}

// Tick must be called every TickInterval. The returned effects are valid until
// the next call.
func (m *Machine) Tick(now time.Duration) []Effect {
	m.effects = m.effects[:0]
	if m.stopped {
		return nil
	}
	m.observeTime(now)
	m.catchUp(now)
	m.probeNext(now)
	m.expireRelays(now)
	m.expireSuspicions(now)
	m.pingRemote(now)
	m.reconnect(now)
	m.synchronize(now)
	m.judgeZones(now)
	m.forget(now)
	return m.effects
}

// Receive handles a message from another process. The returned effects are
// valid until the next call.
func (m *Machine) Receive(now time.Duration, from Address, message Message) []Effect {
	m.effects = m.effects[:0]
	if m.stopped || !message.acceptable(from) || from == m.self.Member.Address {
		return nil
	}
	m.observeTime(now)
	// What a process that has just started sees, or learns from a state, is no news.
	catchingUp := m.syncsQuickly(now)
	m.merge(now, message.Sender, !catchingUp || now >= m.recovery.began+joinRush)
	m.hear(now, message)
	m.noteContact(now, from)
	m.noteInformed(from, message)
	spread := message.Kind != KindSyncResponse || !catchingUp
	for _, update := range message.Updates {
		m.merge(now, update, spread)
	}
	m.compare(now, from, message)
	if len(message.Attachment) > 0 {
		m.emit(Effect{Kind: EffectAttachment, Member: message.Sender.Member, Attachment: message.Attachment})
	}
	m.dispatch(now, from, message)
	return m.effects
}

func (m *Machine) dispatch(now time.Duration, from Address, message Message) {
	switch message.Kind {
	case KindPing:
		m.send(now, from, Message{Kind: KindAck, Sequence: message.Sequence})
	case KindAck:
		m.receiveAck(now, from, message)
	case KindPingRequest:
		m.relayPing(now, from, message)
	case KindSyncRequest:
		m.answerSync(now, from, message)
	case KindSyncResponse:
		m.receiveSync(message)
	}
}

// acceptable reports whether the message is well formed and comes from the
// address that it claims.
func (m Message) acceptable(from Address) bool {
	if !m.Sender.valid() || m.Sender.Member.Address != from || m.Kind > KindLeave {
		return false
	}
	if len(m.KnownFilter) > maximumSummary || len(m.Updates) > maximumUpdates || len(m.ZoneAges) > MaximumZones || len(m.Digests) > MaximumZones {
		return false
	}
	for _, digest := range m.Digests {
		if digest.Zone >= MaximumZones {
			return false
		}
	}
	synchronizes := m.Kind == KindSyncRequest || m.Kind == KindSyncResponse
	if m.Digest.Zone >= MaximumZones && !(synchronizes && m.Digest.Zone == allZones) {
		return false
	}
	return !slices.ContainsFunc(m.Updates, func(update Update) bool {
		return !update.valid()
	})
}

// Leave tells others that the process stops. The machine does nothing
// afterwards.
func (m *Machine) Leave(now time.Duration) []Effect {
	m.effects = m.effects[:0]
	if m.stopped {
		return nil
	}
	m.self.State = StateLeft
	for range leaveCopies {
		if told, exists := m.roster.randomMember(m.random, m.self.Member.Zone, m.isLivePeer); exists {
			m.send(now, told.update.Member.Address, Message{Kind: KindLeave})
		}
		if told, exists := m.nextRemote(m.isLivePeer); exists {
			m.send(now, told.update.Member.Address, Message{Kind: KindLeave})
		}
	}
	m.stopped = true
	return m.effects
}

// send emits a message completed with what every message carries.
func (m *Machine) send(now time.Duration, to Address, message Message) {
	message.Sender = m.self
	message.Attachment = m.attachment
	message.CatchingUp = m.syncsQuickly(now)
	knowsFew := message.Kind == KindSyncRequest && m.roster.live < manyMembers
	if message.Kind != KindSyncResponse && !knowsFew {
		message.Updates = m.updatesFor(now, to)
	}
	if message.Kind == KindPing || message.Kind == KindAck {
		message.Digest = m.nextDigest()
		if m.inZone(to, m.self.Member.Zone) {
			message.ZoneAges = m.ages(now)
		}
	}
	m.emit(Effect{Kind: EffectSend, To: to, Message: message})
}

// updatesFor returns the updates to attach to a message. A member that is
// suspected or failed is told first, so that it can refute.
func (m *Machine) updatesFor(now time.Duration, to Address) []Update {
	count := m.config.GossipBytes / maximumUpdateSize
	var updates []Update
	known, exists := m.roster.byAddress[to]
	if exists && known.update.State != StateAlive {
		updates = append(updates, known.update)
		count--
	}
	receiver := audienceAll
	if exists && m.probes(known.update.Member) {
		receiver = audienceProbers
	}
	return append(updates, m.gossip.take(now, receiver, count, m.roster.live)...)
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) nextSequence() uint32 {
	m.sequence++
	return m.sequence
}

// inZone reports whether the member at an address is known to be in the zone.
func (m *Machine) inZone(address Address, zone Zone) bool {
	known, exists := m.roster.byAddress[address]
	return exists && known.update.Member.Zone == zone
}

// isLivePeer reports whether another process runs as far as is known.
func (m *Machine) isLivePeer(candidate *member) bool {
	return candidate.update.State.live() && candidate.update.Member.Address != m.self.Member.Address
}

// forget removes members that have been failed for long. Live members of a
// zone that was unreachable for as long are declared failed: they can still
// refute it.
func (m *Machine) forget(now time.Duration) {
	if now < m.nextForget {
		return
	}
	m.nextForget = now + forgetInterval
	for zone := range m.roster.zones {
		lost := m.zoneLost(now, Zone(zone))
		for _, known := range slices.Clone(m.roster.zones[zone].members) {
			switch {
			case !known.update.State.live() && now >= known.since+m.config.Retention:
				m.roster.remove(now, known)
			case known.update.State.live() && lost:
				m.declareFailed(now, known)
			}
		}
	}
}

func (m *Machine) zoneLost(now time.Duration, zone Zone) bool {
	record := &m.roster.zones[zone]
	expired := now >= record.unreachableSince+m.config.Retention
	return expired && !record.reachable && !m.recovery.active && zone != m.self.Member.Zone
}
