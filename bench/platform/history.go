// This file implements the past revisions of a document and the faults that
// decide which of them a reader sees.

package platform

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanetiller/vanetiller/bench/timing"
)

// ReaderParameter is the query member that names the reader of a document. Readers
// without a name share one lag.
const ReaderParameter = "reader"

type historyEntry[Document any] struct {
	revision  Revision
	published time.Time
	document  Document
}

// history keeps every revision of one document.
type history[Document any] struct {
	entries []historyEntry[Document]
	// frozen is the number of entries that readers see during a stale
	// period; zero outside of one.
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

// visible returns the newest entry published at or before the given time. The
// first entry is visible from the start, so that a lag never hides everything.
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

// apply waits for the delay and fails when the service is down.
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

// lag is how much later than others a reader sees a revision. It depends on
// the name of the reader only.
func (f Faults) lag(r reader) time.Duration {
	step := xxhash.Sum64String(r.name) % (lagSteps + 1)
	return f.MaxReaderLag * time.Duration(step) / lagSteps
}
