package directory

import (
	"slices"
	"time"
)

const (
	// sourceLimit bounds the processes that are named to others which start.
	sourceLimit = 64
	// sourceLifetime is how long after it has shown a directory a process is named to
	// others.
	sourceLifetime = 2 * time.Second
	// fanOut is to how many processes that start one source is named within fetchTime: as many
	// as it sends a snapshot in that time on a slow link. More would wait for each other.
	fanOut    = 4
	fetchTime = 60 * time.Millisecond
	// waitingLimit bounds the processes that wait until there is a source for them.
	waitingLimit = 4096
)

// source is a process that has a directory.
type source struct {
	peer Peer
	// shown is when it has shown that last.
	shown time.Duration
	// named is how often it was named since the time began.
	named int
	began time.Duration
}

// mayBeNamed reports whether the source has time for one more process.
func (s *source) mayBeNamed(now time.Duration) bool {
	return s.named < fanOut || now-s.began >= fetchTime
}

func (s *source) name(now time.Duration) {
	if now-s.began >= fetchTime {
		s.named, s.began = 0, now
	}
	s.named++
}

// sources are the processes that have a directory, and those that wait for one of them.
// Whoever has been given the directory becomes a source, so that it reaches a fleet in a tree
// whose height grows with the logarithm of its size.
type sources struct {
	// self is the process that keeps them, which is among them once it has a directory.
	self  Peer
	known []source
	// waiting are processes without a directory, in the order in which they have asked.
	waiting []Peer
}

// others reports whether a source beside this process is known.
func (s *sources) others() bool {
	return slices.ContainsFunc(s.known, func(each source) bool { return each.peer != s.self })
}

// note takes account of a process that has shown a directory. The latest are kept.
func (s *sources) note(now time.Duration, peer Peer) {
	s.waiting = slices.DeleteFunc(s.waiting, func(each Peer) bool { return each == peer })
	index := slices.IndexFunc(s.known, func(each source) bool { return each.peer == peer })
	if index >= 0 {
		s.known[index].shown = now
		return
	}
	s.known = append(s.known, source{peer: peer, shown: now, began: now})
	s.known = s.known[max(len(s.known)-sourceLimit, 0):]
}

func (s *sources) forget(peer Peer) {
	s.known = slices.DeleteFunc(s.known, func(each source) bool { return each.peer == peer })
}

// choose returns the source to name to a process: one that has time, of those the one that
// was named least. It returns false if there is none.
func (s *sources) choose(now time.Duration, to Peer) (Peer, bool) {
	var best *source
	for index := range s.known {
		each := &s.known[index]
		usable := each.peer != to && now-each.shown <= sourceLifetime && each.mayBeNamed(now)
		if usable && (best == nil || each.named < best.named) {
			best = each
		}
	}
	if best == nil {
		return 0, false
	}
	best.name(now)
	return best.peer, true
}

// wait notes a process without a directory for which there is no source now.
func (s *sources) wait(peer Peer) {
	if !slices.Contains(s.waiting, peer) && len(s.waiting) < waitingLimit {
		s.waiting = append(s.waiting, peer)
	}
}

// served is a process to which a source is named.
type served struct{ to, source Peer }

// serve returns those that have waited for whom there is a source now.
func (s *sources) serve(now time.Duration) []served {
	var found []served
	for len(s.waiting) > 0 {
		to := s.waiting[0]
		chosen, exists := s.choose(now, to)
		if !exists {
			return found
		}
		s.waiting = s.waiting[1:]
		found = append(found, served{to, chosen})
	}
	return found
}
