package outlier

import "github.com/vanetiller/vanetiller/internal/label"

// Outcome is the result of a request or an opening packet that an endpoint was given.
type Outcome uint8

// The outcomes.
const (
	// Success: the request was answered.
	Success Outcome = iota
	// Failure: the answer reports a failure of the endpoint.
	Failure
	// Refusal: the answer reports that the request was not executed. The cause is load, not
	// a fault.
	Refusal
	// ConnectionReset: the endpoint reset a flow with a pending request.
	ConnectionReset
	// Hang: the request takes far longer than others.
	Hang
	// PacketReturned: the endpoint returned an opening packet.
	PacketReturned
	// NoResponse: the endpoint did not answer opening packets.
	NoResponse
	outcomeCount
)

// outcomeNames holds the metric labels. They stay as they are when a constant is renamed.
var outcomeNames = []string{"success", "failure", "refusal", "break", "hang", "return", "silence"}

// String returns the outcome as a metric label.
func (o Outcome) String() string { return label.Of(outcomeNames, o) }

// Outcomes returns all outcomes, for counters by outcome.
func Outcomes() []Outcome { return label.All(outcomeCount) }

// unreachable reports whether the outcome shows that nothing runs at the endpoint. Its flows
// then go to other endpoints, however few are left.
func (o Outcome) unreachable() bool { return o == PacketReturned || o == NoResponse }

// needsComparison reports whether requests may have this outcome at every endpoint. It is
// evidence against one endpoint only if the others have it less often.
func (o Outcome) needsComparison() bool { return o == Failure || o == ConnectionReset }

// State says which new flows an endpoint gets.
type State uint8

// The states.
const (
	// Healthy: the endpoint gets new flows.
	Healthy State = iota
	// Ejected: the endpoint gets no new flow.
	Ejected
	// Probation: the endpoint gets single flows as trials.
	Probation
	stateCount
)

var stateNames = []string{"healthy", "ejected", "probation"}

// String returns the state as a metric label.
func (s State) String() string { return label.Of(stateNames, s) }

// States returns all states.
func States() []State { return label.All(stateCount) }
