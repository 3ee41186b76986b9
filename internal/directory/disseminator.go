package directory

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Outgoing is an update for another balancer.
type Outgoing struct {
	To     Peer
	Update Update
}

// Spread decides which balancers call the store and which updates they send each other. A few
// watch it; each announces changes to the balancers of its own zone, and to one of every other
// zone, which passes them on. Whoever has had no confirmation for too long polls the store
// itself and announces the answer, those of low rank first: there is no election, and nobody
// depends on a watcher. It is deterministic.
type Disseminator struct {
	machine *Replica
	timing  Timing
	random  *rand.Rand
	self    Member
	seeds   []Peer
	// alone is set while no other balancer is known to run.
	alone    bool
	watching bool
	// confirms is set if it is one of those that others ask for confirmations.
	confirms bool
	// heads are the first of each zone, without this process, and neighbours the others
	// of its own zone; place is its own among those of its zone, and head is set if it is
	// the first.
	heads      []Peer
	neighbours []Peer
	watchers   []Peer
	// silentWatcher has not confirmed the directory in time; until askAnyUntil any other may be
	// asked.
	silentWatcher Peer
	askAnyUntil   time.Duration
	place         float64
	head          bool
	// members is how many balancers the membership has, and advertisedMembers the most that
	// others have advertised lately, at advertisedAt.
	members           uint32
	advertisedMembers uint32
	advertisedAt      time.Duration
	// asked is set once this process has listed the store itself.
	asked bool
	// confirmed is the latest time for which the directory is known to be current.
	confirmed time.Duration
	// announcedRevisions are the latest that were announced, the last one last, announcedAt is
	// when that was, and announcedVersion the version of the configuration then.
	announcedRevisions []Revision
	announcedAt        time.Duration
	announcedVersion   uint64
	repeat             repetition
	// renewed is when a watcher was asked last.
	renewed time.Duration
	// subscribers are processes that know something and have asked lately.
	subscribers map[Peer]time.Duration
	sources     sources
	// referrer is the seed that has named a source to this process, zero if none has.
	referrer Peer
	// snapshotDue is until when a snapshot of a source may be expected.
	snapshotDue time.Duration
	// seedAdvertised is set once a seed has shown that it has a directory, so that it can name
	// a source to others which start.
	seedAdvertised bool
	// patience is until when a seed without a directory is waited for, zero if none has
	// answered.
	patience time.Duration
	// advertised is set once this process has announced to a seed that it has a directory.
	advertised bool
}

// NewSpread returns the spread of a machine's directory, for a process which asks the seeds at
// its start.
func NewDisseminator(machine *Replica, timing Timing, self Member, seeds []Peer, random *rand.Rand) *Disseminator {
	return &Disseminator{
		machine: machine, timing: timing, random: random, self: self, seeds: seeds, alone: true,
		confirmed: math.MinInt64 / 2, subscribers: make(map[Peer]time.Duration), sources: sources{self: self.Peer},
	}
}

// SetSeeds replaces the seeds.
func (s *Disseminator) SetSeeds(seeds []Peer) { s.seeds = seeds }

// Watching reports whether this process watches the store. While it knows no other balancer it
// does so if it has listed the store itself or no other has a directory.
func (s *Disseminator) Watching() bool {
	if s.alone {
		return s.asked || !s.sources.others()
	}
	return s.watching && membershipShare*float64(s.advertisedMembers) <= float64(s.members)
}

const (
	// membershipShare is the part of the advertised members which a process has to have itself
	// to be a watcher. While the membership spreads, each is among the first of the few that
	// it has.
	membershipShare = 0.5
	// membershipMemory is how long an advertised number of members counts. A process without
	// confirmations polls before.
	membershipMemory = 5 * time.Second
)

// noteMembers takes account of how many members another advertises.
func (s *Disseminator) noteMembers(now time.Duration, advertised uint32) {
	if advertised >= s.advertisedMembers || now-s.advertisedAt > membershipMemory {
		s.advertisedMembers, s.advertisedAt = advertised, now
	}
}

// Alone reports whether no other balancer is known to run.
func (s *Disseminator) Alone() bool { return s.alone }

// PollAt returns when this process asks the store even if it does not watch it.
func (s *Disseminator) PollAt() time.Duration {
	return s.confirmed + s.timing.pollPatience() + time.Duration(s.place*float64(s.timing.pollSpread()))
}

// Confirmed returns the latest time for which the directory is known to be current.
func (s *Disseminator) ConfirmedAt() time.Duration { return s.confirmed }

const (
	// askersOfWatcher is how many balancers ask the same watcher to confirm the directory. The
	// fewer watchers are asked, the fewer calls of the store serve all.
	askersOfWatcher = 50
	// askedElsewhere is for how long a balancer asks any watcher after one has not answered:
	// until the membership has noticed if that one has failed.
	askedElsewhere = 2 * time.Second
)

// Asker returns a watcher which can tell of changes, false if that is this process or none
// is known.
func (s *Disseminator) AnyWatcher() (Peer, bool) {
	if s.Watching() {
		return 0, false
	}
	return s.anyOf(s.watchers)
}

