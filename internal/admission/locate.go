package admission

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

// locateAllLimit is the number of rows up to which a search asks all rows at
// once; in larger services it begins with the earlier holders of the slot.
const locateAllLimit = 16

// locate searches the owner of a flow that this row does not know.
func (m *Machine) locate(now time.Duration, key FlowKey, packet Packet) {
	switch {
	case m.config.Stateless:
		m.refuse(packet)
		return
	case packet.Summary.Reset:
		m.drop(DropUnknownFlow, packet)
		return
	case m.history.current == nil:
		m.drop(DropNoLease, packet)
		return
	case m.locating >= m.config.LocateLimit || len(m.pending) >= m.config.PendingLimit:
		m.drop(DropQueryLimit, packet)
		return
	}
	undecided := &pending{
		purpose: PurposeLocate,
		hash:    packet.Summary.Flow.Hash(),
		started: now,
		held:    []Packet{packet},
	}
	m.locating++
	m.pending[key] = undecided
	m.askHoldersForFlow(now, undecided)
	m.sendQueries(now, key, undecided)
	m.concludeIfSettled(now, key, undecided)
}

func (m *Machine) askHoldersForFlow(now time.Duration, undecided *pending) {
	if len(m.history.current.view.Rows) <= locateAllLimit {
		m.askAllForFlow(now, undecided)
		return
	}
	deadline := now + m.config.LocateTimeout
	for _, holder := range m.history.holders(undecided.hash, m.config.Row) {
		m.addAsk(now, undecided, holder, true, deadline)
	}
	if primary, exists := m.history.current.primary(undecided.hash); exists {
		m.addAsk(now, undecided, primary, true, deadline)
	}
	if second, exists := m.history.current.second(undecided.hash, m.config.Row); exists {
		m.addAsk(now, undecided, second, true, deadline)
	}
}

// askAllForFlow adds every row of the service, drained and removed ones
// included: they may still have flows.
func (m *Machine) askAllForFlow(now time.Duration, undecided *pending) {
	undecided.askedAll = true
	for _, row := range m.history.current.view.Rows {
		m.addAsk(now, undecided, row.ID, true, now+m.config.LocateTimeout)
	}
}

// concludeLocate ends a search in which no row said it owns the flow. Only if
// all rows denied it is the caller told with a reset.
func (m *Machine) concludeLocate(now time.Duration, key FlowKey, undecided *pending) {
	if !undecided.askedAll {
		m.askAllForFlow(now, undecided)
		m.sendQueries(now, key, undecided)
		if !undecided.settled() {
			return
		}
	}
	m.abandon(key)
	first := undecided.held[0]
	current := m.holdsLease(now) && first.Routing.Version <= m.TableVersion()
	if !current || !undecided.answeredByAll() {
		m.drop(DropUnknownFlow, first)
		return
	}
	m.refuse(first)
}

// HandleMessage handles a message from another row. The returned effects are valid
// until the next call.
func (m *Machine) HandleMessage(now time.Duration, message Message) []Effect {
	m.effects = m.effects[:0]
	if !m.knowsRow(message.From) {
		// The table held is old, or the message is forged: nothing may be
		// promised to such a row.
		m.emit(Effect{Kind: RefreshTable})
		return m.effects
	}
	switch {
	case message.Query != nil:
		m.answer(now, message.From, *message.Query)
	case message.Reply != nil:
		m.settle(now, message.From, *message.Reply)
	}
	return m.effects
}

// answer replies to a query.
func (m *Machine) answer(now time.Duration, from table.BackendID, query Query) {
	reply := Reply{
		Flow:      query.Flow,
		Sequence:  query.Sequence,
		Purpose:   query.Purpose,
		Open:      m.open,
		Available: m.available() && !m.resumed(now),
	}
	reply.Answer, reply.Owner = m.knowledge(now, from, query)
	if reply.Answer == AnswerUnknown && query.Purpose == PurposeOpen {
		m.fence(now, from, query)
	}
	m.emit(Effect{Kind: SendMessage, To: from, Message: Message{From: m.config.Row, To: from, Reply: &reply}})
}

// knowledge returns what this row knows of the flow in a query.
func (m *Machine) knowledge(now time.Duration, from table.BackendID, query Query) (Answer, table.BackendID) {
	known, exists := m.flows[query.Flow]
	if exists {
		answer, owner := m.knownAnswer(now, from, query, known)
		if answer != AnswerUnknown {
			return answer, owner
		}
	}
	undecided, exists := m.pending[query.Flow]
	if exists && undecided.purpose == PurposeOpen && query.Purpose == PurposeOpen &&
		undecided.sequence == query.Sequence && m.config.Row < from {
		// Both rows are deciding about the same flow; the lower identifier
		// goes on, the other yields.
		return AnswerOwned, m.config.Row
	}
	return AnswerUnknown, 0
}

