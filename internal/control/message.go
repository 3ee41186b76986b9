// Package control implements the leases between agents and daemons. An agent sends
// heartbeats to its daemons. A daemon replies to each with a lease, the agent's part of the
// table and the conditions of the other agents of its services. From the heartbeats, and
// from what other daemons report, a daemon decides which rows of the table must not be
// given new flows.
//
// Registry (on the daemon) and Client (on the agent) are deterministic state machines.
// Server carries the messages of a Registry over UDP; the agent does so for its Client.
package control

import "github.com/vanetiller/vanetiller/internal/table"

//go:generate go tool msgp -tests=false

// The messages are encoded as arrays rather than maps: the names of the fields would be
// a third of the traffic.
//
//msgp:tuple Heartbeat Grant

// A forged length must not make the decoder allocate more than a table needs.
//
//msgp:limit arrays:65536

// Heartbeat is sent by an agent to its daemons at regular intervals.
type Heartbeat struct {
	// Agent is the address in the agent column of the rows that the agent serves.
	Agent table.Endpoint `msg:"a"`
	// Start distinguishes successive processes at one address.
	Start uint64 `msg:"i"`
	// Sequence identifies the heartbeat. The grant repeats it.
	Sequence uint64 `msg:"s"`
	// Version is the version of the table that the agent holds.
	Version table.Version `msg:"v"`
	// Leaving is set while the agent is stopping.
	Leaving bool `msg:"l"`
	// Left is set in the last heartbeats of an agent that stops as planned. It opens no
	// more flows and answers no more requests.
	Left bool `msg:"e"`
}

// Grant is the reply of a daemon to a heartbeat. It renews the lease of the agent, counted
// from the time the heartbeat was sent.
type Grant struct {
	Sequence uint64        `msg:"s"`
	Version  table.Version `msg:"v"`
	// LeaseMillis is the duration of the lease in milliseconds.
	LeaseMillis uint32 `msg:"d"`
	// IntervalMillis is the time in milliseconds until the agent must send its next
	// heartbeat.
	IntervalMillis uint32 `msg:"n"`
	// Table is the part of the table with the agent's services. It is nil if that part has
	// not changed since the version that the agent holds.
	Table *table.Table `msg:"t"`
	// Down lists the rows of these services whose lease has ended.
	Down []table.BackendID `msg:"x"`
	// Leaving lists the rows of these services whose agent is stopping.
	Leaving []table.BackendID `msg:"g"`
	// Unknown lists the rows of these services whose agent has sent the daemon no
	// heartbeat yet, because the daemon started or was resumed a moment ago.
	Unknown []table.BackendID `msg:"u"`
}

// Datagram is the only type sent over the control socket.
type Datagram struct {
	Heartbeat *Heartbeat `msg:"h"`
	Grant     *Grant     `msg:"g"`
}