// Confirming returns the watcher to ask for a confirmation of the directory, false if that is
// this process or none is known that answers.
func (s *Disseminator) ConfirmationWatcher(now time.Duration) (Peer, bool) {
	if s.confirms && s.Watching() {
		return 0, false
	}
	if now < s.askAnyUntil {
		answering := slices.DeleteFunc(slices.Clone(s.watchers), func(watcher Peer) bool { return watcher == s.silentWatcher })
		return s.anyOf(answering)
	}
	return s.anyOf(s.watchers[:min(len(s.watchers), askedAmong(int(s.members)))])
}

func (s *Disseminator) anyOf(watchers []Peer) (Peer, bool) {
	if len(watchers) == 0 {
		return 0, false
	}
	return watchers[s.random.IntN(len(watchers))], true
}

// Unanswered notes that a watcher has not confirmed the directory in time. Any other is asked
// for a while.
func (s *Disseminator) WatcherTimedOut(now time.Duration, watcher Peer) {
	s.silentWatcher, s.askAnyUntil = watcher, now+askedElsewhere
}

// Listed notes that this process has listed the store itself.
func (s *Disseminator) StoreListed() { s.asked = true }

// Answered handles that the store has answered, so that the directory is current as of now,
// and returns what to announce.
func (s *Disseminator) StoreAnswered(now time.Duration) []Outgoing {
	s.confirmed = max(s.confirmed, now)
	outgoing := s.announce(now, slices.Concat(s.neighbours, s.heads), 0)
	outgoing = append(outgoing, s.advertise(now, s.seeds)...)
	return append(outgoing, s.serveWaiting(now)...)
}

// Receive handles an update of another balancer. It reports whether the snapshot changed, and
// whether it lacks what the other announces.
func (s *Disseminator) Receive(now time.Duration, from Peer, update Update) (changed, lacks bool, answers []Outgoing) {
	if s.machine.refutes(update.State.Through) {
		return false, false, nil
	}
	before := s.machine.Digest()
	if update.RequestsChanges && update.State.Through > 0 {
		s.subscribe(now, from)
	}
	s.noteMembers(now, update.State.MemberCount)
	changed = s.machine.ApplyState(now, update.State)
	digest := Digest{update.State.ConfigurationVersion, update.State.Through}
	lacks = s.machine.lacks(digest) || update.Source != 0 && !s.machine.Loaded()
	answers = s.noteSources(now, from, update)
	if !lacks {
		s.noteConfirmation(now, update.State)
	}
	if update.RequestsChanges && !update.Confirmation {
		answers = append(answers, s.answer(now, from, update)...)
	}
	if !lacks && !update.RequestsChanges && s.passesOn(now, from, before) {
		answers = append(answers, s.announce(now, s.neighbours, from)...)
	}
	return changed, lacks, answers
}

// noteConfirmation takes account of a confirmed state, which was sent, or asked for, at a
// time. One that is behind this directory does not confirm it.
func (s *Disseminator) noteConfirmation(at time.Duration, state State) {
	if state.Confirmed && state.Through >= s.machine.AppliedRevision() {
		s.confirmed = max(s.confirmed, at-max(state.Age, 0))
	}
}

// SourceOf returns who can be asked for what an update shows.
func (u Update) SourceOrSender(sender Peer) Peer {
	if u.Source != 0 {
		return u.Source
	}
	return sender
}

// passesOn reports whether this process announces to its zone what came from another.
func (s *Disseminator) passesOn(now time.Duration, from Peer, before Digest) bool {
	if !s.head || slices.Contains(s.neighbours, from) {
		return false
	}
	return s.machine.Digest().ahead(before) || now-s.announcedAt >= s.timing.watchWait()/2
}

// answer returns the changes that another process lacks, or a source for it.
func (s *Disseminator) answer(now time.Duration, to Peer, question Update) []Outgoing {
	known := question.State.Through
	switch {
	case known > 0 && s.machine.Loaded():
		return s.address(s.updates(now, known), []Peer{to})
	case known > 0:
		return nil
	}
	s.sources.wait(to)
	served := s.serveWaiting(now)
	if !s.machine.Loaded() && !s.sources.others() {
		served = append(served, Outgoing{To: to, Update: Update{State: s.Summary(now), ListingStore: true}})
	}
	return served
}

// Answer returns the answer to a process that wanted a confirmation by the store.
func (s *Disseminator) ConfirmationReplies(now time.Duration, to Peer, question Update) []Outgoing {
	answers := s.address(s.updates(now, question.State.Through), []Peer{to})
	last := &answers[len(answers)-1].Update
	last.Confirmation, last.RequestID = true, question.RequestID
	return answers
}

// Took handles that this process has adopted a state which it asked another for at a time. It
// returns what to announce to its zone: a new configuration is not in any update.
func (s *Disseminator) StateFetched(now, asked time.Duration, from Peer, state State) []Outgoing {
	if s.machine.refutes(state.Through) {
		return nil
	}
	if !s.machine.lacks(Digest{state.ConfigurationVersion, state.Through}) {
		s.noteConfirmation(asked, state)
	}
	var outgoing []Outgoing
	if s.referrer != 0 {
		outgoing = s.advertise(now, []Peer{s.referrer})
	}
	if !s.head || s.machine.Snapshot().Version() <= s.announcedVersion {
		return outgoing
	}
	return append(outgoing, s.announce(now, s.neighbours, from)...)
}

// Lost forgets a process that has failed.
func (s *Disseminator) PeerLost(peer Peer) {
	s.sources.forget(peer)
	delete(s.subscribers, peer)
}
