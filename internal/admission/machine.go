package admission

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

// Config holds the parameters of a Machine. All durations are positive.
type Config struct {
	// Row is the row that the machine decides for.
	Row table.BackendID
	// LeaseDuration is the longest time for which a row may go on opening
	// flows without hearing from a daemon.
	LeaseDuration time.Duration
	// LoadTimeout bounds the wait for the load of another row.
	LoadTimeout time.Duration
	// ResendInterval is the time after which a query is first repeated; it
	// doubles with each repetition.
	ResendInterval time.Duration
	// LocateTimeout bounds the search for the owner of an unknown flow.
	LocateTimeout time.Duration
	// VersionTimeout bounds the wait for a newer table.
	VersionTimeout time.Duration
	// RetransmissionTimeout is how long callers repeat the first packet of a
	// flow that is not answered.
	RetransmissionTimeout time.Duration
	// ClosedRetention is how long an ended flow is remembered.
	ClosedRetention time.Duration
	// RemoteRetention is how long the owner of another row's flow is
	// remembered after its last packet.
	RemoteRetention time.Duration
	// HandoverMargin is the number of flows, for a row of the same weight, by
	// which another row must be less loaded to be handed a new flow.
	HandoverMargin uint32
	// FlowLimit is the largest number of flows in memory, ended ones
	// included.
	FlowLimit int
	// PendingLimit is the largest number of undecided flows.
	PendingLimit int
	// LocateLimit is the largest number of searches for unknown flows that
	// may be under way.
	LocateLimit int
	// Stateless turns the machine into the negative control: it opens every
	// new flow where it arrives and asks nobody.
	Stateless bool
}

// DefaultConfig returns the parameters used by the agent for a row.
func DefaultConfig(row table.BackendID) Config {
	return Config{
		Row:                   row,
		LeaseDuration:         2 * time.Second,
		LoadTimeout:           20 * time.Millisecond,
		ResendInterval:        8 * time.Millisecond,
		LocateTimeout:         200 * time.Millisecond,
		VersionTimeout:        500 * time.Millisecond,
		RetransmissionTimeout: 20 * time.Second,
		ClosedRetention:       time.Minute,
		RemoteRetention:       10 * time.Minute,
		HandoverMargin:        1,
		FlowLimit:             100_000,
		PendingLimit:          4096,
		LocateLimit:           256,
	}
}

const (
	// hopLimit bounds how often a packet is passed along.
	hopLimit = 4
	// hopsThereAndBack is the number of hops of a packet that was passed along
	// and came back.
	hopsThereAndBack = 2
	// maximumResendInterval bounds the time between repeated queries.
	maximumResendInterval = 256 * time.Millisecond
	// heldPackets bounds the packets kept of one undecided flow.
	heldPackets = 4
	// tickInterval is the longest useful time between two calls of Tick.
	tickInterval = 4 * time.Millisecond
	// sweepInterval is the time between removals of expired flows.
	sweepInterval = time.Second
)

// TickInterval returns how often Tick should be called.
func TickInterval() time.Duration { return tickInterval }

// Machine decides about the flows of one row. It is not safe for concurrent
// use.
type Machine struct {
	config     Config
	history    history
	leaseUntil time.Duration
	// leaseResumed is when the lease began after having been interrupted.
	leaseResumed time.Duration
	leaving      bool
	flows        map[FlowKey]flow
	pending      map[FlowKey]*pending
	locating     int
	open         uint32
	nextSweep    time.Duration
	effects      []Effect
}

// New returns a machine without a view and without a lease.
func New(config Config) *Machine {
	return &Machine{
		config:  config,
		flows:   make(map[FlowKey]flow),
		pending: make(map[FlowKey]*pending),
	}
}

// OpenFlows returns the number of flows open at this row.
func (m *Machine) OpenFlows() uint32 { return m.open }

// RememberedFlows returns the number of flows remembered, ended ones included.
func (m *Machine) RememberedFlows() int { return len(m.flows) }

// UndecidedFlows returns the number of undecided flows.
func (m *Machine) UndecidedFlows() int { return len(m.pending) }

// TableVersion returns the table version in use, zero before the first view.
func (m *Machine) TableVersion() table.Version {
	if m.history.current == nil {
		return 0
	}
	return m.history.current.view.Version
}

