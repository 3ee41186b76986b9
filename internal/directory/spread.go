package directory

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// subscription is how long a process that has asked is told of changes. Until the
	// membership knows a process it asks again whenever it hears nothing: of 304 that start
	// together the first of a zone knew nine in ten only after 35 s.
	subscription = 30 * time.Second
	// renewalShare is how much longer than the time between two confirmations a process
	// waits for one before it asks a watcher, which is before it asks the store.
	renewalShare = 1.15
	// subscriberLimit bounds those that are told.
	subscriberLimit = 256
	// fetchPatience is how long a process that starts waits for the directory of another
	// before it lists the store: some fetches on a slow link.
	fetchPatience = 150 * time.Millisecond
	// toldOverlap is how many updates back an update reaches, so that one that is lost
	// costs nothing.
	toldOverlap = 2
	// repeatDelay is how long after an update it is sent again: longer than a queue at a link
	// lasts. A datagram is lost now and then; among 304 balancers some missed every change
	// and learned of it with the next update, 3.5 s after the first in the middle of 19
	// changes, or asked the store.
	repeatDelay = 100 * time.Millisecond
)

// Outgoing is an update for another balancer.
type Outgoing struct {
	To     Peer
	Update Update
}

// Spread decides which balancers ask the store and what they tell each other. A few
// watch it; each tells the balancers of its own zone, and one of every other zone, which
// tells its own. Whoever has not heard for too long that its directory is current asks
// the store itself and tells the others, those of low rank first: there is no election,
// and nobody depends on a watcher. It is deterministic.
type Spread struct {
	machine *Machine
	timing  Timing
	random  *rand.Rand
	self    Member
	seeds   []Peer
	// alone is set while no other balancer is known to run.
	alone    bool
	watching bool
	// heads are the first of each zone, without this process, and neighbours the others
	// of its own zone; place is its own among those of its zone, and head is set if it is
	// the first.
	heads      []Peer
	neighbours []Peer
	watchers   []Peer
	place      float64
	head       bool
	// members is how many balancers are known to run, and heard the most that others have
	// told of lately, at heardAt.
	members uint32
	heard   uint32
	heardAt time.Duration
	// asked is set once this process has listed the store itself.
	asked bool
	// confirmed is the latest time for which the directory is known to be current.
	confirmed time.Duration
	// told are the revisions up to which others were told, the latest last, toldAt is when
	// that was, and toldVersion the version of the configuration then.
	told        []Revision
	toldAt      time.Duration
	toldVersion uint64
	repeat      repetition
	// renewed is when a watcher was asked last.
	renewed time.Duration
	// subscribers are processes that know something and have asked lately.
	subscribers map[Peer]time.Duration
	sources     sources
	// teller is who has named a source to this process, zero if nobody has.
	teller Peer
	// toldBy is until when one of them may be expected to give it.
	toldBy time.Duration
	// introduced is set once a seed has shown that it has a directory, so that others
	// which start are told of one.
	introduced bool
	// patience is until when a seed that knows nothing yet is waited for, zero if none has
	// answered.
	patience time.Duration
	// announced is set once this process has told a seed that it has a directory.
	announced bool
}

// Renewal returns what asks a watcher for changes, if this process has not heard in time that
// its directory is current. The watcher tells it of changes from then on.
func (s *Spread) Renewal(now time.Duration) []Outgoing {
	patience := time.Duration(renewalShare * float64(s.timing.watchWait()))
	if s.Watching() || len(s.watchers) == 0 || !s.machine.Known() || now-max(s.confirmed, s.renewed) < patience {
		return nil
	}
	s.renewed = now
	watcher := s.watchers[s.random.IntN(len(s.watchers))]
	return s.address([]Update{{Asks: true, State: s.Announced(now)}}, []Peer{watcher})
}

// repetition is what is to be sent again: all changes after a revision.
type repetition struct {
	at    time.Duration
	after Revision
	to    []Peer
}

// NewSpread returns the spread of what a machine knows, for a process which asks the
// seeds at its start.
func NewSpread(machine *Machine, timing Timing, self Member, seeds []Peer, random *rand.Rand) *Spread {
	return &Spread{
		machine: machine, timing: timing, random: random, self: self, seeds: seeds, alone: true,
		confirmed: math.MinInt64 / 2, subscribers: make(map[Peer]time.Duration), sources: sources{self: self.Peer},
	}
}

// SetSeeds replaces the seeds.
func (s *Spread) SetSeeds(seeds []Peer) { s.seeds = seeds }

// Watching reports whether this process watches the store. While it knows no other
// balancer it does so if it has listed the store itself or nobody has told it anything.
func (s *Spread) Watching() bool {
	if s.alone {
		return s.asked || !s.sources.others()
	}
	return s.watching && membershipShare*float64(s.heard) <= float64(s.members)
}

const (
	// membershipShare is the part of the balancers that others know of which a process has to
	// know to take itself for a watcher. While the membership spreads, each of 304 processes
	// that start together is among the first of the few that it knows: 60 watched the store
	// for two seconds and made 250 calls.
	membershipShare = 0.5
	// membershipMemory is how long it counts what others have told of their number, longer
	// than the membership takes to spread. Meanwhile a process that hears nothing polls.
	membershipMemory = 5 * time.Second
)

