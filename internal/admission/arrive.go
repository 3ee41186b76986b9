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
	if record, exists := m.flows[key]; exists {
		if m.handleRemembered(now, key, record, packet) {
			return m.effects
		}
	}
	if pending, exists := m.pending[key]; exists {
		if m.handleUndecided(now, key, pending, packet) {
			return m.effects
		}
		m.discardPending(key)
	}
	if packet.opensFlow() {
		m.handleNew(now, key, packet)
		return m.effects
	}
	m.locate(now, key, packet)
	return m.effects
}

// handleRemembered handles a packet of a flow that has a record. It returns false
// if the record does not apply, so that the flow must be decided or located
// again.
func (m *Machine) handleRemembered(now time.Duration, key FlowKey, record flowRecord, packet Packet) bool {
	reused := packet.Summary.Opening && packet.sequence() != record.sequence
	switch record.state {
	case flowOpen, flowLingering:
		// An opening segment with another sequence number is delivered too.
		// The transport stack answers it with a challenge ACK (RFC 5961,
		// section 4), so that a forged segment cannot end the flow.
		m.emit(Effect{Kind: Deliver, Packet: packet})
	case flowRemote:
		if reused || m.ownerIsObsolete(record, packet) {
			return false
		}
		if !packet.opensFlow() {
			record.expires = now + m.config.RemoteRetention
			m.flows[key] = record
		}
		m.forwardPacket(record.owner, record.handedOver && packet.opensFlow(), packet)
	case flowFenced:
		return m.handleFenced(now, key, record, packet)
	case flowClosed:
		return m.handleClosed(key, reused, packet)
	case flowRefused:
		if reused {
			return false
		}
		m.refusePacket(packet)
	}
	return true
}

// ownerIsObsolete reports whether the recorded owner of a flow is out of date: its
// agent is down, or it sent an opening packet back because it restarted and lost
// its flows.
func (m *Machine) ownerIsObsolete(record flowRecord, packet Packet) bool {
	passedBack := packet.opensFlow() && packet.Routing.Hops >= roundTripHops
	return passedBack || !m.history.current.view.consideredAlive(record.owner)
}

// handleClosed handles a packet of a flow that has ended. It returns false if the
// packet may open a new flow with the same key.
func (m *Machine) handleClosed(key FlowKey, reused bool, packet Packet) bool {
	if reused || packet.Summary.Flow.Protocol == table.ProtocolUDP {
		delete(m.flows, key)
		return false
	}
	m.dropPacket(DropClosed, packet)
	return true
}

// handleFenced handles a packet of a flow that another row is about to open. It
// returns false if the fence does not apply to the packet.
func (m *Machine) handleFenced(now time.Duration, key FlowKey, record flowRecord, packet Packet) bool {
	obsolete := !packet.opensFlow() || packet.Routing.HandedOver ||
		now >= record.expires || packet.sequence() != record.sequence
	if obsolete {
		delete(m.flows, key)
		return false
	}
	m.forwardPacket(record.owner, false, packet)
	return true
}

// handleUndecided handles another packet of a flow whose owner is being decided.
// It returns false if the packet opens another flow with the same key.
func (m *Machine) handleUndecided(now time.Duration, key FlowKey, pending *pendingFlow, packet Packet) bool {
	if packet.Summary.Opening && packet.sequence() != pending.sequence {
		return false
	}
	if packet.opensFlow() && pending.purpose == PurposeLocate {
		return false
	}
	if pending.awaitsRetransmission && packet.opensFlow() && m.isFreshRetransmission(now, pending, packet) {
		pending.heldPackets = append(pending.heldPackets[:0], packet)
		m.concludeOpen(now, key, pending)
		return true
	}
	if packet.Summary.Opening {
		m.dropPacket(DropDuplicate, packet)
		return true
	}
	if len(pending.heldPackets) >= maxHeldPackets {
		m.dropPacket(DropDuplicate, packet)
		return true
	}
	pending.heldPackets = append(pending.heldPackets, packet)
	return true
}

