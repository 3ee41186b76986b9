package cluster_test

import (
	"context"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/cluster"
	"github.com/vanetiller/vanetiller/internal/cluster/liveness"
	"github.com/vanetiller/vanetiller/internal/table"
)

var _ = Describe("Node", func() {
	BeforeEach(func() {
		leaks := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(leaks) }, eventTimeout).Should(Succeed()) })
	})

	It("distributes a table of the configuration service from one daemon to all others", func() {
		started := newFleet(3)
		nodes := started.startAll(5)
		nodes[1].updateTable(tableOf(7, 1))
		expectApplied(nodes, 7)

		By("keeping the newest table when older ones are offered")
		nodes[3].updateTable(tableOf(12, 2))
		expectApplied(nodes, 12)
		for _, stale := range []table.Version{12, 11, 7} {
			Expect(nodes[0].UpdateTable(tableOf(stale, 1))).To(BeFalse())
		}
		for _, holder := range nodes {
			Expect(holder.Store().Table().Table).To(Equal(tableOf(12, 2)))
		}

		By("returning an error for an invalid table")
		_, err := nodes[0].UpdateTable(&table.Table{Version: 13, Backends: tableOf(13, 1).Backends})
		Expect(err).To(MatchError(ContainSubstring("service")))

		By("showing the members and the versions they have applied")
		Eventually(func() bool { return nodes[2].Store().VersionStatus(12).Complete() }, eventTimeout).Should(BeTrue())
		Expect(nodes[2].Store().VersionStatus(12).Reached).To(Equal(5))
		Expect(nodes[2].Store().VersionStatus(13)).To(And(HaveField("Accepted", false), HaveField("NotReached", HaveLen(5))))
		nodes[2].SetMachines([]cluster.MachineName{{Address: nodes[0].Address().Addr(), Name: "first"}})
		members := nodes[2].Store().Members()
		Expect(members).To(HaveLen(5))
		for _, member := range members {
			Expect(member.State).To(Equal("live"))
			Expect(member.Version).To(Equal(table.Version(12)))
		}
		Expect(members).To(ContainElements(
			adminapi.Member{Name: "first", Zone: "casablanca-1", State: "live", Version: 12},
			adminapi.Member{Name: "balancer-2", Zone: "kolkata-1", State: "live", Version: 12}))

		By("bringing a new daemon up to date after the daemon that received the table has stopped")
		nodes[3].stop()
		late := started.start(5)
		expectApplied([]*node{late}, 12)
		Expect(late.Store().History()).To(ContainElement(HaveField("Reason", "version 12 of the configuration service")))
	})

	It("refuses a change but previews its effect", func() {
		alone := newFleet(1).start(0)
		alone.updateTable(tableOf(4, 1))
		weight := uint32(9)
		change := &changelog.Change{ID: "c1", BaseVersion: 4, Cells: []changelog.CellUpdate{{Backend: 1, Weight: &weight}}}
		submitted := alone.Store().Submit(context.Background(), change)
		Expect(submitted.Decided).To(BeTrue())
		Expect(submitted.Outcome.Accepted).To(BeFalse())
		Expect(submitted.Outcome.Version).To(Equal(table.Version(4)))
		Expect(submitted.Outcome.Refusal.Rule).To(ContainSubstring("configuration service"))
		preview, err := alone.Store().Preview(change)
		Expect(err).NotTo(HaveOccurred())
		Expect(preview.Outcome.Accepted).To(BeTrue())
		Expect(preview.Cells).To(ConsistOf(And(HaveField("Column", "weight"), HaveField("Old", "1"), HaveField("New", "9"))))
		Expect(alone.Store().Table().Table).To(Equal(tableOf(4, 1)))
	})

	It("reports to all daemons the condition of an agent that reports to one of them", func() {
		started := newFleet(3)
		nodes := started.startAll(3)
		const agent = table.Endpoint("192.0.2.1:6081")
		expect := func(observers []*node, claim liveness.Claim) {
			GinkgoHelper()
			for _, running := range observers {
				Eventually(func() liveness.Claim { return running.agents.of(agent) }, eventTimeout).Should(Equal(claim))
			}
		}
		alive := liveness.Claim{Agent: agent, Start: 5, Condition: liveness.Alive}
		nodes[0].ReportAgents([]liveness.Claim{alive})
		expect(nodes[1:], alive)
		nodes[0].ReportAgents([]liveness.Claim{{Agent: agent, Start: 5, Condition: liveness.Leaving}})
		expect(nodes[1:], liveness.Claim{Agent: agent, Start: 5, Condition: liveness.Leaving})
		late := started.start(3)
		expect([]*node{late}, liveness.Claim{Agent: agent, Start: 5, Condition: liveness.Leaving})
		Eventually(late.agents.isReady, eventTimeout).Should(BeTrue())
		nodes[0].stop()
		expect(append(nodes[1:], late), liveness.Claim{Agent: agent})
	})

	It("fetches a table that does not fit in a datagram", func() {
		nodes := newFleet(3).startAll(6)
		nodes[2].updateTable(tableOf(1, 2000))
		expectApplied(nodes, 1)
		for _, holder := range nodes {
			Expect(holder.Store().Table().Table.Backends).To(HaveLen(2000))
		}
	})

	DescribeTable("returns an error for an invalid setting",
		func(invalidate func(*cluster.Config), expected string) {
			config := newFleet(1).config(0, nil)
			config.Limits = changelog.DefaultLimits()
			invalidate(&config)
			_, err := cluster.New(config)
			Expect(err).To(MatchError(ContainSubstring(expected)))
		},
		Entry("unspecified address", func(c *cluster.Config) { c.Listen = netip.MustParseAddrPort("0.0.0.0:7100") }, "one IPv4 address"),
		Entry("port zero", func(c *cluster.Config) { c.Listen = netip.MustParseAddrPort("127.0.0.1:0") }, "one IPv4 address"),
		Entry("seed with a different port", func(c *cluster.Config) { c.Seeds[0] = netip.MustParseAddrPort("127.0.0.1:1") }, "port 17100"),
		Entry("zone that is not in the list of zones", func(c *cluster.Config) { c.Zone = "atlantis-1" }, "atlantis-1"),
		Entry("empty list of zones", func(c *cluster.Config) { c.Zones = nil }, "0 zones"),
	)
})
