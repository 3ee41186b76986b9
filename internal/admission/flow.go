package admission

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

type flowState uint8

const (
	// stateOpen: the flow is this row's own.
	stateOpen flowState = iota
	// stateLingering: the flow was this row's own and has ended, but its
	// transport still answers the caller's last segments.
	stateLingering
	// stateRemote: the flow belongs to another row.
	stateRemote
	// stateFenced: another row said it is about to open the flow, and this
	// row promised not to.
	stateFenced
	// stateClosed: the flow was this row's own and has ended.
	stateClosed
	// stateRefused: this row refused the flow.
	stateRefused
)

// flow is what a row remembers of a flow that it owns, passes along or has
// ended. It is kept small: there is one for every open flow.
type flow struct {
	expires    time.Duration // zero for open flows
	sequence   uint32
	owner      table.BackendID
	state      flowState
	handedOver bool
}
