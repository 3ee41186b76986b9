package agent_test

import (
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an agent that no daemon answers", func() {
	It("opens no flows, carries on the established ones, and opens again when it is answered", func() {
		service := startBackend()
		site := startSite(service.address(), unadjusted)
		callers := startCaller(site.carrier)
		flow := callers.open(lookupAddress)
		served := service.take()
		site.daemon.setSilent(true)
		withoutLease := site.agent.counts.of(metric{name: dropped.name, reason: "no_lease"})
		nextPort := uint16(5000)
		Eventually(func() float64 {
			// Flows may still open until the lease has ended.
			nextPort++
			site.carrier.send(opening(crafted(nextPort), lookupAddress, 1))
			return withoutLease()
		}, generous).Should(BeNumerically(">", 0))
		late := crafted(nextPort + 1)
		before := withoutLease()
		site.carrier.send(opening(late, lookupAddress, 1))
		Eventually(withoutLease, generous).Should(BeNumerically(">", before))
		exchangeMessages(flow, served)
		Expect(site.carrier.answersTo(late)).To(BeEmpty())
		site.daemon.setSilent(false)
		go echoStreams(service)
		later := callers.open(lookupAddress)
		_, err := later.Write([]byte("later"))
		Expect(err).NotTo(HaveOccurred())
		expectMessage(later, "later")
	})
})

// echoStreams answers every connection of the back end with what it sends.
func echoStreams(service *backend) {
	for connection := range service.accepted {
		go func() { _, _ = io.Copy(connection, connection) }()
	}
}
