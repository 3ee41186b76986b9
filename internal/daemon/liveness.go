// This file passes on what balancers tell each other of agents.

package daemon

import (
	"github.com/vanetiller/vanetiller/internal/cluster/liveness"
	"github.com/vanetiller/vanetiller/internal/control"
)

// agentListener is the cluster.AgentListener of a control server.
type agentListener struct {
	served *control.Server
}

// ClaimChanged implements cluster.AgentListener.
func (l agentListener) ClaimChanged(claim liveness.Claim) {
	l.served.ApplyRemote([]control.Observation{{
		Agent:     claim.Agent,
		Start:     claim.Start,
		Condition: observedCondition(claim.Condition),
	}})
}

// Ready implements cluster.AgentListener.
func (l agentListener) Ready() { l.served.RemoteReady() }

func observedCondition(claimed liveness.Condition) control.AgentCondition {
	switch claimed {
	case liveness.Alive:
		return control.AgentAlive
	case liveness.Leaving:
		return control.AgentLeaving
	}
	return control.AgentDown
}

func claimsOf(observed []control.Observation) []liveness.Claim {
	claims := make([]liveness.Claim, len(observed))
	for index, observation := range observed {
		claims[index] = liveness.Claim{
			Agent:     observation.Agent,
			Start:     observation.Start,
			Condition: claimedCondition(observation.Condition),
		}
	}
	return claims
}

func claimedCondition(observed control.AgentCondition) liveness.Condition {
	switch observed {
	case control.AgentAlive:
		return liveness.Alive
	case control.AgentLeaving:
		return liveness.Leaving
	}
	return liveness.Down
}
