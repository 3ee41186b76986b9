package agent_test

import (
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an agent whose heartbeats no daemon answers", func() {
	It("opens no flows after its lease has ended, continues open ones, and opens flows again once answered", func() {
		service := startBackend()
		env := startEnvironment(service.address(), unchangedTable)
		callers := startCaller(env.network)
		flow := callers.open(lookupAddress)
		served := service.nextConnection()
		env.daemon.setSilent(true)
		withoutLease := env.agent.counts.valueOf(metric{name: dropped.name, reason: "no_lease"})
		nextPort := uint16(5000)
		Eventually(func() float64 {
			// Flows may still open until the lease ends.
			nextPort++
			env.network.send(openingSegment(craftedCaller(nextPort), lookupAddress, 1))
			return withoutLease()
		}, waitTimeout).Should(BeNumerically(">", 0))
		late := craftedCaller(nextPort + 1)
		before := withoutLease()
		env.network.send(openingSegment(late, lookupAddress, 1))
		Eventually(withoutLease, waitTimeout).Should(BeNumerically(">", before))
		exchangeMessages(flow, served)
		Expect(env.network.responsesTo(late)).To(BeEmpty())
		env.daemon.setSilent(false)
		go echoStreams(service)
		later := callers.open(lookupAddress)
		_, err := later.Write([]byte("later"))
		Expect(err).NotTo(HaveOccurred())
		expectMessage(later, "later")
	})
})

// echoStreams echoes the data of every connection of the back end.
func echoStreams(service *backend) {
	for connection := range service.accepted {
		go func() { _, _ = io.Copy(connection, connection) }()
	}
}
