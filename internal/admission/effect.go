package admission

import (
	"github.com/vanetiller/vanetiller/internal/label"
	"github.com/vanetiller/vanetiller/internal/table"
)

// EffectKind tells what the caller of the machine has to do.
type EffectKind uint8

// The kinds of effects.
const (
	// Deliver gives the packet to the local transport stack.
	Deliver EffectKind = iota
	// Forward passes the packet along to the agent of row To.
	Forward
	// SendMessage transmits Message to the agent of row To.
	SendMessage
	// SendReset answers the packet with a TCP reset: the flow does not run here
	// nor anywhere else.
	SendReset
	// Drop discards the packet for the given Reason.
	Drop
	// RefreshTable asks for the newest table, because a packet carries a newer
	// version than the one held.
	RefreshTable
)

var effectKindNames = []string{"deliver", "forward", "send", "reset", "drop", "refresh"}

// String returns the kind in the form used in logs.
func (k EffectKind) String() string { return label.Of(effectKindNames, k) }

// DropReason tells why a packet was discarded.
type DropReason uint8

// The reasons for dropping a packet.
const (
	DropNone DropReason = iota
	// DropNoLease: a new flow while the row holds no lease.
	DropNoLease
	// DropDuplicate: the opening packet of a flow that is being decided.
	DropDuplicate
	// DropClosed: a packet of a flow that has ended.
	DropClosed
	// DropHopLimit: passed along too often; tables disagree.
	DropHopLimit
	// DropPendingLimit: too many undecided flows.
	DropPendingLimit
	// DropFlowLimit: too many flows in memory.
	DropFlowLimit
	// DropUnknownFlow: no row that answered owns the flow, but not all did.
	DropUnknownFlow
	// DropNoPrimary: no row of the service accepts new flows.
	DropNoPrimary
	// DropQueryLimit: too many unknown flows were asked about.
	DropQueryLimit
	// DropNoAnswer: this row cannot take the flow, and a row that may did not
	// answer in time.
	DropNoAnswer
	dropReasonCount
)

// DropReasons lists every reason, for counters that are kept by reason.
func DropReasons() []DropReason {
	return label.All(dropReasonCount)
}

var dropReasonNames = []string{
	"none", "no_lease", "duplicate", "closed", "hop_limit", "pending_limit",
	"flow_limit", "unknown_flow", "no_primary", "query_limit", "no_answer",
}

// String returns the reason in the form used as a metric label.
func (r DropReason) String() string { return label.Of(dropReasonNames, r) }

// Effect is one thing that the caller of the machine has to do. Which fields
// are set depends on Kind.
type Effect struct {
	Kind    EffectKind
	Reason  DropReason
	To      table.BackendID
	Packet  Packet
	Message Message
}
