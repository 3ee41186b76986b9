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

// receivePackets handles datagrams from balancers and other agents.
func (a *Agent) receivePackets() error {
	buffer := make([]byte, receiveBufferSize)
	for {
		count, _, err := a.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error for an earlier datagram; the socket is usable.
			continue
		}
		a.receive(buffer[:count])
	}
}

func (a *Agent) receive(data []byte) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	datagram, outcome := a.envelope.Decode(data)
	if outcome != encap.Decoded {
		a.dropped(outcome.String())
		return
	}
	if datagram.Control {
		a.receiveMessage(datagram)
		return
	}
	a.receivePacket(datagram)
}

// Reasons for dropping that arise in the agent itself.
const (
	reasonNoRouting    = "no_routing"
	reasonMisaddressed = "misaddressed"
	reasonBadMessage   = "bad_message"
	reasonNoPeer       = "no_peer"
	reasonSendFailed   = "send_failed"
)

// receivePacket checks that a caller's packet is for a row served here, in its
// present incarnation, and for that row's service, and lets the row decide.
func (a *Agent) receivePacket(datagram encap.Datagram) {
	if !datagram.HasRouting {
		a.dropped(reasonNoRouting)
		return
	}
	summary, outcome := a.decoder.Decode(datagram.Packet)
	if outcome != packet.Decoded {
		a.dropped(outcome.String())
		return
	}
	routing := datagram.Routing
	served, exists := a.rows[rowKey{routing.Backend, routing.Incarnation}]
	if !exists || !served.serves(datagram, summary) {
		a.dropped(reasonMisaddressed)
		if a.table == nil || routing.Version > a.table.Version {
			a.client.Renew()
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

func (r *row) serves(datagram encap.Datagram, summary packet.Summary) bool {
	return datagram.Service == r.service.ID &&
		summary.Flow.Destination == r.service.Address.AddrPort() &&
		summary.Flow.Protocol == r.service.Protocol
}

func (a *Agent) receiveMessage(datagram encap.Datagram) {
	var message admission.Message
	if _, err := message.UnmarshalMsg(datagram.Packet); err != nil {
		a.dropped(reasonBadMessage)
		return
	}
	for key, served := range a.rows {
		current := served.backend.Incarnation == key.incarnation && key.backend == message.To
		if !current || served.service.ID != datagram.Service {
			continue
		}
		if _, known := a.peerOf(message.From); known {
			a.execute(served, served.machine.HandleMessage(a.now(), message))
		}
		return
	}
	a.dropped(reasonMisaddressed)
}

// peerOf returns where another row is reached. If it is not in the table held,
// that table is old, and a newer one is asked for.
func (a *Agent) peerOf(id table.BackendID) (peer, bool) {
	known, exists := a.peers[id]
	if !exists {
		a.client.Renew()
		a.dropped(reasonNoPeer)
	}
	return known, exists
}

// execute carries out the effects that a row's machine asked for. The mutex
// must be held.
func (a *Agent) execute(served *row, effects []admission.Effect) {
	for _, effect := range effects {
		a.trace(served, effect)
		switch effect.Kind {
		case admission.Deliver:
			a.config.Metrics.DeliveredPackets.Add(1)
			served.stack.Inject(effect.Packet.Data)
		case admission.Forward:
			a.config.Metrics.ForwardedPackets.Add(1)
			a.forward(served, effect)
		case admission.SendMessage:
			a.config.Metrics.MessagesSent.Add(1)
			a.send(served, effect)
		case admission.SendReset:
			a.config.Metrics.RefusedFlows.Add(1)
			a.refuser.Inject(effect.Packet.Data)
		case admission.Drop:
			a.dropped(effect.Reason.String())
		case admission.RefreshTable:
			a.client.Renew()
		}
	}
}

// trace logs, at debug level, what became of a flow's opening packet and why
// other packets were not delivered.
func (a *Agent) trace(served *row, effect admission.Effect) {
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

func (a *Agent) forward(served *row, effect admission.Effect) {
	next, exists := a.peerOf(effect.To)
	if !exists {
		return
	}
	routing := effect.Packet.Routing
	routing.Backend = effect.To
	routing.Incarnation = next.incarnation
	a.output = a.encoder.AppendRouted(a.output[:0], served.service.ID, routing, effect.Packet.Data)
	a.write(a.output, next.agent)
}

func (a *Agent) send(served *row, effect admission.Effect) {
	next, exists := a.peerOf(effect.To)
	if !exists {
		return
	}
	encoded, err := effect.Message.MarshalMsg(nil)
	if err != nil {
		panic("agent: cannot encode a message: " + err.Error())
	}
	a.output = a.encoder.AppendControl(a.output[:0], served.service.ID, encoded)
	a.write(a.output, next.agent)
}

func (a *Agent) write(datagram []byte, to netip.AddrPort) {
	if _, err := a.socket.WriteToUDPAddrPort(datagram, to); err != nil {
		a.dropped(reasonSendFailed)
	}
}

// transmit sends a stack's answers straight to the fabric.
func (a *Agent) transmit(source *netstack.Stack) error {
	encoder := encap.NewEncoder()
	var answer, datagram []byte
	for {
		var more bool
		answer, more = source.ReadPacket(a.context, answer[:0])
		if !more {
			return nil
		}
		datagram = encoder.AppendPlain(datagram[:0], answer)
		a.write(datagram, a.config.Fabric)
	}
}
