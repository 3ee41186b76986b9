package admission

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

// flowState is what a row has recorded about a flow.
type flowState uint8

const (
	// flowOpen: this row owns the flow.
	flowOpen flowState = iota
	// flowLingering: this row owned the flow and it has ended, but its
	// transport still answers the caller's last segments.
	flowLingering
	// flowRemote: another row owns the flow.
	flowRemote
	// flowFenced: another row announced that it is about to open the flow,
	// and this row promised not to open it.
	flowFenced
	// flowClosed: this row owned the flow and it has ended.
	flowClosed
	// flowRefused: this row refused the flow.
	flowRefused
)

// flowRecord is what a row remembers about a flow that it owns, forwards,
// refused or has ended. It is kept small because there is one for every open
// flow.
type flowRecord struct {
	// expires is when the record may be removed. It is zero for open flows.
	expires time.Duration
	// sequence is the initial sequence number. It is zero for UDP flows and for
	// flows whose owner was found by a search.
	sequence uint32
	// owner is the owner of a remote flow, or the row that is about to open a
	// fenced flow.
	owner table.BackendID
	state flowState
	// handedOver is set if this row handed the flow over to owner.
	handedOver bool
}
