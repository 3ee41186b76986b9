package agreement

import "slices"

// entryLog is the part of the log in memory: a snapshot and the entries after
// it.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
	// voters is the newest configuration, committed or not, and votersIndex
	// the index of its entry.
	voters      Configuration
	votersIndex Index
}

func (l *entryLog) firstIndex() Index { return l.snapshot.Index + 1 }

func (l *entryLog) lastIndex() Index { return l.snapshot.Index + Index(len(l.entries)) }

func (l *entryLog) lastTerm() Term {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at the index. It is not known for
// compacted or missing entries.
func (l *entryLog) term(index Index) (term Term, known bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.firstIndex() || index > l.lastIndex() {
		return 0, false
	}
	return l.at(index).Term, true
}

// at returns the entry at an index that is in memory.
func (l *entryLog) at(index Index) *Entry { return &l.entries[index-l.firstIndex()] }

// from returns the entries at and after the index, bounded by the payload
// size; at least one is returned if there is any.
func (l *entryLog) from(index Index, maximumBytes int) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	available := l.entries[index-l.firstIndex():]
	size := 0
	for i := range available {
		size += available[i].Msgsize()
		if size > maximumBytes && i > 0 {
			return slices.Clone(available[:i])
		}
	}
	return slices.Clone(available)
}

func (l *entryLog) append(entry Entry) {
	l.entries = append(l.entries, entry)
	if entry.Kind == EntryConfiguration {
		l.voters = *entry.Configuration
		l.votersIndex = entry.Index
	}
}

// truncate removes the entry at the index and all after it.
func (l *entryLog) truncate(index Index) {
	l.entries = l.entries[:index-l.firstIndex()]
	l.voters, l.votersIndex = l.configurationAt(l.lastIndex())
}

// upToDate reports whether a log that ends as given is at least as new.
func (l *entryLog) upToDate(lastTerm Term, lastIndex Index) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.lastIndex()
}

// configurationAt returns the configuration in force at the index.
func (l *entryLog) configurationAt(index Index) (Configuration, Index) {
	for ; index >= l.firstIndex(); index-- {
		if entry := l.at(index); entry.Kind == EntryConfiguration {
			return *entry.Configuration, index
		}
	}
	return l.snapshot.Configuration, l.snapshot.Index
}

// compact replaces the entries up to the index by the given state.
func (l *entryLog) compact(index Index, state []byte) {
	term, _ := l.term(index)
	configuration, _ := l.configurationAt(index)
	kept := slices.Clone(l.entries[index-l.snapshot.Index:])
	l.snapshot = Snapshot{Index: index, Term: term, Configuration: configuration.Clone(), State: state}
	l.entries = kept
	l.voters, l.votersIndex = l.configurationAt(l.lastIndex())
}

// install replaces the whole log by a snapshot, keeping the entries after it
// if they continue it.
func (l *entryLog) install(snapshot Snapshot) {
	var kept []Entry
	if term, known := l.term(snapshot.Index); known && term == snapshot.Term {
		kept = slices.Clone(l.entries[snapshot.Index-l.snapshot.Index:])
	}
	l.snapshot = snapshot
	l.entries = kept
	l.voters, l.votersIndex = l.configurationAt(l.lastIndex())
}
