package agent_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/admission"
)

var _ = Describe("a forged query from a row that the service does not have", func() {
	It("does not prevent a caller from opening its flow", func() {
		service := startBackend()
		env := startEnvironment(service.address(), unchangedTable)
		source := craftedCaller(2000)
		env.network.sendRaw(controlMessage(lookupID, admission.Message{From: 99, To: lookupRow, Query: &admission.Query{
			Flow: admission.FlowKeyOf(source), Sequence: 1, Purpose: admission.PurposeOpen,
		}})(nil), env.endpoint)
		env.network.send(openingSegment(source, lookupAddress, 1))
		Eventually(service.accepted, "5s").Should(Receive(), "%v", env.agent.counts.dropsByReason())
	})
})
