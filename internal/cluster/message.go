// This file defines the messages that daemons exchange at the cluster address.

package cluster

import (
	"github.com/vanetiller/vanetiller/internal/cluster/liveness"
	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

//go:generate go tool msgp -tests=false

//msgp:tuple Datagram

// Datagram is the only type sent over UDP. Exactly one of its fields is set.
type Datagram struct {
	Membership    *membership.Message
	Dissemination *dissemination.Message
	Liveness      *liveness.Message
}

// FetchRequest is the first message on a connection. It asks for the table if it is newer
// than Version.
type FetchRequest struct {
	Version table.Version `msg:"v"`
}

// FetchResponse responds to a FetchRequest with an encoded snapshot, which is empty if
// the table is not newer.
type FetchResponse struct {
	State []byte `msg:"s"`
}
