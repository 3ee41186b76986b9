package agreement_test

import (
	"bytes"
	"fmt"

	"github.com/vanetiller/vanetiller/internal/agreement"
	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

// checker holds what all processes together have done and checks it.
type checker struct {
	violations []string
	entries    map[agreement.Index]agreement.Entry
	last       agreement.Index
	// committedIn holds the term of the process that first saw an entry
	// committed.
	committedIn map[agreement.Index]agreement.Term
	// leaders holds who led in each term.
	leaders map[agreement.Term]agreement.ProcessID
	// accepted maps both ways between a change and the version it made.
	versionOf map[changelog.ChangeID]table.Version
	changeAt  map[table.Version]changelog.ChangeID
	// refused holds the proposals of which every attempt was refused.
	refused map[agreement.ProposalID]bool
	// attempts counts the calls of Propose.
	attempts map[agreement.ProposalID]int
}

func newChecker() *checker {
	return &checker{
		entries:     make(map[agreement.Index]agreement.Entry),
		committedIn: make(map[agreement.Index]agreement.Term),
		leaders:     make(map[agreement.Term]agreement.ProcessID),
		versionOf:   make(map[changelog.ChangeID]table.Version),
		changeAt:    make(map[table.Version]changelog.ChangeID),
		refused:     make(map[agreement.ProposalID]bool),
		attempts:    make(map[agreement.ProposalID]int),
	}
}

func (k *checker) violate(format string, values ...any) {
	k.violations = append(k.violations, fmt.Sprintf(format, values...))
}

// proposed notes an attempt, which may succeed after earlier ones were refused.
func (k *checker) proposed(id agreement.ProposalID) {
	k.attempts[id]++
	delete(k.refused, id)
}

func (k *checker) committed(p *process, entry agreement.Entry) {
	if entry.Index != p.applied+1 && p.applied != 0 {
		k.violate("process %s applied %d after %d", p.id, entry.Index, p.applied)
	}
	p.applied = entry.Index
	k.sameEntry(p, entry)
	if entry.Kind != agreement.EntryProposal {
		return
	}
	if k.refused[entry.ID] {
		k.violate("refused proposal %s was committed", entry.ID)
	}
	k.apply(p, entry)
}

func (k *checker) sameEntry(p *process, entry agreement.Entry) {
	known, exists := k.entries[entry.Index]
	if exists && (known.Term != entry.Term || known.ID != entry.ID || !bytes.Equal(known.Payload, entry.Payload)) {
		k.violate("process %s committed another entry at %d", p.id, entry.Index)
	}
	if !exists {
		k.entries[entry.Index] = entry
		k.committedIn[entry.Index] = p.machine.Term()
		k.last = max(k.last, entry.Index)
	}
}

func (k *checker) apply(p *process, entry agreement.Entry) {
	var change changelog.Change
	if _, err := change.UnmarshalMsg(entry.Payload); err != nil {
		k.violate("entry %d: %v", entry.Index, err)
		return
	}
	before := p.state.Version()
	outcome := p.state.Apply(&change)
	if p.state.Version() < before {
		k.violate("process %s went back from version %d", p.id, before)
	}
	if p.state.Version() > before {
		k.acceptedAt(p, change.ID, outcome.Version)
	}
}

func (k *checker) acceptedAt(p *process, id changelog.ChangeID, version table.Version) {
	if other, exists := k.versionOf[id]; exists && other != version {
		k.violate("process %s: change %s applied at %d and at %d", p.id, id, other, version)
	}
	if other, exists := k.changeAt[version]; exists && other != id {
		k.violate("process %s: version %d made by %s and by %s", p.id, version, other, id)
	}
	k.versionOf[id] = version
	k.changeAt[version] = id
}

func (k *checker) installed(p *process, snapshot agreement.Snapshot) {
	if snapshot.Index <= p.applied {
		k.violate("process %s installed %d after %d", p.id, snapshot.Index, p.applied)
	}
	state, err := changelog.Decode(changelog.DefaultLimits(), snapshot.State)
	if err != nil {
		k.violate("process %s: %v", p.id, err)
		return
	}
	if state.Version() < p.state.Version() {
		k.violate("process %s went back from version %d", p.id, p.state.Version())
	}
	if history := state.History(); len(history) > 0 {
		newest := history[len(history)-1]
		k.acceptedAt(p, newest.ID, newest.Version)
	}
	p.state = state
	p.applied = snapshot.Index
}

// led checks that a term has one leader and that the leader's log holds every
// entry that was committed in an earlier term.
func (k *checker) led(p *process) {
	term := p.machine.Term()
	if other, exists := k.leaders[term]; exists && other != p.id {
		k.violate("term %d is led by %s and by %s", term, other, p.id)
	}
	k.leaders[term] = p.id
	for index := p.machine.SnapshotIndex() + 1; index <= k.last; index++ {
		if k.committedIn[index] >= term {
			return
		}
		held, known := p.machine.TermAt(index)
		if !known || held != k.entries[index].Term {
			k.violate("leader %s of term %d lacks entry %d, committed in term %d", p.id, term, index, k.committedIn[index])
		}
	}
}

// lastChangeOf returns the change that gave a row the version.
func (k *checker) lastChangeOf(row table.BackendID, version table.Version) changelog.ChangeID {
	id, exists := k.changeAt[version]
	if !exists {
		k.violate("row %d has version %d that no change made", row, version)
	}
	return id
}

func (k *checker) answered(p *process, id agreement.ProposalID, answer agreement.Answer) {
	switch answer {
	case agreement.AnswerRefused:
		k.refused[id] = k.attempts[id] == 1
	case agreement.AnswerCommitted:
		k.refused[id] = false
		if _, known := p.state.Outcome(changelog.ChangeID(id)); !known {
			k.violate("process %s: committed proposal %s has no outcome", p.id, id)
		}
	case agreement.AnswerUnknown:
		k.refused[id] = false
	}
}
