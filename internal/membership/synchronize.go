// This file implements the exchange of full zone states: digests tell members
// that they know a zone differently, and one then fetches it from the other.

package membership

import "time"

// settleTime is how long a zone must differ, without a change, before it is
// fetched: while an update travels, digests differ for a moment.
const settleTime = 5 * time.Second

// longDifference is how long a zone may differ while it keeps changing.
const longDifference = 10 * time.Second

const (
	// answerRate is how many bytes a second a member spends on answering sync
	// requests, and answerBurst how many at once; other requests are dropped
	// and repeated elsewhere.
	answerRate  = 2000
	answerBurst = 8000
	// estimatedUpdateSize is the usual encoding of an update in bytes.
	estimatedUpdateSize = 24
)

// difference is a zone that another member knows differently.
type difference struct {
	peer  Address
	since time.Duration
	known bool
}

// synchronization is the state of the exchange.
type synchronization struct {
	differences [MaximumZones]difference
	// next is the earliest time for another request.
	next time.Duration
	// quickUntil is until when differences are fetched without delay.
	quickUntil time.Duration
	// turn is the zone from which to look for a difference.
	turn          Zone
	nextReconnect time.Duration
	// credit is how many bytes may be spent on answers, as of creditTime.
	credit     int
	creditTime time.Duration
}

// nextDigest returns the digests of the zones in turn.
func (m *Machine) nextDigest() ZoneDigest {
	for range MaximumZones {
		m.digestTurn = (m.digestTurn + 1) % MaximumZones
		if len(m.roster.zones[m.digestTurn].members) > 0 {
			break
		}
	}
	return m.roster.digestOf(m.digestTurn)
}

// compare notes the zones that the sender of a message knows differently.
func (m *Machine) compare(now time.Duration, from Address, message Message) {
	if message.CatchingUp {
		return
	}
	switch message.Kind {
	case KindPing, KindAck:
		m.compareDigest(now, from, message.Digest)
	case KindSyncResponse:
		for _, digest := range message.Digests {
			m.compareDigest(now, from, digest)
		}
	}
}

// compareDigest notes a difference until the zone is fetched, also if others
// agree meanwhile: a whole zone may have missed a change of another. Members
// of the zone concerned know it best.
func (m *Machine) compareDigest(now time.Duration, from Address, digest ZoneDigest) {
	if m.roster.zones[digest.Zone].digest == digest.Hash {
		return
	}
	noted := &m.sync.differences[digest.Zone]
	if !noted.known {
		noted.known = true
		noted.since = now
		noted.peer = from
		return
	}
	if m.inZone(from, digest.Zone) || !m.inZone(noted.peer, digest.Zone) {
		noted.peer = from
	}
}

// synchronize fetches one zone that differs, if the time has come.
func (m *Machine) synchronize(now time.Duration) {
	if now < m.sync.next {
		return
	}
	for range MaximumZones {
		m.sync.turn = (m.sync.turn + 1) % MaximumZones
		noted := &m.sync.differences[m.sync.turn]
		if !noted.known || !m.settled(now, m.sync.turn, noted) {
			continue
		}
		noted.known = false
		m.requestSync(now, m.syncSource(now, noted.peer), m.sync.turn)
		m.sync.next = now + m.syncInterval(now)
		return
	}
}

// syncsQuickly reports whether the process still learns what others know: for
// some time after its start or a pause, and longer while differences remain.
func (m *Machine) syncsQuickly(now time.Duration) bool {
	if now < m.sync.quickUntil {
		return true
	}
	return now < m.sync.quickUntil+quickSyncExtension && m.differs()
}

func (m *Machine) differs() bool {
	for zone := range m.sync.differences {
		if m.sync.differences[zone].known {
			return true
		}
	}
	return false
}

// noteInformed records whether the sender of a message can be asked.
func (m *Machine) noteInformed(from Address, message Message) {
	if known, exists := m.roster.byAddress[from]; exists {
		known.informed = !message.CatchingUp
	}
}

