package agent_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/admission"
)

var _ = Describe("a forged query", func() {
	It("from a row that the service does not have keeps no caller from opening its flow", func() {
		service := startBackend()
		site := startSite(service.address(), unadjusted)
		source := crafted(2000)
		site.carrier.sendRaw(controlMessage(lookupID, admission.Message{From: 99, To: lookupRow, Query: &admission.Query{
			Flow: admission.FlowKeyOf(source), Sequence: 1, Purpose: admission.PurposeOpen,
		}})(nil), site.endpoint)
		site.carrier.send(opening(source, lookupAddress, 1))
		Eventually(service.accepted, "5s").Should(Receive(), "%v", site.agent.counts.drops())
	})
})
