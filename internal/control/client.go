package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

// outstandingHeartbeats is how many sent heartbeats are remembered for each
// daemon, to count a lease from the time its heartbeat was sent.
const outstandingHeartbeats = 8

// refreshSpacing is the least time between heartbeats to one daemon, whatever
// makes them due.
const refreshSpacing = 20 * time.Millisecond

type sentHeartbeat struct {
	sequence uint64
	at       time.Duration
}

type daemonRecord struct {
	address  netip.AddrPort
	due      time.Duration
	last     time.Duration // when a heartbeat was sent last
	interval time.Duration
	sent     []sentHeartbeat
	granted  time.Duration
	lease    time.Duration
	heard    bool
	down     []table.BackendID
	leaving  []table.BackendID
	unknown  []table.BackendID
}

// hears reports whether the daemon has a recent heartbeat of the row's agent.
func (d *daemonRecord) hears(row table.BackendID) bool {
	return !slices.Contains(d.down, row) && !slices.Contains(d.unknown, row)
}

// OutgoingHeartbeat is a heartbeat to be sent to a daemon.
type OutgoingHeartbeat struct {
	Daemon    netip.AddrPort
	Heartbeat Heartbeat
}

// ClientState is what an agent holds from its daemons.
type ClientState struct {
	// Table is the agent's part of the newest table received, nil before the
	// first grant.
	Table *table.Table
	// Down lists the rows that a daemon heard from recently reports so, while
	// no other hears their agent.
	Down []table.BackendID
	// Leaving lists the rows that any daemon heard from recently reports so.
	Leaving []table.BackendID
	// LeaseUntil is when the lease ends.
	LeaseUntil time.Duration
}

// Client keeps an agent's leases. It is not safe for concurrent use.
type Client struct {
	agent    table.Endpoint
	start    uint64
	sequence uint64
	leaving  bool
	left     bool
	daemons  []*daemonRecord
	held     *table.Table
	lease    time.Duration
}

// NewClient returns the client of the agent with the given address. Start must
// differ from that of earlier processes at the address.
func NewClient(agent table.Endpoint, start uint64, daemons []netip.AddrPort) *Client {
	client := &Client{agent: agent, start: start}
	for _, address := range daemons {
		client.daemons = append(client.daemons, &daemonRecord{address: address, interval: minimumInterval})
	}
	return client
}

// Leave marks the agent as stopping and makes all heartbeats due.
func (c *Client) Leave() {
	c.leaving = true
	c.Renew()
}

// Left marks the agent as stopped and makes all heartbeats due.
func (c *Client) Left() {
	c.left = true
	c.Renew()
}

// Renew makes all heartbeats due, unless they were sent a moment ago.
func (c *Client) Renew() {
	for _, daemon := range c.daemons {
		daemon.due = min(daemon.due, daemon.last+refreshSpacing)
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
		daemon.last = now
		daemon.sent = append(daemon.sent, sentHeartbeat{sequence: c.sequence, at: now})
		if len(daemon.sent) > outstandingHeartbeats {
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

// Receive handles a grant. It returns false if the grant answers no heartbeat
// that is remembered.
func (c *Client) Receive(now time.Duration, from netip.AddrPort, grant Grant) bool {
	daemon := c.daemon(from)
	if daemon == nil {
		return false
	}
	sent, remembered := daemon.take(grant.Sequence)
	if !remembered {
		return false
	}
	daemon.heard = true
	daemon.granted = now
	daemon.interval = time.Duration(grant.IntervalMillis) * time.Millisecond
	daemon.lease = time.Duration(grant.LeaseMillis) * time.Millisecond
	daemon.down = grant.Down
	daemon.leaving = grant.Leaving
	daemon.unknown = grant.Unknown
	c.lease = max(c.lease, sent+daemon.lease)
	c.hold(grant)
	return true
}

// hold takes over a newer table. A newer version without a table says that the
// agent's part has not changed.
func (c *Client) hold(grant Grant) {
	switch {
	case grant.Table != nil && (c.held == nil || grant.Version > c.held.Version):
		c.held = grant.Table
	case grant.Table == nil && c.held != nil && grant.Version > c.held.Version:
		unchanged := *c.held
		unchanged.Version = grant.Version
		c.held = &unchanged
	}
}

func (c *Client) daemon(address netip.AddrPort) *daemonRecord {
	for _, daemon := range c.daemons {
		if daemon.address == address {
			return daemon
		}
	}
	return nil
}

// take returns when the heartbeat was sent and forgets it and earlier ones.
func (d *daemonRecord) take(sequence uint64) (time.Duration, bool) {
	for index, sent := range d.sent {
		if sent.sequence == sequence {
			d.sent = slices.Delete(d.sent, 0, index+1)
			return sent.at, true
		}
	}
	return 0, false
}

// State returns what the agent holds now.
func (c *Client) State(now time.Duration) ClientState {
	state := ClientState{Table: c.held, LeaseUntil: c.lease}
	var recent []*daemonRecord
	for _, daemon := range c.daemons {
		if daemon.heard && now < daemon.granted+daemon.lease {
			recent = append(recent, daemon)
		}
	}
	for _, daemon := range recent {
		state.Down = union(state.Down, daemon.down)
		state.Leaving = union(state.Leaving, daemon.leaving)
	}
	state.Down = slices.DeleteFunc(state.Down, func(row table.BackendID) bool {
		return slices.ContainsFunc(recent, func(daemon *daemonRecord) bool { return daemon.hears(row) })
	})
	return state
}

// union returns the rows in either list, sorted.
func union(a, b []table.BackendID) []table.BackendID {
	for _, row := range b {
		if !slices.Contains(a, row) {
			a = append(a, row)
		}
	}
	slices.Sort(a)
	return a
}
