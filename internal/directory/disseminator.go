package directory

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Outgoing is an update addressed to another balancer.
type Outgoing struct {
	To     Peer
	Update Update
}

// Disseminator decides which balancers call the store and which updates they send to each
// other. A few balancers watch the store. Each of them announces changes to the balancers of
// its own zone and to one balancer of every other zone, which forwards them within its zone. A
// balancer that has received no confirmation for too long polls the store itself and announces
// the result, those of low rank first. There is no election, and no balancer depends on a
// particular watcher. It is deterministic.
type Disseminator struct {
	replica *Replica
	timing  Timing
	random  *rand.Rand
	self    Member
	seeds   []Peer
	// alone is set while no other balancer is known.
	alone    bool
	watching bool
	// confirmsForOthers is set if this process is one of the watchers that others ask for
	// confirmations.
	confirmsForOthers bool
	// zoneHeads holds the first balancer of each other zone and zonePeers the other balancers
	// of the own zone.
	zoneHeads []Peer
	zonePeers []Peer
	watchers  []Peer
	// unresponsiveWatcher did not confirm the directory in time. Until avoidWatcherUntil, any
	// other watcher may be asked.
	unresponsiveWatcher Peer
	avoidWatcherUntil   time.Duration
	// zoneRank is the relative position of this process in its zone, from 0. isZoneHead is set
	// if it is the first.
	zoneRank   float64
	isZoneHead bool
	// memberCount is the number of balancers in the membership. advertisedMembers is the
	// highest number that others advertised recently, at advertisedAt.
	memberCount       uint32
	advertisedMembers uint32
	advertisedAt      time.Duration
	// listedStore is set once this process has listed the store itself.
	listedStore bool
	// announcedRevisions holds the revisions announced recently, the latest last. announcedAt
	// is the time of the last announcement and announcedVersion the configuration version at
	// that time.
	announcedRevisions []Revision
	announcedAt        time.Duration
	announcedVersion   uint64
	pendingRepeat      repeatedUpdates
	// renewalRequestedAt is when a watcher was last asked for changes.
	renewalRequestedAt time.Duration
	// subscribers maps processes that have a directory to the time of their last request.
	subscribers map[Peer]time.Duration
	sources     sources
	// pause detects pauses of this process, after which received datagrams are older than they
	// seem.
	pause pauseDetector
	// referrer is the seed that first directed this process to a source, or 0.
	referrer Peer
	// snapshotDeadline is until when a snapshot of a source may arrive.
	snapshotDeadline time.Duration
	// seedHasDirectory is set once a seed has shown that it has a directory and so can direct
	// starting processes to this one.
	seedHasDirectory bool
	// seedWaitDeadline is until when this process waits for a seed without a directory, or 0 if
	// none has replied.
	seedWaitDeadline time.Duration
	// advertisedToSeed is set once this process has advertised its directory to a seed.
	advertisedToSeed bool
}

// NewDisseminator returns the disseminator of a replica in a process that contacts the seeds
// when it starts.
func NewDisseminator(replica *Replica, timing Timing, self Member, seeds []Peer, random *rand.Rand) *Disseminator {
	return &Disseminator{
		replica: replica, timing: timing, random: random, self: self, seeds: seeds, alone: true,
		subscribers: make(map[Peer]time.Duration), sources: sources{self: self.Peer},
	}
}

// SetSeeds replaces the seeds.
func (d *Disseminator) SetSeeds(seeds []Peer) { d.seeds = seeds }

// Watching reports whether this process watches the store. While it lists no other balancer, it
// watches if it has listed the store itself or if no other process has a directory.
func (d *Disseminator) Watching() bool {
	if d.alone {
		return d.listedStore || !d.sources.hasOthers()
	}
	return d.watching && minMembershipShare*float64(d.advertisedMembers) <= float64(d.memberCount)
}

const (
	// minMembershipShare is the part of the advertised members that a process must list to be a
	// watcher. While the membership spreads, every process ranks among the first of the few
	// members that it lists.
	minMembershipShare = 0.5
	// advertisedMembersLifetime is how long an advertised number of members counts. A process
	// without confirmations polls the store before that time ends.
	advertisedMembersLifetime = 5 * time.Second
)