func (m *Machine) knownAnswer(now time.Duration, from table.BackendID, query Query, known flow) (Answer, table.BackendID) {
	same := query.Purpose == PurposeLocate || query.Sequence == known.sequence
	switch known.state {
	case stateOpen, stateLingering:
		return AnswerOwned, m.config.Row
	case stateRemote:
		if known.owner == from || !m.history.current.view.alive(known.owner) {
			return AnswerUnknown, 0
		}
		if !same || query.Purpose == PurposeOpen && m.hearsay(now, known) {
			return AnswerReferred, known.owner
		}
		return AnswerOwned, known.owner
	case stateFenced:
		if same && query.Purpose == PurposeOpen && known.owner != from && now < known.expires {
			return AnswerReferred, known.owner
		}
	case stateClosed:
		if same {
			return AnswerClosed, 0
		}
	case stateRefused:
		if same {
			return AnswerRefused, 0
		}
	}
	return AnswerUnknown, 0
}

// hearsay reports whether what is remembered of another row's flow is so old that
// the owner itself must be asked: its caller still sends opening packets, none of
// which can be on its way to the owner any more. Two rows that each took the other
// for the owner would otherwise never let the flow open.
func (m *Machine) hearsay(now time.Duration, known flow) bool {
	age := now + m.config.RemoteRetention - known.expires
	return age > hearsayLeases*m.config.LeaseDuration
}

// hearsayLeases is how many leases it takes until no packet that was handed over
// can arrive.
const hearsayLeases = 2

// fence promises not to open the flow that another row is about to open.
func (m *Machine) fence(now time.Duration, from table.BackendID, query Query) {
	m.abandon(query.Flow)
	if _, known := m.flows[query.Flow]; !known && len(m.flows) >= m.config.FlowLimit {
		return
	}
	m.flows[query.Flow] = flow{
		state:    stateFenced,
		sequence: query.Sequence,
		owner:    from,
		expires:  now + 2*m.config.LeaseDuration,
	}
}

// settle records a reply.
func (m *Machine) settle(now time.Duration, from table.BackendID, reply Reply) {
	undecided, exists := m.pending[reply.Flow]
	if !exists || undecided.sequence != reply.Sequence || undecided.purpose != reply.Purpose {
		return
	}
	asked := undecided.ask(from)
	if asked == nil || asked.settled() {
		return
	}
	asked.answered = true
	asked.open = reply.Open
	asked.available = reply.Available
	if m.namesUnknownRow(reply) && undecided.purpose == PurposeOpen {
		// The row that answered holds a newer table.
		m.abandon(reply.Flow)
		m.awaitVersion(now, reply.Flow, m.TableVersion()+1, undecided.held[0])
		return
	}
	switch reply.Answer {
	case AnswerOwned:
		if reply.Owner != m.config.Row {
			m.abandon(reply.Flow)
			m.becomeRemote(now, reply.Flow, undecided, reply.Owner, false)
			return
		}
	case AnswerReferred:
		m.refer(now, reply, undecided)
	case AnswerClosed:
		m.abandon(reply.Flow)
		m.drop(DropClosed, undecided.held[0])
		return
	case AnswerRefused:
		m.abandon(reply.Flow)
		m.refuseNew(now, reply.Flow, undecided.held[0])
		return
	}
	m.concludeIfSettled(now, reply.Flow, undecided)
}

// namesUnknownRow reports whether the owner in a reply is not in the table held.
func (m *Machine) namesUnknownRow(reply Reply) bool {
	if reply.Answer != AnswerOwned && reply.Answer != AnswerReferred {
		return false
	}
	return !m.knowsRow(reply.Owner)
}

// knowsRow reports whether the row is in the table held.
func (m *Machine) knowsRow(id table.BackendID) bool {
	if m.history.current == nil {
		return false
	}
	_, known := m.history.current.view.row(id)
	return known
}

// refer asks a further row that another one named.
func (m *Machine) refer(now time.Duration, reply Reply, undecided *pending) {
	before := len(undecided.asks)
	m.addAsk(now, undecided, reply.Owner, true, now+m.config.LeaseDuration)
	if len(undecided.asks) > before {
		undecided.interval = 0
		m.sendQueries(now, reply.Flow, undecided)
	}
}
