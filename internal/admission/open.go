package admission

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

// beginOpen starts the decision about a new flow. It queries every row that might
// own the flow, and the second choice for its load. If there is no row to query,
// it opens the flow at once.
func (m *Machine) beginOpen(now time.Duration, key FlowKey, hash uint64, packet Packet) {
	if len(m.pending) >= m.config.PendingLimit {
		m.dropPacket(DropPendingLimit, packet)
		return
	}
	pending := &pendingFlow{
		sequence:    packet.sequence(),
		purpose:     PurposeOpen,
		hash:        hash,
		started:     now,
		heldPackets: []Packet{packet},
	}
	m.queryPossibleOpeners(now, pending)
	m.queryRememberedOwner(now, key, pending)
	m.queryLoad(now, pending)
	if len(pending.queries) == 0 {
		m.concludeOpen(now, key, pending)
		return
	}
	m.pending[key] = pending
	m.sendQueries(now, key, pending)
}

// queryPossibleOpeners adds queries to all rows of the service if the view changed or
// the lease resumed less than RetransmissionTimeout ago. Any of the rows may have
// been primary of the flow's slot, perhaps in a view that this row never received.
// During the first LeaseDuration such a row may still hold a lease, so the
// decision waits until that lease must have ended. Later the row can no longer
// open the flow, but it may have opened it already for a caller whose
// retransmissions are still arriving.
func (m *Machine) queryPossibleOpeners(now time.Duration, pending *pendingFlow) {
	since := max(m.leaseResumedAt, m.history.changedAt)
	if now >= since+m.config.RetransmissionTimeout {
		return
	}
	wait := m.config.LocateTimeout
	if now < since+m.config.LeaseDuration {
		wait = m.config.LeaseDuration
	}
	for _, row := range m.history.current.view.Rows {
		m.addQuery(now, pending, row.ID, true, now+wait)
	}
}

// queryRememberedOwner adds a query to the row that owned an earlier flow with the
// same key.
// The caller may be reusing a port whose earlier flow is still open there.
func (m *Machine) queryRememberedOwner(now time.Duration, key FlowKey, pending *pendingFlow) {
	record, exists := m.flows[key]
	if exists && record.state == flowRemote && m.history.current.view.consideredAlive(record.owner) {
		m.addQuery(now, pending, record.owner, true, now+m.config.LeaseDuration)
	}
}

// queryLoad adds a query for the load of the second choice, or of every candidate if
// this row cannot take the flow.
func (m *Machine) queryLoad(now time.Duration, pending *pendingFlow) {
	deadline := now + m.config.LoadTimeout
	if !m.canOpenFlow() {
		m.queryAllCandidates(now, pending)
		return
	}
	second, exists := m.history.current.secondChoice(pending.hash, m.config.Row)
	if exists {
		m.addQuery(now, pending, second, false, deadline)
	}
}

// queryAllCandidates adds queries to all other rows that accept new flows and whose
// agents are neither down nor stopping. The wait is longer than in queryLoad,
// because the flow cannot be opened unless one of these rows answers.
func (m *Machine) queryAllCandidates(now time.Duration, pending *pendingFlow) {
	pending.queriedAll = true
	view := &m.history.current.view
	for _, row := range view.Rows {
		if row.AcceptsNewFlows() && view.mayTakeNewFlows(row.ID) {
			m.addQuery(now, pending, row.ID, false, now+m.config.LocateTimeout)
		}
	}
}

// shortenWaitsForDownRows shortens the wait for rows whose lease is now known to
// have ended.
func (m *Machine) shortenWaitsForDownRows(now time.Duration) {
	view := &m.history.current.view
	for _, pending := range m.pending {
		for index := range pending.queries {
			query := &pending.queries[index]
			if view.consideredAlive(query.row) || query.consideredDown {
				continue
			}
			query.consideredDown = true
			query.deadline = min(query.deadline, now+m.config.LoadTimeout)
		}
		if pending.awaitsRetransmission && !pending.requiredRowSilent() {
			pending.awaitsRetransmission = false
		}
	}
}

