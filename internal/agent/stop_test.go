package agent_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/agent"
	"github.com/vanetiller/vanetiller/internal/table"
)

// exchangeMessages sends a message each way on an established flow.
func exchangeMessages(flow, served messenger) {
	GinkgoHelper()
	_, err := flow.Write([]byte("question"))
	Expect(err).NotTo(HaveOccurred())
	expectMessage(served, "question")
	_, err = served.Write([]byte("answer"))
	Expect(err).NotTo(HaveOccurred())
	expectMessage(flow, "answer")
}

// inFlight is how long a flow goes on after the stop has begun.
const (
	inFlight        = 4 * time.Second
	betweenMessages = 100 * time.Millisecond
)

// messenger is either end of a flow.
type messenger interface {
	Read([]byte) (int, error)
	Write([]byte) (int, error)
	Close() error
}

// pair is a service with two rows, each with an agent and a back end. Only the
// first takes new flows at version 1; both do at version 2.
type pair struct {
	daemon        *testDaemon
	carrier       *network
	rows          [2]table.Backend
	backends      [2]*backend
	agents        [2]*running
	first, second table.Endpoint
}

func startPair() *pair {
	started := &pair{daemon: startDaemon(), carrier: startNetwork(), first: freeEndpoint(), second: freeEndpoint()}
	started.rows = [2]table.Backend{
		rowAt(lookupRow, lookupID, "lookup-1", started.first),
		rowAt(lookupRow+1, lookupID, "lookup-2", started.second),
	}
	started.rows[1].Drain = true
	started.publish(1)
	for index, row := range started.rows {
		started.backends[index] = startBackend()
		started.agents[index] = startAgent(row.Agent, started.carrier, started.daemon, generous,
			agent.Backend{Service: "lookup", Name: row.Name, Address: started.backends[index].address()})
		awaitVersion(started.daemon, row.Agent, 1)
	}
	started.carrier.use(routeTo(started.rows[0], 1))
	return started
}

func (p *pair) publish(version table.Version) {
	p.daemon.publish(&table.Table{
		Version:  version,
		Services: []table.Service{serviceAt(lookupID, "lookup", lookupAddress)},
		Backends: []table.Backend{p.rows[0], p.rows[1]},
	})
}

var _ = Describe("a planned stop", func() {
	It("refuses new flows, lets the one in flight finish, and ends without an error", func() {
		service := startBackend()
		site := startPatientSite(service.address())
		stopped := site.agent
		flow := startCaller(site.carrier).open(lookupAddress)
		served := service.take()
		stopped.stop()
		Eventually(func() bool { return site.daemon.knowsLeaving(site.endpoint) }, generous).Should(BeTrue())
		site.carrier.send(opening(crafted(2000), lookupAddress, 1))
		// Longer than a stopping agent without flows goes on.
		for end := time.Now().Add(inFlight); time.Now().Before(end); time.Sleep(betweenMessages) {
			exchangeMessages(flow, served)
		}
		Expect(service.accepted).To(BeEmpty())
		_, accepted := site.carrier.resetsTo(crafted(2000))
		Expect(accepted).To(BeZero())
		Expect(stopped.result).NotTo(Receive())
		finish(flow, served)
		Eventually(stopped.result, generous).Should(Receive(BeNil()))
		Expect(service.accepted).To(BeEmpty())
	})

	It("ends without an error when its time limit cuts a flow that does not finish", func() {
		service := startBackend()
		site := startSite(service.address(), unadjusted)
		flow := startCaller(site.carrier).open(lookupAddress)
		exchangeMessages(flow, service.take())
		site.agent.stop()
		Eventually(site.agent.result, generous).Should(Receive(BeNil()))
	})

	It("hands new flows over to another row, while the one in flight finishes", func() {
		pair := startPair()
		caller := startCaller(pair.carrier)
		flow := caller.open(lookupAddress)
		served := pair.backends[0].take()
		pair.rows[1].Drain = false
		pair.publish(2)
		awaitVersion(pair.daemon, pair.first, 2)
		awaitVersion(pair.daemon, pair.second, 2)
		pair.agents[0].stop()
		Eventually(func() bool { return pair.daemon.knowsLeaving(pair.first) }, generous).Should(BeTrue())
		// The balancer still uses the first version, and the first row.
		later := caller.open(lookupAddress)
		handedOver := pair.backends[1].take()
		exchangeMessages(later, handedOver)
		exchangeMessages(flow, served)
		Expect(pair.backends[0].accepted).To(BeEmpty())
		Expect(pair.agents[0].result).NotTo(Receive())
		finish(flow, served)
		Eventually(pair.agents[0].result, generous).Should(Receive(BeNil()))
		pair.carrier.use(routeTo(pair.rows[1], 2))
		exchangeMessages(later, handedOver)
		finish(later, handedOver)
		pair.agents[1].stop()
		Eventually(pair.agents[1].result, generous).Should(Receive(BeNil()))
	})
})

// finish ends a flow from both sides.
func finish(flow, served messenger) {
	GinkgoHelper()
	Expect(flow.Close()).To(Succeed())
	Expect(served.Close()).To(Succeed())
}