// recordMembers records the number of members that another process advertises.
func (d *Disseminator) recordMembers(now time.Duration, count uint32) {
	if count >= d.advertisedMembers || now-d.advertisedAt > advertisedMembersLifetime {
		d.advertisedMembers, d.advertisedAt = count, now
	}
}

// Alone reports whether no other balancer is known.
func (d *Disseminator) Alone() bool { return d.alone }

// PollAt returns when this process polls the store if it does not watch it.
func (d *Disseminator) PollAt() time.Duration {
	return d.replica.currentAt + d.timing.pollDelay() + time.Duration(d.zoneRank*float64(d.timing.pollSpread()))
}

// ConfirmedAt returns the latest time for which the directory is known to be current.
func (d *Disseminator) ConfirmedAt() time.Duration { return d.replica.currentAt }

const (
	// balancersPerConfirmer is the number of balancers that share one confirming watcher. The
	// fewer watchers confirm, the more requests one call to the store serves.
	balancersPerConfirmer = 50
	// watcherAvoidanceTime is how long a balancer asks any other watcher after one did not
	// reply. By then the membership has detected a failed watcher.
	watcherAvoidanceTime = 2 * time.Second
)

// AnyWatcher returns a watcher to ask for changes, or false if this process is a watcher or
// none is known.
func (d *Disseminator) AnyWatcher() (Peer, bool) {
	if d.Watching() {
		return 0, false
	}
	return d.randomPeer(d.watchers)
}

// ConfirmationWatcher returns the watcher to ask for a confirmation, or false if this process
// confirms the directory itself or no responsive watcher is known.
func (d *Disseminator) ConfirmationWatcher(now time.Duration) (Peer, bool) {
	if d.confirmsForOthers && d.Watching() {
		return 0, false
	}
	if now < d.avoidWatcherUntil {
		responsive := slices.DeleteFunc(slices.Clone(d.watchers), func(watcher Peer) bool { return watcher == d.unresponsiveWatcher })
		return d.randomPeer(responsive)
	}
	return d.randomPeer(d.watchers[:min(len(d.watchers), confirmerCount(int(d.memberCount)))])
}

func (d *Disseminator) randomPeer(watchers []Peer) (Peer, bool) {
	if len(watchers) == 0 {
		return 0, false
	}
	return watchers[d.random.IntN(len(watchers))], true
}

// WatcherTimedOut records that a watcher did not confirm the directory in time. Other watchers
// are asked for a while.
func (d *Disseminator) WatcherTimedOut(now time.Duration, watcher Peer) {
	d.unresponsiveWatcher, d.avoidWatcherUntil = watcher, now+watcherAvoidanceTime
}

// StoreListed records that this process has listed the store itself.
func (d *Disseminator) StoreListed() { d.listedStore = true }

// StoreAnswered records that the store has responded and that the directory therefore has all
// changes that the store had accepted by currentAt. It returns the updates to send.
func (d *Disseminator) StoreAnswered(now, currentAt time.Duration) []Outgoing {
	d.replica.MarkCurrent(currentAt)
	outgoing := d.announce(now, slices.Concat(d.zonePeers, d.zoneHeads), 0)
	outgoing = append(outgoing, d.advertise(now, d.seeds)...)
	return append(outgoing, d.assignSources(now)...)
}