// forwardToNewPrimaries forwards each undecided flow whose hash slot now has another
// primary row to that row. The new primary will query this row.
func (m *Machine) forwardToNewPrimaries() {
	for _, key := range m.pendingKeys() {
		pending := m.pending[key]
		if pending.purpose != PurposeOpen || pending.awaitedVersion != 0 {
			continue
		}
		primary, exists := m.history.current.primary(pending.hash)
		if !exists || primary == m.config.Row {
			continue
		}
		m.discardPending(key)
		m.forwardPacket(primary, false, pending.heldPackets[0])
	}
}

// addQuery adds a query to a row, unless it is this row or is queried already. The
// wait for a row that is considered down is short.
func (m *Machine) addQuery(now time.Duration, pending *pendingFlow, row table.BackendID, required bool, deadline time.Duration) {
	if row == m.config.Row || pending.queryTo(row) != nil {
		return
	}
	down := !m.history.current.view.consideredAlive(row)
	if down {
		deadline = min(deadline, now+m.config.LoadTimeout)
	}
	pending.queries = append(pending.queries, peerQuery{row: row, required: required, consideredDown: down, deadline: deadline})
}

// sendQueries sends every query that is neither answered nor expired, and sets the
// time of the next repetition. The interval doubles each time, because rows may be
// in another region.
func (m *Machine) sendQueries(now time.Duration, key FlowKey, pending *pendingFlow) {
	pending.resendInterval = min(max(2*pending.resendInterval, m.config.ResendInterval), maxResendInterval)
	pending.resendAt = now + pending.resendInterval
	for index := range pending.queries {
		if pending.queries[index].done() {
			continue
		}
		to := pending.queries[index].row
		m.emit(Effect{Kind: SendMessage, To: to, Message: Message{
			From:  m.config.Row,
			To:    to,
			Query: &Query{Flow: key, Sequence: pending.sequence, Purpose: pending.purpose},
		}})
	}
}

// concludeOpen opens the flow at this row, hands it over, queries the remaining
// candidates, or refuses the flow.
func (m *Machine) concludeOpen(now time.Duration, key FlowKey, pending *pendingFlow) {
	delete(m.pending, key)
	first := pending.heldPackets[0]
	if !m.holdsLease(now) {
		m.dropPacket(DropNoLease, first)
		return
	}
	owner, found := m.chooseOwner(pending)
	switch {
	case found && owner == m.config.Row:
		m.openLocally(key, pending.sequence, first)
		m.deliverHeld(pending.heldPackets[1:])
	case found:
		m.assignToRemote(now, key, pending, owner, true)
	case !pending.queriedAll:
		m.queryAllCandidates(now, pending)
		m.pending[key] = pending
		m.sendQueries(now, key, pending)
		m.concludeIfDone(now, key, pending)
	case pending.liveRowUnanswered():
		// A row that did not answer may be able to take the flow. The caller's
		// retransmission starts the decision again.
		m.dropPacket(DropNoAnswer, first)
	default:
		m.refuseNewFlow(now, key, first)
	}
}

// chooseOwner returns the least loaded of this row and the rows that answered. It
// returns false if none of them can take the flow. The load of a row is its number
// of open flows, including this one, divided by its weight. HandoverMargin is added
// to the open flows of a row that is compared with this row.
func (m *Machine) chooseOwner(pending *pendingFlow) (table.BackendID, bool) {
	view := &m.history.current.view
	var best table.BackendID
	var bestLoad uint64
	var bestWeight uint64
	if self, exists := view.row(m.config.Row); exists && m.canOpenFlow() {
		best = self.ID
		bestLoad = uint64(m.openFlows) + 1
		bestWeight = uint64(self.Weight)
	}
	margin := uint64(m.config.HandoverMargin)
	for _, query := range pending.queries {
		row, exists := view.row(query.row)
		if !exists || !query.answered || !query.available || !row.AcceptsNewFlows() {
			continue
		}
		load := uint64(query.openFlows) + 1
		if best == m.config.Row {
			load += margin
		}
		if best == 0 || load*bestWeight < bestLoad*uint64(row.Weight) {
			best = row.ID
			bestLoad = load
			bestWeight = uint64(row.Weight)
		}
	}
	return best, best != 0
}

