// This file implements the deltas that a member keeps for others.

package dissemination

import "github.com/vanetiller/vanetiller/internal/table"

// history holds consecutive deltas, the last one leading to the version held.
type history struct {
	deltas []Delta
	bytes  int
	limit  int
}

// add appends the next delta and forgets the oldest ones beyond the limit.
func (h *history) add(delta Delta) {
	h.deltas = append(h.deltas, delta)
	h.bytes += len(delta.Payload) + deltaOverhead
	for h.bytes > h.limit {
		h.bytes -= len(h.deltas[0].Payload) + deltaOverhead
		h.deltas = h.deltas[1:]
	}
}

func (h *history) reset() {
	h.deltas = nil
	h.bytes = 0
}

// after returns the deltas that lead from a version to the one held. It
// returns false if some are not kept.
func (h *history) after(version, held table.Version) ([]Delta, bool) {
	if version >= held {
		return nil, version == held
	}
	missing := held - version
	if uint64(missing) > uint64(len(h.deltas)) {
		return nil, false
	}
	return h.deltas[len(h.deltas)-int(missing):], true
}

// fitting returns as many of the deltas, from the first, as fit in a message.
func fitting(deltas []Delta) []Delta {
	room := MaximumDatagramSize - messageOverhead
	for index, delta := range deltas {
		room -= len(delta.Payload) + deltaOverhead
		if room < 0 {
			return deltas[:index]
		}
	}
	return deltas
}
