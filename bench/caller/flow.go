// This file defines the plans and results of flows.

package caller

import (
	"net/netip"
	"time"
)

// Service is what a flow connects to.
type Service struct {
	// Name is the service name in the table.
	Name string
	// Address is the virtual address of the service.
	Address netip.AddrPort
}

// Kind is what a flow does on its connection.
type Kind string

// The kinds of flows.
const (
	// KindUpload sends one body in pieces.
	KindUpload Kind = "upload"
	// KindDownload reads one answer that is streamed in pieces.
	KindDownload Kind = "download"
	// KindPoll sends small requests on a connection that it keeps open.
	KindPoll Kind = "poll"
	// KindSubmit sends one submission that must run at most once.
	KindSubmit Kind = "submit"
	// KindDatagrams sends requests on one UDP socket, each until it is
	// answered.
	KindDatagrams Kind = "datagrams"
)

// Plan describes what one flow does.
type Plan struct {
	// ID identifies the flow. It is the prefix of the IDs of its requests.
	ID string
	// Service is what the flow connects to.
	Service Service
	// Kind is what the flow does.
	Kind Kind
	// Pieces is the number of pieces of a body, or the number of polls or datagrams.
	Pieces int
	// PieceSize is the number of bytes of a piece. Polls and datagrams do not use it.
	PieceSize int
	// Pause is the time between two pieces.
	Pause time.Duration
}

// Outcome is how a flow ended.
type Outcome string

// The outcomes of flows.
const (
	// OutcomeCompleted means that every answer was complete and belonged to the flow.
	OutcomeCompleted Outcome = "completed"
	// OutcomeRefused means that the connection was refused, or that the back end answered that
	// it has not executed the request.
	OutcomeRefused Outcome = "refused"
	// OutcomeNotOpened means that the connection could not be opened, for example because the
	// handshake timed out.
	OutcomeNotOpened Outcome = "not_opened"
	// OutcomeBroken means that an established flow was reset, stalled, received a wrong answer
	// or was cancelled.
	OutcomeBroken Outcome = "broken"
)

// Cause is the reason why a flow did not complete.
type Cause string

// The causes.
const (
	CauseNone             Cause = ""
	CauseConnectRefused   Cause = "connection_refused"
	CauseConnectTimeout   Cause = "connect_timeout"
	CauseConnectFailed    Cause = "connect_failed"
	CauseShed             Cause = "shed"
	CauseStalled          Cause = "stalled"
	CauseReset            Cause = "reset"
	CauseTruncated        Cause = "cut_short"
	CauseWrongStatus      Cause = "wrong_status"
	CauseWrongService     Cause = "wrong_service"
	CauseMismatchedAnswer Cause = "foreign_answer"
	CauseWrongContent     Cause = "wrong_content"
	CauseBackendChanged   Cause = "backend_changed"
	CauseCancelled        Cause = "cancelled"
	CauseMalformedRequest Cause = "malformed_request"
)

// Result describes how one flow ended.
type Result struct {
	Plan    Plan
	Outcome Outcome
	Cause   Cause
	// Detail is the text of the error behind the cause.
	Detail string
	// Caller is the address of the caller, if the flow was established.
	Caller netip.AddrPort
	// Backend is the back end that answered, if any did.
	Backend string
	// Request is the ID of the last request.
	Request string
	// HandshakeTime is the duration of the handshake.
	HandshakeTime time.Duration
	// AnswerTimes are the times from the start of each poll, submission or datagram request to
	// the end of its answer.
	AnswerTimes []time.Duration
	// Started is when the handshake began and Ended when the flow ended.
	Started time.Time
	Ended   time.Time
}