// noteMembers takes account of how many balancers another knows.
func (s *Spread) noteMembers(now time.Duration, told uint32) {
	if told >= s.heard || now-s.heardAt > membershipMemory {
		s.heard, s.heardAt = told, now
	}
}

// Alone reports whether no other balancer is known to run.
func (s *Spread) Alone() bool { return s.alone }

// PollAt returns when this process asks the store even if it does not watch it.
func (s *Spread) PollAt() time.Duration {
	return s.confirmed + s.timing.pollPatience() + time.Duration(s.place*float64(s.timing.pollSpread()))
}

// ToldBy returns until when another that has the directory may be expected to give it,
// zero if none is known.
func (s *Spread) ToldBy() time.Duration { return max(s.toldBy, s.patience) }

// Confirmed returns the latest time for which the directory is known to be current.
func (s *Spread) Confirmed() time.Duration { return s.confirmed }

// Asker returns a watcher which can confirm the directory, false if that is this process
// or none is known.
func (s *Spread) Asker() (Peer, bool) {
	if s.Watching() || len(s.watchers) == 0 {
		return 0, false
	}
	return s.watchers[s.random.IntN(len(s.watchers))], true
}

// Question returns what a process that has been started sends a seed: until it knows the
// directory and the seed does too.
func (s *Spread) Question(now time.Duration) (Outgoing, bool) {
	if len(s.seeds) == 0 || s.introduced && s.machine.Known() {
		return Outgoing{}, false
	}
	return Outgoing{To: s.seeds[s.random.IntN(len(s.seeds))], Update: Update{Asks: true, State: s.Announced(now)}}, true
}

// Listed notes that this process has listed the store itself.
func (s *Spread) Listed() { s.asked = true }

// Answered handles that the store has answered, so that the directory is current as of
// now, and returns what to tell others.
func (s *Spread) Answered(now time.Duration) []Outgoing {
	s.confirmed = max(s.confirmed, now)
	outgoing := s.tell(now, slices.Concat(s.neighbours, s.heads), 0)
	outgoing = append(outgoing, s.introduce(now, s.seeds)...)
	return append(outgoing, s.serveWaiting(now)...)
}

// introduce returns what tells seeds at once that this process has a directory.
func (s *Spread) introduce(now time.Duration, seeds []Peer) []Outgoing {
	if s.announced || !s.machine.Known() {
		return nil
	}
	s.announced = true
	return s.address([]Update{{Asks: true, State: s.Announced(now)}}, seeds)
}

// serveWaiting names sources to processes that know nothing and have waited for one.
func (s *Spread) serveWaiting(now time.Duration) []Outgoing {
	if s.machine.Known() {
		s.sources.note(now, s.self.Peer)
	}
	var outgoing []Outgoing
	for _, each := range s.sources.serve(now) {
		outgoing = append(outgoing, Outgoing{To: each.to, Update: Update{State: s.Announced(now), Source: each.source}})
	}
	return outgoing
}

// Receive handles an update of another balancer. It reports whether the snapshot
// changed, and whether it lacks what the other knows.
func (s *Spread) Receive(now time.Duration, from Peer, update Update) (changed, lacks bool, answers []Outgoing) {
	before := s.machine.Digest()
	if update.Asks && update.State.Complete > 0 {
		s.subscribe(now, from)
	}
	s.noteMembers(now, update.State.Members)
	changed = s.machine.Adopt(now, update.State)
	if update.Waits && s.patience == 0 && slices.Contains(s.seeds, from) {
		s.patience = now + fetchPatience + ListingDelay(s.random.Float64())
	}
	digest := Digest{update.State.Version, update.State.Complete}
	lacks = digest.ahead(s.machine.Digest()) || update.Source != 0 && !s.machine.Known()
	if digest.Complete > 0 || update.Source != 0 {
		if !s.sources.others() {
			s.toldBy = now + fetchPatience
		}
		s.noteSource(now, update.SourceOf(from))
		s.noteTeller(from)
		s.introduced = s.introduced || slices.Contains(s.seeds, from)
		answers = s.serveWaiting(now)
	}
	if update.State.Confirmed && !lacks {
		s.confirmed = max(s.confirmed, now-max(update.State.Age, 0))
	}
	if update.Asks && !update.Confirms {
		answers = append(answers, s.answer(now, from, update)...)
	}
	if !lacks && !update.Asks && s.passesOn(now, from, before) {
		answers = append(answers, s.tell(now, s.neighbours, from)...)
	}
	return changed, lacks, answers
}

// SourceOf returns who can be asked for what an update shows.
func (u Update) SourceOf(sender Peer) Peer {
	if u.Source != 0 {
		return u.Source
	}
	return sender
}

// passesOn reports whether this process tells its zone what another zone has told it.
func (s *Spread) passesOn(now time.Duration, from Peer, before Digest) bool {
	if !s.head || slices.Contains(s.neighbours, from) {
		return false
	}
	return s.machine.Digest().ahead(before) || now-s.toldAt >= s.timing.watchWait()/2
}

