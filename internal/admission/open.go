package admission

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

// beginOpen asks every row that might own the flow, and the second candidate
// for its load, or opens the flow at once if there is nobody to ask.
func (m *Machine) beginOpen(now time.Duration, key FlowKey, hash uint64, packet Packet) {
	if len(m.pending) >= m.config.PendingLimit {
		m.drop(DropPendingLimit, packet)
		return
	}
	undecided := &pending{
		sequence: packet.sequence(),
		purpose:  PurposeOpen,
		hash:     hash,
		started:  now,
		held:     []Packet{packet},
	}
	m.askEarlierHolders(now, undecided)
	m.askEarlierOwner(now, key, undecided)
	m.askForLoad(now, undecided)
	if len(undecided.asks) == 0 {
		m.concludeOpen(now, key, undecided)
		return
	}
	m.pending[key] = undecided
	m.sendQueries(now, key, undecided)
}

// askEarlierHolders adds, for some time after a change of the view or an
// interruption of the lease, every row of the service: any of them may have been
// primary of the flow's slot, in a view that this row may not even have seen.
// While one of them may still hold a lease it is waited for until that must have
// ended; later it cannot open the flow any more, but may have opened it for a
// caller whose retransmissions are still under way.
func (m *Machine) askEarlierHolders(now time.Duration, undecided *pending) {
	since := max(m.leaseResumed, m.history.changed)
	if now >= since+m.config.RetransmissionTimeout {
		return
	}
	wait := m.config.LocateTimeout
	if now < since+m.config.LeaseDuration {
		wait = m.config.LeaseDuration
	}
	for _, row := range m.history.current.view.Rows {
		m.addAsk(now, undecided, row.ID, true, now+wait)
	}
}

// askEarlierOwner adds the row to which an earlier flow with the same key
// belonged: the caller may be reusing a port whose flow is still open there.
func (m *Machine) askEarlierOwner(now time.Duration, key FlowKey, undecided *pending) {
	known, exists := m.flows[key]
	if exists && known.state == stateRemote && m.history.current.view.alive(known.owner) {
		m.addAsk(now, undecided, known.owner, true, now+m.config.LeaseDuration)
	}
}

// askForLoad adds the second candidate, or every row if this one cannot take
// the flow.
func (m *Machine) askForLoad(now time.Duration, undecided *pending) {
	deadline := now + m.config.LoadTimeout
	if !m.available() {
		m.askAll(now, undecided)
		return
	}
	second, exists := m.history.current.second(undecided.hash, m.config.Row)
	if exists {
		m.addAsk(now, undecided, second, false, deadline)
	}
}

// askAll adds every other row that accepts new flows and is alive. It waits for
// them longer than for a load, since the flow would otherwise be refused.
func (m *Machine) askAll(now time.Duration, undecided *pending) {
	undecided.askedAll = true
	view := &m.history.current.view
	for _, row := range view.Rows {
		if row.AcceptsNewFlows() && view.candidate(row.ID) {
			m.addAsk(now, undecided, row.ID, false, now+m.config.LocateTimeout)
		}
	}
}

// reviewAsks shortens the wait for rows that are now believed not to be alive:
// their lease has ended.
func (m *Machine) reviewAsks(now time.Duration) {
	view := &m.history.current.view
	for _, undecided := range m.pending {
		for index := range undecided.asks {
			asked := &undecided.asks[index]
			if view.alive(asked.row) || asked.down {
				continue
			}
			asked.down = true
			asked.deadline = min(asked.deadline, now+m.config.LoadTimeout)
		}
		if undecided.retransmission && !undecided.silent() {
			undecided.retransmission = false
		}
	}
}

// yieldToNewPrimaries passes the undecided flows whose slot has moved on to its
// new primary, which will ask this row.
func (m *Machine) yieldToNewPrimaries() {
	for _, key := range m.pendingKeys() {
		undecided := m.pending[key]
		if undecided.purpose != PurposeOpen || undecided.behind != 0 {
			continue
		}
		primary, exists := m.history.current.primary(undecided.hash)
		if !exists || primary == m.config.Row {
			continue
		}
		m.abandon(key)
		m.forward(primary, false, undecided.held[0])
	}
}

// addAsk adds a row unless it is this one or is asked already. A row that is
// believed not to be alive is waited for only briefly.
func (m *Machine) addAsk(now time.Duration, undecided *pending, row table.BackendID, required bool, deadline time.Duration) {
	if row == m.config.Row || undecided.ask(row) != nil {
		return
	}
	down := !m.history.current.view.alive(row)
	if down {
		deadline = min(deadline, now+m.config.LoadTimeout)
	}
	undecided.asks = append(undecided.asks, ask{row: row, required: required, down: down, deadline: deadline})
}

// sendQueries sends the query of every unsettled ask, and sets when to repeat
// them: the interval doubles, since rows may be a region away.
func (m *Machine) sendQueries(now time.Duration, key FlowKey, undecided *pending) {
	undecided.interval = min(max(2*undecided.interval, m.config.ResendInterval), maximumResendInterval)
	undecided.resend = now + undecided.interval
	for index := range undecided.asks {
		if undecided.asks[index].settled() {
			continue
		}
		to := undecided.asks[index].row
		m.emit(Effect{Kind: SendMessage, To: to, Message: Message{
			From:  m.config.Row,
			To:    to,
			Query: &Query{Flow: key, Sequence: undecided.sequence, Purpose: undecided.purpose},
		}})
	}
}

