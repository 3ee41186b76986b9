package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	benchServices = 1500
	benchRows     = 8
	benchAgents   = 22
)

// targetRegistry returns a registry with a table of the target size, and the few agents
// that report to it.
func targetRegistry() (*Registry, []table.Endpoint) {
	configuration := &table.Table{Version: 1}
	var agents []table.Endpoint
	for service := range table.ServiceID(benchServices) {
		configuration.Services = append(configuration.Services, table.Service{ID: service + 1})
		for row := range benchRows {
			id := table.BackendID(int(service)*benchRows + row + 1)
			agent := table.Endpoint(fmt.Sprintf("10.%d.%d.%d:6081", id>>16&255, id>>8&255, id&255))
			agents = append(agents, agent)
			configuration.Backends = append(configuration.Backends, table.Backend{ID: id, Service: service + 1, Agent: agent})
		}
	}
	registry := NewRegistry()
	registry.Tick(0)
	registry.Publish(0, configuration)
	return registry, agents[:benchAgents]
}

func BenchmarkHeartbeat(b *testing.B) {
	registry, agents := targetRegistry()
	for round := range b.N {
		now := time.Duration(round) * time.Millisecond
		registry.Tick(now)
		registry.Receive(now, Heartbeat{Agent: agents[round%benchAgents], Version: 1})
	}
}

func BenchmarkUnavailable(b *testing.B) {
	registry, agents := targetRegistry()
	for round := range b.N {
		now := time.Duration(round) * serverTickInterval
		registry.Tick(now)
		for _, agent := range agents {
			registry.Receive(now, Heartbeat{Agent: agent, Version: 1})
		}
		registry.Unavailable(now)
	}
}
