// This file implements which updates a Disseminator sends to other balancers.

package directory

import (
	"slices"
	"time"
)

const (
	// subscriptionLifetime is how long a process receives updates after its request. It exceeds
	// the time until the membership includes that process.
	subscriptionLifetime = 30 * time.Second
	// maxSubscribers limits the subscribers.
	maxSubscribers = 256
	// renewalFactor, times the interval between confirmations, is how long a process waits for
	// a confirmation before it asks a watcher. The product must stay below Timing.pollDelay,
	// after which the process polls the store.
	renewalFactor = 1.15
	// announcementOverlap is how many announcements back an update begins, so that the loss of
	// a single update has no effect.
	announcementOverlap = 2
	// repeatDelay is the delay after which an update is sent again. Without that, a lost update
	// is made up for only by the next one. The delay exceeds the time that a queue on a link
	// takes to drain.
	repeatDelay = 100 * time.Millisecond
)

// repeatedUpdates describes the pending repetition: all changes after a revision.
type repeatedUpdates struct {
	due   time.Duration
	after Revision
	to    []Peer
}

// announce returns updates with all changes since the announcement before the last one,
// addressed to the peers in to and all active subscribers, except for one peer.
func (d *Disseminator) announce(now time.Duration, to []Peer, except Peer) []Outgoing {
	if !d.replica.Loaded() {
		return nil
	}
	receivers := slices.DeleteFunc(slices.Clone(to), func(peer Peer) bool { return peer == except })
	receivers = append(receivers, d.activeSubscribers(now, receivers, except)...)
	base := d.replica.AppliedRevision()
	// Announced revisions above the applied one date from before an invalidation. No update can
	// begin there.
	d.announcedRevisions = slices.DeleteFunc(d.announcedRevisions, func(revision Revision) bool { return revision > base })
	if len(d.announcedRevisions) > 0 {
		base = d.announcedRevisions[0]
	}
	d.announcedRevisions = append(d.announcedRevisions, d.replica.AppliedRevision())
	d.announcedRevisions = d.announcedRevisions[max(len(d.announcedRevisions)-announcementOverlap, 0):]
	d.announcedAt = now
	d.announcedVersion = d.replica.Snapshot().Version()
	d.pendingRepeat = repeatedUpdates{due: now + repeatDelay, after: base, to: receivers}
	return d.addressTo(d.updates(now, base), receivers)
}

// Repeat returns the last updates once more when repeatDelay has passed. The caller must call
// it about that often, also because a longer interval counts as a pause of the process.
func (d *Disseminator) Repeat(now time.Duration) []Outgoing {
	d.pause.observe(now)
	pending := d.pendingRepeat
	if len(pending.to) == 0 || now < pending.due {
		return nil
	}
	d.pendingRepeat = repeatedUpdates{}
	return d.addressTo(d.updates(now, pending.after), pending.to)
}

// RenewalRequest returns a request to a watcher for changes if no confirmation arrived in time.
// The watcher then treats this process as a subscriber.
func (d *Disseminator) RenewalRequest(now time.Duration) []Outgoing {
	timeout := time.Duration(renewalFactor * float64(d.timing.watchWait()))
	eligible := d.replica.Loaded() || d.replica.needsFullState()
	if !eligible || now-max(d.replica.currentAt, d.renewalRequestedAt) < timeout {
		return nil
	}
	watcher, exists := d.AnyWatcher()
	if !exists {
		return nil
	}
	d.renewalRequestedAt = now
	return d.addressTo([]Update{{RequestsChanges: true, State: d.Summary(now)}}, []Peer{watcher})
}

// StateSent records that another process has received the directory, and subscribes it to
// updates.
func (d *Disseminator) StateSent(now time.Duration, to Peer) { d.subscribe(now, to) }

func (d *Disseminator) subscribe(now time.Duration, peer Peer) {
	if _, exists := d.subscribers[peer]; exists || len(d.subscribers) < maxSubscribers {
		d.subscribers[peer] = now
	}
}

// activeSubscribers returns, in order, the subscribers whose subscription has not expired,
// without except and those in others.
func (d *Disseminator) activeSubscribers(now time.Duration, others []Peer, except Peer) []Peer {
	var peers []Peer
	for peer, since := range d.subscribers {
		if now-since > subscriptionLifetime {
			delete(d.subscribers, peer)
			continue
		}
		if peer != except && !slices.Contains(others, peer) {
			peers = append(peers, peer)
		}
	}
	slices.Sort(peers)
	return peers
}

// Summary returns the versions and the age of the directory without its content.
func (d *Disseminator) Summary(now time.Duration) State {
	state := d.replica.stateHeader(d.replica.AppliedRevision())
	state.Full = false
	return d.withAge(now, state)
}

// withAge adds the membership size and the age of the last confirmation to a state.
func (d *Disseminator) withAge(now time.Duration, state State) State {
	state.MemberCount = d.memberCount
	state.Age = now - d.replica.currentAt
	state.Confirmed = state.Age <= Retention
	if !state.Confirmed {
		state.Age = 0
	}
	return state
}

// State returns the content that the process with peerDigest lacks, with its age.
func (d *Disseminator) State(now time.Duration, peerDigest Digest) State {
	return d.withAge(now, d.replica.StateAfter(now, peerDigest))
}

func (d *Disseminator) updates(now time.Duration, after Revision) []Update {
	return splitUpdates(d.withAge(now, d.replica.ChangesAfter(now, after)))
}

func (d *Disseminator) addressTo(updates []Update, to []Peer) []Outgoing {
	outgoing := make([]Outgoing, 0, len(updates)*len(to))
	for _, peer := range to {
		for _, update := range updates {
			outgoing = append(outgoing, Outgoing{To: peer, Update: update})
		}
	}
	return outgoing
}
