package directory

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// fetchInterval is the shortest interval between two fetches. startFetchInterval applies to
	// a process without a directory.
	fetchInterval      = 250 * time.Millisecond
	startFetchInterval = 50 * time.Millisecond
	// storeWait is how long a starting process waits for the store before it fetches everything
	// from a peer.
	storeWait = 500 * time.Millisecond
	// maxPeers limits the peers that are kept.
	maxPeers = 16
)

// PeerFetcher decides when a balancer fetches the directory from another balancer. It fetches
// once after the start, because peers list endpoints that are gone but still hold flows. It
// fetches when the local directory stays behind, for example because no updates arrive, and at
// once when an update was incomplete. It is deterministic.
type PeerFetcher[Peer comparable] struct {
	replica *Replica
	timing  Timing
	random  *rand.Rand
	seeds   []Peer
	peers   []Peer
	// startedAt is when the first fetch was first considered.
	startedAt  time.Duration
	hasStarted bool
	// storeFailed is set once a call to the store has failed.
	storeFailed bool
	// fetched is set after the first successful fetch.
	fetched     bool
	behind      bool
	behindSince time.Duration
	// fetchRequired is set if only a fetch from aheadPeer provides what is missing.
	fetchRequired bool
	aheadPeer     Peer
	busy          bool
	nextFetch     time.Duration
}

// NewPeerFetcher returns a PeerFetcher that fetches from the seeds first.
func NewPeerFetcher[Peer comparable](replica *Replica, timing Timing, seeds []Peer, random *rand.Rand) *PeerFetcher[Peer] {
	return &PeerFetcher[Peer]{replica: replica, timing: timing, seeds: seeds, random: random}
}

// SetSeeds replaces the seeds.
func (f *PeerFetcher[Peer]) SetSeeds(seeds []Peer) { f.seeds = seeds }

// StoreFailed records that a call to the store failed. A starting process then does not wait
// for the store.
func (f *PeerFetcher[Peer]) StoreFailed() { f.storeFailed = true }

// ReceiveDigest handles the digest of a peer.
func (f *PeerFetcher[Peer]) ReceiveDigest(now time.Duration, from Peer, digest Digest) {
	if !slices.Contains(f.peers, from) {
		f.peers = append(f.peers, from)
	}
	if len(f.peers) > maxPeers {
		f.peers = slices.Delete(f.peers, 0, 1)
	}
	if !f.replica.isBehind(digest) {
		return
	}
	if !f.behind {
		f.behind = true
		f.behindSince = now
	}
	f.aheadPeer = from
}

// UpdateIncomplete records that an update of a peer did not contain all changes that this
// process lacks.
func (f *PeerFetcher[Peer]) UpdateIncomplete(now time.Duration, from Peer) {
	if !f.behind {
		f.behind = true
		f.behindSince = now
	}
	f.fetchRequired = true
	f.aheadPeer = from
}

// RandomPeer returns a known peer, or a seed if none is known. It returns false if there are
// neither.
func (f *PeerFetcher[Peer]) RandomPeer() (Peer, bool) {
	candidates := f.peers
	if len(candidates) == 0 {
		candidates = f.seeds
	}
	if len(candidates) == 0 {
		var none Peer
		return none, false
	}
	return candidates[f.random.IntN(len(candidates))], true
}

// PeerLost removes a peer that has failed or left.
func (f *PeerFetcher[Peer]) PeerLost(peer Peer) {
	f.peers = slices.DeleteFunc(f.peers, func(known Peer) bool { return known == peer })
}

// Next returns the peer to fetch from now, or false. Fetched or FetchFailed must follow.
func (f *PeerFetcher[Peer]) Next(now time.Duration) (chosen Peer, wanted bool) {
	if f.busy || now < f.nextFetch {
		return chosen, false
	}
	chosen, wanted = f.choose(now)
	if wanted {
		f.busy = true
		f.nextFetch = now + f.interval()
	}
	return chosen, wanted
}

func (f *PeerFetcher[Peer]) interval() time.Duration {
	if !f.replica.Loaded() {
		return startFetchInterval
	}
	return fetchInterval
}

func (f *PeerFetcher[Peer]) choose(now time.Duration) (chosen Peer, wanted bool) {
	if f.behind && (f.fetchRequired || now-f.behindSince >= f.timing.fetchDelay() || !f.replica.Loaded()) {
		return f.aheadPeer, true
	}
	candidates := slices.Concat(f.peers, f.seeds)
	if f.fetched || len(candidates) == 0 || !f.initialFetchDue(now) {
		return chosen, false
	}
	return candidates[f.random.IntN(len(candidates))], true
}

// initialFetchDue reports whether the first fetch may begin. After a listing of the store, a
// peer has little to add. A full state for every process of a starting fleet would take network
// capacity from flows.
func (f *PeerFetcher[Peer]) initialFetchDue(now time.Duration) bool {
	if !f.hasStarted {
		f.hasStarted = true
		f.startedAt = now
	}
	return f.replica.AppliedRevision() > 0 || f.storeFailed || now-f.startedAt >= storeWait
}

// Fetched applies the state of a peer, which must include the time since its request. It reports whether the snapshot changed.
func (f *PeerFetcher[Peer]) Fetched(now time.Duration, state State) bool {
	f.busy = false
	f.behind = false
	f.fetchRequired = false
	changed := f.replica.ApplyState(now, state)
	// A peer that has just started may have had no directory.
	f.fetched = f.fetched || f.replica.Loaded()
	return changed
}

// FetchFailed records that a peer did not respond.
func (f *PeerFetcher[Peer]) FetchFailed() {
	f.busy = false
	f.behind = false
	f.fetchRequired = false
}
