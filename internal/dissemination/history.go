// This file implements the deltas that a member keeps to serve pulls.

package dissemination

import "github.com/vanetiller/vanetiller/internal/table"

// deltaHistory holds consecutive deltas. The last one leads to the version held.
type deltaHistory struct {
	deltas []Delta
	bytes  int
	limit  int
}

// add appends the next delta and discards the oldest ones beyond the limit.
func (h *deltaHistory) add(delta Delta) {
	h.deltas = append(h.deltas, delta)
	h.bytes += len(delta.Payload) + deltaOverhead
	for h.bytes > h.limit {
		h.bytes -= len(h.deltas[0].Payload) + deltaOverhead
		h.deltas = h.deltas[1:]
	}
}

func (h *deltaHistory) reset() {
	h.deltas = nil
	h.bytes = 0
}

// after returns the deltas from a version to the one held. It returns false if some of them
// are not kept.
func (h *deltaHistory) after(version, held table.Version) ([]Delta, bool) {
	if version >= held {
		return nil, version == held
	}
	missing := held - version
	if uint64(missing) > uint64(len(h.deltas)) {
		return nil, false
	}
	return h.deltas[len(h.deltas)-int(missing):], true
}

// deltasThatFit returns as many of the deltas, from the first on, as fit in a message.
func deltasThatFit(deltas []Delta) []Delta {
	available := MaxDatagramSize - messageOverhead
	for index, delta := range deltas {
		available -= len(delta.Payload) + deltaOverhead
		if available < 0 {
			return deltas[:index]
		}
	}
	return deltas
}
