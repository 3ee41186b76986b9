// This file tells the parts of a Node who runs.

package cluster

import (
	"github.com/vanetiller/vanetiller/internal/cluster/liveness"
	"github.com/vanetiller/vanetiller/internal/dissemination"
)

// tellMembers tells dissemination and liveness who runs. The mutex must be held.
func (n *Node) tellMembers() {
	var peers []dissemination.Peer
	var reporters []liveness.Peer
	members := n.members.Members()
	n.heard.keep(members)
	for _, member := range members {
		if !isLive(member) || portOf(member.Identity.Address) != portOf(n.address) {
			continue
		}
		peers = append(peers, dissemination.Peer{Identity: member.Identity, Reachable: member.Reachable})
		reporters = append(reporters, liveness.Peer{Identity: member.Identity, Reachable: member.Reachable})
	}
	n.spread.SetPeers(peers)
	n.executeLiveness(n.agents.SetPeers(n.now(), reporters))
}
