package admission

import (
	"github.com/vanetiller/vanetiller/internal/label"
	"github.com/vanetiller/vanetiller/internal/table"
)

// EffectKind is the kind of action that the caller of the machine must carry out.
type EffectKind uint8

// The kinds of effects.
const (
	// Deliver passes the packet to the local transport stack.
	Deliver EffectKind = iota
	// Forward sends the packet to the agent of row To.
	Forward
	// SendMessage transmits Message to the agent of row To.
	SendMessage
	// SendReset answers the packet with a TCP reset, because no row owns the
	// flow.
	SendReset
	// Drop discards the packet for the reason in Reason.
	Drop
	// RefreshTable requests the newest table and a lease, because a packet or
	// a message shows that the table in use may be old, or because a new flow
	// arrived while the row holds no lease.
	RefreshTable
)

var effectKindNames = []string{"deliver", "forward", "send", "reset", "drop", "refresh"}

// String returns the kind in the form used in logs.
func (k EffectKind) String() string { return label.Of(effectKindNames, k) }

// DropReason is the reason for which a packet was discarded.
type DropReason uint8

// The reasons for dropping a packet.
const (
	DropNone DropReason = iota
	// DropNoLease: the row holds no lease, has only just regained it, or has
	// no table that is recent enough to decide about the flow.
	DropNoLease
	// DropDuplicate: the owner of the flow is being decided, and the packet
	// opens the flow again or exceeds the limit of held packets.
	DropDuplicate
	// DropClosed: the flow has ended, or was refused and cannot be answered
	// with a reset.
	DropClosed
	// DropHopLimit: the packet was forwarded too often, because the tables of
	// the rows disagree.
	DropHopLimit
	// DropPendingLimit: the number of undecided flows is at its limit.
	DropPendingLimit
	// DropFlowLimit: the number of remembered flows is at its limit.
	DropFlowLimit
	// DropUnknownFlow: no owner was found, and the flow may still exist: not
	// every row answered, or this row's lease or table is not current. Also
	// used for a reset of an unknown flow.
	DropUnknownFlow
	// DropNoPrimary: no row of the service accepts new flows.
	DropNoPrimary
	// DropQueryLimit: the number of searches for owners of unknown flows is at
	// its limit.
	DropQueryLimit
	// DropNoAnswer: this row cannot take the flow, and a row that may be able
	// to take it did not answer in time.
	DropNoAnswer
	dropReasonCount
)

// DropReasons returns every reason, for counters with a label for the reason.
func DropReasons() []DropReason {
	return label.All(dropReasonCount)
}

var dropReasonNames = []string{
	"none", "no_lease", "duplicate", "closed", "hop_limit", "pending_limit",
	"flow_limit", "unknown_flow", "no_primary", "query_limit", "no_answer",
}

// String returns the reason in the form used as a metric label.
func (r DropReason) String() string { return label.Of(dropReasonNames, r) }

// Effect is an action that the caller of the machine must carry out. Kind
// determines which other fields are set.
type Effect struct {
	Kind    EffectKind
	Reason  DropReason
	To      table.BackendID
	Packet  Packet
	Message Message
}
