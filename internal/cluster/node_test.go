package cluster_test

import (
	"context"
	"net/netip"
	"time"

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
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(leaks) }, patience).Should(Succeed()) })
	})

	It("agrees on changes that any daemon is given, and puts them in force on all", func() {
		nodes := newFleet(3, 3).startAll(5)
		for index, given := range nodes {
			outcome := given.submit(given.addition(index + 1))
			Expect(outcome.Accepted).To(BeTrue())
			expectInForce(nodes, outcome.Version)
		}
		Expect(nodes[0].version()).To(Equal(table.Version(5)))

		By("answering a refused change, and a conflict, with its outcome")
		again := nodes[4].addition(1)
		again.ID = "same service again"
		Expect(nodes[4].submit(again).Refusal).NotTo(BeNil())
		conflicting := nodes[3].addition(9)
		conflicting.ExpectedVersion = 2
		Expect(nodes[3].submit(conflicting).Refusal.Rule).To(Equal("expected 2, is 5"))

		By("showing the members and where the table is in force")
		Eventually(func() bool { return nodes[2].Store().Reached(5).Complete() }, patience).Should(BeTrue())
		Expect(nodes[2].Store().Reached(5).Reached).To(Equal(5))
		Expect(nodes[2].Store().Reached(6).NotReached).To(HaveLen(5))
		nodes[2].SetMachines([]cluster.Name{{Address: nodes[0].Address().Addr(), Name: "first"}})
		members := nodes[2].Store().Members()
		Expect(members).To(HaveLen(5))
		for _, member := range members {
			Expect(member.State).To(Equal("live"))
			Expect(member.Version).To(Equal(table.Version(5)))
		}
		Expect(members).To(ContainElements(
			adminapi.Member{Name: "first", Zone: "casablanca-1", State: "live", Version: 5},
			adminapi.Member{Name: "balancer-2", Zone: "kolkata-1", State: "live", Version: 5}))

		By("showing the history on a daemon that does not vote")
		for _, shown := range nodes {
			Expect(shown.Store().History()).To(HaveLen(5))
		}
	})

	It("goes on without its leader, and brings a new daemon up to date", func() {
		started := newFleet(3, 3)
		nodes := started.startAll(4)
		Expect(nodes[1].submit(nodes[1].addition(1)).Accepted).To(BeTrue())
		leader := leaderOf(nodes)
		leader.stop()
		rest := without(nodes, leader)
		outcome := rest[0].submit(rest[0].addition(2))
		Expect(outcome.Accepted).To(BeTrue())
		expectInForce(rest, 2)
		late := started.start(5)
		expectInForce([]*node{late}, 2)
		Expect(late.Store().History()).To(HaveLen(2))
		Expect(late.submit(late.addition(3)).Version).To(Equal(table.Version(3)))
		expectInForce(append(rest, late), 3)
	})

	It("tells other daemons of the agents that report to one", func() {
		started := newFleet(3, 3)
		nodes := started.startAll(3)
		const agent = table.Endpoint("192.0.2.1:6081")
		expect := func(told []*node, claim liveness.Claim) {
			GinkgoHelper()
			for _, running := range told {
				Eventually(func() liveness.Claim { return running.agents.of(agent) }, patience).Should(Equal(claim))
			}
		}
		alive := liveness.Claim{Agent: agent, Start: 5, Condition: liveness.Alive}
		nodes[0].Claim([]liveness.Claim{alive})
		expect(nodes[1:], alive)
		nodes[0].Claim([]liveness.Claim{{Agent: agent, Start: 5, Condition: liveness.Leaving}})
		expect(nodes[1:], liveness.Claim{Agent: agent, Start: 5, Condition: liveness.Leaving})
		late := started.start(3)
		expect([]*node{late}, liveness.Claim{Agent: agent, Start: 5, Condition: liveness.Leaving})
		Eventually(late.agents.isReady, patience).Should(BeTrue())
		nodes[0].stop()
		expect(append(nodes[1:], late), liveness.Claim{Agent: agent})
	})

	It("accepts nothing before there are voters in enough zones", func() {
		started := newFleet(1, 3)
		first := started.start(0)
		Eventually(first.Leads, patience).Should(BeTrue())
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		submitted := first.Store().Submit(ctx, first.addition(1))
		Expect(submitted.Decided).To(BeFalse())
		Expect(submitted.MayApply).To(BeFalse())
		Expect(submitted.Reason).To(ContainSubstring("too_few_voters"))
		Expect(first.Store().Reached(1).Accepted).To(BeFalse())
	})

	It("sends a table that does not fit in a datagram, also to daemons that do not vote", func() {
		nodes := newFleet(3, 3).startAll(6)
		change := nodes[0].addition(1)
		for number := range 2000 {
			change.AddBackends = append(change.AddBackends, table.Backend{
				ID: table.BackendID(number + 1), Service: 1, Name: "row-" + string(rune('a'+number%26)) + time.Duration(number).String(),
				Incarnation: 1, Agent: "127.0.0.1:6181", Weight: 1, ConnectionLimit: 1,
			})
		}
		Expect(nodes[2].submit(change).Accepted).To(BeTrue())
		expectInForce(nodes, 1)
		for _, brought := range nodes {
			Expect(brought.Store().Table().Table.Backends).To(HaveLen(2000))
		}
	})

	DescribeTable("refuses settings that cannot be used",
		func(spoil func(*cluster.Config), expected string) {
			config := newFleet(1, 3).config(0, nil)
			config.Limits = changelog.DefaultLimits()
			spoil(&config)
			_, err := cluster.New(config)
			Expect(err).To(MatchError(ContainSubstring(expected)))
		},
		Entry("every interface", func(c *cluster.Config) { c.Listen = netip.MustParseAddrPort("0.0.0.0:7100") }, "one IPv4 address"),
		Entry("any port", func(c *cluster.Config) { c.Listen = netip.MustParseAddrPort("127.0.0.1:0") }, "one IPv4 address"),
		Entry("seed with another port", func(c *cluster.Config) { c.Seeds[0] = netip.MustParseAddrPort("127.0.0.1:1") }, "port 17100"),
		Entry("zone that is not listed", func(c *cluster.Config) { c.Zone = "atlantis-1" }, "atlantis-1"),
		Entry("no zones", func(c *cluster.Config) { c.Zones = nil }, "0 zones"),
		Entry("no voters", func(c *cluster.Config) { c.Voters = 0 }, "positive"),
	)
})
