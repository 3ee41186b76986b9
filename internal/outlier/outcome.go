package outlier

import "github.com/vanetiller/vanetiller/internal/label"

// Outcome is what became of something that an endpoint was given.
type Outcome uint8

// The classes.
const (
	// Success: a request was answered.
	Success Outcome = iota
	// Failure: the answer says that the endpoint has failed.
	Failure
	// Refusal: the answer says that the request has not run: load, not a fault.
	Refusal
	// ConnectionReset: the endpoint has reset a flow on which a request was waiting.
	ConnectionReset
	// Hang: a request takes far longer than others.
	Hang
	// PacketReturned: an opening packet was not taken.
	PacketReturned
	// NoResponse: opening packets get no answer.
	NoResponse
	classCount
)

var classNames = []string{"success", "failure", "refusal", "break", "hang", "return", "silence"}

// String returns the class in the form used as a metric label.
func (c Outcome) String() string { return label.Of(classNames, c) }

// Outcomes lists every class, for counters that are kept by class.
func Outcomes() []Outcome { return label.All(classCount) }

// absent reports whether the class shows that nobody is there to run anything: to ask
// another endpoint is right then, however many there are left.
func (c Outcome) absent() bool { return c == PacketReturned || c == NoResponse }

// byItsNature reports whether requests may have such an outcome at every endpoint, so that
// it says something only beside the others'.
func (c Outcome) byItsNature() bool { return c == Failure || c == ConnectionReset }

// State is how an endpoint is treated.
type State uint8

// The states.
const (
	// Healthy: it gets new flows.
	Healthy State = iota
	// Ejected: it gets none.
	Ejected
	// Probation: it gets single ones, as trials.
	Probation
	stateCount
)

var stateNames = []string{"healthy", "ejected", "probation"}

// String returns the state in the form used as a metric label.
func (s State) String() string { return label.Of(stateNames, s) }

// States lists every state.
func States() []State { return label.All(stateCount) }
