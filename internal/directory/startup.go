// This file implements the part of Disseminator that serves starting processes. They contact
// the seeds, and the seeds direct them to processes that have a directory.

package directory

import (
	"slices"
	"time"
)

// snapshotWait is how long a starting process waits for a snapshot of another process before it
// lists the store. It allows for several fetches on a slow link.
const snapshotWait = 150 * time.Millisecond

// SnapshotDeadline returns until when a snapshot of another process may arrive, or 0 if neither
// a source nor a seed that is listing the store is known.
func (d *Disseminator) SnapshotDeadline() time.Duration {
	return max(d.snapshotDeadline, d.seedWaitDeadline)
}

// StartupRequest returns the request of a starting process to a seed. It returns false once
// both this process and a seed have the directory.
func (d *Disseminator) StartupRequest(now time.Duration) (Outgoing, bool) {
	if len(d.seeds) == 0 || d.seedHasDirectory && d.replica.Loaded() {
		return Outgoing{}, false
	}
	return Outgoing{To: d.seeds[d.random.IntN(len(d.seeds))], Update: Update{RequestsChanges: true, State: d.Summary(now)}}, true
}

// advertise returns messages which advertise to seeds that this process has a directory. It
// does so only once.
func (d *Disseminator) advertise(now time.Duration, seeds []Peer) []Outgoing {
	if d.advertisedToSeed || !d.replica.Loaded() {
		return nil
	}
	d.advertisedToSeed = true
	return d.addressTo([]Update{{RequestsChanges: true, State: d.Summary(now)}}, seeds)
}

// assignSources returns the messages that direct waiting processes to a source.
func (d *Disseminator) assignSources(now time.Duration) []Outgoing {
	if d.replica.Loaded() {
		d.sources.record(now, d.self.Peer)
	}
	var outgoing []Outgoing
	for _, assigned := range d.sources.assignWaiting(now) {
		outgoing = append(outgoing, Outgoing{To: assigned.to, Update: Update{State: d.Summary(now), Source: assigned.source}})
	}
	return outgoing
}

// recordSources records which processes have a directory, or are about to have one, according to
// an update. It returns the messages for processes that waited for a source.
func (d *Disseminator) recordSources(now time.Duration, from Peer, update Update) []Outgoing {
	isSeed := slices.Contains(d.seeds, from)
	if update.ListingStore && d.seedWaitDeadline == 0 && isSeed {
		d.seedWaitDeadline = now + snapshotWait + ListingDelay(d.random.Float64())
	}
	if update.State.Through == 0 && update.Source == 0 {
		return nil
	}
	if !d.sources.hasOthers() {
		d.snapshotDeadline = now + snapshotWait
	}
	d.recordSource(now, update.SourceOrSender(from))
	d.recordReferrer(from)
	d.seedHasDirectory = d.seedHasDirectory || isSeed
	return d.assignSources(now)
}

// recordReferrer records the first seed that named a source.
func (d *Disseminator) recordReferrer(from Peer) {
	if d.referrer == 0 && slices.Contains(d.seeds, from) {
		d.referrer = from
	}
}

func (d *Disseminator) recordSource(now time.Duration, peer Peer) {
	if peer != d.self.Peer {
		d.sources.record(now, peer)
	}
}
