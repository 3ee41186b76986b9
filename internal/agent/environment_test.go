package agent_test

import (
	"net/netip"
	"time"

	"github.com/vanetiller/vanetiller/internal/agent"
	"github.com/vanetiller/vanetiller/internal/table"
)

// site is one agent with one row, and what is around it.
type site struct {
	endpoint table.Endpoint
	row      table.Backend
	daemon   *testDaemon
	carrier  *network
	agent    *running
}

// startSite serves the lookup service at a back end. The table is adjusted
// before it is published.
func startSite(at netip.AddrPort, adjust func(*table.Table)) *site {
	return startSiteWith(at, cutAtOnce, adjust)
}

// startPatientSite is startSite with an agent that lets flows finish.
func startPatientSite(at netip.AddrPort) *site {
	return startSiteWith(at, generous, unadjusted)
}

func startSiteWith(at netip.AddrPort, stopTimeout time.Duration, adjust func(*table.Table)) *site {
	started := &site{endpoint: freeEndpoint(), daemon: startDaemon(), carrier: startNetwork()}
	published := &table.Table{
		Version:  1,
		Services: []table.Service{serviceAt(lookupID, "lookup", lookupAddress)},
		Backends: []table.Backend{rowAt(lookupRow, lookupID, "lookup-1", started.endpoint)},
	}
	adjust(published)
	started.row = published.Backends[0]
	started.daemon.publish(published)
	started.agent = startAgent(started.endpoint, started.carrier, started.daemon, stopTimeout,
		agent.Backend{Service: "lookup", Name: "lookup-1", Address: at})
	started.carrier.use(routeTo(started.row, published.Version))
	awaitVersion(started.daemon, started.endpoint, published.Version)
	return started
}

func unadjusted(*table.Table) {}
