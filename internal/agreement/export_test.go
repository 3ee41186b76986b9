package agreement

// TermAt returns the term of an entry in memory, for tests.
func (m *Machine) TermAt(index Index) (term Term, known bool) { return m.log.term(index) }

// SnapshotIndex returns the last compacted index, for tests.
func (m *Machine) SnapshotIndex() Index { return m.log.snapshot.Index }

// LastIndex returns the last index of the log, for tests.
func (m *Machine) LastIndex() Index { return m.log.lastIndex() }
