// This file implements the exchange of digests, which detects records that pushes have
// missed.

package liveness

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/membership"
)

const (
	// digestInterval is the time between two exchanges of digests, and quickDigestInterval
	// the time while this process is not ready.
	digestInterval      = 2 * time.Second
	quickDigestInterval = 500 * time.Millisecond
	// remoteExchangePeriod is the number of exchanges from one with a member of any zone to
	// the next. Those in between are with members of the own zone, if there are any.
	remoteExchangePeriod = 4
	// settleTime is how long the own digest of a zone must not have changed before the zone
	// is compared. Digests differ for a moment while records spread.
	settleTime = 3 * time.Second
	// maxDigests limits the daemons in one comparison, so that it fits in a datagram.
	maxDigests = 40
	// maxReplyMessages limits the messages of the reply to one comparison. The next
	// comparison finds the remaining differences.
	maxReplyMessages = 8
)

// zoneChange is the last digest of a zone and when it was first seen.
type zoneChange struct {
	hash  uint64
	since time.Duration
}

// comparisonState is the state of the exchange of digests.
type comparisonState struct {
	next      time.Duration
	exchanges int
	changes   [membership.MaxZones]zoneChange
	// offset is where the next comparison of each zone starts in the list of its daemons.
	offset [membership.MaxZones]int
}

// exchangeDigests sends the own digests to a random member, which replies with its own.
func (m *Machine) exchangeDigests(now time.Duration) {
	if now < m.comparison.next || len(m.peers) == 0 {
		return
	}
	m.comparison.next = now + digestInterval
	if !m.ready {
		m.comparison.next = now + quickDigestInterval
	}
	m.comparison.exchanges++
	anyZone := m.comparison.exchanges%remoteExchangePeriod == 0
	matches := func(peer Peer) bool { return anyZone || peer.Identity.Zone == m.config.Self.Zone }
	chosen := m.choose(1, matches)
	if len(chosen) == 0 {
		chosen = m.choose(1, func(Peer) bool { return true })
	}
	for _, address := range chosen {
		m.send(address, Message{Kind: KindDigest, Zones: m.digests()})
	}
}

// digests returns the digests of the zones that have live members.
func (m *Machine) digests() []ZoneDigest {
	var hashes [membership.MaxZones]uint64
	var present [membership.MaxZones]bool
	for _, known := range m.reporterDigests(func(membership.Zone) bool { return true }) {
		zone := m.zoneOf(known.Reporter)
		hashes[zone] ^= known.Hash
		present[zone] = true
	}
	var digests []ZoneDigest
	for zone := range present {
		if present[zone] {
			digests = append(digests, ZoneDigest{Zone: membership.Zone(zone), Hash: hashes[zone]})
		}
	}
	return digests
}

// reporterDigests returns the digests of the live daemons in the matching zones, this
// process included, ordered by address.
func (m *Machine) reporterDigests(matches func(membership.Zone) bool) []ReporterDigest {
	digests := []ReporterDigest{}
	if matches(m.config.Self.Zone) {
		digests = append(digests, m.reporterDigest(m.config.Self))
	}
	for _, peer := range m.peers {
		if matches(peer.Identity.Zone) {
			digests = append(digests, m.reporterDigest(peer.Identity))
		}
	}
	slices.SortFunc(digests, func(a, b ReporterDigest) int {
		if a.Reporter < b.Reporter {
			return -1
		}
		return 1
	})
	return digests
}

// reporterDigest returns the digest of a process. It is zero if the process claims nothing.
func (m *Machine) reporterDigest(identity membership.Identity) ReporterDigest {
	digest := ReporterDigest{Reporter: identity.Address}
	if origin, known := m.claims.reporters[identity.Address]; known && origin.incarnation == identity.Incarnation {
		digest.Hash = origin.hash
	}
	return digest
}

func (m *Machine) zoneOf(address membership.Address) membership.Zone {
	if peer, exists := m.peer(address); exists {
		return peer.Identity.Zone
	}
	return m.config.Self.Zone
}

// compareDigests requests a comparison of the zones for which another daemon has a
// different digest.
func (m *Machine) compareDigests(now time.Duration, from membership.Address, theirs []ZoneDigest) {
	own := m.digests()
	same := len(own) == len(theirs)
	for _, digest := range own {
		settled := m.settled(now, digest)
		if slices.Contains(theirs, digest) {
			continue
		}
		same = false
		if settled {
			m.requestComparison(from, digest.Zone)
		}
	}
	if same {
		m.becomeReady()
	}
}

// settled reports whether the own digest of a zone has not changed for settleTime.
// Agreement with others is not considered: a whole zone may have missed a push. A process
// that is not ready does not wait.
func (m *Machine) settled(now time.Duration, own ZoneDigest) bool {
	change := &m.comparison.changes[own.Zone]
	if change.hash != own.Hash {
		*change = zoneChange{hash: own.Hash, since: now}
	}
	return !m.ready || now >= change.since+settleTime
}

// requestComparison sends the digests of some daemons of a zone, different ones each time.
func (m *Machine) requestComparison(to membership.Address, zone membership.Zone) {
	known := m.reporterDigests(func(other membership.Zone) bool { return other == zone })
	begin := m.comparison.offset[zone]
	if begin >= len(known) {
		begin = 0
	}
	end := min(begin+maxDigests, len(known))
	m.comparison.offset[zone] = end
	m.send(to, Message{Kind: KindCompare, Zone: zone, Reporters: known[begin:end]})
}

// replyToComparison sends the records of the daemons whose digests differ. If there are
// many, it sends a random part of them, so that repeated requests make progress.
func (m *Machine) replyToComparison(to membership.Address, message Message) {
	var replies [][]Record
	for _, theirs := range message.Reporters {
		origin, known := m.claims.reporters[theirs.Reporter]
		if known && origin.hash != theirs.Hash {
			replies = slices.AppendSeq(replies, slices.Chunk(origin.sorted(), maxRecords))
		}
	}
	m.config.Random.Shuffle(len(replies), func(i, j int) { replies[i], replies[j] = replies[j], replies[i] })
	for _, records := range replies[:min(maxReplyMessages, len(replies))] {
		m.send(to, Message{Kind: KindRecords, Records: records})
	}
}
