// This file implements the correction of a directory that is ahead of the store because a peer
// announced a revision that the store does not have.

package directory

// Invalidate handles a false revision: the store was asked for changes after requested but was
// only at the lower storeRevision. The merged items can no longer be ordered, so a full
// directory is needed, from the store or from a peer. The snapshot stays in use until then.
// States of peers at the false revision or later are ignored until the store has reached it.
func (r *Replica) Invalidate(requested, storeRevision Revision) {
	r.invalidFrom = requested
	if storeRevision < r.appliedRevision {
		r.invalidFrom = min(requested, r.appliedRevision)
	}
	r.appliedRevision, r.historyFloor, r.latestSeen = 0, 0, 0
	r.currentAt = longAgo
	r.invalidations++
	for _, record := range r.endpoints {
		record.revision = 0
	}
	for zone, record := range r.zones {
		record.revision = 0
		r.zones[zone] = record
	}
}

// Invalidations returns how often the store has shown that this directory was ahead of it.
func (r *Replica) Invalidations() uint64 { return r.invalidations }

// ConfirmedBy reports whether the reply of a watcher proves that this directory is current.
// announced is the revision in the reply and known is the local revision when the watcher was
// asked. Neither side may be ahead of the other because of a false revision, and no announced
// change may be missing.
func (r *Replica) ConfirmedBy(announced, known Revision) bool {
	return known > 0 && announced >= known && r.appliedRevision >= announced
}

// needsFullState reports whether the directory was invalidated and not replaced yet.
func (r *Replica) needsFullState() bool { return r.invalidations > 0 && r.appliedRevision == 0 }

// isInvalid reports whether a revision announced by a peer is known to be false.
func (r *Replica) isInvalid(announced Revision) bool {
	return r.invalidFrom > 0 && announced >= r.invalidFrom
}

// recordStoreRevision records that the store has reached a revision.
func (r *Replica) recordStoreRevision(revision Revision) {
	if revision >= r.invalidFrom {
		r.invalidFrom = 0
	}
}

// isBehind reports whether a digest covers a change that this replica lacks and that is not
// known to be false.
func (r *Replica) isBehind(digest Digest) bool {
	return !r.isInvalid(digest.Revision) && digest.isAheadOf(r.Digest())
}
