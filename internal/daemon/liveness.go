// This file passes the conditions of agents between the control server of a
// balancer and the cluster.

package daemon

import (
	"github.com/vanetiller/vanetiller/internal/cluster/liveness"
	"github.com/vanetiller/vanetiller/internal/control"
)

// agentListener passes the agent conditions that other balancers report to the
// control server. It is a cluster.AgentListener.
type agentListener struct {
	server *control.Server
}

// ClaimChanged implements cluster.AgentListener.
func (l agentListener) ClaimChanged(claim liveness.Claim) {
	l.server.ApplyRemote([]control.Observation{{
		Agent:     claim.Agent,
		Start:     claim.Start,
		Condition: controlCondition(claim.Condition),
	}})
}

// Ready implements cluster.AgentListener.
func (l agentListener) Ready() { l.server.RemoteReady() }

func controlCondition(condition liveness.Condition) control.AgentCondition {
	switch condition {
	case liveness.Alive:
		return control.AgentAlive
	case liveness.Leaving:
		return control.AgentLeaving
	}
	return control.AgentDown
}

func livenessClaims(observations []control.Observation) []liveness.Claim {
	claims := make([]liveness.Claim, len(observations))
	for index, observation := range observations {
		claims[index] = liveness.Claim{
			Agent:     observation.Agent,
			Start:     observation.Start,
			Condition: livenessCondition(observation.Condition),
		}
	}
	return claims
}

func livenessCondition(condition control.AgentCondition) liveness.Condition {
	switch condition {
	case control.AgentAlive:
		return liveness.Alive
	case control.AgentLeaving:
		return liveness.Leaving
	}
	return liveness.Down
}
