package admission

import "github.com/vanetiller/vanetiller/internal/table"

//go:generate go tool msgp -tests=false

// FlowKey identifies a flow within one service: the caller's IPv4 address and
// port.
type FlowKey uint64

// Purpose tells why a row asks about a flow.
type Purpose uint8

// The purposes of a query.
const (
	// PurposeOpen: the asking row is about to open the flow.
	PurposeOpen Purpose = iota
	// PurposeLocate: the asking row received a packet of a flow it does not
	// know.
	PurposeLocate
)

// Answer is what the asked row knows about a flow.
type Answer uint8

// The answers to a query.
const (
	// AnswerUnknown: the row does not know the flow. For PurposeOpen it will
	// not open the flow unless it is handed over.
	AnswerUnknown Answer = iota
	// AnswerOwned: the flow belongs to the row in Owner.
	AnswerOwned
	// AnswerReferred: the row in Owner had an earlier flow with the same key,
	// or was about to open this one, and must be asked too.
	AnswerReferred
	// AnswerClosed: the flow has ended.
	AnswerClosed
	// AnswerRefused: the flow was refused.
	AnswerRefused
)

// Query asks another row about a flow.
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
	// Open is the number of flows open at the answering row.
	Open uint32 `msg:"n"`
	// Available is false if the row can take no further flow.
	Available bool `msg:"v"`
}

// Message is what rows send each other: a query or a reply.
type Message struct {
	From  table.BackendID `msg:"r"`
	To    table.BackendID `msg:"t"`
	Query *Query          `msg:"q"`
	Reply *Reply          `msg:"y"`
}
