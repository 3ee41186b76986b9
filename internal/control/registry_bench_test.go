package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	// The table has the size that the product is designed for: 12,000 rows of 1,500 services.
	benchServiceCount   = 1500
	benchRowsPerService = 8
	// benchAgentCount is the number of agents that send heartbeats.
	benchAgentCount = 22
)

// newDesignSizeRegistry returns a registry with a table of the size above, and the agents that
// send heartbeats to it. The other agents of the table send none.
func newDesignSizeRegistry() (*Registry, []table.Endpoint) {
	configuration := &table.Table{Version: 1}
	var agents []table.Endpoint
	for service := range table.ServiceID(benchServiceCount) {
		configuration.Services = append(configuration.Services, table.Service{ID: service + 1})
		for row := range benchRowsPerService {
			id := table.BackendID(int(service)*benchRowsPerService + row + 1)
			agent := table.Endpoint(fmt.Sprintf("10.%d.%d.%d:6081", id>>16&255, id>>8&255, id&255))
			agents = append(agents, agent)
			configuration.Backends = append(configuration.Backends, table.Backend{ID: id, Service: service + 1, Agent: agent})
		}
	}
	registry := NewRegistry()
	registry.Tick(0)
	registry.Publish(0, configuration)
	return registry, agents[:benchAgentCount]
}

// BenchmarkHeartbeat measures one call of Tick and the receipt of one heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	registry, agents := newDesignSizeRegistry()
	for round := range b.N {
		now := time.Duration(round) * time.Millisecond
		registry.Tick(now)
		registry.Receive(now, Heartbeat{Agent: agents[round%benchAgentCount], Version: 1})
	}
}

// BenchmarkUnavailable measures one tick interval in which every reporting agent sends a
// heartbeat and the unavailable rows are queried once.
func BenchmarkUnavailable(b *testing.B) {
	registry, agents := newDesignSizeRegistry()
	for round := range b.N {
		now := time.Duration(round) * serverTickInterval
		registry.Tick(now)
		for _, agent := range agents {
			registry.Receive(now, Heartbeat{Agent: agent, Version: 1})
		}
		registry.Unavailable(now)
	}
}
