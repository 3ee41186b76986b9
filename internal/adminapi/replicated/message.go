// Package replicated joins the administration API's store with the replicated
// log of package agreement, so that a change can be handed to any process.
//
// Core decides and does no I/O: it passes proposals on to the leader, applies
// what the log commits, and returns the decision to the process that asked.
// Replica adds the lock, the clock and the waiting.
package replicated

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/agreement"
	"github.com/vanetiller/vanetiller/internal/changelog"
)

//go:generate go tool msgp -tests=false

// A forged length must not make the decoder allocate without bound.
//
//msgp:limit arrays:65536

// Attempt numbers the proposals of one process. A repeated change is another
// attempt, so that a late decision on the first is not taken for its own.
type Attempt uint64

// Proposal hands a change to the leader.
type Proposal struct {
	Attempt Attempt            `msg:"n"`
	ID      changelog.ChangeID `msg:"id"`
	Payload []byte             `msg:"p,limit=67108864"`
}

// Status is the wire form of an adminapi.ProposalStatus.
type Status uint8

// Decision is the leader's answer to a Proposal.
type Decision struct {
	Attempt    Attempt       `msg:"n"`
	Status     Status        `msg:"s"`
	Reason     string        `msg:"r"`
	RetryAfter time.Duration `msg:"t"`
	// Outcome is set for a committed proposal.
	Outcome *changelog.Outcome `msg:"o"`
}

// Message is what processes send each other. Exactly one of the pointers is
// set.
type Message struct {
	Agreement *agreement.Message `msg:"a"`
	Proposal  *Proposal          `msg:"p"`
	Decision  *Decision          `msg:"d"`
}
