package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

// maxOutstanding is the number of unanswered heartbeats remembered for each daemon.
// Their sending times are needed because a lease counts from then.
const maxOutstanding = 8

// minHeartbeatSpacing is the minimum time between two heartbeats to one daemon, even if
// Renew is called.
const minHeartbeatSpacing = 20 * time.Millisecond

type sentHeartbeat struct {
	sequence uint64
	at       time.Duration
}

type daemonState struct {
	address    netip.AddrPort
	due        time.Duration
	lastSent   time.Duration // when the last heartbeat was sent
	interval   time.Duration
	sent       []sentHeartbeat
	grantedAt  time.Duration
	lease      time.Duration
	hasGranted bool
	down       []table.BackendID
	leaving    []table.BackendID
	unknown    []table.BackendID
}

// reportsAlive reports whether the daemon has a recent heartbeat of the row's agent.
func (d *daemonState) reportsAlive(row table.BackendID) bool {
	return !slices.Contains(d.down, row) && !slices.Contains(d.unknown, row)
}

// OutgoingHeartbeat is a heartbeat to send to a daemon.
type OutgoingHeartbeat struct {
	Daemon    netip.AddrPort
	Heartbeat Heartbeat
}

// ClientState is what an agent has received from its daemons.
type ClientState struct {
	// Table is the agent's part of the newest table received. It is nil before the first
	// grant.
	Table *table.Table
	// Down lists the rows that a daemon with an unexpired grant reports as down, while no
	// other such daemon receives heartbeats of their agent.
	Down []table.BackendID
	// Leaving lists the rows that any daemon with an unexpired grant reports as leaving.
	Leaving []table.BackendID
	// LeaseUntil is when the lease ends.
	LeaseUntil time.Duration
}

// Client maintains the leases of an agent. It is not safe for concurrent use.
type Client struct {
	agent      table.Endpoint
	start      uint64
	sequence   uint64
	leaving    bool
	left       bool
	daemons    []*daemonState
	held       *table.Table
	leaseUntil time.Duration
}

// NewClient returns the client of the agent at an address. Start must differ from that of
// earlier processes at the address.
func NewClient(agent table.Endpoint, start uint64, daemons []netip.AddrPort) *Client {
	client := &Client{agent: agent, start: start}
	for _, address := range daemons {
		client.daemons = append(client.daemons, &daemonState{address: address, interval: minInterval})
	}
	return client
}

// Leave records that the agent is leaving and makes all heartbeats due.
func (c *Client) Leave() {
	c.leaving = true
	c.Renew()
}

// Left records that the agent has left and makes all heartbeats due.
func (c *Client) Left() {
	c.left = true
	c.Renew()
}

// Renew makes all heartbeats due, each no earlier than minHeartbeatSpacing after the
// last heartbeat to the same daemon.
func (c *Client) Renew() {
	for _, daemon := range c.daemons {
		daemon.due = min(daemon.due, daemon.lastSent+minHeartbeatSpacing)
	}
}

// Tick returns the heartbeats that are due.
func (c *Client) Tick(now time.Duration) []OutgoingHeartbeat {
	var outgoing []OutgoingHeartbeat
	for _, daemon := range c.daemons {
		if now < daemon.due {
			continue
		}
		c.sequence++
		daemon.due = now + daemon.interval
		daemon.lastSent = now
		daemon.sent = append(daemon.sent, sentHeartbeat{sequence: c.sequence, at: now})
		if len(daemon.sent) > maxOutstanding {
			daemon.sent = slices.Delete(daemon.sent, 0, 1)
		}
		outgoing = append(outgoing, OutgoingHeartbeat{Daemon: daemon.address, Heartbeat: c.heartbeat()})
	}
	return outgoing
}

func (c *Client) heartbeat() Heartbeat {
	heartbeat := Heartbeat{
		Agent:    c.agent,
		Start:    c.start,
		Sequence: c.sequence,
		Leaving:  c.leaving,
		Left:     c.left,
	}
	if c.held != nil {
		heartbeat.Version = c.held.Version
	}
	return heartbeat
}

// Receive handles a grant. It returns false if the grant replies to no outstanding
// heartbeat.
func (c *Client) Receive(now time.Duration, from netip.AddrPort, grant Grant) bool {
	daemon := c.daemon(from)
	if daemon == nil {
		return false
	}
	sent, remembered := daemon.takeSent(grant.Sequence)
	if !remembered {
		return false
	}
	daemon.hasGranted = true
	daemon.grantedAt = now
	daemon.interval = time.Duration(grant.IntervalMillis) * time.Millisecond
	daemon.lease = time.Duration(grant.LeaseMillis) * time.Millisecond
	daemon.down = grant.Down
	daemon.leaving = grant.Leaving
	daemon.unknown = grant.Unknown
	c.leaseUntil = max(c.leaseUntil, sent+daemon.lease)
	c.updateTable(grant)
	return true
}

// updateTable takes over a newer table. A newer version without a table means that the
// agent's part has not changed.
func (c *Client) updateTable(grant Grant) {
	switch {
	case grant.Table != nil && (c.held == nil || grant.Version > c.held.Version):
		c.held = grant.Table
	case grant.Table == nil && c.held != nil && grant.Version > c.held.Version:
		unchanged := *c.held
		unchanged.Version = grant.Version
		c.held = &unchanged
	}
}

func (c *Client) daemon(address netip.AddrPort) *daemonState {
	for _, daemon := range c.daemons {
		if daemon.address == address {
			return daemon
		}
	}
	return nil
}

// takeSent returns when a heartbeat was sent, and removes it and earlier ones from the
// outstanding heartbeats.
func (d *daemonState) takeSent(sequence uint64) (time.Duration, bool) {
	for index, sent := range d.sent {
		if sent.sequence == sequence {
			d.sent = slices.Delete(d.sent, 0, index+1)
			return sent.at, true
		}
	}
	return 0, false
}

// State returns the current state of the client.
func (c *Client) State(now time.Duration) ClientState {
	state := ClientState{Table: c.held, LeaseUntil: c.leaseUntil}
	var recent []*daemonState
	for _, daemon := range c.daemons {
		if daemon.hasGranted && now < daemon.grantedAt+daemon.lease {
			recent = append(recent, daemon)
		}
	}
	for _, daemon := range recent {
		state.Down = union(state.Down, daemon.down)
		state.Leaving = union(state.Leaving, daemon.leaving)
	}
	state.Down = slices.DeleteFunc(state.Down, func(row table.BackendID) bool {
		return slices.ContainsFunc(recent, func(daemon *daemonState) bool { return daemon.reportsAlive(row) })
	})
	return state
}

// union returns the sorted rows that are in either list.
func union(a, b []table.BackendID) []table.BackendID {
	for _, row := range b {
		if !slices.Contains(a, row) {
			a = append(a, row)
		}
	}
	slices.Sort(a)
	return a
}
