// This file implements finding what pushes have missed.

package liveness

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/membership"
)

const (
	// digestInterval is the time between two exchanges of digests, and
	// quickDigestInterval the time while this process is not ready.
	digestInterval      = 2 * time.Second
	quickDigestInterval = 500 * time.Millisecond
	// remoteTurn is how many exchanges there are for one with another zone.
	remoteTurn = 4
	// settleTime is how long the own digest of a zone must not have changed
	// before the zone is compared: while news travel, digests differ for a
	// moment.
	settleTime = 3 * time.Second
	// maximumDigests bounds the daemons of one comparison, so that it fits in
	// a datagram.
	maximumDigests = 40
	// maximumAnswers bounds the messages that answer one comparison; the rest
	// is found by the next.
	maximumAnswers = 8
)

// zoneChange is when the own digest of a zone was first seen.
type zoneChange struct {
	hash  uint64
	since time.Duration
}

// comparison is the state of the exchange of digests.
type comparison struct {
	next    time.Duration
	turn    int
	changes [membership.MaximumZones]zoneChange
	// from is where the next comparison of each zone begins in the list of its
	// daemons.
	from [membership.MaximumZones]int
}

// exchangeDigests asks a random member for its digests.
func (m *Machine) exchangeDigests(now time.Duration) {
	if now < m.compare.next || len(m.peers) == 0 {
		return
	}
	m.compare.next = now + digestInterval
	if !m.ready {
		m.compare.next = now + quickDigestInterval
	}
	m.compare.turn++
	anywhere := m.compare.turn%remoteTurn == 0
	ownZone := func(peer Peer) bool { return anywhere || peer.Identity.Zone == m.config.Self.Zone }
	chosen := m.choose(1, ownZone)
	if len(chosen) == 0 {
		chosen = m.choose(1, func(Peer) bool { return true })
	}
	for _, address := range chosen {
		m.send(address, Message{Kind: KindDigest, Zones: m.digests()})
	}
}

// digests returns the digests of the zones that have live members.
func (m *Machine) digests() []ZoneDigest {
	var hashes [membership.MaximumZones]uint64
	var present [membership.MaximumZones]bool
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

// reporterDigests returns the digests of the live daemons in the zones that
// suit, this process included, ordered by address.
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

// reporterDigest returns the digest of a process, zero if it claims nothing.
func (m *Machine) reporterDigest(identity membership.Identity) ReporterDigest {
	digest := ReporterDigest{Reporter: identity.Address}
	if from, known := m.claims.reporters[identity.Address]; known && from.incarnation == identity.Incarnation {
		digest.Hash = from.hash
	}
	return digest
}

func (m *Machine) zoneOf(address membership.Address) membership.Zone {
	if peer, exists := m.peer(address); exists {
		return peer.Identity.Zone
	}
	return m.config.Self.Zone
}

// compareDigests compares the zones that another daemon knows differently.
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
			m.askCompare(from, digest.Zone)
		}
	}
	if same {
		m.becomeReady()
	}
}

// settled reports whether the own digest of a zone has not changed for long.
// That others agree with it says nothing: a whole zone may have missed a push.
// A process that is not ready does not wait.
func (m *Machine) settled(now time.Duration, own ZoneDigest) bool {
	noted := &m.compare.changes[own.Zone]
	if noted.hash != own.Hash {
		*noted = zoneChange{hash: own.Hash, since: now}
	}
	return !m.ready || now >= noted.since+settleTime
}

// askCompare sends the digests of some daemons of a zone, others each time.
func (m *Machine) askCompare(to membership.Address, zone membership.Zone) {
	known := m.reporterDigests(func(other membership.Zone) bool { return other == zone })
	begin := m.compare.from[zone]
	if begin >= len(known) {
		begin = 0
	}
	end := min(begin+maximumDigests, len(known))
	m.compare.from[zone] = end
	m.send(to, Message{Kind: KindCompare, Zone: zone, Reporters: known[begin:end]})
}

// answerCompare sends the records of the daemons that the asking one knows
// differently: a random part if there are many, so that asking again leads on.
func (m *Machine) answerCompare(to membership.Address, message Message) {
	var answers [][]Record
	for _, theirs := range message.Reporters {
		from, known := m.claims.reporters[theirs.Reporter]
		if known && from.hash != theirs.Hash {
			answers = slices.AppendSeq(answers, slices.Chunk(from.sorted(), maximumRecords))
		}
	}
	m.config.Random.Shuffle(len(answers), func(i, j int) { answers[i], answers[j] = answers[j], answers[i] })
	for _, records := range answers[:min(maximumAnswers, len(answers))] {
		m.send(to, Message{Kind: KindRecords, Records: records})
	}
}
