package admission

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

// Config holds the parameters of a Machine. All durations are positive.
type Config struct {
	// Row is the table row for which the machine decides.
	Row table.BackendID
	// LeaseDuration is the longest time for which a row may open flows without
	// a renewal of its lease by a daemon.
	LeaseDuration time.Duration
	// LoadTimeout bounds the wait for the load of another row. It also bounds
	// the wait for any answer from a row that View.Down lists.
	LoadTimeout time.Duration
	// ResendInterval is the time after which a query is first repeated. The
	// interval doubles with each repetition.
	ResendInterval time.Duration
	// LocateTimeout bounds the search for the owner of an unknown flow.
	LocateTimeout time.Duration
	// VersionTimeout bounds the wait for a newer table version.
	VersionTimeout time.Duration
	// RetransmissionTimeout is how long callers retransmit the first packet
	// of a flow if they receive no answer.
	RetransmissionTimeout time.Duration
	// ClosedRetention is how long an ended or refused flow is remembered.
	ClosedRetention time.Duration
	// RemoteRetention is how long the owner of a flow of another row is
	// remembered after the flow's last packet.
	RemoteRetention time.Duration
	// HandoverMargin is added to the number of open flows of another row when
	// the loads of that row and this row are compared. This row hands a new flow
	// over to a row of the same weight only if it has more open flows than that
	// row and the difference exceeds HandoverMargin.
	HandoverMargin uint32
	// FlowLimit is the largest number of remembered flows, including those
	// that have ended.
	FlowLimit int
	// PendingLimit is the largest number of undecided flows.
	PendingLimit int
	// LocateLimit is the largest number of concurrent searches for owners of
	// unknown flows.
	LocateLimit int
	// Stateless disables queries: the machine opens every new flow where its
	// first packet arrives and refuses unknown flows. Experiments use it
	// as the baseline without queries (their negative control).
	Stateless bool
}

// DefaultConfig returns the default parameters of a machine for the given row.
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
	// hopLimit bounds how often a packet is forwarded between rows.
	hopLimit = 4
	// roundTripHops is the number of hops of a packet that was forwarded to
	// another row and came back.
	roundTripHops = 2
	// maxResendInterval bounds the doubled interval between queries.
	maxResendInterval = 256 * time.Millisecond
	// maxHeldPackets bounds the packets that are kept for one undecided
	// flow.
	maxHeldPackets = 4
	// tickInterval is the longest interval at which Tick should be called. It is
	// half of ResendInterval, the shortest default timeout.
	tickInterval = 4 * time.Millisecond
	// sweepInterval is the time between removals of expired flow records.
	sweepInterval = time.Second
)

// TickInterval returns the interval at which Tick should be called.
func TickInterval() time.Duration { return tickInterval }

// Machine decides about the flows of one table row. It is not safe for
// concurrent use.
type Machine struct {
	config     Config
	history    viewHistory
	leaseUntil time.Duration
	// leaseResumedAt is the time of the latest renewal at which this row held no
	// lease.
	leaseResumedAt time.Duration
	leaving        bool
	flows          map[FlowKey]flowRecord
	pending        map[FlowKey]*pendingFlow
	// activeSearches is the number of pending flows with PurposeLocate.
	activeSearches int
	openFlows      uint32
	nextSweep      time.Duration
	effects        []Effect
}

// New returns a machine that has no view and no lease. It opens no flow before
// InstallView and RenewLease have been called.
func New(config Config) *Machine {
	return &Machine{
		config:  config,
		flows:   make(map[FlowKey]flowRecord),
		pending: make(map[FlowKey]*pendingFlow),
	}
}

// OpenFlows returns the number of flows that are open at this row.
func (m *Machine) OpenFlows() uint32 { return m.openFlows }

// RememberedFlows returns the number of flow records, including those of flows
// that another row owns (flowRemote) or is about to open (flowFenced), and of
// refused and ended flows.
func (m *Machine) RememberedFlows() int { return len(m.flows) }

// UndecidedFlows returns the number of flows whose owner is being decided or
// located.
func (m *Machine) UndecidedFlows() int { return len(m.pending) }

// TableVersion returns the table version in use. It is 0 before the first view.
func (m *Machine) TableVersion() table.Version {
	if m.history.current == nil {
		return 0
	}
	return m.history.current.view.Version
}

// InstallView makes view the current one. A view with an older version than the
// current one is ignored. The returned effects are valid until the next call.
func (m *Machine) InstallView(now time.Duration, view View) []Effect {
	m.effects = m.effects[:0]
	if view.Version < m.TableVersion() {
		return m.effects
	}
	m.history.install(now, view)
	m.shortenWaitsForDownRows(now)
	m.forwardToNewPrimaries()
	m.resumeAwaitingVersion(now)
	return m.effects
}

