// This file implements the synchronization of full zone states. Digests show which members
// have different views of a zone, and one of them then fetches the zone from the other.

package membership

import (
	"slices"
	"time"
)

// settleTime is how long a zone must differ, and not have changed, before it is fetched.
// Digests differ for a moment while an update spreads.
const settleTime = 5 * time.Second

// maxDifferenceAge is how long a zone may differ before it is fetched even if it keeps
// changing.
const maxDifferenceAge = 10 * time.Second

const (
	// responseRate is how many bytes a second a member spends on sync responses, and
	// responseBurst how many at once. Requests beyond that are dropped, and the requesters
	// ask other members.
	responseRate  = 500
	responseBurst = 60000
	// estimatedUpdateSize and estimatedDigestSize are typical encoded sizes of an update
	// and a digest in bytes. estimatedOverhead is the size of a response without either,
	// headers included.
	estimatedUpdateSize = 24
	estimatedDigestSize = 8
	estimatedOverhead   = 100
	// bootstrapUpdates is the number of updates in the response to a process that lists
	// hardly any member, while the responder catches up itself. They give that process
	// other members to ask.
	bootstrapUpdates = 4
	// bootstrapReserve is the number of tokens that these short responses leave for longer
	// ones.
	bootstrapReserve = 40000
	// responseShare is the divisor that gives the part of the tokens that one response may
	// use.
	responseShare = 4
	// requestRate limits the bytes a second that a process that catches up spends on
	// requests.
	requestRate = 1000
)

// zoneDifference records that another member has a different digest of a zone. pending is
// set until the zone is fetched.
type zoneDifference struct {
	peer    Address
	since   time.Duration
	pending bool
}

// syncState is the state of the synchronization.
type syncState struct {
	differences [MaxZones]zoneDifference
	// next is the earliest time of the next request.
	next time.Duration
	// quickUntil is the end of the period in which differences are fetched without delay.
	quickUntil time.Duration
	// lastZone is the zone that was checked for a difference last.
	lastZone      Zone
	nextReconnect time.Duration
	// unanswered is the number of requests since the last response.
	unanswered int
	// askedSeed is set if the last request went to a seed, which all other processes may be
	// asking as well.
	askedSeed bool
	// responded is set once the last request has had its whole response.
	responded bool
	// tokens is the number of bytes that may be spent on responses, as of tokensUpdated.
	tokens        int
	tokensUpdated time.Duration
}

// nextDigest returns the digests of the zones that have members, one after the other.
func (m *Machine) nextDigest() ZoneDigest {
	for range MaxZones {
		m.lastDigestZone = (m.lastDigestZone + 1) % MaxZones
		if len(m.memberList.zones[m.lastDigestZone].members) > 0 {
			break
		}
	}
	return m.memberList.digestOf(m.lastDigestZone)
}

