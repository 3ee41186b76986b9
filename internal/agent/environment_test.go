package agent_test

import (
	"net/netip"
	"time"

	"github.com/vanetiller/vanetiller/internal/agent"
	"github.com/vanetiller/vanetiller/internal/table"
)

// environment is an agent with one row, its daemon and its network.
type environment struct {
	endpoint table.Endpoint
	row      table.Backend
	daemon   *testDaemon
	network  *testNetwork
	agent    *runningAgent
}

// startEnvironment starts an agent that serves the lookup service with the back end
// at the given address. It calls adjust with the table before publishing it.
func startEnvironment(at netip.AddrPort, adjust func(*table.Table)) *environment {
	return startEnvironmentWith(at, immediateStopTimeout, adjust)
}

// startGracefulStopEnvironment is like startEnvironment, but a planned stop of the agent
// lets open flows finish.
func startGracefulStopEnvironment(at netip.AddrPort) *environment {
	return startEnvironmentWith(at, waitTimeout, unchangedTable)
}

func startEnvironmentWith(at netip.AddrPort, stopTimeout time.Duration, adjust func(*table.Table)) *environment {
	started := &environment{endpoint: freeEndpoint(), daemon: startDaemon(), network: startNetwork()}
	published := &table.Table{
		Version:  1,
		Services: []table.Service{testService(lookupID, "lookup", lookupAddress)},
		Backends: []table.Backend{rowAt(lookupRow, lookupID, "lookup-1", started.endpoint)},
	}
	adjust(published)
	started.row = published.Backends[0]
	started.daemon.publish(published)
	started.agent = startAgent(started.endpoint, started.network, started.daemon, stopTimeout,
		agent.Backend{Service: "lookup", Name: "lookup-1", Address: at})
	started.network.setRoute(routeToRow(started.row, published.Version))
	awaitVersion(started.daemon, started.endpoint, published.Version)
	return started
}

func unchangedTable(*table.Table) {}