func (m *Machine) isInformedPeer(candidate *member) bool {
	return m.isLivePeer(candidate) && candidate.informed
}

// syncSource spreads the requests of a process that catches up over the members
// of its zone that do not, so that they do not all burden the seed.
func (m *Machine) syncSource(now time.Duration, peer Address) Address {
	if !m.syncsQuickly(now) {
		return peer
	}
	if known, exists := m.roster.randomMember(m.random, m.self.Member.Zone, m.isInformedPeer); exists {
		return known.update.Member.Address
	}
	return peer
}

func (m *Machine) syncInterval(now time.Duration) time.Duration {
	if m.syncsQuickly(now) {
		return quickSyncInterval
	}
	return m.config.SyncInterval
}

func (m *Machine) settled(now time.Duration, zone Zone, noted *difference) bool {
	if m.syncsQuickly(now) {
		return now >= noted.since+recoveryRetry
	}
	if now >= noted.since+longDifference {
		return true
	}
	changed := m.roster.zones[zone].changed
	return now >= noted.since+settleTime && now >= changed+settleTime
}

func (m *Machine) requestSync(now time.Duration, to Address, zone Zone) {
	m.send(now, to, Message{
		Kind: KindSyncRequest, Sequence: m.nextSequence(), Digest: m.roster.digestOf(zone),
	})
}

// answerSync sends all that is known of the zone, in as many messages as it
// takes, unless the two agree by now.
func (m *Machine) answerSync(now time.Duration, from Address, request Message) {
	members := m.roster.zones[request.Digest.Zone].members
	if request.Digest == m.roster.digestOf(request.Digest.Zone) {
		members = nil
	}
	if !m.spendAnswer(now, len(members)*estimatedUpdateSize) {
		return
	}
	for first := true; first || len(members) > 0; first = false {
		part := members[:min(len(members), syncUpdates)]
		members = members[len(part):]
		updates := make([]Update, len(part))
		for index, known := range part {
			updates[index] = known.update
		}
		response := Message{
			Kind: KindSyncResponse, Sequence: request.Sequence,
			Updates: updates, Digest: m.roster.digestOf(request.Digest.Zone),
		}
		if len(members) == 0 {
			response.Digests = m.roster.digests()
		}
		m.send(now, from, response)
	}
}

// spendAnswer takes the bytes of an answer from the credit. It returns false if
// earlier answers have used it up.
func (m *Machine) spendAnswer(now time.Duration, bytes int) bool {
	earned := int((now - m.sync.creditTime) * answerRate / time.Second)
	if earned > 0 {
		m.sync.credit = min(m.sync.credit+earned, answerBurst)
		m.sync.creditTime = now
	}
	if m.sync.credit <= 0 {
		return false
	}
	m.sync.credit -= bytes
	return true
}

// receiveSync ends the wait for the own zone's state, if the sender knows it;
// the updates have been merged already.
func (m *Machine) receiveSync(_ time.Duration, message Message) {
	if message.Digest.Zone == m.self.Member.Zone && !message.CatchingUp {
		m.recovery.active = false
	}
}

// reconnect pings one member that has failed, or a seed where no member is
// known to run: after a partition both sides find each other again this way.
func (m *Machine) reconnect(now time.Duration) {
	if now < m.sync.nextReconnect {
		return
	}
	m.sync.nextReconnect = now + m.config.ReconnectInterval
	if target, exists := m.reconnectTarget(); exists {
		m.send(now, target, Message{Kind: KindPing, Sequence: m.nextSequence()})
	}
}

func (m *Machine) reconnectTarget() (Address, bool) {
	var candidates []Address
	for zone := range m.roster.zones {
		for _, known := range m.roster.zones[zone].members {
			if known.update.State == StateFailed {
				candidates = append(candidates, known.update.Member.Address)
			}
		}
	}
	for _, seed := range m.seeds {
		known, exists := m.roster.byAddress[seed]
		if !exists || known.update.State == StateLeft {
			candidates = append(candidates, seed)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	return candidates[m.random.IntN(len(candidates))], true
}
