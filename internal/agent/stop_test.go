package agent_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/agent"
	"github.com/vanetiller/vanetiller/internal/table"
)

// exchangeMessages sends a message in each direction of an open flow.
func exchangeMessages(flow, served connectionEnd) {
	GinkgoHelper()
	_, err := flow.Write([]byte("question"))
	Expect(err).NotTo(HaveOccurred())
	expectMessage(served, "question")
	_, err = served.Write([]byte("answer"))
	Expect(err).NotTo(HaveOccurred())
	expectMessage(flow, "answer")
}

// flowDurationAfterStop is how long a flow continues after the stop has begun, with
// a message in each direction every messageInterval.
const (
	flowDurationAfterStop = 4 * time.Second
	messageInterval       = 100 * time.Millisecond
)

// connectionEnd is either end of a flow.
type connectionEnd interface {
	Read([]byte) (int, error)
	Write([]byte) (int, error)
	Close() error
}

// twoRowEnvironment is a service with two rows, each with an agent and a back end.
// The second row is drained in table version 1. A test publishes version 2, in which
// both rows accept new flows.
type twoRowEnvironment struct {
	daemon        *testDaemon
	network       *testNetwork
	rows          [2]table.Backend
	backends      [2]*backend
	agents        [2]*runningAgent
	first, second table.Endpoint
}

func startTwoRowEnvironment() *twoRowEnvironment {
	started := &twoRowEnvironment{daemon: startDaemon(), network: startNetwork(), first: freeEndpoint(), second: freeEndpoint()}
	started.rows = [2]table.Backend{
		rowAt(lookupRow, lookupID, "lookup-1", started.first),
		rowAt(lookupRow+1, lookupID, "lookup-2", started.second),
	}
	started.rows[1].Drain = true
	started.publish(1)
	for index, row := range started.rows {
		started.backends[index] = startBackend()
		started.agents[index] = startAgent(row.Agent, started.network, started.daemon, waitTimeout,
			agent.Backend{Service: "lookup", Name: row.Name, Address: started.backends[index].address()})
		awaitVersion(started.daemon, row.Agent, 1)
	}
	started.network.setRoute(routeToRow(started.rows[0], 1))
	return started
}

func (e *twoRowEnvironment) publish(version table.Version) {
	e.daemon.publish(&table.Table{
		Version:  version,
		Services: []table.Service{testService(lookupID, "lookup", lookupAddress)},
		Backends: []table.Backend{e.rows[0], e.rows[1]},
	})
}

var _ = Describe("a planned stop", func() {
	It("opens no new flows, lets an open flow finish, and returns no error", func() {
		service := startBackend()
		env := startGracefulStopEnvironment(service.address())
		stopped := env.agent
		flow := startCaller(env.network).open(lookupAddress)
		served := service.nextConnection()
		stopped.stop()
		Eventually(func() bool { return env.daemon.reportedLeaving(env.endpoint) }, waitTimeout).Should(BeTrue())
		env.network.send(openingSegment(craftedCaller(2000), lookupAddress, 1))
		// This is longer than a stopping agent without flows would continue.
		for end := time.Now().Add(flowDurationAfterStop); time.Now().Before(end); time.Sleep(messageInterval) {
			exchangeMessages(flow, served)
		}
		Expect(service.accepted).To(BeEmpty())
		_, accepted := env.network.countResponses(craftedCaller(2000))
		Expect(accepted).To(BeZero())
		Expect(stopped.result).NotTo(Receive())
		closeBothEnds(flow, served)
		Eventually(stopped.result, waitTimeout).Should(Receive(BeNil()))
		Expect(service.accepted).To(BeEmpty())
	})

	It("returns no error when the stop timeout cuts a flow that does not finish", func() {
		service := startBackend()
		env := startEnvironment(service.address(), unchangedTable)
		flow := startCaller(env.network).open(lookupAddress)
		exchangeMessages(flow, service.nextConnection())
		env.agent.stop()
		Eventually(env.agent.result, waitTimeout).Should(Receive(BeNil()))
	})

	It("hands new flows over to another row while an open flow finishes", func() {
		twoRows := startTwoRowEnvironment()
		caller := startCaller(twoRows.network)
		flow := caller.open(lookupAddress)
		served := twoRows.backends[0].nextConnection()
		twoRows.rows[1].Drain = false
		twoRows.publish(2)
		awaitVersion(twoRows.daemon, twoRows.first, 2)
		awaitVersion(twoRows.daemon, twoRows.second, 2)
		twoRows.agents[0].stop()
		Eventually(func() bool { return twoRows.daemon.reportedLeaving(twoRows.first) }, waitTimeout).Should(BeTrue())
		// The balancer still uses table version 1 and the first row.
		later := caller.open(lookupAddress)
		handedOver := twoRows.backends[1].nextConnection()
		exchangeMessages(later, handedOver)
		exchangeMessages(flow, served)
		Expect(twoRows.backends[0].accepted).To(BeEmpty())
		Expect(twoRows.agents[0].result).NotTo(Receive())
		closeBothEnds(flow, served)
		Eventually(twoRows.agents[0].result, waitTimeout).Should(Receive(BeNil()))
		twoRows.network.setRoute(routeToRow(twoRows.rows[1], 2))
		exchangeMessages(later, handedOver)
		closeBothEnds(later, handedOver)
		twoRows.agents[1].stop()
		Eventually(twoRows.agents[1].result, waitTimeout).Should(Receive(BeNil()))
	})
})

// closeBothEnds closes a flow at the caller and at the back end.
func closeBothEnds(flow, served connectionEnd) {
	GinkgoHelper()
	Expect(flow.Close()).To(Succeed())
	Expect(served.Close()).To(Succeed())
}
