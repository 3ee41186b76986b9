// This file implements the entry points of the machine and the sending of messages.

package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// TickInterval is the interval at which Tick must be called.
const TickInterval = 100 * time.Millisecond

const (
	// leaveFanout is the number of members, in the own zone and in other zones each, that
	// are notified of a planned stop.
	leaveFanout = 5
	// expiryInterval is the time between two searches for members whose retention has
	// ended.
	expiryInterval = 10 * time.Second
)

// Machine is the membership of one process. It is not safe for concurrent use.
type Machine struct {
	config     Config
	random     *rand.Rand
	self       Update
	memberList *memberList
	gossip     *gossipQueue
	effects    []Effect

	attachment []byte
	seeds      []Address
	lastCall   time.Duration
	started    bool
	left       bool
	sequence   uint32
	nextExpiry time.Duration

	probe        probeState
	relayedPings []relayedPing
	suspects     []*member
	recovery     recovery
	sync         syncState
	remote       remotePingState
	health       localHealth
	// lastDigestZone is the zone whose digest was sent last.
	lastDigestZone Zone
}

// New returns the machine of a process that lists no other member. It returns an error if
// the configuration is invalid.
func New(config Config) (*Machine, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	created := &Machine{
		config:     config,
		random:     config.Random,
		self:       Update{Member: config.Self},
		memberList: newMemberList(),
		gossip:     newGossipQueue(),
	}
	created.sync.tokens = responseBurst
	created.memberList.put(0, created.self)
	created.gossip.add(0, created.self, audienceAll)
	return created, nil
}

// Self returns the current identity of this process.
func (m *Machine) Self() Identity { return m.self.Member }

// SetSeeds replaces the addresses that are pinged if no member is known there, such as the
// platform's list of machines. Being listed or not does not change the state of a member.
// If there are too many seeds, a random subset is kept.
func (m *Machine) SetSeeds(seeds []Address) {
	kept := slices.DeleteFunc(slices.Clone(seeds), func(seed Address) bool {
		return seed == 0 || seed == m.self.Member.Address
	})
	m.random.Shuffle(len(kept), func(i, j int) { kept[i], kept[j] = kept[j], kept[i] })
	m.seeds = kept[:min(len(kept), maxSeeds)]
}

// SetAttachment sets the data of another protocol that every message carries. It panics if
// the attachment is longer than MaxAttachmentSize.
func (m *Machine) SetAttachment(attachment []byte) {
	if len(attachment) > MaxAttachmentSize {
		panic("membership: the attachment exceeds the maximum size")
	}
	m.attachment = slices.Clone(attachment)
}

// Tick must be called every TickInterval. The returned effects are valid until the next
// call.
func (m *Machine) Tick(now time.Duration) []Effect {
	m.effects = m.effects[:0]
	if m.left {
		return nil
	}
	m.detectPause(now)
	m.catchUp(now)
	m.advanceProbe(now)
	m.expireRelayedPings(now)
	m.expireSuspicions(now)
	m.pingRemote(now)
	m.reconnect(now)
	m.synchronize(now)
	m.detectUnreachableZones(now)
	m.expireMembers(now)
	return m.effects
}

// Receive handles a message from another process. The returned effects are valid until the
// next call.
func (m *Machine) Receive(now time.Duration, from Address, message Message) []Effect {
	m.effects = m.effects[:0]
	if m.left || !message.validFrom(from) || from == m.self.Member.Address {
		return nil
	}
	m.detectPause(now)
	// Members that this process adds while it catches up are not new to the others. It
	// does not gossip the members in sync responses then, nor the senders of messages during
	// simultaneousStartWindow.
	catchingUp := m.inQuickSync(now)
	m.merge(now, message.Sender, !catchingUp || now >= m.recovery.began+simultaneousStartWindow)
	m.recordContact(now, message)
	m.retryAfterFirstContact(now, from)
	m.recordCaughtUp(from, message)
	spread := message.Kind != KindSyncResponse || !catchingUp
	for _, update := range message.Updates {
		m.merge(now, update, spread)
	}
	m.compareDigests(now, from, message)
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
		m.respondToSync(now, from, message)
	case KindSyncResponse:
		m.receiveSync(message)
	}
}

