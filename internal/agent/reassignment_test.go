package agent_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/agent"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	// glossaryID is the service that comes into the place of another.
	glossaryID  table.ServiceID = 9
	glossaryRow table.BackendID = 91
	// staleOpenings is how many flows a stale balancer tries to open.
	staleOpenings = 20
)

// sendStale lets a balancer with the old table open flows to the old service.
func sendStale(carrier *network, old table.Backend) {
	carrier.use(routeTo(old, 1))
	for port := range uint16(staleOpenings) {
		carrier.send(opening(crafted(4000+port), lookupAddress, 1))
	}
}

// expectOne opens a flow behind what was sent before, and checks that the back
// end sees no other.
func expectOne(carrier *network, callers *caller, row table.Backend, service table.Service, seen *backend) {
	GinkgoHelper()
	carrier.use(routeTo(row, 2))
	flow := callers.open(service.Address.AddrPort())
	exchangeMessages(flow, seen.take())
	Expect(seen.accepted).To(BeEmpty())
}

var _ = Describe("a stale balancer", func() {
	It("does not reach the service that has been given the address of another", func() {
		daemon, carrier, endpoint := startDaemon(), startNetwork(), freeEndpoint()
		callers := startCaller(carrier)
		lookup, glossary := startBackend(), startBackend()
		lookupBackend := rowAt(lookupRow, lookupID, "lookup-1", endpoint)
		glossaryBackend := rowAt(glossaryRow, glossaryID, "glossary-1", endpoint)
		daemon.publish(&table.Table{
			Version:  1,
			Services: []table.Service{serviceAt(lookupID, "lookup", lookupAddress)},
			Backends: []table.Backend{lookupBackend},
		})
		served := startAgent(endpoint, carrier, daemon, cutAtOnce,
			agent.Backend{Service: "lookup", Name: "lookup-1", Address: lookup.address()},
			agent.Backend{Service: "glossary", Name: "glossary-1", Address: glossary.address()})
		awaitVersion(daemon, endpoint, 1)
		carrier.use(routeTo(lookupBackend, 1))
		established := callers.open(lookupAddress)
		earlier := lookup.take()
		successor := serviceAt(glossaryID, "glossary", lookupAddress)
		daemon.publish(&table.Table{
			Version:  2,
			Services: []table.Service{successor},
			Backends: []table.Backend{glossaryBackend},
		})
		awaitVersion(daemon, endpoint, 2)
		sendStale(carrier, lookupBackend)
		exchangeMessages(established, earlier)
		expectOne(carrier, callers, glossaryBackend, successor, glossary)
		Expect(lookup.accepted).To(BeEmpty())
		Expect(served.counts.drops()).To(HaveKeyWithValue("no_primary", BeEquivalentTo(staleOpenings)))
	})

	It("does not reach the service whose agent has been given the address of another's", func() {
		daemon, carrier, endpoint := startDaemon(), startNetwork(), freeEndpoint()
		callers := startCaller(carrier)
		glossary := startBackend()
		lookupBackend := rowAt(lookupRow, lookupID, "lookup-1", endpoint)
		glossaryBackend := rowAt(glossaryRow, glossaryID, "glossary-1", endpoint)
		successor := serviceAt(glossaryID, "glossary", exportAddress)
		daemon.publish(&table.Table{
			Version:  2,
			Services: []table.Service{successor},
			Backends: []table.Backend{glossaryBackend},
		})
		served := startAgent(endpoint, carrier, daemon, cutAtOnce,
			agent.Backend{Service: "glossary", Name: "glossary-1", Address: glossary.address()})
		awaitVersion(daemon, endpoint, 2)
		sendStale(carrier, lookupBackend)
		expectOne(carrier, callers, glossaryBackend, successor, glossary)
		Expect(served.counts.drops()).To(Equal(map[string]float64{"misaddressed": staleOpenings}))
	})
})
