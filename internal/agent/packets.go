package agent

import (
	"errors"
	"net"
	"net/netip"

	"github.com/charmbracelet/log"

	"github.com/vanetiller/vanetiller/internal/admission"
	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/netstack"
	"github.com/vanetiller/vanetiller/internal/packet"
	"github.com/vanetiller/vanetiller/internal/table"
)

const receiveBufferSize = 64 << 10

// receivePackets handles datagrams from balancers and other agents until the
// socket is closed.
func (a *Agent) receivePackets() error {
	buffer := make([]byte, receiveBufferSize)
	for {
		count, _, err := a.packetSocket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// This is an ICMP error for an earlier datagram. The socket is
			// still usable.
			continue
		}
		a.handleDatagram(buffer[:count])
	}
}

// handleDatagram decodes a datagram and handles the message or the caller's packet
// in it.
func (a *Agent) handleDatagram(data []byte) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	datagram, outcome := a.encapDecoder.Decode(data)
	if outcome != encap.Decoded {
		a.countDrop(outcome.String())
		return
	}
	if datagram.Control {
		a.handleMessage(datagram)
		return
	}
	a.handlePacket(datagram)
}

// Drop reasons of the agent itself. The others come from packages encap, packet and
// admission.
const (
	reasonNoRouting    = "no_routing"
	reasonMisaddressed = "misaddressed"
	reasonBadMessage   = "bad_message"
	reasonNoPeer       = "no_peer"
	reasonSendFailed   = "send_failed"
)

// handlePacket passes a caller's packet to the machine of the row that it is
// addressed to. It drops the packet if this agent does not serve that incarnation
// of the row, or if the row belongs to another service.
func (a *Agent) handlePacket(datagram encap.Datagram) {
	if !datagram.HasRouting {
		a.countDrop(reasonNoRouting)
		return
	}
	summary, outcome := a.packetDecoder.Decode(datagram.Packet)
	if outcome != packet.Decoded {
		a.countDrop(outcome.String())
		return
	}
	routing := datagram.Routing
	served, exists := a.rows[rowKey{routing.Backend, routing.Incarnation}]
	if !exists || !served.accepts(datagram, summary) {
		a.countDrop(reasonMisaddressed)
		if a.table == nil || routing.Version > a.table.Version {
			a.controlClient.Renew()
		}
		return
	}
	arrived := admission.Packet{
		Summary: summary,
		Routing: routing,
		Data:    append([]byte(nil), datagram.Packet...),
	}
	a.execute(served, served.machine.HandlePacket(a.now(), arrived))
}

// accepts reports whether a packet is addressed to the service of the row.
func (r *row) accepts(datagram encap.Datagram, summary packet.Summary) bool {
	return datagram.Service == r.service.ID &&
		summary.Flow.Destination == r.service.Address.AddrPort() &&
		summary.Flow.Protocol == r.service.Protocol
}

// handleMessage passes a message of another row to the machine of the row that it
// is addressed to. It drops messages from rows that are not in the table.
func (a *Agent) handleMessage(datagram encap.Datagram) {
	var message admission.Message
	if _, err := message.UnmarshalMsg(datagram.Packet); err != nil {
		a.countDrop(reasonBadMessage)
		return
	}
	for key, served := range a.rows {
		current := served.backend.Incarnation == key.incarnation && key.backend == message.To
		if !current || served.service.ID != datagram.Service {
			continue
		}
		if _, known := a.findPeer(message.From); known {
			a.execute(served, served.machine.HandleMessage(a.now(), message))
		}
		return
	}
	a.countDrop(reasonMisaddressed)
}

// findPeer returns the address and incarnation of a row. If the row is not in the
// table in use, the table may be old: findPeer requests a newer one and counts a
// drop.
func (a *Agent) findPeer(id table.BackendID) (peerRow, bool) {
	known, exists := a.peers[id]
	if !exists {
		a.controlClient.Renew()
		a.countDrop(reasonNoPeer)
	}
	return known, exists
}

// execute carries out the effects returned by the machine of a row. The mutex must
// be held.
func (a *Agent) execute(served *row, effects []admission.Effect) {
	for _, effect := range effects {
		a.logEffect(served, effect)
		switch effect.Kind {
		case admission.Deliver:
			a.config.Metrics.DeliveredPackets.Add(1)
			served.stack.Inject(effect.Packet.Data)
		case admission.Forward:
			a.config.Metrics.ForwardedPackets.Add(1)
			a.forwardPacket(served, effect)
		case admission.SendMessage:
			a.config.Metrics.MessagesSent.Add(1)
			a.sendMessage(served, effect)
		case admission.SendReset:
			a.config.Metrics.RefusedFlows.Add(1)
			a.resetStack.Inject(effect.Packet.Data)
		case admission.Drop:
			a.countDrop(effect.Reason.String())
		case admission.RefreshTable:
			a.controlClient.Renew()
		}
	}
}

// logEffect logs at debug level how each packet was handled. It omits delivered
// packets that do not open a flow.
func (a *Agent) logEffect(served *row, effect admission.Effect) {
	if a.config.Logger.GetLevel() > log.DebugLevel || effect.Kind == admission.SendMessage || effect.Kind == admission.RefreshTable {
		return
	}
	summary := effect.Packet.Summary
	if effect.Kind == admission.Deliver && !summary.Opening {
		return
	}
	a.config.Logger.Debug("packet",
		"row", served.backend.Name, "caller", summary.Flow.Source, "opening", summary.Opening,
		"effect", effect.Kind, "to", effect.To, "reason", effect.Reason,
		"hops", effect.Packet.Routing.Hops, "version", effect.Packet.Routing.Version)
}

// forwardPacket sends the packet of a Forward effect to the agent of another row.
func (a *Agent) forwardPacket(served *row, effect admission.Effect) {
	next, exists := a.findPeer(effect.To)
	if !exists {
		return
	}
	routing := effect.Packet.Routing
	routing.Backend = effect.To
	routing.Incarnation = next.incarnation
	a.sendBuffer = a.encoder.AppendRouted(a.sendBuffer[:0], served.service.ID, routing, effect.Packet.Data)
	a.sendDatagram(a.sendBuffer, next.agentAddress)
}

// sendMessage sends the message of a SendMessage effect to the agent of another row.
func (a *Agent) sendMessage(served *row, effect admission.Effect) {
	next, exists := a.findPeer(effect.To)
	if !exists {
		return
	}
	encoded, err := effect.Message.MarshalMsg(nil)
	if err != nil {
		panic("agent: cannot encode a message: " + err.Error())
	}
	a.sendBuffer = a.encoder.AppendControl(a.sendBuffer[:0], served.service.ID, encoded)
	a.sendDatagram(a.sendBuffer, next.agentAddress)
}

// sendDatagram sends a datagram and counts a failure as a dropped packet.
func (a *Agent) sendDatagram(datagram []byte, to netip.AddrPort) {
	if _, err := a.packetSocket.WriteToUDPAddrPort(datagram, to); err != nil {
		a.countDrop(reasonSendFailed)
	}
}

// sendResponses sends the outgoing packets of a network stack directly to the
// fabric until the agent stops.
func (a *Agent) sendResponses(source *netstack.Stack) error {
	encoder := encap.NewEncoder()
	var response, datagram []byte
	for {
		var more bool
		response, more = source.ReadPacket(a.context, response[:0])
		if !more {
			return nil
		}
		datagram = encoder.AppendPlain(datagram[:0], response)
		a.sendDatagram(datagram, a.config.Fabric)
	}
}
