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
			Listen: clusterAddress(number), Zones: clusterZones,
			Seeds: []netip.AddrPort{clusterAddress(0), clusterAddress(1), clusterAddress(2)},
		}
		checked.Control.Listen = controlAddress(number)
	}
}

var _ = Describe("Balancers in a cluster", func() {
	ctx := context.Background()

	It("have the newest table of the service, also where it cannot be reached, and take no changes", func() {
		reached, cut := newSource(), newSource()
		reached.publish(2, tableOf(5, 10))
		var balancers []administered
		for number := range clusterZones {
			source := reached
			if number == 2 {
				source = cut
			}
			balancers = append(balancers, startAdministered(source, joined(number)))
		}
		expectInForce := func(version int, weight uint32) {
			GinkgoHelper()
			for _, balancer := range balancers {
				Eventually(balancer.metrics, generous).Should(
					ContainSubstring(fmt.Sprintf("\nvanetiller_table_version %d\n", version)))
				Expect(balancer.row().Weight).To(Equal(weight))
			}
		}
		expectInForce(5, 10)
		Eventually(balancers[1].metrics, generous).Should(
			ContainSubstring("\nvanetiller_cluster_members{state=\"alive\"} 3\n"))

		By("refusing a change and showing what it would do")
		weight, base := uint32(77), table.Version(5)
		request := adminapi.ChangeRequest{
			ChangeMetadata: adminapi.ChangeMetadata{ID: "c1", Reason: "more", BaseVersion: &base},
			Operations:     adminapi.Operations{SetCells: []adminapi.CellUpdate{{Backend: 9, Weight: &weight}}},
		}
		answer, err := balancers[1].client(firstToken).Change(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Outcome).To(Equal(adminapi.Refused))
		Expect(answer.Refusal.Rule).To(ContainSubstring("configuration service"))
		request.DryRun = true
		answer, err = balancers[1].client(firstToken).Change(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Outcome).To(Equal(adminapi.Accepted))
		Expect(answer.Cells).To(HaveLen(1))
		expectInForce(5, 10)

		By("following the service, and never going back")
		reached.publish(3, tableOf(6, 20))
		expectInForce(6, 20)
		Eventually(func() (adminapi.VersionStatusResponse, error) {
			return balancers[1].client(firstToken).VersionStatus(ctx, 6)
		}, generous).Should(Equal(adminapi.VersionStatusResponse{Version: 6, Accepted: true, Reached: 3, NotReached: []string{}}))
		cut.publish(1, tableOf(4, 1))
		Eventually(balancers[2].metrics, generous).Should(
			ContainSubstring(`vanetiller_platform_polls_total{outcome="new",service="configuration"} 1`))
		expectInForce(6, 20)
		shown, err := balancers[1].client(firstToken).Members(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(shown.Members).To(HaveLen(3))
		Expect(shown.Members[1]).To(And(HaveField("Name", "balancer-1"), HaveField("Version", table.Version(6))))
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
