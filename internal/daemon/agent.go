package daemon

import (
	"context"

	"github.com/vanetiller/vanetiller/internal/agent"
	"github.com/vanetiller/vanetiller/internal/observability"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// agentRole runs an agent.
type agentRole struct {
	health *observability.Health
	agent  *agent.Agent
}

func newAgentRole(shared parts) (*agentRole, error) {
	configured := shared.settings.Agent
	created, err := agent.New(agent.Config{
		Listen:      configured.Listen,
		Fabric:      configured.Fabric,
		Daemons:     configured.Daemons,
		Backends:    agentBackends(configured.Backends),
		StopTimeout: configured.StopTimeout,
		FlowLimit:   configured.FlowLimit,
		Stateless:   configured.Baseline == settings.BaselineHash,
		Logger:      shared.logger,
		Metrics:     newAgentMetrics(shared),
	})
	if err != nil {
		return nil, err
	}
	return &agentRole{shared.health, created}, nil
}

func agentBackends(configured []settings.AgentBackend) []agent.Backend {
	backends := make([]agent.Backend, len(configured))
	for index, backend := range configured {
		backends[index] = agent.Backend(backend)
	}
	return backends
}

// Run implements role. The agent itself lets open flows finish at a planned
// stop, which begins once the health shows it.
func (a *agentRole) Run(ctx context.Context) error {
	a.health.SetReady(conditionServing)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	release := context.AfterFunc(ctx, func() {
		a.health.SetNotReady(conditionServing, "stopping")
		stop()
	})
	defer release()
	return a.agent.Run(serving)
}
