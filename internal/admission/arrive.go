package admission

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

// HandlePacket handles a packet addressed to this row. The returned effects are
// valid until the next call.
func (m *Machine) HandlePacket(now time.Duration, packet Packet) []Effect {
	m.effects = m.effects[:0]
	key := FlowKeyOf(packet.Summary.Flow.Source)
	if known, exists := m.flows[key]; exists {
		if m.arriveKnown(now, key, known, packet) {
			return m.effects
		}
	}
	if undecided, exists := m.pending[key]; exists {
		if m.arriveUndecided(now, key, undecided, packet) {
			return m.effects
		}
		m.abandon(key)
	}
	if packet.opensFlow() {
		m.arriveNew(now, key, packet)
		return m.effects
	}
	m.locate(now, key, packet)
	return m.effects
}

// arriveKnown handles a packet of a remembered flow. It returns false if the
// flow is to be decided or located afresh.
func (m *Machine) arriveKnown(now time.Duration, key FlowKey, known flow, packet Packet) bool {
	reused := packet.Summary.Opening && packet.sequence() != known.sequence
	switch known.state {
	case stateOpen, stateLingering:
		// If the caller reuses its port, the transport stack challenges the
		// segment (RFC 5961, section 4), so that a forged one cannot end the
		// flow.
		m.emit(Effect{Kind: Deliver, Packet: packet})
	case stateRemote:
		if reused || m.obsoleteOwner(known, packet) {
			return false
		}
		if !packet.opensFlow() {
			known.expires = now + m.config.RemoteRetention
			m.flows[key] = known
		}
		m.forward(known.owner, known.handedOver && packet.opensFlow(), packet)
	case stateFenced:
		return m.arriveFenced(now, key, known, packet)
	case stateClosed:
		return m.arriveClosed(key, reused, packet)
	case stateRefused:
		if reused {
			return false
		}
		m.refuse(packet)
	}
	return true
}

// obsoleteOwner reports whether the remembered owner of a flow must be asked
// again: its agent is down, or it has passed an opening packet back because it
// restarted and knows the flow no more.
func (m *Machine) obsoleteOwner(known flow, packet Packet) bool {
	passedBack := packet.opensFlow() && packet.Routing.Hops >= hopsThereAndBack
	return passedBack || !m.history.current.view.alive(known.owner)
}

func (m *Machine) arriveClosed(key FlowKey, reused bool, packet Packet) bool {
	if reused || packet.Summary.Flow.Protocol == table.ProtocolUDP {
		delete(m.flows, key)
		return false
	}
	m.drop(DropClosed, packet)
	return true
}

// arriveFenced handles a packet of a flow that another row said it is about to
// open.
func (m *Machine) arriveFenced(now time.Duration, key FlowKey, known flow, packet Packet) bool {
	obsolete := !packet.opensFlow() || packet.Routing.HandedOver ||
		now >= known.expires || packet.sequence() != known.sequence
	if obsolete {
		delete(m.flows, key)
		return false
	}
	m.forward(known.owner, false, packet)
	return true
}

// arriveUndecided handles a further packet of a flow that is being decided. It
// returns false if the packet opens another flow with the same key.
func (m *Machine) arriveUndecided(now time.Duration, key FlowKey, undecided *pending, packet Packet) bool {
	if packet.Summary.Opening && packet.sequence() != undecided.sequence {
		return false
	}
	if packet.opensFlow() && undecided.purpose == PurposeLocate {
		return false
	}
	if undecided.retransmission && packet.opensFlow() && m.fresh(now, undecided, packet) {
		undecided.held = append(undecided.held[:0], packet)
		m.concludeOpen(now, key, undecided)
		return true
	}
	if packet.Summary.Opening {
		m.drop(DropDuplicate, packet)
		return true
	}
	if len(undecided.held) >= heldPackets {
		m.drop(DropDuplicate, packet)
		return true
	}
	undecided.held = append(undecided.held, packet)
	return true
}

// fresh reports whether a further opening packet shows that the caller still
// waits. One that was passed along may have waited in the socket of a paused
// row, but no longer than that row's lease.
func (m *Machine) fresh(now time.Duration, undecided *pending, packet Packet) bool {
	return packet.Routing.Hops == 0 || now >= undecided.started+m.config.LeaseDuration
}

// arriveNew handles the first packet of a flow that this row does not know.
func (m *Machine) arriveNew(now time.Duration, key FlowKey, packet Packet) {
	if m.config.Stateless {
		m.openLocally(key, packet.sequence(), packet)
		return
	}
	if !m.holdsLease(now) {
		m.drop(DropNoLease, packet)
		m.emit(Effect{Kind: RefreshTable})
		return
	}
	if packet.Routing.Version > m.TableVersion() {
		m.awaitVersion(now, key, packet.Routing.Version, packet)
		return
	}
	if packet.Routing.HandedOver {
		m.arriveHandedOver(now, key, packet)
		return
	}
	m.decide(now, key, packet)
}

// arriveHandedOver opens a flow that its primary decided to give to this row.
// After an interrupted lease the packet may be old, and the primary's decision
// may have been replaced; the caller's retransmission brings a fresh one.
func (m *Machine) arriveHandedOver(now time.Duration, key FlowKey, packet Packet) {
	if m.resumed(now) {
		m.drop(DropNoLease, packet)
		return
	}
	if !m.available() {
		m.refuseNew(now, key, packet)
		return
	}
	m.openLocally(key, packet.sequence(), packet)
}

// decide begins the decision about a new flow, if it is this row's to make.
func (m *Machine) decide(now time.Duration, key FlowKey, packet Packet) {
	hash := packet.Summary.Flow.Hash()
	primary, exists := m.history.current.primary(hash)
	if !exists {
		m.drop(DropNoPrimary, packet)
		return
	}
	if primary != m.config.Row {
		m.forward(primary, false, packet)
		return
	}
	m.beginOpen(now, key, hash, packet)
}

// openLocally makes the flow this row's own and delivers its first packet.
func (m *Machine) openLocally(key FlowKey, sequence uint32, packet Packet) {
	if len(m.flows) >= m.config.FlowLimit {
		m.drop(DropFlowLimit, packet)
		return
	}
	m.flows[key] = flow{state: stateOpen, sequence: sequence}
	m.open++
	m.emit(Effect{Kind: Deliver, Packet: packet})
}

// refuse answers a packet of a refused flow.
func (m *Machine) refuse(packet Packet) {
	if packet.Summary.Flow.Protocol != table.ProtocolTCP || packet.Summary.Reset {
		m.drop(DropClosed, packet)
		return
	}
	m.emit(Effect{Kind: SendReset, Packet: packet})
}

// refuseNew remembers that a flow was refused, so that a retransmission of its
// first packet cannot open it. A UDP caller is not told, so its next datagram is
// a request of its own.
func (m *Machine) refuseNew(now time.Duration, key FlowKey, packet Packet) {
	if packet.Summary.Opening && len(m.flows) < m.config.FlowLimit {
		m.flows[key] = flow{
			state:    stateRefused,
			sequence: packet.sequence(),
			expires:  now + m.config.ClosedRetention,
		}
	}
	m.refuse(packet)
}
