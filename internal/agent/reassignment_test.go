package agent_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/agent"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	// glossaryID is the service that replaces another one.
	glossaryID  table.ServiceID = 9
	glossaryRow table.BackendID = 91
	// staleOpenings is the number of flows sent through a stale balancer.
	staleOpenings = 20
)

// openThroughStaleBalancer sends opening segments for the old service through a
// balancer that still uses the old table.
func openThroughStaleBalancer(network *testNetwork, old table.Backend) {
	network.setRoute(routeToRow(old, 1))
	for port := range uint16(staleOpenings) {
		network.send(openingSegment(craftedCaller(4000+port), lookupAddress, 1))
	}
}

// expectSingleConnection opens a flow after everything sent before, and checks that
// the back end receives no other connection.
func expectSingleConnection(network *testNetwork, callers *caller, row table.Backend, service table.Service, seen *backend) {
	GinkgoHelper()
	network.setRoute(routeToRow(row, 2))
	flow := callers.open(service.Address.AddrPort())
	exchangeMessages(flow, seen.nextConnection())
	Expect(seen.accepted).To(BeEmpty())
}

var _ = Describe("a stale balancer", func() {
	It("does not reach a new service that took over the address of the old service", func() {
		daemon, network, endpoint := startDaemon(), startNetwork(), freeEndpoint()
		callers := startCaller(network)
		lookup, glossary := startBackend(), startBackend()
		lookupBackend := rowAt(lookupRow, lookupID, "lookup-1", endpoint)
		glossaryBackend := rowAt(glossaryRow, glossaryID, "glossary-1", endpoint)
		daemon.publish(&table.Table{
			Version:  1,
			Services: []table.Service{testService(lookupID, "lookup", lookupAddress)},
			Backends: []table.Backend{lookupBackend},
		})
		served := startAgent(endpoint, network, daemon, immediateStopTimeout,
			agent.Backend{Service: "lookup", Name: "lookup-1", Address: lookup.address()},
			agent.Backend{Service: "glossary", Name: "glossary-1", Address: glossary.address()})
		awaitVersion(daemon, endpoint, 1)
		network.setRoute(routeToRow(lookupBackend, 1))
		established := callers.open(lookupAddress)
		earlier := lookup.nextConnection()
		successor := testService(glossaryID, "glossary", lookupAddress)
		daemon.publish(&table.Table{
			Version:  2,
			Services: []table.Service{successor},
			Backends: []table.Backend{glossaryBackend},
		})
		awaitVersion(daemon, endpoint, 2)
		openThroughStaleBalancer(network, lookupBackend)
		exchangeMessages(established, earlier)
		expectSingleConnection(network, callers, glossaryBackend, successor, glossary)
		Expect(lookup.accepted).To(BeEmpty())
		Expect(served.counts.dropsByReason()).To(HaveKeyWithValue("no_primary", BeEquivalentTo(staleOpenings)))
	})

	It("does not reach a new service whose agent took over the address of the old agent", func() {
		daemon, network, endpoint := startDaemon(), startNetwork(), freeEndpoint()
		callers := startCaller(network)
		glossary := startBackend()
		lookupBackend := rowAt(lookupRow, lookupID, "lookup-1", endpoint)
		glossaryBackend := rowAt(glossaryRow, glossaryID, "glossary-1", endpoint)
		successor := testService(glossaryID, "glossary", exportAddress)
		daemon.publish(&table.Table{
			Version:  2,
			Services: []table.Service{successor},
			Backends: []table.Backend{glossaryBackend},
		})
		served := startAgent(endpoint, network, daemon, immediateStopTimeout,
			agent.Backend{Service: "glossary", Name: "glossary-1", Address: glossary.address()})
		awaitVersion(daemon, endpoint, 2)
		openThroughStaleBalancer(network, lookupBackend)
		expectSingleConnection(network, callers, glossaryBackend, successor, glossary)
		Expect(served.counts.dropsByReason()).To(Equal(map[string]float64{"misaddressed": staleOpenings}))
	})
})
