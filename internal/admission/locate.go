package admission

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

// queryAllRowsLimit is the largest number of rows for which a search queries all
// rows at once. In larger services a search begins with the rows that are or were
// primary of the slot.
const queryAllRowsLimit = 16

// locate starts a search for the owner of a flow that this row has no record of.
func (m *Machine) locate(now time.Duration, key FlowKey, packet Packet) {
	switch {
	case m.config.Stateless:
		m.refusePacket(packet)
		return
	case packet.Summary.Reset:
		m.dropPacket(DropUnknownFlow, packet)
		return
	case m.history.current == nil:
		m.dropPacket(DropNoLease, packet)
		return
	case m.activeSearches >= m.config.LocateLimit || len(m.pending) >= m.config.PendingLimit:
		m.dropPacket(DropQueryLimit, packet)
		return
	}
	pending := &pendingFlow{
		purpose:     PurposeLocate,
		hash:        packet.Summary.Flow.Hash(),
		started:     now,
		heldPackets: []Packet{packet},
	}
	m.activeSearches++
	m.pending[key] = pending
	m.queryLikelyOwners(now, pending)
	m.sendQueries(now, key, pending)
	m.concludeIfDone(now, key, pending)
}

// queryLikelyOwners adds queries to the rows that are or were primary of the flow's
// slot, and to the row to which this row would have handed the flow over. In a
// small service it adds queries to all rows.
func (m *Machine) queryLikelyOwners(now time.Duration, pending *pendingFlow) {
	if len(m.history.current.view.Rows) <= queryAllRowsLimit {
		m.queryAllRows(now, pending)
		return
	}
	deadline := now + m.config.LocateTimeout
	for _, previous := range m.history.previousPrimaries(pending.hash, m.config.Row) {
		m.addQuery(now, pending, previous, true, deadline)
	}
	if primary, exists := m.history.current.primary(pending.hash); exists {
		m.addQuery(now, pending, primary, true, deadline)
	}
	if second, exists := m.history.current.secondChoice(pending.hash, m.config.Row); exists {
		m.addQuery(now, pending, second, true, deadline)
	}
}

// queryAllRows adds queries to all rows of the service, including drained and
// removed rows, which may still own flows.
func (m *Machine) queryAllRows(now time.Duration, pending *pendingFlow) {
	pending.queriedAll = true
	for _, row := range m.history.current.view.Rows {
		m.addQuery(now, pending, row.ID, true, now+m.config.LocateTimeout)
	}
}

// concludeLocate ends a search in which no row claimed the flow. If only the
// likely owners were queried, it queries the remaining rows. The caller is sent a
// reset only if all rows denied the flow, and this row holds a lease and a table at
// least as new as the one used for the packet.
func (m *Machine) concludeLocate(now time.Duration, key FlowKey, pending *pendingFlow) {
	if !pending.queriedAll {
		m.queryAllRows(now, pending)
		m.sendQueries(now, key, pending)
		if !pending.allDone() {
			return
		}
	}
	m.discardPending(key)
	first := pending.heldPackets[0]
	current := m.holdsLease(now) && first.Routing.Version <= m.TableVersion()
	if !current || !pending.allAnswered() {
		m.dropPacket(DropUnknownFlow, first)
		return
	}
	m.refusePacket(first)
}

// HandleMessage handles a message from another row. The returned effects are valid
// until the next call.
func (m *Machine) HandleMessage(now time.Duration, message Message) []Effect {
	m.effects = m.effects[:0]
	if !m.hasRow(message.From) {
		// The table in use is old or the message is forged. This row must not
		// promise anything to a row that is not in its table.
		m.emit(Effect{Kind: RefreshTable})
		return m.effects
	}
	switch {
	case message.Query != nil:
		m.handleQuery(now, message.From, *message.Query)
	case message.Reply != nil:
		m.handleReply(now, message.From, *message.Reply)
	}
	return m.effects
}

// handleQuery replies to a query. The reply "unknown" to a row that is about to
// open the flow is a promise, which is recorded as a fence.
func (m *Machine) handleQuery(now time.Duration, from table.BackendID, query Query) {
	reply := Reply{
		Flow:      query.Flow,
		Sequence:  query.Sequence,
		Purpose:   query.Purpose,
		Open:      m.openFlows,
		Available: m.canOpenFlow() && !m.leaseRecentlyResumed(now),
	}
	reply.Answer, reply.Owner = m.lookUpAnswer(now, from, query)
	if reply.Answer == AnswerUnknown && query.Purpose == PurposeOpen {
		m.fence(now, from, query)
	}
	m.emit(Effect{Kind: SendMessage, To: from, Message: Message{From: m.config.Row, To: from, Reply: &reply}})
}

// lookUpAnswer returns what this row has recorded about the flow in a query.
func (m *Machine) lookUpAnswer(now time.Duration, from table.BackendID, query Query) (Answer, table.BackendID) {
	record, exists := m.flows[query.Flow]
	if exists {
		answer, owner := m.answerFromRecord(now, from, query, record)
		if answer != AnswerUnknown {
			return answer, owner
		}
	}
	pending, exists := m.pending[query.Flow]
	if exists && pending.purpose == PurposeOpen && query.Purpose == PurposeOpen &&
		pending.sequence == query.Sequence && m.config.Row < from {
		// Both rows are deciding about the same flow. The row with the lower
		// identifier continues. The other one forwards the flow to it.
		return AnswerOwned, m.config.Row
	}
	return AnswerUnknown, 0
}

