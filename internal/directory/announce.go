// This file implements which updates a Spread sends to other balancers.

package directory

import (
	"slices"
	"time"
)

const (
	// subscription is how long a process that has asked is sent updates: longer than the
	// membership takes to have it.
	subscription = 30 * time.Second
	// subscriberLimit bounds the subscribers.
	subscriberLimit = 256
	// renewalShare is how much longer than the time between two confirmations a process
	// waits for one before it asks a watcher, which is before it asks the store.
	renewalShare = 1.15
	// announcementOverlap is how many updates back an update reaches, so that one that is lost
	// costs nothing.
	announcementOverlap = 2
	// repeatDelay is how long after an update it is sent again, since a lost one is made up
	// for only by the next. It is longer than a queue at a link lasts.
	repeatDelay = 100 * time.Millisecond
)

// repetition is what is to be sent again: all changes after a revision.
type repetition struct {
	at    time.Duration
	after Revision
	to    []Peer
}

// announce returns the updates for others, except for one: all changes since the last ones.
func (s *Disseminator) announce(now time.Duration, to []Peer, except Peer) []Outgoing {
	if !s.machine.Loaded() {
		return nil
	}
	receivers := slices.DeleteFunc(slices.Clone(to), func(peer Peer) bool { return peer == except })
	receivers = append(receivers, s.subscribed(now, receivers, except)...)
	base := s.machine.AppliedRevision()
	// What was announced before a refutation leads nowhere.
	s.announcedRevisions = slices.DeleteFunc(s.announcedRevisions, func(revision Revision) bool { return revision > base })
	if len(s.announcedRevisions) > 0 {
		base = s.announcedRevisions[0]
	}
	s.announcedRevisions = append(s.announcedRevisions, s.machine.AppliedRevision())
	s.announcedRevisions = s.announcedRevisions[max(len(s.announcedRevisions)-announcementOverlap, 0):]
	s.announcedAt = now
	s.announcedVersion = s.machine.Snapshot().Version()
	s.repeat = repetition{at: now + repeatDelay, after: base, to: receivers}
	return s.address(s.updates(now, base), receivers)
}

// Repeat returns the last updates again, once repeatDelay has passed. It is to be called about
// as often.
func (s *Disseminator) Repeat(now time.Duration) []Outgoing {
	due := s.repeat
	if len(due.to) == 0 || now < due.at {
		return nil
	}
	s.repeat = repetition{}
	return s.address(s.updates(now, due.after), due.to)
}

// Renewal returns what asks a watcher for changes, if no confirmation has come in time. This
// process is a subscriber of the watcher from then on.
func (s *Disseminator) RenewalRequest(now time.Duration) []Outgoing {
	patience := time.Duration(renewalShare * float64(s.timing.watchWait()))
	lasting := s.machine.Loaded() || s.machine.corrects()
	if !lasting || now-max(s.confirmed, s.renewed) < patience {
		return nil
	}
	watcher, exists := s.AnyWatcher()
	if !exists {
		return nil
	}
	s.renewed = now
	return s.address([]Update{{RequestsChanges: true, State: s.Summary(now)}}, []Peer{watcher})
}

// Fetched notes that another process has been given the directory.
func (s *Disseminator) StateSent(now time.Duration, by Peer) { s.subscribe(now, by) }

func (s *Disseminator) subscribe(now time.Duration, peer Peer) {
	if _, exists := s.subscribers[peer]; exists || len(s.subscribers) < subscriberLimit {
		s.subscribers[peer] = now
	}
}

// subscribed returns those that have asked lately and are not among others, in order.
func (s *Disseminator) subscribed(now time.Duration, others []Peer, except Peer) []Peer {
	var peers []Peer
	for peer, since := range s.subscribers {
		if now-since > subscription {
			delete(s.subscribers, peer)
			continue
		}
		if peer != except && !slices.Contains(others, peer) {
			peers = append(peers, peer)
		}
	}
	slices.Sort(peers)
	return peers
}

// Announced returns how much is known, and of when that is.
func (s *Disseminator) Summary(now time.Duration) State {
	state := s.machine.stateFrom(s.machine.AppliedRevision())
	state.Whole = false
	return s.aged(now, state)
}

// aged completes a state with the time for which the directory is current.
func (s *Disseminator) aged(now time.Duration, state State) State {
	state.MemberCount = s.members
	state.Age = now - s.confirmed
	state.Confirmed = state.Age <= Retention
	if !state.Confirmed {
		state.Age = 0
	}
	return state
}

// State returns what is known beyond a digest, with its age.
func (s *Disseminator) State(now time.Duration, known Digest) State {
	return s.aged(now, s.machine.StateAfter(now, known))
}

func (s *Disseminator) updates(now time.Duration, known Revision) []Update {
	return updatesOf(s.aged(now, s.machine.ChangesAfter(now, known)))
}

func (s *Disseminator) address(updates []Update, to []Peer) []Outgoing {
	outgoing := make([]Outgoing, 0, len(updates)*len(to))
	for _, peer := range to {
		for _, update := range updates {
			outgoing = append(outgoing, Outgoing{To: peer, Update: update})
		}
	}
	return outgoing
}