// RenewLease extends the lease until the given time.
func (m *Machine) RenewLease(now, until time.Duration) {
	if now >= m.leaseUntil {
		m.leaseResumedAt = now
	}
	if until > m.leaseUntil {
		m.leaseUntil = until
	}
}

// Leave stops this row from opening flows. Open flows continue.
func (m *Machine) Leave() { m.leaving = true }

func (m *Machine) holdsLease(now time.Duration) bool { return now < m.leaseUntil }

// leaseRecentlyResumed reports whether the lease was interrupted so recently
// that packets handed over before the interruption may still arrive.
func (m *Machine) leaseRecentlyResumed(now time.Duration) bool {
	return now < m.leaseResumedAt+m.config.LeaseDuration
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) dropPacket(reason DropReason, packet Packet) {
	m.emit(Effect{Kind: Drop, Reason: reason, Packet: packet})
}

// forwardPacket forwards the packet to another row. It raises the table version in
// the packet to the version of this row if that is newer. It drops a packet that has
// reached hopLimit.
func (m *Machine) forwardPacket(to table.BackendID, handedOver bool, packet Packet) {
	if packet.Routing.Hops >= hopLimit {
		m.dropPacket(DropHopLimit, packet)
		return
	}
	packet.Routing.Hops++
	packet.Routing.HandedOver = handedOver
	if version := m.TableVersion(); version > packet.Routing.Version {
		packet.Routing.Version = version
	}
	m.emit(Effect{Kind: Forward, To: to, Packet: packet})
}

// canOpenFlow reports whether this row can open another flow.
func (m *Machine) canOpenFlow() bool {
	if m.leaving || m.history.current == nil {
		return false
	}
	row, exists := m.history.current.view.row(m.config.Row)
	if !exists || !row.AcceptsNewFlows() {
		return false
	}
	return row.ConnectionLimit == 0 || m.openFlows < row.ConnectionLimit
}

// OpenFlowSequence returns the initial sequence number of a flow, and whether
// the flow is open at this row.
func (m *Machine) OpenFlowSequence(key FlowKey) (sequence uint32, open bool) {
	record, exists := m.flows[key]
	return record.sequence, exists && record.state == flowOpen
}

// FlowLingering records that an open flow has ended but its transport endpoint still
// exists, to answer the last segments of the caller. The call has no effect if the
// initial sequence number of the flow differs. The flow no longer counts against the
// connection limit.
func (m *Machine) FlowLingering(now time.Duration, key FlowKey, sequence uint32) {
	m.endFlow(now, key, sequence, flowLingering)
}

// FlowClosed records that a flow has ended and its transport endpoint is gone.
func (m *Machine) FlowClosed(now time.Duration, key FlowKey, sequence uint32) {
	m.endFlow(now, key, sequence, flowClosed)
}

// FlowRefused records that a delivered flow was refused before its handshake
// completed, for instance because the back end did not accept the connection.
func (m *Machine) FlowRefused(now time.Duration, key FlowKey, sequence uint32) {
	m.endFlow(now, key, sequence, flowRefused)
}

// endFlow moves a flow of this row to the given state if the sequence number
// matches.
func (m *Machine) endFlow(now time.Duration, key FlowKey, sequence uint32, state flowState) {
	record, exists := m.flows[key]
	local := record.state == flowOpen || record.state == flowLingering
	if !exists || !local || record.sequence != sequence {
		return
	}
	if record.state == flowOpen {
		m.openFlows--
	}
	record.state = state
	record.expires = now + m.config.ClosedRetention
	m.flows[key] = record
}

// ForgetFlow removes the record of a flow that has ended, without keeping it for
// ClosedRetention. It is used for UDP flows, for example after their idle timeout. An
// open flow no longer counts against the connection limit.
func (m *Machine) ForgetFlow(key FlowKey) {
	record, exists := m.flows[key]
	if !exists {
		return
	}
	if record.state == flowOpen {
		m.openFlows--
	}
	delete(m.flows, key)
}

// Tick handles the timeouts that are due. The returned effects are valid until
// the next call.
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

// sweep removes the flow records that have expired. Records of open flows do not expire.
func (m *Machine) sweep(now time.Duration) {
	for key, record := range m.flows {
		if record.state != flowOpen && record.expires <= now {
			delete(m.flows, key)
		}
	}
}
