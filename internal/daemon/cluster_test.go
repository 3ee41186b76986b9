package daemon_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/settings"
	"github.com/vanetiller/vanetiller/internal/table"
)

const clusterPort = 17101

var clusterZones = []string{"zone-1", "zone-2", "zone-3"}

// clusterAddress returns the address of a balancer. Tests that run at the same
// time differ by process.
func clusterAddress(number int) netip.AddrPort {
	process := os.Getpid()
	octets := [4]byte{127, byte(64 + (process/256)%128), byte(process), byte(number + 1)}
	return netip.AddrPortFrom(netip.AddrFrom4(octets), clusterPort)
}

// controlAddress returns where a balancer hears agents.
func controlAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(clusterAddress(number).Addr(), clusterPort+1)
}

// joined puts a balancer of the number in a cluster of three zones.
func joined(number int) func(*settings.Settings) {
	return func(checked *settings.Settings) {
		checked.Name = fmt.Sprint("balancer-", number)
		checked.Zone = clusterZones[number]
		checked.Cluster = &settings.Cluster{
			Listen: clusterAddress(number), Zones: clusterZones, Voters: len(clusterZones),
			Seeds: []netip.AddrPort{clusterAddress(0), clusterAddress(1), clusterAddress(2)},
		}
		checked.Control.Listen = controlAddress(number)
	}
}

func leads(candidate administered) bool {
	return strings.Contains(candidate.metrics(), "\nvanetiller_cluster_leads 1\n")
}

var _ = Describe("Balancers in a cluster", func() {
	ctx := context.Background()

	It("share one table, which the leader alone imports, and keep changes when it ends", func() {
		platform := newSource()
		platform.publish(2, tableOf(5, 10))
		var balancers []administered
		for number := range clusterZones {
			balancers = append(balancers, startAdministered(platform, joined(number)))
		}
		expectVersion := func(version int) {
			GinkgoHelper()
			for _, balancer := range balancers {
				Eventually(balancer.metrics, generous).Should(
					ContainSubstring(fmt.Sprintf("\nvanetiller_table_version %d\n", version)))
			}
		}
		expectVersion(1)

		By("accepting a change through a balancer that does not lead")
		leader, other := 0, 1
		Eventually(func() bool {
			for number, balancer := range balancers {
				if leads(balancer) {
					leader, other = number, (number+1)%len(balancers)
					return true
				}
			}
			return false
		}, generous).Should(BeTrue())
		weight := uint32(77)
		request := func(id string, base table.Version, value uint32) adminapi.ChangeRequest {
			return adminapi.ChangeRequest{
				Header: adminapi.Header{ID: id, Reason: "more", BaseVersion: &base},
				Parts:  adminapi.Parts{SetCells: []adminapi.CellUpdate{{Backend: 9, Weight: &value}}},
			}
		}
		Eventually(func() (adminapi.ChangeAnswer, error) {
			return balancers[other].client(firstToken).Change(ctx, request("c1", 1, weight))
		}, generous).Should(Equal(adminapi.ChangeAnswer{ID: "c1", Outcome: adminapi.Accepted, Version: 2}))
		expectVersion(2)
		Eventually(func() (adminapi.ReachAnswer, error) {
			return balancers[other].client(firstToken).Reached(ctx, 2)
		}, generous).Should(Equal(adminapi.ReachAnswer{Version: 2, Accepted: true, Reached: 3, NotReached: []string{}}))
		shown, err := balancers[other].client(firstToken).Members(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(shown.Members).To(HaveLen(3))
		Expect(shown.Members[other].Name).To(Equal(fmt.Sprint("balancer-", other)))
		Expect(shown.Members[other].Version).To(Equal(table.Version(2)))
		Eventually(balancers[other].metrics, generous).Should(And(
			ContainSubstring("\nvanetiller_cluster_members{state=\"alive\"} 3\n"),
			ContainSubstring("\nvanetiller_cluster_voters 3\n")))

		By("keeping the change when another leader meets an older revision")
		const polled = `vanetiller_platform_polls_total{outcome="new",service="configuration"}`
		platform.publish(1, tableOf(9, 1))
		balancers[leader].stop()
		Eventually(balancers[leader].ended, generous).Should(Receive(BeNil()))
		balancers = append(balancers[:leader], balancers[leader+1:]...)
		Eventually(func() bool {
			return strings.Contains(balancers[0].metrics()+balancers[1].metrics(), polled)
		}, generous).Should(BeTrue())
		Eventually(func() (adminapi.ChangeOutcome, error) {
			answer, err := balancers[0].client(firstToken).Change(ctx, request("c2", 2, weight+1))
			return answer.Outcome, err
		}, generous).Should(Equal(adminapi.Accepted))
		expectVersion(3)
		Expect(balancers[1].row().Weight).To(Equal(weight + 1))

		By("following a newer revision that alters another cell")
		platform.publish(3, strings.Replace(tableOf(5, 10), `"connection_limit": 3`, `"connection_limit": 8`, 1))
		for _, balancer := range balancers {
			Eventually(func() uint32 { return balancer.row().ConnectionLimit }, generous).Should(Equal(uint32(8)))
			Expect(balancer.row().Weight).To(Equal(weight + 1))
		}
	})

	It("know of an agent that reports to one of them", func() {
		agentAddress := netip.AddrPortFrom(clusterAddress(99).Addr(), 6181)
		platform := newSource()
		platform.publish(1, strings.Replace(tableOf(1, 10), "127.0.0.1:6181", agentAddress.String(), 1))
		var balancers []administered
		for number := range clusterZones {
			balancers = append(balancers, startAdministered(platform, joined(number)))
		}
		expectUnavailable := func(rows int) {
			GinkgoHelper()
			for _, balancer := range balancers {
				Eventually(balancer.metrics, generous).Should(And(
					ContainSubstring("\nvanetiller_table_version 1\n"),
					ContainSubstring(fmt.Sprintf("\nvanetiller_unavailable_rows %d\n", rows))))
			}
		}
		expectUnavailable(1)
		checked := common()
		checked.Agent = &settings.Agent{
			Listen: agentAddress, Fabric: netip.MustParseAddrPort("127.0.0.1:9"),
			Daemons: []netip.AddrPort{controlAddress(1)}, StopTimeout: 10 * time.Second, FlowLimit: 10,
			Backends: []settings.AgentBackend{{Service: "lookup", Name: "lookup-1", Address: netip.MustParseAddrPort("127.0.0.1:9")}},
		}
		agent := start(checked)
		expectUnavailable(0)
		agent.stop()
		Eventually(agent.ended, generous).Should(Receive(BeNil()))
		expectUnavailable(1)
	})
})
