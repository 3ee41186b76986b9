// This file implements the exchange of full zone states: digests tell members
// that they know a zone differently, and one then fetches it from the other.

package membership

import (
	"slices"
	"time"
)

// settleTime is how long a zone must differ, without a change, before it is
// fetched: while an update travels, digests differ for a moment.
const settleTime = 5 * time.Second

// longDifference is how long a zone may differ while it keeps changing.
const longDifference = 10 * time.Second

const (
	// answerRate is how many bytes a second a member spends on answering sync
	// requests, and answerBurst how many at once; other requests are dropped
	// and repeated elsewhere.
	answerRate  = 500
	answerBurst = 60000
	// estimatedUpdateSize and estimatedDigestSize are the usual encodings of an update and of a
	// digest in bytes, and estimatedHead that of an answer without either, headers included.
	estimatedUpdateSize = 24
	estimatedDigestSize = 8
	estimatedHead       = 100
	// introduction is how many updates an answer holds to a process that knows hardly anybody,
	// while this one catches up itself: somebody else to ask.
	introduction = 4
	// introductionReserve is the credit that introductions leave for longer answers, in bytes.
	introductionReserve = 40000
	// answerShare is the part of the credit that another answer may take, as a divisor.
	answerShare = 4
	// requestRate bounds the bytes a second that a process that catches up spends on
	// requests.
	requestRate = 1000
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
	// unanswered is how many requests were made since the last answer.
	unanswered int
	// askedSeed is set after a request to a seed which all others may ask as well.
	askedSeed bool
	// answered is set once the last request was answered in full.
	answered bool
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
	// What a process that catches up does not know is of no use but to another that does.
	if message.CatchingUp && !m.syncsQuickly(now) {
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
	if now < m.sync.next || m.recovery.active {
		return
	}
	if m.syncsQuickly(now) {
		m.synchronizeAll(now)
		return
	}
	for range MaximumZones {
		m.sync.turn = (m.sync.turn + 1) % MaximumZones
		noted := &m.sync.differences[m.sync.turn]
		if !noted.known || !m.settled(now, m.sync.turn, noted) {
			continue
		}
		noted.known = false
		m.requestSync(now, noted.peer, m.sync.turn)
		m.sync.next = now + m.config.SyncInterval
		return
	}
}

// synchronizeAll lets a process that catches up fetch what it lacks of all zones, as long as
// somebody knows one differently.
func (m *Machine) synchronizeAll(now time.Duration) {
	if !m.differs() {
		return
	}
	if source, exists := m.recoverySource(); exists {
		m.requestAll(now, source)
	}
}

// requestAll asks another member for what it knows of all zones. The next request comes the
// later the longer this one is.
func (m *Machine) requestAll(now time.Duration, to Address) {
	agreed := m.sync.answered && !m.differs()
	m.sync.answered = false
	for zone := range m.sync.differences {
		m.sync.differences[zone].known = false
	}
	m.requestSync(now, to, allZones)
	bytes := min(m.roster.live*summaryBits/8, maximumSummary)
	interval := min(quickSyncInterval<<min(m.sync.unanswered, mostDoublings), longestQuickSync)
	m.sync.askedSeed = slices.Contains(m.seeds, to) && m.roster.live < manyMembers
	switch {
	case agreed:
		interval = longestQuickSync
	case m.sync.askedSeed:
		interval = max(interval, seedInterval)
	}
	m.sync.next = now + max(interval, time.Duration(bytes)*time.Second/requestRate)
	m.sync.unanswered++
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

func (m *Machine) settled(now time.Duration, zone Zone, noted *difference) bool {
	if now >= noted.since+longDifference {
		return true
	}
	changed := m.roster.zones[zone].changed
	return now >= noted.since+settleTime && now >= changed+settleTime
}

func (m *Machine) requestSync(now time.Duration, to Address, zone Zone) {
	sequence := m.nextSequence()
	digest := ZoneDigest{Zone: zone}
	if zone != allZones {
		digest = m.roster.digestOf(zone)
	}
	m.send(now, to, Message{
		Kind: KindSyncRequest, Sequence: sequence, Digest: digest,
		KnownFilter: m.roster.summaryOf(zone, sequence),
	})
}

// answerSync sends what is known of the zone and the other lacks, in as many messages as it
// takes and the credit allows.
func (m *Machine) answerSync(now time.Duration, from Address, request Message) {
	allowance := m.allowance(now, request)
	if allowance == 0 {
		return
	}
	missing := m.missing(request)
	introduces := allowance == introduction && len(missing) > allowance
	missing = missing[:min(len(missing), allowance)]
	for first := true; first || len(missing) > 0; first = false {
		part := missing[:min(len(missing), syncUpdates)]
		missing = missing[len(part):]
		response := Message{
			Kind: KindSyncResponse, Sequence: request.Sequence, Updates: part,
			Digest: ZoneDigest{Zone: request.Digest.Zone},
		}
		if len(missing) == 0 && !introduces {
			response.Digests = m.roster.digests()
		}
		m.sync.credit -= estimatedHead + len(part)*estimatedUpdateSize + len(response.Digests)*estimatedDigestSize
		m.send(now, from, response)
	}
}

// missing returns what the sender of a request lacks, from a random member on: where the credit
// does not suffice for all, those who ask get different parts, and can ask each other.
func (m *Machine) missing(request Message) []Update {
	zone := request.Digest.Zone
	if zone != allZones && request.Digest == m.roster.digestOf(zone) {
		return nil
	}
	var updates []Update
	for _, record := range m.roster.recordsOf(zone) {
		for _, known := range record.members {
			if summary(request.KnownFilter).lacks(known.update, request.Sequence) {
				updates = append(updates, known.update)
			}
		}
	}
	if len(updates) == 0 {
		return nil
	}
	first := m.random.IntN(len(updates))
	return slices.Concat(updates[first:], updates[:first])
}

// allowance returns how many updates an answer may hold, zero if earlier answers have used the
// credit up. Where all start at once and ask the seeds, many get a few, and learn whom else to
// ask.
func (m *Machine) allowance(now time.Duration, request Message) int {
	earned := int((now - m.sync.creditTime) * answerRate / time.Second)
	if earned > 0 {
		m.sync.credit = min(m.sync.credit+earned, answerBurst)
		m.sync.creditTime = now
	}
	if m.sync.credit < estimatedHead+introduction*estimatedUpdateSize {
		return 0
	}
	if m.syncsQuickly(now) && len(request.KnownFilter) <= introduction*summaryBits/8 {
		return introduction * min(m.sync.credit/introductionReserve, 1)
	}
	return max(m.sync.credit/(answerShare*estimatedUpdateSize), introduction)
}

// noteContact lets a process that has only asked a seed ask the first other that it hears of.
func (m *Machine) noteContact(now time.Duration, from Address) {
	if m.sync.askedSeed && !slices.Contains(m.seeds, from) {
		m.sync.askedSeed = false
		m.sync.unanswered = 0
		m.sync.next = min(m.sync.next, now+quickSyncInterval)
	}
}

// receiveSync ends the wait for the state of others, if the sender knows it; the updates have
// been merged already.
func (m *Machine) receiveSync(message Message) {
	m.sync.unanswered = 0
	last := len(message.Digests) > 0
	m.sync.answered = m.sync.answered || last
	if last && !message.CatchingUp {
		m.recovery.active = false
	}
}

// reconnect pings one member that has failed, or a seed where no member is
// known to run: after a partition both sides find each other again this way.
func (m *Machine) reconnect(now time.Duration) {
	if now < m.sync.nextReconnect || m.recovery.active {
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
