package daemon

import (
	"context"

	"github.com/vanetiller/vanetiller/internal/agent"
	"github.com/vanetiller/vanetiller/internal/observability"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// agentRole runs an agent and reports its readiness.
type agentRole struct {
	health *observability.Health
	agent  *agent.Agent
}

func newAgentRole(deps dependencies) (*agentRole, error) {
	config := deps.settings.Agent
	created, err := agent.New(agent.Config{
		Listen:      config.Listen,
		Fabric:      config.Fabric,
		Daemons:     config.Daemons,
		Backends:    agentBackends(config.Backends),
		StopTimeout: config.StopTimeout,
		FlowLimit:   config.FlowLimit,
		Stateless:   config.Baseline == settings.BaselineHash,
		Logger:      deps.logger,
		Metrics:     newAgentMetrics(deps),
	})
	if err != nil {
		return nil, err
	}
	return &agentRole{deps.health, created}, nil
}

func agentBackends(backendSettings []settings.AgentBackend) []agent.Backend {
	backends := make([]agent.Backend, len(backendSettings))
	for index, backend := range backendSettings {
		backends[index] = agent.Backend(backend)
	}
	return backends
}

// Run implements role. A planned stop first reports that the process is not ready,
// and then stops the agent, which waits for its open flows.
func (a *agentRole) Run(ctx context.Context) error {
	a.health.SetReady(conditionServing)
	agentContext, stopAgent := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAgent()
	unregister := context.AfterFunc(ctx, func() {
		a.health.SetNotReady(conditionServing, "stopping")
		stopAgent()
	})
	defer unregister()
	return a.agent.Run(agentContext)
}