// isFreshRetransmission reports whether another opening packet shows that the
// caller is still waiting. A forwarded packet may be old: it may have been queued
// in the socket of a paused row, but for no longer than that row's lease.
func (m *Machine) isFreshRetransmission(now time.Duration, pending *pendingFlow, packet Packet) bool {
	return packet.Routing.Hops == 0 || now >= pending.started+m.config.LeaseDuration
}

// handleNew handles the first packet of a flow that this row has no record of.
// The row needs a lease and a table at least as new as the one used for the
// packet.
func (m *Machine) handleNew(now time.Duration, key FlowKey, packet Packet) {
	if m.config.Stateless {
		m.openLocally(key, packet.sequence(), packet)
		return
	}
	if !m.holdsLease(now) {
		m.dropPacket(DropNoLease, packet)
		m.emit(Effect{Kind: RefreshTable})
		return
	}
	if packet.Routing.Version > m.TableVersion() {
		m.awaitVersion(now, key, packet.Routing.Version, packet)
		return
	}
	if packet.Routing.HandedOver {
		m.handleHandedOver(now, key, packet)
		return
	}
	m.openOrForward(now, key, packet)
}

// handleHandedOver opens a flow that the primary handed over to this row. Shortly
// after an interruption of the lease it drops the packet instead: the packet may
// be old and the primary may have decided otherwise since. The caller's
// retransmission reaches the row that the primary has chosen by then.
func (m *Machine) handleHandedOver(now time.Duration, key FlowKey, packet Packet) {
	if m.leaseRecentlyResumed(now) {
		m.dropPacket(DropNoLease, packet)
		return
	}
	if !m.canOpenFlow() {
		m.refuseNewFlow(now, key, packet)
		return
	}
	m.openLocally(key, packet.sequence(), packet)
}

// openOrForward begins the decision about a new flow if this row is its primary,
// and otherwise forwards the packet to the primary.
func (m *Machine) openOrForward(now time.Duration, key FlowKey, packet Packet) {
	hash := packet.Summary.Flow.Hash()
	primary, exists := m.history.current.primary(hash)
	if !exists {
		m.dropPacket(DropNoPrimary, packet)
		return
	}
	if primary != m.config.Row {
		m.forwardPacket(primary, false, packet)
		return
	}
	m.beginOpen(now, key, hash, packet)
}

// openLocally records this row as the owner of the flow and delivers the flow's
// first packet.
func (m *Machine) openLocally(key FlowKey, sequence uint32, packet Packet) {
	if len(m.flows) >= m.config.FlowLimit {
		m.dropPacket(DropFlowLimit, packet)
		return
	}
	m.flows[key] = flowRecord{state: flowOpen, sequence: sequence}
	m.openFlows++
	m.emit(Effect{Kind: Deliver, Packet: packet})
}

// refusePacket answers a packet of a refused or unknown flow with a reset. UDP
// datagrams and TCP resets are dropped without an answer.
func (m *Machine) refusePacket(packet Packet) {
	if packet.Summary.Flow.Protocol != table.ProtocolTCP || packet.Summary.Reset {
		m.dropPacket(DropClosed, packet)
		return
	}
	m.emit(Effect{Kind: SendReset, Packet: packet})
}

// refuseNewFlow refuses a flow. It records the refusal of a TCP flow, so that a
// retransmission of the first packet cannot open it. A UDP caller gets no answer,
// so its next datagram counts as a new attempt.
func (m *Machine) refuseNewFlow(now time.Duration, key FlowKey, packet Packet) {
	if packet.Summary.Opening && len(m.flows) < m.config.FlowLimit {
		m.flows[key] = flowRecord{
			state:    flowRefused,
			sequence: packet.sequence(),
			expires:  now + m.config.ClosedRetention,
		}
	}
	m.refusePacket(packet)
}
