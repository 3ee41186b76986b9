package directory

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a balancer that is running, as far as is known.
type Member struct {
	Peer Peer
	Zone int
}

// rank orders members by highest random weight (rendezvous hashing: Thaler and
// Ravishankar, 1998): each process computes the same order, and few places in it change
// when a member comes or goes.
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

// SetMembers replaces the live members, this process included. With an incomplete membership a
// process takes itself for a watcher more often.
func (s *Disseminator) SetMembers(members []Member) {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, compareRanks)
	heads := firstOfZones(ordered)
	s.alone = len(ordered) < 2
	s.members = uint32(len(ordered))
	s.heads, s.neighbours = nil, nil
	s.place, s.head = 0, false
	before := 0
	for _, member := range ordered {
		switch {
		case member == s.self:
			s.place = float64(before)
		case member.Zone == s.self.Zone:
			before++
			s.neighbours = append(s.neighbours, member.Peer)
		}
	}
	s.place /= float64(max(len(s.neighbours), 1))
	for _, head := range heads {
		switch {
		case head == s.self:
			s.head = true
		case head.Zone != s.self.Zone:
			s.heads = append(s.heads, head.Peer)
		}
	}
	s.chooseWatchers(ordered, heads)
}

// firstOfZones returns the first member of each zone.
func firstOfZones(ordered []Member) []Member {
	var heads []Member
	for _, member := range ordered {
		known := slices.ContainsFunc(heads, func(head Member) bool { return head.Zone == member.Zone })
		if !known {
			heads = append(heads, member)
		}
	}
	return heads
}

// chooseWatchers takes the first of zones and then others, so that a zone that is cut off
// takes one of them at the most.
func (s *Disseminator) chooseWatchers(ordered, heads []Member) {
	others := slices.DeleteFunc(slices.Clone(ordered), func(member Member) bool { return slices.Contains(heads, member) })
	s.watchers, s.watching, s.confirms = nil, false, false
	for index, member := range slices.Concat(heads, others)[:min(watchersAmong(len(ordered)), len(ordered))] {
		if member == s.self {
			s.watching = true
			s.confirms = index < askedAmong(len(ordered))
			continue
		}
		s.watchers = append(s.watchers, member.Peer)
	}
}

// watchersAmong returns how many of a number of balancers watch the store: 2 of 4, 3 of
// 100, 4 of 1,000.
func watchersAmong(members int) int {
	return 1 + int(math.Ceil(math.Log10(float64(max(members, 2)))))
}
