// This file implements the list of known members, by address and by zone.

package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// member is one known process.
type member struct {
	update Update
	// position is the index in the members of the zone.
	position int
	// since is when the member entered its state.
	since time.Duration
	// caughtUp is set if the last message from the member said that it has the full state.
	caughtUp bool
	// suspectPings counts the pings sent to the member while it is suspected.
	suspectPings int
}

// zoneState holds the members of one zone and its reachability.
type zoneState struct {
	members []*member
	live    int
	// digest is the exclusive or of the hashes of the live members.
	digest uint32
	// lastChanged is when a member of the zone last changed.
	lastChanged time.Duration
	// lastMessageAt is when the last message came from the zone. reachable is set if that
	// was recent enough.
	lastMessageAt time.Duration
	reachable     bool
	// unreachableSince is when the zone was first seen or became unreachable.
	unreachableSince time.Duration
}

// memberList holds the members. Its iteration order depends only on the order of insertions
// and removals, so that runs are reproducible.
type memberList struct {
	byAddress map[Address]*member
	zones     [MaxZones]zoneState
	live      int
}

func newMemberList() *memberList {
	return &memberList{byAddress: make(map[Address]*member)}
}

// put adds or replaces a member.
func (l *memberList) put(now time.Duration, update Update) *member {
	known, exists := l.byAddress[update.Member.Address]
	if exists && known.update.Member.Zone != update.Member.Zone {
		l.remove(now, known)
		exists = false
	}
	zone := &l.zones[update.Member.Zone]
	if len(zone.members) == 0 {
		zone.unreachableSince = now
	}
	if !exists {
		known = &member{position: len(zone.members)}
		zone.members = append(zone.members, known)
		l.byAddress[update.Member.Address] = known
	} else {
		l.removeFromTotals(zone, known)
	}
	known.update = update
	known.since = now
	known.suspectPings = 0
	known.caughtUp = false
	zone.lastChanged = now
	l.addToTotals(zone, known)
	return known
}

func (l *memberList) remove(now time.Duration, removed *member) {
	zone := &l.zones[removed.update.Member.Zone]
	l.removeFromTotals(zone, removed)
	last := zone.members[len(zone.members)-1]
	last.position = removed.position
	zone.members[removed.position] = last
	zone.members = zone.members[:len(zone.members)-1]
	zone.lastChanged = now
	delete(l.byAddress, removed.update.Member.Address)
}

func (l *memberList) addToTotals(zone *zoneState, counted *member) {
	if counted.update.State.live() {
		zone.live++
		l.live++
		zone.digest ^= counted.update.hash()
	}
}

func (l *memberList) removeFromTotals(zone *zoneState, counted *member) {
	if counted.update.State.live() {
		zone.live--
		l.live--
		zone.digest ^= counted.update.hash()
	}
}

// hash covers only what all members must agree on: which processes run. Suspicions and
// refutations are left out, since they spread only among the members that probe the
// suspect.
func (u Update) hash() uint32 {
	var encoded [16]byte
	binary.BigEndian.PutUint64(encoded[0:], uint64(u.Member.Address))
	binary.BigEndian.PutUint64(encoded[8:], uint64(u.Member.Incarnation))
	return uint32(xxhash.Sum64(encoded[:]))
}

// randomMember returns a random member of the zone that matches, if there is one.
func (l *memberList) randomMember(random *rand.Rand, zone Zone, matches func(*member) bool) (*member, bool) {
	members := l.zones[zone].members
	if len(members) == 0 {
		return nil, false
	}
	start := random.IntN(len(members))
	for offset := range members {
		candidate := members[(start+offset)%len(members)]
		if matches(candidate) {
			return candidate, true
		}
	}
	return nil, false
}

// digestOf returns the digest of a zone.
func (l *memberList) digestOf(zone Zone) ZoneDigest {
	return ZoneDigest{Zone: zone, Hash: l.zones[zone].digest}
}

// digests returns the digests of all zones that have members.
func (l *memberList) digests() []ZoneDigest {
	var all []ZoneDigest
	for zone := range l.zones {
		if len(l.zones[zone].members) > 0 {
			all = append(all, l.digestOf(Zone(zone)))
		}
	}
	return all
}