// answer tells another process what it does not know, or who can tell it.
func (s *Spread) answer(now time.Duration, to Peer, question Update) []Outgoing {
	known := question.State.Complete
	switch {
	case known > 0 && s.machine.Known():
		return s.address(s.updates(now, known), []Peer{to})
	case known > 0:
		return nil
	}
	s.sources.wait(to)
	served := s.serveWaiting(now)
	if !s.machine.Known() && !s.sources.others() {
		served = append(served, Outgoing{To: to, Update: Update{State: s.Announced(now), Waits: true}})
	}
	return served
}

// Answer returns what to tell a process that wanted the store to be asked, which has
// confirmed the directory as of a time.
func (s *Spread) Answer(now time.Duration, to Peer, question Update) []Outgoing {
	answers := s.address(s.updates(now, question.State.Complete), []Peer{to})
	last := &answers[len(answers)-1].Update
	last.Confirms, last.Number = true, question.Number
	return answers
}

// Took handles that this process has adopted a state which it asked another for at a time.
// It returns what to tell its zone: a new configuration is not in any update.
func (s *Spread) Took(now, asked time.Duration, from Peer, state State) []Outgoing {
	behind := Digest{state.Version, state.Complete}.ahead(s.machine.Digest())
	if state.Confirmed && !behind {
		s.confirmed = max(s.confirmed, asked-max(state.Age, 0))
	}
	var outgoing []Outgoing
	if s.teller != 0 {
		outgoing = s.introduce(now, []Peer{s.teller})
	}
	if !s.head || s.machine.Snapshot().Version() <= s.toldVersion {
		return outgoing
	}
	return append(outgoing, s.tell(now, s.neighbours, from)...)
}

// noteTeller remembers the seed that has named a source first.
func (s *Spread) noteTeller(from Peer) {
	if s.teller == 0 && slices.Contains(s.seeds, from) {
		s.teller = from
	}
}

// Fetched notes that another process has been given the directory.
func (s *Spread) Fetched(now time.Duration, by Peer) { s.subscribe(now, by) }

func (s *Spread) subscribe(now time.Duration, peer Peer) {
	if _, exists := s.subscribers[peer]; exists || len(s.subscribers) < subscriberLimit {
		s.subscribers[peer] = now
	}
}

func (s *Spread) noteSource(now time.Duration, peer Peer) {
	if peer != s.self.Peer {
		s.sources.note(now, peer)
	}
}

// Lost forgets a process that has failed.
func (s *Spread) Lost(peer Peer) {
	s.sources.forget(peer)
	delete(s.subscribers, peer)
}

// tell returns what others are told, except for one: all changes since they were told
// before.
func (s *Spread) tell(now time.Duration, to []Peer, except Peer) []Outgoing {
	if !s.machine.Known() {
		return nil
	}
	receivers := slices.DeleteFunc(slices.Clone(to), func(peer Peer) bool { return peer == except })
	receivers = append(receivers, s.subscribed(now, receivers, except)...)
	base := s.machine.Complete()
	if len(s.told) > 0 {
		base = s.told[0]
	}
	s.told = append(s.told, s.machine.Complete())
	s.told = s.told[max(len(s.told)-toldOverlap, 0):]
	s.toldAt = now
	s.toldVersion = s.machine.Snapshot().Version()
	s.repeat = repetition{at: now + repeatDelay, after: base, to: receivers}
	return s.address(s.updates(now, base), receivers)
}

// Repeat returns what others were told last, once repeatDelay has passed. It is to be called
// about as often.
func (s *Spread) Repeat(now time.Duration) []Outgoing {
	due := s.repeat
	if len(due.to) == 0 || now < due.at {
		return nil
	}
	s.repeat = repetition{}
	return s.address(s.updates(now, due.after), due.to)
}

// subscribed returns those that have asked lately and are not among others, in order.
func (s *Spread) subscribed(now time.Duration, others []Peer, except Peer) []Peer {
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
func (s *Spread) Announced(now time.Duration) State {
	state := s.machine.stateFrom(s.machine.Complete())
	state.Whole = false
	return s.aged(now, state)
}

// aged completes a state with the time for which the directory is current.
func (s *Spread) aged(now time.Duration, state State) State {
	state.Members = s.members
	state.Age = now - s.confirmed
	state.Confirmed = state.Age <= Retention
	if !state.Confirmed {
		state.Age = 0
	}
	return state
}

// State returns what is known beyond a digest, with its age.
func (s *Spread) State(now time.Duration, known Digest) State {
	return s.aged(now, s.machine.StateAfter(now, known))
}

func (s *Spread) updates(now time.Duration, known Revision) []Update {
	return updatesOf(s.aged(now, s.machine.ChangesAfter(now, known)))
}

func (s *Spread) address(updates []Update, to []Peer) []Outgoing {
	outgoing := make([]Outgoing, 0, len(updates)*len(to))
	for _, peer := range to {
		for _, update := range updates {
			outgoing = append(outgoing, Outgoing{To: peer, Update: update})
		}
	}
	return outgoing
}
