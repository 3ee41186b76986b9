package agent_test

import (
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gvisor.dev/gvisor/pkg/tcpip"

	"github.com/vanetiller/vanetiller/internal/table"
)

var _ = Describe("a flow that is refused", func() {
	const sequence = 1000

	// isRefused sends the first packet of a flow and waits for one more reset.
	isRefused := func(site *site, caller netip.AddrPort, initial uint32) {
		GinkgoHelper()
		before, _ := site.carrier.resetsTo(caller)
		site.carrier.send(opening(caller, lookupAddress, initial))
		Eventually(func() int {
			resets, _ := site.carrier.resetsTo(caller)
			return resets
		}, generous).Should(Equal(before + 1))
		_, others := site.carrier.resetsTo(caller)
		Expect(others).To(BeZero())
	}

	It("has not reached a dead back end, nor does its retransmission once that is back", func() {
		address := deadAddress()
		site := startSite(address, unadjusted)
		isRefused(site, crafted(2000), sequence)
		service := startBackendAt(address)
		isRefused(site, crafted(2000), sequence)
		flow := startCaller(site.carrier).open(lookupAddress)
		served := service.take()
		_, err := flow.Write([]byte("first to run"))
		Expect(err).NotTo(HaveOccurred())
		expectMessage(served, "first to run")
		Expect(service.accepted).To(BeEmpty())
		Expect(site.agent.counts.of(refused)()).To(BeEquivalentTo(2))
	})

	It("opens when its caller tries anew after the back end is back", func() {
		address := deadAddress()
		site := startSite(address, unadjusted)
		isRefused(site, crafted(2000), sequence)
		service := startBackendAt(address)
		site.carrier.send(opening(crafted(2000), lookupAddress, sequence+1))
		service.take()
	})

	It("is beyond the connection limit, and opens again below it", func() {
		service := startBackend()
		site := startSite(service.address(), func(published *table.Table) {
			published.Backends[0].ConnectionLimit = 1
		})
		caller := startCaller(site.carrier)
		first := caller.open(lookupAddress)
		served := service.take()
		isRefused(site, crafted(2000), sequence)
		isRefused(site, crafted(2000), sequence)
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
				bound(again)
			}
			return err
		}, generous).Should(Succeed())
		service.take()
	})
})
