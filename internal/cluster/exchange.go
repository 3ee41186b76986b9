// This file carries the messages of the state machines.

package cluster

import (
	"net/netip"

	"github.com/tinylib/msgp/msgp"

	"github.com/vanetiller/vanetiller/internal/adminapi/replicated"
	"github.com/vanetiller/vanetiller/internal/agreement"
	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/membership"
)

// sender is the replicated.Transport of one identity of the process.
type sender struct {
	node *Node
	from agreement.ProcessID
}

// Send implements replicated.Transport.
func (s sender) Send(to agreement.ProcessID, message replicated.Message) {
	n := s.node
	directed := &Directed{From: s.from.Start, To: to.Start, Message: message}
	address := addressOf(to, portOf(n.address)).AddrPort()
	encoded := encode(&Datagram{Directed: directed})
	if len(encoded) <= maximumDatagram {
		n.socket.send(address, encoded)
		return
	}
	n.socket.call(address, encode(&Request{Directed: directed}))
}

func encode(message msgp.Marshaler) []byte {
	encoded, err := message.MarshalMsg(nil)
	if err != nil {
		panic("cluster: cannot encode a message: " + err.Error())
	}
	return encoded
}

// accept handles a datagram of another daemon.
func (n *Node) accept(from netip.AddrPort, encoded []byte) {
	address, isIPv4 := membership.AddressOf(from)
	var datagram Datagram
	rest, err := datagram.UnmarshalMsg(encoded)
	// All daemons of a fleet use the same port: in the log, machines are known
	// by their addresses without it.
	if !isIPv4 || from.Port() != portOf(n.address) || err != nil || len(rest) > 0 || len(encoded) > maximumDatagram {
		n.config.Metrics.Malformed.Add(1)
		return
	}
	switch {
	case datagram.Membership != nil:
		n.acceptMembership(address, *datagram.Membership)
	case datagram.Dissemination != nil:
		n.acceptSpread(address, *datagram.Dissemination)
	case datagram.Directed != nil:
		n.acceptDirected(address, *datagram.Directed)
	case datagram.Liveness != nil:
		n.acceptLiveness(address, *datagram.Liveness)
	}
}

func (n *Node) acceptMembership(from membership.Address, message membership.Message) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.executeMembership(n.members.Receive(n.now(), from, message))
}

func (n *Node) acceptSpread(from membership.Address, message dissemination.Message) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.heard.hear(from, message.Status)
	n.executeSpread(n.spread.Receive(n.now(), from, message))
	n.attach()
}

// acceptDirected hands a message to the voter if it is meant for its identity.
func (n *Node) acceptDirected(from membership.Address, directed Directed) {
	current := n.voter.Load()
	if directed.To != current.id.Start {
		return
	}
	sent := processOf(membership.Identity{Address: from, Incarnation: membership.Incarnation(directed.From)})
	current.replica.Receive(sent, directed.Message)
}

// executeMembership carries out effects. The mutex must be held.
func (n *Node) executeMembership(effects []membership.Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case membership.EffectSend:
			n.socket.send(effect.To.AddrPort(), encode(&Datagram{Membership: &effect.Message}))
		case membership.EffectAttachment:
			n.hearAttachment(effect.Member.Address, effect.Attachment)
		default:
			n.changed = true
			n.report(effect)
		}
	}
}

// hearAttachment takes in what came with a message of another daemon: its
// status, and behind it the hint. The mutex must be held.
func (n *Node) hearAttachment(from membership.Address, attachment []byte) {
	var status dissemination.Status
	var hint Hint
	rest, err := status.UnmarshalMsg(attachment)
	if err == nil {
		_, err = hint.UnmarshalMsg(rest)
	}
	if err != nil {
		n.config.Metrics.Malformed.Add(1)
		return
	}
	n.heard.hear(from, status)
	n.spread.Heard(n.now(), from, attachment)
	n.founding.hear(from, hint.Term > 0 || status.Held > 0)
	if hint.Term > n.hint.Term {
		n.hint = hint
	}
}

// attach renews what the messages of membership carry. The mutex must be held.
func (n *Node) attach() {
	attachment, err := n.hint.MarshalMsg(n.spread.Attachment())
	if err != nil {
		panic("cluster: cannot encode a hint: " + err.Error())
	}
	n.members.SetAttachment(attachment)
}

// executeSpread carries out effects. The mutex must be held.
func (n *Node) executeSpread(effects []dissemination.Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case dissemination.EffectSend:
			n.socket.send(effect.To.AddrPort(), encode(&Datagram{Dissemination: &effect.Message}))
		case dissemination.EffectApply:
			n.tasks.add(task{delta: &effect.Delta})
		case dissemination.EffectFetch:
			n.tasks.add(task{fetch: &fetchTask{from: effect.To, version: effect.Version}})
		case dissemination.EffectSurveyed:
			n.concludeInquiry(effect.Survey)
		}
	}
}

// report logs changes of the membership that are worth it.
func (n *Node) report(event membership.Effect) {
	zone := n.zones.name(event.Zone)
	member := event.Member.Address.String()
	memberZone := n.zones.name(event.Member.Zone)
	switch event.Kind {
	case membership.EffectJoined:
		n.config.Logger.Info("member joined", "member", member, "member_zone", memberZone)
	case membership.EffectFailed:
		n.config.Logger.Info("member failed", "member", member, "member_zone", memberZone)
	case membership.EffectLeft:
		n.config.Logger.Info("member left", "member", member, "member_zone", memberZone)
	case membership.EffectZoneUnreachable:
		n.config.Logger.Warn("zone unreachable", "member_zone", zone)
	case membership.EffectZoneReachable:
		n.config.Logger.Info("zone reachable", "member_zone", zone)
	}
}
