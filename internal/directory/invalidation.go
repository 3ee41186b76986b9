// This file implements the correction of a directory that went ahead of the store, since a
// peer announced a revision which the store does not have.

package directory

// Refute handles that the store itself was only at a revision when it was asked about changes
// after a later one. Nothing that was merged can be ordered any more, so that a whole
// directory is needed, from the store or from a peer; the snapshot stays in force meanwhile.
// What peers announce at the false revision or later is stale until the store has reached it.
func (m *Replica) Invalidate(asked, at Revision) {
	m.refuted = asked
	if at < m.complete {
		m.refuted = min(asked, m.complete)
	}
	m.complete, m.floor, m.latest = 0, 0, 0
	m.refutations++
	for _, known := range m.endpoints {
		known.revision = 0
	}
	for zone, known := range m.zones {
		known.revision = 0
		m.zones[zone] = known
	}
}

// Refutations returns how often the store has shown that this directory was ahead of it.
func (m *Replica) Invalidations() uint64 { return m.refutations }

// ConfirmedBy reports whether the answer of a watcher, which has announced a revision, proves
// that this directory is current, given the revision that it had when the watcher was asked:
// neither is ahead of the other by a false revision, and nothing that was announced is missing.
func (m *Replica) ConfirmedBy(announced, known Revision) bool {
	return known > 0 && announced >= known && m.complete >= announced
}

// corrects reports whether a whole directory is needed to replace one that was refuted.
func (m *Replica) corrects() bool { return m.refutations > 0 && m.complete == 0 }

// refutes reports whether a revision that a peer announces is known to be false.
func (m *Replica) refutes(announced Revision) bool {
	return m.refuted > 0 && announced >= m.refuted
}

// reached handles that the store itself has a revision.
func (m *Replica) reached(at Revision) {
	if at >= m.refuted {
		m.refuted = 0
	}
}

// lacks reports whether a digest shows something that this machine does not have and that is
// not refuted.
func (m *Replica) lacks(digest Digest) bool {
	return !m.refutes(digest.Revision) && digest.ahead(m.Digest())
}
