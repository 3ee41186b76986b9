// This file implements the revisions of a document and the faults that determine
// which of them a reader gets.

package platform

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanetiller/vanetiller/bench/timing"
)

// ReaderParameter is the query parameter that identifies a reader. Readers without it share
// one lag.
const ReaderParameter = "reader"

type historyEntry[Document any] struct {
	revision  Revision
	published time.Time
	document  Document
}

// history holds all revisions of one document.
type history[Document any] struct {
	entries []historyEntry[Document]
	// frozen is the number of entries that are visible during a stale period, or zero.
	frozen int
}

func (h *history[Document]) next() Revision { return Revision(len(h.entries) + 1) }

func (h *history[Document]) add(now time.Time, document Document) {
	h.entries = append(h.entries, historyEntry[Document]{h.next(), now, document})
}

func (h *history[Document]) freeze(stale bool) {
	h.frozen = 0
	if stale {
		h.frozen = len(h.entries)
	}
}

// visible returns the newest entry published at or before the given time. The first entry is
// always visible, so that no lag hides the whole document.
func (h *history[Document]) visible(until time.Time) (historyEntry[Document], bool) {
	entries := h.entries
	if h.frozen > 0 {
		entries = entries[:h.frozen]
	}
	for i := len(entries) - 1; i >= 0; i-- {
		if i == 0 || !entries[i].published.After(until) {
			return entries[i], true
		}
	}
	return historyEntry[Document]{}, false
}

// apply waits for Delay and returns an error if the service is down or ctx ends.
func (f Faults) apply(ctx context.Context) error {
	if !timing.Sleep(ctx, f.Delay) {
		return ctx.Err()
	}
	if f.Down {
		return errDown
	}
	return nil
}

const lagSteps = 1000

// lag returns how much later a reader sees a revision than a reader without lag. It depends
// only on the name of the reader.
func (f Faults) lag(r readRequest) time.Duration {
	step := xxhash.Sum64String(r.name) % (lagSteps + 1)
	return f.MaxReaderLag * time.Duration(step) / lagSteps
}
