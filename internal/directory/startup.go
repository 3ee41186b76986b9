// This file implements what a Spread does while processes start: it meets them at the seeds
// and names those to them that have a directory.

package directory

import (
	"slices"
	"time"
)

// fetchPatience is how long a process that starts waits for the directory of another
// before it lists the store: some fetches on a slow link.
const fetchPatience = 150 * time.Millisecond

// SnapshotDue returns until when a snapshot of another may be expected, zero if there is no
// source.
func (s *Disseminator) SnapshotDeadline() time.Duration { return max(s.snapshotDue, s.patience) }

// Question returns what a process that has been started sends a seed: until it knows the
// directory and the seed does too.
func (s *Disseminator) StartupRequest(now time.Duration) (Outgoing, bool) {
	if len(s.seeds) == 0 || s.seedAdvertised && s.machine.Loaded() {
		return Outgoing{}, false
	}
	return Outgoing{To: s.seeds[s.random.IntN(len(s.seeds))], Update: Update{RequestsChanges: true, State: s.Summary(now)}}, true
}

// advertise returns what announces to seeds that this process has a directory.
func (s *Disseminator) advertise(now time.Duration, seeds []Peer) []Outgoing {
	if s.advertised || !s.machine.Loaded() {
		return nil
	}
	s.advertised = true
	return s.address([]Update{{RequestsChanges: true, State: s.Summary(now)}}, seeds)
}

// serveWaiting names sources to processes that know nothing and have waited for one.
func (s *Disseminator) serveWaiting(now time.Duration) []Outgoing {
	if s.machine.Loaded() {
		s.sources.note(now, s.self.Peer)
	}
	var outgoing []Outgoing
	for _, each := range s.sources.serve(now) {
		outgoing = append(outgoing, Outgoing{To: each.to, Update: Update{State: s.Summary(now), Source: each.source}})
	}
	return outgoing
}

// noteSources takes account of what an update shows of who has a directory, or is about to. It
// returns what to send those that have waited for that.
func (s *Disseminator) noteSources(now time.Duration, from Peer, update Update) []Outgoing {
	isSeed := slices.Contains(s.seeds, from)
	if update.ListingStore && s.patience == 0 && isSeed {
		s.patience = now + fetchPatience + ListingDelay(s.random.Float64())
	}
	if update.State.Through == 0 && update.Source == 0 {
		return nil
	}
	if !s.sources.others() {
		s.snapshotDue = now + fetchPatience
	}
	s.noteSource(now, update.SourceOrSender(from))
	s.noteReferrer(from)
	s.seedAdvertised = s.seedAdvertised || isSeed
	return s.serveWaiting(now)
}

// noteReferrer remembers the seed that has named a source first.
func (s *Disseminator) noteReferrer(from Peer) {
	if s.referrer == 0 && slices.Contains(s.seeds, from) {
		s.referrer = from
	}
}

func (s *Disseminator) noteSource(now time.Duration, peer Peer) {
	if peer != s.self.Peer {
		s.sources.note(now, peer)
	}
}
