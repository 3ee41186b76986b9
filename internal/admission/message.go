package admission

import "github.com/vanetiller/vanetiller/internal/table"

//go:generate go tool msgp -tests=false

// FlowKey identifies a flow within one service: the caller's IPv4 address and
// port.
type FlowKey uint64

// Purpose is the reason for which a row queries another row about a flow.
type Purpose uint8

// The purposes of a query.
const (
	// PurposeOpen: the querying row is about to open the flow.
	PurposeOpen Purpose = iota
	// PurposeLocate: the querying row received a packet of a flow that it
	// has no record of.
	PurposeLocate
)

// Answer is what the queried row has recorded about a flow.
type Answer uint8

// The answers to a query.
const (
	// AnswerUnknown: the row has no record of the flow. If the purpose is
	// PurposeOpen, the row promises not to open the flow unless the flow is
	// handed over to it.
	AnswerUnknown Answer = iota
	// AnswerOwned: the row in Owner owns the flow.
	AnswerOwned
	// AnswerReferred: the row in Owner must be queried too. It owned an
	// earlier flow with the same key, was about to open this flow, or may
	// have opened it long ago.
	AnswerReferred
	// AnswerClosed: the flow has ended.
	AnswerClosed
	// AnswerRefused: the queried row refused the flow.
	AnswerRefused
)

// Query asks another row what it has recorded about a flow.
type Query struct {
	Flow     FlowKey `msg:"f"`
	Sequence uint32  `msg:"s"`
	Purpose  Purpose `msg:"p"`
}

// Reply answers a Query.
type Reply struct {
	Flow     FlowKey         `msg:"f"`
	Sequence uint32          `msg:"s"`
	Purpose  Purpose         `msg:"p"`
	Answer   Answer          `msg:"a"`
	Owner    table.BackendID `msg:"o"`
	// Open is the number of flows that are open at the replying row.
	Open uint32 `msg:"n"`
	// Available is false if the replying row cannot take another flow.
	Available bool `msg:"v"`
}

// Message is sent from one row to another. It holds either a query or a reply.
type Message struct {
	From  table.BackendID `msg:"r"`
	To    table.BackendID `msg:"t"`
	Query *Query          `msg:"q"`
	Reply *Reply          `msg:"y"`
}
