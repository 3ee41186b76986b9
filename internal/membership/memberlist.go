// This file implements the roster: the members known, by address and by zone.

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
	// since is when the state began.
	since time.Duration
	// informed is set if the last message from the member itself said that it
	// knows what others know.
	informed bool
	// verifications counts the pings that asked a suspect whether it lives.
	verifications int
}

// zoneRecord is what is known of one zone.
type zoneRecord struct {
	members []*member
	live    int
	// digest is the exclusive or of the hashes of live members.
	digest uint32
	// changed is when a member of the zone last changed.
	changed time.Duration
	// heard is when the zone was last heard of, and reachable whether that
	// was lately.
	heard     time.Duration
	reachable bool
	// unreachableSince is when the zone was found or became unreachable.
	unreachableSince time.Duration
}

// roster holds the members. Its iteration order depends on nothing but the
// order of insertions.
type roster struct {
	byAddress map[Address]*member
	zones     [MaximumZones]zoneRecord
	live      int
}

func newRoster() *roster {
	return &roster{byAddress: make(map[Address]*member)}
}

// put adds or replaces what is known of a member.
func (r *roster) put(now time.Duration, update Update) *member {
	known, exists := r.byAddress[update.Member.Address]
	if exists && known.update.Member.Zone != update.Member.Zone {
		r.remove(now, known)
		exists = false
	}
	zone := &r.zones[update.Member.Zone]
	if len(zone.members) == 0 {
		zone.unreachableSince = now
	}
	if !exists {
		known = &member{position: len(zone.members)}
		zone.members = append(zone.members, known)
		r.byAddress[update.Member.Address] = known
	} else {
		r.discount(zone, known)
	}
	known.update = update
	known.since = now
	known.verifications = 0
	known.informed = false
	zone.changed = now
	r.count(zone, known)
	return known
}

func (r *roster) remove(now time.Duration, removed *member) {
	zone := &r.zones[removed.update.Member.Zone]
	r.discount(zone, removed)
	last := zone.members[len(zone.members)-1]
	last.position = removed.position
	zone.members[removed.position] = last
	zone.members = zone.members[:len(zone.members)-1]
	zone.changed = now
	delete(r.byAddress, removed.update.Member.Address)
}

func (r *roster) count(zone *zoneRecord, counted *member) {
	if counted.update.State.live() {
		zone.live++
		r.live++
		zone.digest ^= counted.update.hash()
	}
}

func (r *roster) discount(zone *zoneRecord, counted *member) {
	if counted.update.State.live() {
		zone.live--
		r.live--
		zone.digest ^= counted.update.hash()
	}
}

// hash covers what must agree between members: which processes run.
// Suspicions and their refutations pass among those who probe the member.
func (u Update) hash() uint32 {
	var encoded [16]byte
	binary.BigEndian.PutUint64(encoded[0:], uint64(u.Member.Address))
	binary.BigEndian.PutUint64(encoded[8:], uint64(u.Member.Incarnation))
	return uint32(xxhash.Sum64(encoded[:]))
}

// randomMember returns a member of the zone that suits, if there is one.
func (r *roster) randomMember(random *rand.Rand, zone Zone, suits func(*member) bool) (*member, bool) {
	members := r.zones[zone].members
	if len(members) == 0 {
		return nil, false
	}
	start := random.IntN(len(members))
	for offset := range members {
		candidate := members[(start+offset)%len(members)]
		if suits(candidate) {
			return candidate, true
		}
	}
	return nil, false
}

// digestOf returns the digest of a zone.
func (r *roster) digestOf(zone Zone) ZoneDigest {
	return ZoneDigest{Zone: zone, Hash: r.zones[zone].digest}
}

// digests returns the digests of all zones that have members.
func (r *roster) digests() []ZoneDigest {
	var all []ZoneDigest
	for zone := range r.zones {
		if len(r.zones[zone].members) > 0 {
			all = append(all, r.digestOf(Zone(zone)))
		}
	}
	return all
}