func (m *Machine) deliverHeld(held []Packet) {
	for _, packet := range held {
		m.emit(Effect{Kind: Deliver, Packet: packet})
	}
}

// assignToRemote records another row as the owner of the flow and forwards the
// held packets to it.
func (m *Machine) assignToRemote(now time.Duration, key FlowKey, pending *pendingFlow, owner table.BackendID, handedOver bool) {
	if _, remembered := m.flows[key]; remembered || len(m.flows) < m.config.FlowLimit {
		m.flows[key] = flowRecord{
			state:      flowRemote,
			sequence:   pending.sequence,
			owner:      owner,
			handedOver: handedOver,
			expires:    now + m.config.RemoteRetention,
		}
	}
	for _, packet := range pending.heldPackets {
		m.forwardPacket(owner, handedOver && packet.opensFlow(), packet)
	}
}

// awaitVersion requests the newest table and holds the first packet of a flow
// until the given table version is installed.
func (m *Machine) awaitVersion(now time.Duration, key FlowKey, version table.Version, packet Packet) {
	m.emit(Effect{Kind: RefreshTable})
	if len(m.pending) >= m.config.PendingLimit {
		m.dropPacket(DropPendingLimit, packet)
		return
	}
	m.pending[key] = &pendingFlow{
		sequence:       packet.sequence(),
		purpose:        PurposeOpen,
		started:        now,
		awaitedVersion: version,
		heldPackets:    []Packet{packet},
	}
}

// resumeAwaitingVersion resumes the decisions that waited for the table version
// that has just been installed.
func (m *Machine) resumeAwaitingVersion(now time.Duration) {
	for _, key := range m.pendingKeys() {
		pending := m.pending[key]
		if pending.awaitedVersion == 0 || pending.awaitedVersion > m.TableVersion() {
			continue
		}
		delete(m.pending, key)
		m.handleNew(now, key, pending.heldPackets[0])
	}
}

// pendingKeys returns the keys of the undecided flows in ascending order, so that
// the machine stays deterministic.
func (m *Machine) pendingKeys() []FlowKey {
	if len(m.pending) == 0 {
		return nil
	}
	keys := make([]FlowKey, 0, len(m.pending))
	for key := range m.pending {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// discardPending removes an undecided flow.
func (m *Machine) discardPending(key FlowKey) {
	pending, exists := m.pending[key]
	if !exists {
		return
	}
	if pending.purpose == PurposeLocate {
		m.activeSearches--
	}
	delete(m.pending, key)
}

// tickPending handles the timeouts of one undecided flow.
func (m *Machine) tickPending(now time.Duration, key FlowKey) {
	pending := m.pending[key]
	if pending.awaitedVersion != 0 {
		if now >= pending.started+m.config.VersionTimeout {
			m.discardPending(key)
			m.dropPacket(DropNoLease, pending.heldPackets[0])
		}
		return
	}
	if pending.awaitsRetransmission {
		if now >= pending.started+m.config.RetransmissionTimeout {
			m.discardPending(key)
			m.dropPacket(DropUnknownFlow, pending.heldPackets[0])
		}
		return
	}
	for index := range pending.queries {
		query := &pending.queries[index]
		if !query.answered && now >= query.deadline {
			query.expired = true
		}
	}
	if m.concludeIfDone(now, key, pending) {
		return
	}
	if now >= pending.resendAt {
		m.sendQueries(now, key, pending)
	}
}

// concludeIfDone concludes the decision or search if every query was answered or
// has expired, and reports whether that is the case. If a required row has not
// answered, the decision waits for the caller's retransmission instead.
func (m *Machine) concludeIfDone(now time.Duration, key FlowKey, pending *pendingFlow) bool {
	if !pending.allDone() {
		return false
	}
	if pending.purpose == PurposeLocate {
		m.concludeLocate(now, key, pending)
		return true
	}
	if pending.requiredRowSilent() {
		pending.awaitsRetransmission = true
		return true
	}
	m.concludeOpen(now, key, pending)
	return true
}
