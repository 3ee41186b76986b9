// This file defines what daemons send each other over the cluster address.

package cluster

import (
	"github.com/vanetiller/vanetiller/internal/adminapi/replicated"
	"github.com/vanetiller/vanetiller/internal/agreement"
	"github.com/vanetiller/vanetiller/internal/cluster/liveness"
	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

//go:generate go tool msgp -tests=false

//msgp:tuple Directed Datagram Hint

// Directed is a message between two processes of the log. A process that was
// replaced by a later one at its address gets none that are meant for it.
type Directed struct {
	// From and To are the starts of the processes' identities; their machines
	// are the addresses.
	From    uint64
	To      uint64
	Message replicated.Message
}

// Datagram is the only type sent over UDP. Exactly one of the pointers is set.
type Datagram struct {
	Membership    *membership.Message
	Dissemination *dissemination.Message
	Directed      *Directed
	Liveness      *liveness.Message
}

// Hint tells who leads the log. It travels with the messages of package
// membership, behind the status of package dissemination.
type Hint struct {
	// Term is zero if the sender knows of no log.
	Term   agreement.Term
	Leader agreement.ProcessID
}

// Request is what a connection begins with. Exactly one of the pointers is
// set.
type Request struct {
	Directed *Directed     `msg:"d"`
	Fetch    *FetchRequest `msg:"f"`
}

// FetchRequest asks for what leads from a version to the newest one.
type FetchRequest struct {
	Version table.Version `msg:"v"`
	// Whole asks for the whole state even if deltas would do.
	Whole bool `msg:"w"`
}

// FetchAnswer answers a FetchRequest with deltas or with an encoded state.
type FetchAnswer struct {
	Deltas []FetchedDelta `msg:"d"`
	State  []byte         `msg:"s"`
}

// FetchedDelta is a dissemination.Delta that need not fit in a datagram, which
// the decoder of that type demands.
type FetchedDelta struct {
	Version table.Version `msg:"v"`
	Payload []byte        `msg:"p"`
}
