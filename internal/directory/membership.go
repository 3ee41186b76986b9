package directory

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a balancer that is running according to the membership of this process.
type Member struct {
	Peer Peer
	Zone int
}

// rank returns the hash that orders members by random weight (rendezvous hashing, or highest
// random weight: Thaler and Ravishankar, 1998). Every process computes the same order, and few
// positions change when a member joins or leaves.
func (m Member) rank() uint64 {
	var encoded [8]byte
	for index := range encoded {
		encoded[index] = byte(m.Peer >> (8 * index))
	}
	return xxhash.Sum64(encoded[:])
}

func compareRanks(a, b Member) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.Peer, b.Peer))
}

// SetMembers replaces the live members, including this process. While memberships are
// incomplete, more processes than intended may be watchers.
func (d *Disseminator) SetMembers(members []Member) {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, compareRanks)
	heads := zoneHeadsOf(ordered)
	d.alone = len(ordered) < 2
	d.memberCount = uint32(len(ordered))
	d.zoneHeads, d.zonePeers = nil, nil
	d.zoneRank, d.isZoneHead = 0, false
	precedingInZone := 0
	for _, member := range ordered {
		switch {
		case member == d.self:
			d.zoneRank = float64(precedingInZone)
		case member.Zone == d.self.Zone:
			precedingInZone++
			d.zonePeers = append(d.zonePeers, member.Peer)
		}
	}
	d.zoneRank /= float64(max(len(d.zonePeers), 1))
	for _, head := range heads {
		switch {
		case head == d.self:
			d.isZoneHead = true
		case head.Zone != d.self.Zone:
			d.zoneHeads = append(d.zoneHeads, head.Peer)
		}
	}
	d.chooseWatchers(ordered, heads)
}

// zoneHeadsOf returns the first member of each zone.
func zoneHeadsOf(ordered []Member) []Member {
	var heads []Member
	for _, member := range ordered {
		found := slices.ContainsFunc(heads, func(head Member) bool { return head.Zone == member.Zone })
		if !found {
			heads = append(heads, member)
		}
	}
	return heads
}

// chooseWatchers selects the heads of zones and then other members, so that an isolated zone
// contains at most one watcher where there are enough zones.
func (d *Disseminator) chooseWatchers(ordered, heads []Member) {
	others := slices.DeleteFunc(slices.Clone(ordered), func(member Member) bool { return slices.Contains(heads, member) })
	d.watchers, d.watching, d.confirmsForOthers = nil, false, false
	for index, member := range slices.Concat(heads, others)[:min(watcherCount(len(ordered)), len(ordered))] {
		if member == d.self {
			d.watching = true
			d.confirmsForOthers = index < confirmerCount(len(ordered))
			continue
		}
		d.watchers = append(d.watchers, member.Peer)
	}
}

// watcherCount returns how many of a number of balancers watch the store: 2 of 4, 3 of 100, 4
// of 1,000.
func watcherCount(members int) int {
	return 1 + int(math.Ceil(math.Log10(float64(max(members, 2)))))
}
