// This file passes the live members on to the other machines of a Node.

package cluster

import (
	"github.com/vanetiller/vanetiller/internal/cluster/liveness"
	"github.com/vanetiller/vanetiller/internal/dissemination"
)

// updatePeers passes the live members to dissemination and liveness. The mutex must be
// held.
func (n *Node) updatePeers() {
	var peers []dissemination.Peer
	var reporters []liveness.Peer
	members := n.members.Members()
	n.statuses.retain(members)
	for _, member := range members {
		if !isLive(member) || portOf(member.Identity.Address) != portOf(n.address) {
			continue
		}
		peers = append(peers, dissemination.Peer{Identity: member.Identity, Reachable: member.Reachable})
		reporters = append(reporters, liveness.Peer{Identity: member.Identity, Reachable: member.Reachable})
	}
	n.disseminator.SetPeers(peers)
	n.executeLiveness(n.agents.SetPeers(n.now(), reporters))
}
