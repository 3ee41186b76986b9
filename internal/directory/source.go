package directory

import (
	"slices"
	"time"
)

const (
	// maxSources limits the processes that are offered as sources.
	maxSources = 64
	// sourceLifetime is how long a process is offered as a source after it has shown that it
	// has a directory.
	sourceLifetime = 2 * time.Second
	// sourceFanOut is the number of starting processes that one source is assigned per
	// assignmentWindow. On a slow link a source can send that many snapshots in that time.
	// Further ones would queue behind each other.
	sourceFanOut     = 4
	assignmentWindow = 60 * time.Millisecond
	// maxWaiting limits the processes that wait for a source.
	maxWaiting = 4096
)

// source is a process that has a directory.
type source struct {
	peer Peer
	// lastSeen is when the process last showed that it has a directory.
	lastSeen time.Duration
	// assignments counts the processes assigned since windowStart.
	assignments int
	windowStart time.Duration
}

// hasCapacity reports whether the source can serve one more process in the current window.
func (s *source) hasCapacity(now time.Duration) bool {
	return s.assignments < sourceFanOut || now-s.windowStart >= assignmentWindow
}

func (s *source) assign(now time.Duration) {
	if now-s.windowStart >= assignmentWindow {
		s.assignments, s.windowStart = 0, now
	}
	s.assignments++
}

// sources tracks the processes that have a directory and those that wait for one. A process
// that has received the directory becomes a source itself, so the directory reaches a fleet
// through a tree whose height grows with the logarithm of the fleet size.
type sources struct {
	// self is the local process. It becomes a source once it has a directory.
	self Peer
	list []source
	// waiting holds the processes without a directory in the order of their requests.
	waiting []Peer
}

// hasOthers reports whether a source other than the local process is known.
func (s *sources) hasOthers() bool {
	return slices.ContainsFunc(s.list, func(each source) bool { return each.peer != s.self })
}

// record notes that a process has a directory. Beyond maxSources the oldest entry is dropped.
func (s *sources) record(now time.Duration, peer Peer) {
	s.waiting = slices.DeleteFunc(s.waiting, func(each Peer) bool { return each == peer })
	index := slices.IndexFunc(s.list, func(each source) bool { return each.peer == peer })
	if index >= 0 {
		s.list[index].lastSeen = now
		return
	}
	s.list = append(s.list, source{peer: peer, lastSeen: now, windowStart: now})
	s.list = s.list[max(len(s.list)-maxSources, 0):]
}

func (s *sources) remove(peer Peer) {
	s.list = slices.DeleteFunc(s.list, func(each source) bool { return each.peer == peer })
}

// choose returns the least-assigned source that has capacity, or false if there is none.
func (s *sources) choose(now time.Duration, to Peer) (Peer, bool) {
	var best *source
	for index := range s.list {
		candidate := &s.list[index]
		usable := candidate.peer != to && now-candidate.lastSeen <= sourceLifetime && candidate.hasCapacity(now)
		if usable && (best == nil || candidate.assignments < best.assignments) {
			best = candidate
		}
	}
	if best == nil {
		return 0, false
	}
	best.assign(now)
	return best.peer, true
}

// enqueue queues a process without a directory until a source is available.
func (s *sources) enqueue(peer Peer) {
	if !slices.Contains(s.waiting, peer) && len(s.waiting) < maxWaiting {
		s.waiting = append(s.waiting, peer)
	}
}

// assignment directs a waiting process to a source.
type assignment struct{ to, source Peer }

// assignWaiting assigns sources to waiting processes, in order, until none is available.
func (s *sources) assignWaiting(now time.Duration) []assignment {
	var assigned []assignment
	for len(s.waiting) > 0 {
		to := s.waiting[0]
		source, exists := s.choose(now, to)
		if !exists {
			return assigned
		}
		s.waiting = s.waiting[1:]
		assigned = append(assigned, assignment{to, source})
	}
	return assigned
}
