// Package control implements how agents and daemons keep in touch: agents send
// heartbeats, daemons answer with a lease and the agent's part of the table.
//
// Registry (daemon side) and Client (agent side) are deterministic state
// machines; Server and Dialer carry their messages over UDP.
package control

import "github.com/vanetiller/vanetiller/internal/table"

//go:generate go tool msgp -tests=false

// The messages are encoded as arrays rather than maps: names of members would be
// a third of the traffic.
//
//msgp:tuple Heartbeat Grant

// A forged length must not make the decoder allocate more than a table needs.
//
//msgp:limit arrays:65536

// Heartbeat is what an agent tells a daemon at regular intervals.
type Heartbeat struct {
	// Agent is the address in the agent column of the rows it serves.
	Agent table.Endpoint `msg:"a"`
	// Start tells apart successive processes at one address.
	Start uint64 `msg:"i"`
	// Sequence tells apart heartbeats; the grant repeats it.
	Sequence uint64 `msg:"s"`
	// Version is the table version that the agent holds.
	Version table.Version `msg:"v"`
	// Leaving is set while the agent is stopping.
	Leaving bool `msg:"l"`
	// Left is set in the last heartbeats of an agent that stops as planned: it
	// opens no flow any more and answers nobody.
	Left bool `msg:"e"`
}

// Grant is a daemon's answer to a heartbeat. It renews the agent's lease,
// counted from the time the heartbeat was sent.
type Grant struct {
	Sequence uint64        `msg:"s"`
	Version  table.Version `msg:"v"`
	// LeaseMillis is the duration of the lease in milliseconds.
	LeaseMillis uint32 `msg:"d"`
	// IntervalMillis is when the agent shall send its next heartbeat.
	IntervalMillis uint32 `msg:"n"`
	// Table is the part of the table with the agent's services, absent if it
	// is the same as at the version that the agent holds.
	Table *table.Table `msg:"t"`
	// Down lists rows of these services whose lease has ended.
	Down []table.BackendID `msg:"x"`
	// Leaving lists rows of these services whose agent is stopping.
	Leaving []table.BackendID `msg:"g"`
	// Unknown lists rows of these services of whose agent the daemon has not
	// heard since it started or was resumed a moment ago.
	Unknown []table.BackendID `msg:"u"`
}

// Datagram is the only type sent over the control socket.
type Datagram struct {
	Heartbeat *Heartbeat `msg:"h"`
	Grant     *Grant     `msg:"g"`
}
