package outlier

import "github.com/vanetiller/vanetiller/internal/label"

// Class is what became of something that an endpoint was given.
type Class uint8

// The classes.
const (
	// Success: a request was answered.
	Success Class = iota
	// Failure: the answer says that the endpoint has failed.
	Failure
	// Refusal: the answer says that the request has not run: load, not a fault.
	Refusal
	// Break: the endpoint has reset a flow on which a request was waiting.
	Break
	// Hang: a request takes far longer than others.
	Hang
	// Return: an opening packet was not taken.
	Return
	// Silence: opening packets get no answer.
	Silence
	classCount
)

var classNames = []string{"success", "failure", "refusal", "break", "hang", "return", "silence"}

// String returns the class in the form used as a metric label.
func (c Class) String() string { return label.Of(classNames, c) }

// Classes lists every class, for counters that are kept by class.
func Classes() []Class { return label.All(classCount) }

// absent reports whether the class shows that nobody is there to run anything: to ask
// another endpoint is right then, however many there are left.
func (c Class) absent() bool { return c == Return || c == Silence }

// byItsNature reports whether requests may have such an outcome at every endpoint, so that
// it says something only beside the others'.
func (c Class) byItsNature() bool { return c == Failure || c == Break }

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
