package agreement

import (
	"cmp"
	"fmt"
)

//go:generate go tool msgp -tests=false

// A forged length must not make the decoder allocate without bound.
//
//msgp:limit arrays:65536

//msgp:tuple ProcessID

// ProcessID identifies one run of the daemon on one machine. The daemon
// chooses Start anew at every start, larger than before; the time of the
// machine's clock in nanoseconds serves. Two processes never share a
// ProcessID.
type ProcessID struct {
	// Machine is the number of the machine in the fleet's settings.
	Machine uint32
	// Start tells apart the successive processes of one machine.
	Start uint64
}

// String returns the identity in the form used in logs.
func (p ProcessID) String() string { return fmt.Sprintf("%d.%d", p.Machine, p.Start) }

// Compare orders identities by machine, then by start.
func (p ProcessID) Compare(other ProcessID) int {
	if byMachine := cmp.Compare(p.Machine, other.Machine); byMachine != 0 {
		return byMachine
	}
	return cmp.Compare(p.Start, other.Start)
}

// Succeeds reports whether p is a later process of the same machine, which
// proves that the other process has ended.
func (p ProcessID) Succeeds(other ProcessID) bool {
	return p.Machine == other.Machine && p.Start > other.Start
}

// Term numbers the leaderships. At most one process leads in a term.
type Term uint64

// Index numbers the entries of the log, starting at 1.
type Index uint64

// Zone names the failure domain that a machine belongs to.
type Zone string
