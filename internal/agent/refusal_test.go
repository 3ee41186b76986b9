package agent_test

import (
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gvisor.dev/gvisor/pkg/tcpip"

	"github.com/vanetiller/vanetiller/internal/table"
)

var _ = Describe("a refused flow", func() {
	const sequence = 1000

	// expectReset sends the first packet of a flow and waits for another reset.
	expectReset := func(env *environment, caller netip.AddrPort, initial uint32) {
		GinkgoHelper()
		before, _ := env.network.countResponses(caller)
		env.network.send(openingSegment(caller, lookupAddress, initial))
		Eventually(func() int {
			resets, _ := env.network.countResponses(caller)
			return resets
		}, waitTimeout).Should(Equal(before + 1))
		_, others := env.network.countResponses(caller)
		Expect(others).To(BeZero())
	}

	It("stays refused when it is retransmitted after its dead back end has returned", func() {
		address := deadAddress()
		env := startEnvironment(address, unchangedTable)
		expectReset(env, craftedCaller(2000), sequence)
		service := startBackendAt(address)
		expectReset(env, craftedCaller(2000), sequence)
		flow := startCaller(env.network).open(lookupAddress)
		served := service.nextConnection()
		_, err := flow.Write([]byte("first to run"))
		Expect(err).NotTo(HaveOccurred())
		expectMessage(served, "first to run")
		Expect(service.accepted).To(BeEmpty())
		Expect(env.agent.counts.valueOf(refused)()).To(BeEquivalentTo(2))
	})

	It("opens when its caller tries again with a new connection after the back end has returned", func() {
		address := deadAddress()
		env := startEnvironment(address, unchangedTable)
		expectReset(env, craftedCaller(2000), sequence)
		service := startBackendAt(address)
		env.network.send(openingSegment(craftedCaller(2000), lookupAddress, sequence+1))
		service.nextConnection()
	})

	It("does not reach the back end at the connection limit, and opens below the limit", func() {
		service := startBackend()
		env := startEnvironment(service.address(), func(published *table.Table) {
			published.Backends[0].ConnectionLimit = 1
		})
		caller := startCaller(env.network)
		first := caller.open(lookupAddress)
		served := service.nextConnection()
		expectReset(env, craftedCaller(2000), sequence)
		expectReset(env, craftedCaller(2000), sequence)
		_, err := caller.dial(lookupAddress)
		Expect(err).To(MatchError(ContainSubstring((&tcpip.ErrConnectionRefused{}).String())))
		_, err = first.Write([]byte("still here"))
		Expect(err).NotTo(HaveOccurred())
		expectMessage(served, "still here")
		Expect(service.accepted).To(BeEmpty())
		Expect(first.Close()).To(Succeed())
		Expect(served.Close()).To(Succeed())
		Eventually(func() error {
			again, err := caller.dial(lookupAddress)
			if err == nil {
				setTestDeadline(again)
			}
			return err
		}, waitTimeout).Should(Succeed())
		service.nextConnection()
	})
})
