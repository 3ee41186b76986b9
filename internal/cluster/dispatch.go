// This file passes messages between the network and the state machines.

package cluster

import (
	"net/netip"

	"github.com/tinylib/msgp/msgp"

	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/membership"
)

func encode(message msgp.Marshaler) []byte {
	encoded, err := message.MarshalMsg(nil)
	if err != nil {
		panic("cluster: cannot encode an outgoing message: " + err.Error())
	}
	return encoded
}

// accept decodes a datagram of another daemon and passes it to its machine.
func (n *Node) accept(from netip.AddrPort, encoded []byte) {
	address, isIPv4 := membership.AddressOf(from)
	var datagram Datagram
	rest, err := datagram.UnmarshalMsg(encoded)
	// All daemons of a fleet use the same port.
	if !isIPv4 || from.Port() != portOf(n.address) || err != nil || len(rest) > 0 || len(encoded) > maxDatagramSize {
		n.config.Metrics.Malformed.Add(1)
		return
	}
	switch {
	case datagram.Membership != nil:
		n.acceptMembership(address, *datagram.Membership)
	case datagram.Dissemination != nil:
		n.acceptDissemination(address, *datagram.Dissemination)
	case datagram.Liveness != nil:
		n.acceptLiveness(address, *datagram.Liveness)
	}
}

func (n *Node) acceptMembership(from membership.Address, message membership.Message) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.executeMembership(n.members.Receive(n.now(), from, message))
}

func (n *Node) acceptDissemination(from membership.Address, message dissemination.Message) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.statuses.set(from, message.Status)
	n.executeDissemination(n.disseminator.Receive(n.now(), from, message))
	n.updateAttachment()
}

// executeMembership carries out effects. The mutex must be held.
func (n *Node) executeMembership(effects []membership.Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case membership.EffectSend:
			n.socket.send(effect.To.AddrPort(), encode(&Datagram{Membership: &effect.Message}))
		case membership.EffectAttachment:
			n.acceptAttachment(effect.Member.Address, effect.Attachment)
		default:
			n.membersChanged = true
			n.logEvent(effect)
		}
	}
}

// acceptAttachment records the dissemination status in an attachment. The mutex must be
// held.
func (n *Node) acceptAttachment(from membership.Address, attachment []byte) {
	var status dissemination.Status
	if _, err := status.UnmarshalMsg(attachment); err != nil {
		n.config.Metrics.Malformed.Add(1)
		return
	}
	n.statuses.set(from, status)
	n.disseminator.ReceiveAttachment(n.now(), from, attachment)
}

// updateAttachment sets the dissemination status that membership messages carry. The mutex
// must be held.
func (n *Node) updateAttachment() { n.members.SetAttachment(n.disseminator.Attachment()) }

// executeDissemination carries out effects. The mutex must be held.
func (n *Node) executeDissemination(effects []dissemination.Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case dissemination.EffectSend:
			n.socket.send(effect.To.AddrPort(), encode(&Datagram{Dissemination: &effect.Message}))
		case dissemination.EffectFetch:
			n.fetches.add(fetchTask{from: effect.To, version: effect.Version})
		case dissemination.EffectSurveyDone:
			n.completeSurvey(effect.Survey)
		}
	}
}

// logEvent logs changes of the membership.
func (n *Node) logEvent(event membership.Effect) {
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
