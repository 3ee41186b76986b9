package directory

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// fetchInterval is the least time between two fetches, startFetchInterval that of a
	// process without a directory.
	fetchInterval      = 250 * time.Millisecond
	startFetchInterval = 50 * time.Millisecond
	// startPatience is how long a process that has started waits for the store, before it
	// fetches everything from a peer.
	startPatience = 500 * time.Millisecond
	// rememberedPeers bounds the peers that are remembered.
	rememberedPeers = 16
)

// Exchange decides when a balancer fetches the directory of another: once after
// its start, since peers know of endpoints that have left and still have flows,
// whenever it stays behind, as when no update reaches it, and at once if an update did not
// hold what it lacks. It is deterministic.
type PeerFetcher[Peer comparable] struct {
	machine *Replica
	timing  Timing
	random  *rand.Rand
	seeds   []Peer
	peers   []Peer
	// begun is when a fetch was first considered.
	begun    time.Duration
	hasBegun bool
	// storeFailed is set once a call of the store has failed.
	storeFailed bool
	// fetched is set after the first successful fetch.
	fetched bool
	behind  bool
	since   time.Duration
	// lacks is set if only a fetch from informed brings what is missing.
	lacks    bool
	informed Peer
	busy     bool
	next     time.Duration
}

// NewExchange returns an exchange that first asks the seeds.
func NewPeerFetcher[Peer comparable](machine *Replica, timing Timing, seeds []Peer, random *rand.Rand) *PeerFetcher[Peer] {
	return &PeerFetcher[Peer]{machine: machine, timing: timing, seeds: seeds, random: random}
}

// SetSeeds replaces the seeds.
func (e *PeerFetcher[Peer]) SetSeeds(seeds []Peer) { e.seeds = seeds }

// StoreFailed notes that a call of the store has failed: a process that has started need not
// wait for it.
func (e *PeerFetcher[Peer]) StoreFailed() { e.storeFailed = true }

// ReceiveDigest handles the digest of a peer.
func (e *PeerFetcher[Peer]) ReceiveDigest(now time.Duration, from Peer, digest Digest) {
	if !slices.Contains(e.peers, from) {
		e.peers = append(e.peers, from)
	}
	if len(e.peers) > rememberedPeers {
		e.peers = slices.Delete(e.peers, 0, 1)
	}
	if !e.machine.lacks(digest) {
		return
	}
	if !e.behind {
		e.behind = true
		e.since = now
	}
	e.informed = from
}

// Lacks notes that an update of a peer did not hold all that this process lacks.
func (e *PeerFetcher[Peer]) UpdateIncomplete(now time.Duration, from Peer) {
	if !e.behind {
		e.behind = true
		e.since = now
	}
	e.lacks = true
	e.informed = from
}

// Any returns a peer or, if none is known, a seed; false if there are neither.
func (e *PeerFetcher[Peer]) RandomPeer() (Peer, bool) {
	known := e.peers
	if len(known) == 0 {
		known = e.seeds
	}
	if len(known) == 0 {
		var none Peer
		return none, false
	}
	return known[e.random.IntN(len(known))], true
}

// Lost forgets a peer that has failed or left.
func (e *PeerFetcher[Peer]) PeerLost(peer Peer) {
	e.peers = slices.DeleteFunc(e.peers, func(known Peer) bool { return known == peer })
}

// Next returns the peer to fetch from now, false if there is nothing to fetch.
// Fetched or FetchFailed must follow.
func (e *PeerFetcher[Peer]) Next(now time.Duration) (chosen Peer, wanted bool) {
	if e.busy || now < e.next {
		return chosen, false
	}
	chosen, wanted = e.choose(now)
	if wanted {
		e.busy = true
		e.next = now + e.interval()
	}
	return chosen, wanted
}

func (e *PeerFetcher[Peer]) interval() time.Duration {
	if !e.machine.Loaded() {
		return startFetchInterval
	}
	return fetchInterval
}

func (e *PeerFetcher[Peer]) choose(now time.Duration) (chosen Peer, wanted bool) {
	if e.behind && (e.lacks || now-e.since >= e.timing.patience() || !e.machine.Loaded()) {
		return e.informed, true
	}
	known := slices.Concat(e.peers, e.seeds)
	if e.fetched || len(known) == 0 || !e.mayBegin(now) {
		return chosen, false
	}
	return known[e.random.IntN(len(known))], true
}

// mayBegin reports whether it is time for the first fetch. Once the store has been listed, a
// peer has little to add; all of it, asked for by all processes that start together, would
// take the network from flows.
func (e *PeerFetcher[Peer]) mayBegin(now time.Duration) bool {
	if !e.hasBegun {
		e.hasBegun = true
		e.begun = now
	}
	return e.machine.AppliedRevision() > 0 || e.storeFailed || now-e.begun >= startPatience
}

// Fetched handles the state of a peer. It reports whether the snapshot changed.
func (e *PeerFetcher[Peer]) Fetched(now time.Duration, state State) bool {
	e.busy = false
	e.behind = false
	e.lacks = false
	changed := e.machine.ApplyState(now, state)
	// A peer that has just been started itself may have had no directory.
	e.fetched = e.fetched || e.machine.Loaded()
	return changed
}

// FetchFailed notes that a peer did not answer.
func (e *PeerFetcher[Peer]) FetchFailed() {
	e.busy = false
	e.behind = false
	e.lacks = false
}
