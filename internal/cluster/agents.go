// This file connects package liveness to a Node.

package cluster

import (
	"context"

	"github.com/vanetiller/vanetiller/internal/cluster/liveness"
	"github.com/vanetiller/vanetiller/internal/membership"
)

// ReportAgents reports to other daemons the conditions of the agents that report to this
// one. Claims that have not changed are not sent.
func (n *Node) ReportAgents(claims []liveness.Claim) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, claim := range claims {
		n.executeLiveness(n.agents.Claim(claim))
	}
}

func (n *Node) acceptLiveness(from membership.Address, message liveness.Message) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.executeLiveness(n.agents.Receive(n.now(), from, message))
}

// executeLiveness carries out effects. The mutex must be held.
func (n *Node) executeLiveness(effects []liveness.Effect) {
	for _, effect := range effects {
		if effect.Kind == liveness.EffectSend {
			n.socket.send(effect.To.AddrPort(), encode(&Datagram{Liveness: &effect.Message}))
			continue
		}
		n.agentEffects.add(effect)
	}
}

// notifyAgentListener calls the listener, without holding the mutex, until ctx ends.
func (n *Node) notifyAgentListener(ctx context.Context) error {
	for {
		effect, waiting := n.agentEffects.next(ctx)
		switch {
		case !waiting:
			return nil
		case n.config.Agents == nil:
		case effect.Kind == liveness.EffectReady:
			n.config.Agents.Ready()
		case effect.Kind == liveness.EffectConditionChanged:
			n.config.Agents.ClaimChanged(effect.Claim)
		}
	}
}