// validFrom reports whether the message is well formed and names the address it came from
// as its sender.
func (m Message) validFrom(from Address) bool {
	if !m.Sender.valid() || m.Sender.Member.Address != from || m.Kind > KindLeave {
		return false
	}
	if len(m.KnownFilter) > maxFilterSize || len(m.Updates) > maxUpdatesPerMessage || len(m.ZoneAges) > MaxZones || len(m.Digests) > MaxZones {
		return false
	}
	for _, digest := range m.Digests {
		if digest.Zone >= MaxZones {
			return false
		}
	}
	isSync := m.Kind == KindSyncRequest || m.Kind == KindSyncResponse
	if m.Digest.Zone >= MaxZones && !(isSync && m.Digest.Zone == allZones) {
		return false
	}
	return !slices.ContainsFunc(m.Updates, func(update Update) bool {
		return !update.valid()
	})
}

// Leave announces to other members that the process stops. The machine does nothing
// afterwards.
func (m *Machine) Leave(now time.Duration) []Effect {
	m.effects = m.effects[:0]
	if m.left {
		return nil
	}
	m.self.State = StateLeft
	for range leaveFanout {
		if receiver, exists := m.memberList.randomMember(m.random, m.self.Member.Zone, m.isLivePeer); exists {
			m.send(now, receiver.update.Member.Address, Message{Kind: KindLeave})
		}
		if receiver, exists := m.nextRemoteMember(m.isLivePeer); exists {
			m.send(now, receiver.update.Member.Address, Message{Kind: KindLeave})
		}
	}
	m.left = true
	return m.effects
}

// send emits a message after adding the fields that every message carries.
func (m *Machine) send(now time.Duration, to Address, message Message) {
	message.Sender = m.self
	message.Attachment = m.attachment
	message.CatchingUp = m.inQuickSync(now)
	hasFewMembers := message.Kind == KindSyncRequest && m.memberList.live < bootstrapMembers
	if message.Kind != KindSyncResponse && !hasFewMembers {
		message.Updates = m.updatesFor(now, to)
	}
	if message.Kind == KindPing || message.Kind == KindAck {
		message.Digest = m.nextDigest()
		if m.inZone(to, m.self.Member.Zone) {
			message.ZoneAges = m.zoneAges(now)
		}
	}
	m.emit(Effect{Kind: EffectSend, To: to, Message: message})
}

// updatesFor returns the updates to attach to a message. If the receiver is suspected or
// declared failed, that update comes first, so that the receiver can refute it.
func (m *Machine) updatesFor(now time.Duration, to Address) []Update {
	count := m.config.GossipBytes / maxUpdateSize
	var updates []Update
	known, exists := m.memberList.byAddress[to]
	if exists && known.update.State != StateAlive {
		updates = append(updates, known.update)
		count--
	}
	receiver := audienceAll
	if exists && m.shouldProbe(known.update.Member) {
		receiver = audienceProbers
	}
	return append(updates, m.gossip.take(now, receiver, count, m.memberList.live)...)
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) nextSequence() uint32 {
	m.sequence++
	return m.sequence
}

// inZone reports whether the member at an address is known to be in the zone.
func (m *Machine) inZone(address Address, zone Zone) bool {
	known, exists := m.memberList.byAddress[address]
	return exists && known.update.Member.Zone == zone
}

// isLivePeer reports whether a member is another process in a live state.
func (m *Machine) isLivePeer(candidate *member) bool {
	return candidate.update.State.live() && candidate.update.Member.Address != m.self.Member.Address
}

// expireMembers removes members that are not live once their retention has ended. Live
// members of a zone that was unreachable for that long are declared failed, which they can
// still refute.
func (m *Machine) expireMembers(now time.Duration) {
	if now < m.nextExpiry {
		return
	}
	m.nextExpiry = now + expiryInterval
	for zone := range m.memberList.zones {
		expired := m.unreachableTooLong(now, Zone(zone))
		for _, known := range slices.Clone(m.memberList.zones[zone].members) {
			switch {
			case !known.update.State.live() && now >= known.since+m.config.Retention:
				m.memberList.remove(now, known)
			case known.update.State.live() && expired:
				m.declareFailed(now, known)
			}
		}
	}
}

func (m *Machine) unreachableTooLong(now time.Duration, zone Zone) bool {
	record := &m.memberList.zones[zone]
	expired := now >= record.unreachableSince+m.config.Retention
	return expired && !record.reachable && !m.recovery.active && zone != m.self.Member.Zone
}