// compareDigests records the zones for which the sender of a message has another digest.
func (m *Machine) compareDigests(now time.Duration, from Address, message Message) {
	// A process that catches up lacks members, so its digests help only another such process.
	if message.CatchingUp && !m.inQuickSync(now) {
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

// compareDigest records a difference. It remains until the zone is fetched, even if other
// members agree in the meantime: a whole zone may have missed a change in another zone.
// Members of the zone concerned are preferred as the source, since their lists of it are
// the newest.
func (m *Machine) compareDigest(now time.Duration, from Address, digest ZoneDigest) {
	if m.memberList.zones[digest.Zone].digest == digest.Hash {
		return
	}
	difference := &m.sync.differences[digest.Zone]
	if !difference.pending {
		difference.pending = true
		difference.since = now
		difference.peer = from
		return
	}
	if m.inZone(from, digest.Zone) || !m.inZone(difference.peer, digest.Zone) {
		difference.peer = from
	}
}

// synchronize requests one zone that differs once a request is due.
func (m *Machine) synchronize(now time.Duration) {
	if now < m.sync.next || m.recovery.active {
		return
	}
	if m.inQuickSync(now) {
		m.synchronizeAllZones(now)
		return
	}
	for range MaxZones {
		m.sync.lastZone = (m.sync.lastZone + 1) % MaxZones
		difference := &m.sync.differences[m.sync.lastZone]
		if !difference.pending || !m.settled(now, m.sync.lastZone, difference) {
			continue
		}
		difference.pending = false
		m.requestSync(now, difference.peer, m.sync.lastZone)
		m.sync.next = now + m.config.SyncInterval
		return
	}
}

// synchronizeAllZones requests all zones while the process catches up and any zone differs.
func (m *Machine) synchronizeAllZones(now time.Duration) {
	if !m.hasDifferences() {
		return
	}
	if source, exists := m.syncSource(); exists {
		m.requestAllZones(now, source)
	}
}

// requestAllZones asks another member for all zones. The longer this request is, the later
// the next one is sent.
func (m *Machine) requestAllZones(now time.Duration, to Address) {
	agreed := m.sync.responded && !m.hasDifferences()
	m.sync.responded = false
	for zone := range m.sync.differences {
		m.sync.differences[zone].pending = false
	}
	m.requestSync(now, to, allZones)
	bytes := min(m.memberList.live*filterBitsPerMember/8, maxFilterSize)
	interval := min(quickSyncInterval<<min(m.sync.unanswered, maxDoublings), maxQuickSyncInterval)
	m.sync.askedSeed = slices.Contains(m.seeds, to) && m.memberList.live < bootstrapMembers
	switch {
	case agreed:
		interval = maxQuickSyncInterval
	case m.sync.askedSeed:
		interval = max(interval, seedInterval)
	}
	m.sync.next = now + max(interval, time.Duration(bytes)*time.Second/requestRate)
	m.sync.unanswered++
}

// inQuickSync reports whether the process still fetches the state of the others: for some
// time after its start or a pause, and longer while differences remain.
func (m *Machine) inQuickSync(now time.Duration) bool {
	if now < m.sync.quickUntil {
		return true
	}
	return now < m.sync.quickUntil+quickSyncExtension && m.hasDifferences()
}

func (m *Machine) hasDifferences() bool {
	for zone := range m.sync.differences {
		if m.sync.differences[zone].pending {
			return true
		}
	}
	return false
}

// recordCaughtUp records whether the sender of a message has the full state and can be
// asked for it.
func (m *Machine) recordCaughtUp(from Address, message Message) {
	if known, exists := m.memberList.byAddress[from]; exists {
		known.caughtUp = !message.CatchingUp
	}
}

func (m *Machine) isCaughtUpPeer(candidate *member) bool {
	return m.isLivePeer(candidate) && candidate.caughtUp
}

func (m *Machine) settled(now time.Duration, zone Zone, difference *zoneDifference) bool {
	if now >= difference.since+maxDifferenceAge {
		return true
	}
	changed := m.memberList.zones[zone].lastChanged
	return now >= difference.since+settleTime && now >= changed+settleTime
}

func (m *Machine) requestSync(now time.Duration, to Address, zone Zone) {
	sequence := m.nextSequence()
	digest := ZoneDigest{Zone: zone}
	if zone != allZones {
		digest = m.memberList.digestOf(zone)
	}
	m.send(now, to, Message{
		Kind: KindSyncRequest, Sequence: sequence, Digest: digest,
		KnownFilter: m.memberList.filterOf(zone, sequence),
	})
}

// respondToSync sends the members that the requester lacks, in as many messages as needed
// and allowed by the tokens.
func (m *Machine) respondToSync(now time.Duration, from Address, request Message) {
	allowance := m.allowance(now, request)
	if allowance == 0 {
		return
	}
	missing := m.missing(request)
	truncated := allowance == bootstrapUpdates && len(missing) > allowance
	missing = missing[:min(len(missing), allowance)]
	for first := true; first || len(missing) > 0; first = false {
		part := missing[:min(len(missing), updatesPerSyncResponse)]
		missing = missing[len(part):]
		response := Message{
			Kind: KindSyncResponse, Sequence: request.Sequence, Updates: part,
			Digest: ZoneDigest{Zone: request.Digest.Zone},
		}
		if len(missing) == 0 && !truncated {
			response.Digests = m.memberList.digests()
		}
		m.sync.tokens -= estimatedOverhead + len(part)*estimatedUpdateSize + len(response.Digests)*estimatedDigestSize
		m.send(now, from, response)
	}
}

// missing returns the members that the requester lacks, starting at a random one. If the
// tokens do not suffice for all of them, different requesters get different parts and can
// ask each other.
func (m *Machine) missing(request Message) []Update {
	zone := request.Digest.Zone
	if zone != allZones && request.Digest == m.memberList.digestOf(zone) {
		return nil
	}
	var updates []Update
	for _, record := range m.memberList.zoneStates(zone) {
		for _, known := range record.members {
			if bloomFilter(request.KnownFilter).lacks(known.update, request.Sequence) {
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

// allowance returns how many updates a response may hold. It is zero once earlier responses
// have used up the tokens. If all processes start at once and ask the seeds, many of them
// get a few updates, which name other members to ask.
func (m *Machine) allowance(now time.Duration, request Message) int {
	earned := int((now - m.sync.tokensUpdated) * responseRate / time.Second)
	if earned > 0 {
		m.sync.tokens = min(m.sync.tokens+earned, responseBurst)
		m.sync.tokensUpdated = now
	}
	if m.sync.tokens < estimatedOverhead+bootstrapUpdates*estimatedUpdateSize {
		return 0
	}
	if m.inQuickSync(now) && len(request.KnownFilter) <= bootstrapUpdates*filterBitsPerMember/8 {
		return bootstrapUpdates * min(m.sync.tokens/bootstrapReserve, 1)
	}
	return max(m.sync.tokens/(responseShare*estimatedUpdateSize), bootstrapUpdates)
}

// retryAfterFirstContact brings the next request forward if the last one went to a seed and
// a message from a member that is not a seed arrives.
func (m *Machine) retryAfterFirstContact(now time.Duration, from Address) {
	if m.sync.askedSeed && !slices.Contains(m.seeds, from) {
		m.sync.askedSeed = false
		m.sync.unanswered = 0
		m.sync.next = min(m.sync.next, now+quickSyncInterval)
	}
}

// receiveSync ends catching up if the sender has the full state and this is the last part
// of its response. The updates have been merged already.
func (m *Machine) receiveSync(message Message) {
	m.sync.unanswered = 0
	last := len(message.Digests) > 0
	m.sync.responded = m.sync.responded || last
	if last && !message.CatchingUp {
		m.recovery.active = false
	}
}

// reconnect pings one failed member, or a seed at whose address no member is known to run.
// Both sides of a partition find each other again this way.
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
	for zone := range m.memberList.zones {
		for _, known := range m.memberList.zones[zone].members {
			if known.update.State == StateFailed {
				candidates = append(candidates, known.update.Member.Address)
			}
		}
	}
	for _, seed := range m.seeds {
		known, exists := m.memberList.byAddress[seed]
		if !exists || known.update.State == StateLeft {
			candidates = append(candidates, seed)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	return candidates[m.random.IntN(len(candidates))], true
}