// answerFromRecord returns the answer to a query about a flow that has a record.
func (m *Machine) answerFromRecord(now time.Duration, from table.BackendID, query Query, record flowRecord) (Answer, table.BackendID) {
	same := query.Purpose == PurposeLocate || query.Sequence == record.sequence
	switch record.state {
	case flowOpen, flowLingering:
		return AnswerOwned, m.config.Row
	case flowRemote:
		if record.owner == from || !m.history.current.view.consideredAlive(record.owner) {
			return AnswerUnknown, 0
		}
		if !same || query.Purpose == PurposeOpen && m.isStaleRemote(now, record) {
			return AnswerReferred, record.owner
		}
		return AnswerOwned, record.owner
	case flowFenced:
		if same && query.Purpose == PurposeOpen && record.owner != from && now < record.expires {
			return AnswerReferred, record.owner
		}
	case flowClosed:
		if same {
			return AnswerClosed, 0
		}
	case flowRefused:
		if same {
			return AnswerRefused, 0
		}
	}
	return AnswerUnknown, 0
}

// isStaleRemote reports whether the record of another row's flow is too old to
// answer for the owner. A query to open the flow shows that the caller still sends
// opening packets, none of which can still be on its way to the owner. The owner
// itself must then be queried. Otherwise two rows that each remember the other as the
// owner would keep the flow from opening.
func (m *Machine) isStaleRemote(now time.Duration, record flowRecord) bool {
	age := now + m.config.RemoteRetention - record.expires
	return age > staleRemoteLeases*m.config.LeaseDuration
}

// staleRemoteLeases is the number of lease durations after which a packet that was
// handed over can no longer arrive.
const staleRemoteLeases = 2

// fence records the promise not to open a flow that another row is about to open,
// and ends this row's own decision about the flow. It records nothing if the number
// of remembered flows is at its limit.
func (m *Machine) fence(now time.Duration, from table.BackendID, query Query) {
	m.discardPending(query.Flow)
	if _, remembered := m.flows[query.Flow]; !remembered && len(m.flows) >= m.config.FlowLimit {
		return
	}
	m.flows[query.Flow] = flowRecord{
		state:    flowFenced,
		sequence: query.Sequence,
		owner:    from,
		expires:  now + 2*m.config.LeaseDuration,
	}
}

// handleReply records a reply and concludes the decision or search if the reply
// determines its result or is the last one awaited.
func (m *Machine) handleReply(now time.Duration, from table.BackendID, reply Reply) {
	pending, exists := m.pending[reply.Flow]
	if !exists || pending.sequence != reply.Sequence || pending.purpose != reply.Purpose {
		return
	}
	query := pending.queryTo(from)
	if query == nil || query.done() {
		return
	}
	query.answered = true
	query.openFlows = reply.Open
	query.available = reply.Available
	if m.namesUnknownRow(reply) && pending.purpose == PurposeOpen {
		// The replying row has a newer table.
		m.discardPending(reply.Flow)
		m.awaitVersion(now, reply.Flow, m.TableVersion()+1, pending.heldPackets[0])
		return
	}
	switch reply.Answer {
	case AnswerOwned:
		if reply.Owner != m.config.Row {
			m.discardPending(reply.Flow)
			m.assignToRemote(now, reply.Flow, pending, reply.Owner, false)
			return
		}
	case AnswerReferred:
		m.queryReferredRow(now, reply, pending)
	case AnswerClosed:
		m.discardPending(reply.Flow)
		m.dropPacket(DropClosed, pending.heldPackets[0])
		return
	case AnswerRefused:
		m.discardPending(reply.Flow)
		m.refuseNewFlow(now, reply.Flow, pending.heldPackets[0])
		return
	}
	m.concludeIfDone(now, reply.Flow, pending)
}

// namesUnknownRow reports whether a reply names an owner that is not in the table
// in use.
func (m *Machine) namesUnknownRow(reply Reply) bool {
	if reply.Answer != AnswerOwned && reply.Answer != AnswerReferred {
		return false
	}
	return !m.hasRow(reply.Owner)
}

// hasRow reports whether the row is in the table in use.
func (m *Machine) hasRow(id table.BackendID) bool {
	if m.history.current == nil {
		return false
	}
	_, exists := m.history.current.view.row(id)
	return exists
}

// queryReferredRow queries the row that a reply referred to, unless it is queried
// already.
func (m *Machine) queryReferredRow(now time.Duration, reply Reply, pending *pendingFlow) {
	before := len(pending.queries)
	m.addQuery(now, pending, reply.Owner, true, now+m.config.LeaseDuration)
	if len(pending.queries) > before {
		pending.resendInterval = 0
		m.sendQueries(now, reply.Flow, pending)
	}
}