// Receive handles an update of another balancer. It reports whether the snapshot changed and
// whether this process still lacks announced changes. It returns the updates to send.
func (d *Disseminator) Receive(now time.Duration, from Peer, update Update) (changed, incomplete bool, replies []Outgoing) {
	if d.replica.isInvalid(update.State.Through) {
		return false, false, nil
	}
	if delay := d.InputDelay(now); delay > 0 {
		update.State = update.State.Delayed(delay)
	}
	before := d.replica.Digest()
	if update.RequestsChanges && update.State.Through > 0 {
		d.subscribe(now, from)
	}
	d.recordMembers(now, update.State.MemberCount)
	changed = d.replica.ApplyState(now, update.State)
	digest := Digest{update.State.ConfigurationVersion, update.State.Through}
	incomplete = d.replica.isBehind(digest) || update.Source != 0 && !d.replica.Loaded()
	replies = d.recordSources(now, from, update)
	if !incomplete {
		d.recordConfirmation(now, update.State)
	}
	if update.RequestsChanges && !update.Confirmation {
		replies = append(replies, d.reply(now, from, update)...)
	}
	if !incomplete && !update.RequestsChanges && d.shouldForward(now, from, before) {
		replies = append(replies, d.announce(now, d.zonePeers, from)...)
	}
	return changed, incomplete, replies
}

// InputDelay returns for how long a datagram that is handled now may have waited in its socket
// because the process was paused. It is 0 unless the process has just resumed.
func (d *Disseminator) InputDelay(now time.Duration) time.Duration {
	d.pause.observe(now)
	return d.pause.inputDelay(now)
}

// recordConfirmation applies the confirmation in a state. A state that is behind this directory
// does not confirm it.
func (d *Disseminator) recordConfirmation(now time.Duration, state State) {
	if state.Confirmed && state.Through >= d.replica.AppliedRevision() {
		d.replica.MarkCurrent(now - max(state.Age, 0))
	}
}

// SourceOrSender returns the process to fetch the announced content from.
func (u Update) SourceOrSender(sender Peer) Peer {
	if u.Source != 0 {
		return u.Source
	}
	return sender
}

// shouldForward reports whether this process, as the head of its zone, announces to the zone
// what it received from another zone. It forwards changes, and confirmations at most every half
// watch wait.
func (d *Disseminator) shouldForward(now time.Duration, from Peer, before Digest) bool {
	if !d.isZoneHead || slices.Contains(d.zonePeers, from) {
		return false
	}
	return d.replica.Digest().isAheadOf(before) || now-d.announcedAt >= d.timing.watchWait()/2
}

// reply returns the changes that another process lacks, or a source for it.
func (d *Disseminator) reply(now time.Duration, to Peer, request Update) []Outgoing {
	peerRevision := request.State.Through
	switch {
	case peerRevision > 0 && d.replica.Loaded():
		return d.addressTo(d.updates(now, peerRevision), []Peer{to})
	case peerRevision > 0:
		return nil
	}
	d.sources.enqueue(to)
	outgoing := d.assignSources(now)
	if !d.replica.Loaded() && !d.sources.hasOthers() {
		outgoing = append(outgoing, Outgoing{To: to, Update: Update{State: d.Summary(now), ListingStore: true}})
	}
	return outgoing
}

// ConfirmationReplies returns the updates for a process that requested a confirmation by the
// store.
func (d *Disseminator) ConfirmationReplies(now time.Duration, to Peer, request Update) []Outgoing {
	replies := d.addressTo(d.updates(now, request.State.Through), []Peer{to})
	last := &replies[len(replies)-1].Update
	last.Confirmation, last.RequestID = true, request.RequestID
	return replies
}

// StateFetched records that this process has applied a state that it requested from a peer. It
// returns the updates to send. If this process is the head of its zone, it announces a new
// configuration to the zone: updates never contain one, so the zone has to fetch it.
func (d *Disseminator) StateFetched(now time.Duration, from Peer, state State) []Outgoing {
	if d.replica.isInvalid(state.Through) {
		return nil
	}
	if !d.replica.isBehind(Digest{state.ConfigurationVersion, state.Through}) {
		d.recordConfirmation(now, state)
	}
	var outgoing []Outgoing
	if d.referrer != 0 {
		outgoing = d.advertise(now, []Peer{d.referrer})
	}
	if !d.isZoneHead || d.replica.Snapshot().Version() <= d.announcedVersion {
		return outgoing
	}
	return append(outgoing, d.announce(now, d.zonePeers, from)...)
}

// PeerLost removes a process that has failed.
func (d *Disseminator) PeerLost(peer Peer) {
	d.sources.remove(peer)
	delete(d.subscribers, peer)
}