// InstallView installs a view. A view with an older version than the current one
// is ignored. The returned effects are valid until the next call.
func (m *Machine) InstallView(now time.Duration, view View) []Effect {
	m.effects = m.effects[:0]
	if view.Version < m.TableVersion() {
		return m.effects
	}
	m.history.install(now, view)
	m.reviewAsks(now)
	m.yieldToNewPrimaries()
	m.resumePendingVersions(now)
	return m.effects
}

// RenewLease extends the lease until the given time.
func (m *Machine) RenewLease(now, until time.Duration) {
	if now >= m.leaseUntil {
		m.leaseResumed = now
	}
	if until > m.leaseUntil {
		m.leaseUntil = until
	}
}

// Leave stops this row from opening flows; established ones continue.
func (m *Machine) Leave() { m.leaving = true }

func (m *Machine) holdsLease(now time.Duration) bool { return now < m.leaseUntil }

// resumed reports whether the lease was interrupted so recently that packets
// handed over before may still arrive.
func (m *Machine) resumed(now time.Duration) bool {
	return now < m.leaseResumed+m.config.LeaseDuration
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) drop(reason DropReason, packet Packet) {
	m.emit(Effect{Kind: Drop, Reason: reason, Packet: packet})
}

func (m *Machine) forward(to table.BackendID, handedOver bool, packet Packet) {
	if packet.Routing.Hops >= hopLimit {
		m.drop(DropHopLimit, packet)
		return
	}
	packet.Routing.Hops++
	packet.Routing.HandedOver = handedOver
	if version := m.TableVersion(); version > packet.Routing.Version {
		packet.Routing.Version = version
	}
	m.emit(Effect{Kind: Forward, To: to, Packet: packet})
}

// available reports whether this row can take one more flow.
func (m *Machine) available() bool {
	if m.leaving || m.history.current == nil {
		return false
	}
	row, exists := m.history.current.view.row(m.config.Row)
	if !exists || !row.AcceptsNewFlows() {
		return false
	}
	return row.ConnectionLimit == 0 || m.open < row.ConnectionLimit
}

// OpenFlowSequence returns the initial sequence number of a flow that is open at this
// row.
func (m *Machine) OpenFlowSequence(key FlowKey) (sequence uint32, open bool) {
	known, exists := m.flows[key]
	return known.sequence, exists && known.state == stateOpen
}

// FlowLingering tells the machine that an open flow, with the given initial sequence
// number, has ended, while its transport still answers the caller's last
// segments. It no longer counts against the connection limit.
func (m *Machine) FlowLingering(now time.Duration, key FlowKey, sequence uint32) {
	m.end(now, key, sequence, stateLingering)
}

// FlowClosed tells the machine that the transport of a flow is gone.
func (m *Machine) FlowClosed(now time.Duration, key FlowKey, sequence uint32) {
	m.end(now, key, sequence, stateClosed)
}

// FlowRefused tells the machine that a flow it delivered was refused before its
// handshake completed, for instance because the back end did not accept it.
func (m *Machine) FlowRefused(now time.Duration, key FlowKey, sequence uint32) {
	m.end(now, key, sequence, stateRefused)
}

func (m *Machine) end(now time.Duration, key FlowKey, sequence uint32, state flowState) {
	known, exists := m.flows[key]
	local := known.state == stateOpen || known.state == stateLingering
	if !exists || !local || known.sequence != sequence {
		return
	}
	if known.state == stateOpen {
		m.open--
	}
	known.state = state
	known.expires = now + m.config.ClosedRetention
	m.flows[key] = known
}

// ForgetFlow tells the machine that an ended flow needs no remembering, as for UDP
// after its idle time.
func (m *Machine) ForgetFlow(key FlowKey) {
	known, exists := m.flows[key]
	if !exists {
		return
	}
	if known.state == stateOpen {
		m.open--
	}
	delete(m.flows, key)
}

// Tick handles timeouts. The returned effects are valid until the next call.
func (m *Machine) Tick(now time.Duration) []Effect {
	m.effects = m.effects[:0]
	for _, key := range m.pendingKeys() {
		m.tickPending(now, key)
	}
	if now >= m.nextSweep {
		m.sweep(now)
		m.nextSweep = now + sweepInterval
	}
	return m.effects
}

func (m *Machine) sweep(now time.Duration) {
	for key, known := range m.flows {
		if known.state != stateOpen && known.expires <= now {
			delete(m.flows, key)
		}
	}
}