// concludeOpen opens the flow here, hands it over, or refuses it.
func (m *Machine) concludeOpen(now time.Duration, key FlowKey, undecided *pending) {
	delete(m.pending, key)
	first := undecided.held[0]
	if !m.holdsLease(now) {
		m.drop(DropNoLease, first)
		return
	}
	owner, found := m.choose(undecided)
	switch {
	case found && owner == m.config.Row:
		m.openLocally(key, undecided.sequence, first)
		m.deliverHeld(undecided.held[1:])
	case found:
		m.becomeRemote(now, key, undecided, owner, true)
	case !undecided.askedAll:
		m.askAll(now, undecided)
		m.pending[key] = undecided
		m.sendQueries(now, key, undecided)
		m.concludeIfSettled(now, key, undecided)
	case undecided.awaitsAnswer():
		// A row that did not answer may have room. The caller's retransmission
		// brings the flow back.
		m.drop(DropNoAnswer, first)
	default:
		m.refuseNew(now, key, first)
	}
}

// choose returns the less loaded of this row and those that answered. Loads
// are compared per weight, with the flow in question counted.
func (m *Machine) choose(undecided *pending) (table.BackendID, bool) {
	view := &m.history.current.view
	var best table.BackendID
	var bestLoad uint64
	var bestWeight uint64
	if self, exists := view.row(m.config.Row); exists && m.available() {
		best = self.ID
		bestLoad = uint64(m.open) + 1
		bestWeight = uint64(self.Weight)
	}
	margin := uint64(m.config.HandoverMargin)
	for _, asked := range undecided.asks {
		row, exists := view.row(asked.row)
		if !exists || !asked.answered || !asked.available || !row.AcceptsNewFlows() {
			continue
		}
		load := uint64(asked.open) + 1
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

// becomeRemote remembers the owner of a flow and passes the held packets on.
func (m *Machine) becomeRemote(now time.Duration, key FlowKey, undecided *pending, owner table.BackendID, handedOver bool) {
	if _, known := m.flows[key]; known || len(m.flows) < m.config.FlowLimit {
		m.flows[key] = flow{
			state:      stateRemote,
			sequence:   undecided.sequence,
			owner:      owner,
			handedOver: handedOver,
			expires:    now + m.config.RemoteRetention,
		}
	}
	for _, packet := range undecided.held {
		m.forward(owner, handedOver && packet.opensFlow(), packet)
	}
}

// awaitVersion holds the first packet of a flow until a table version has
// arrived here.
func (m *Machine) awaitVersion(now time.Duration, key FlowKey, version table.Version, packet Packet) {
	m.emit(Effect{Kind: RefreshTable})
	if len(m.pending) >= m.config.PendingLimit {
		m.drop(DropPendingLimit, packet)
		return
	}
	m.pending[key] = &pending{
		sequence: packet.sequence(),
		purpose:  PurposeOpen,
		started:  now,
		behind:   version,
		held:     []Packet{packet},
	}
}

// resumePendingVersions takes up the flows that waited for the view that has
// just been installed.
func (m *Machine) resumePendingVersions(now time.Duration) {
	for _, key := range m.pendingKeys() {
		undecided := m.pending[key]
		if undecided.behind == 0 || undecided.behind > m.TableVersion() {
			continue
		}
		delete(m.pending, key)
		m.arriveNew(now, key, undecided.held[0])
	}
}

// pendingKeys returns the undecided flows in a fixed order.
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

// abandon forgets an undecided flow.
func (m *Machine) abandon(key FlowKey) {
	undecided, exists := m.pending[key]
	if !exists {
		return
	}
	if undecided.purpose == PurposeLocate {
		m.locating--
	}
	delete(m.pending, key)
}

// tickPending handles the timeouts of one undecided flow.
func (m *Machine) tickPending(now time.Duration, key FlowKey) {
	undecided := m.pending[key]
	if undecided.behind != 0 {
		if now >= undecided.started+m.config.VersionTimeout {
			m.abandon(key)
			m.drop(DropNoLease, undecided.held[0])
		}
		return
	}
	if undecided.retransmission {
		if now >= undecided.started+m.config.RetransmissionTimeout {
			m.abandon(key)
			m.drop(DropUnknownFlow, undecided.held[0])
		}
		return
	}
	for index := range undecided.asks {
		asked := &undecided.asks[index]
		if !asked.answered && now >= asked.deadline {
			asked.expired = true
		}
	}
	if m.concludeIfSettled(now, key, undecided) {
		return
	}
	if now >= undecided.resend {
		m.sendQueries(now, key, undecided)
	}
}

// concludeIfSettled ends the decision once every ask has been answered or has
// expired.
func (m *Machine) concludeIfSettled(now time.Duration, key FlowKey, undecided *pending) bool {
	if !undecided.settled() {
		return false
	}
	if undecided.purpose == PurposeLocate {
		m.concludeLocate(now, key, undecided)
		return true
	}
	if undecided.silent() {
		undecided.retransmission = true
		return true
	}
	m.concludeOpen(now, key, undecided)
	return true
}
