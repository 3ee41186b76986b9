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

// clusterAddress returns the cluster address of a balancer. It depends on the
// process ID, so that test processes that run concurrently use different addresses.
func clusterAddress(number int) netip.AddrPort {
	process := os.Getpid()
	octets := [4]byte{127, byte(64 + (process/256)%128), byte(process), byte(number + 1)}
	return netip.AddrPortFrom(netip.AddrFrom4(octets), clusterPort)
}

// controlAddress returns the address on which a balancer receives heartbeats.
func controlAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(clusterAddress(number).Addr(), clusterPort+1)
}

// inCluster returns an adjustment that makes a balancer a member of a cluster of
// three zones.
func inCluster(number int) func(*settings.Settings) {
	return func(config *settings.Settings) {
		config.Name = fmt.Sprint("balancer-", number)
		config.Zone = clusterZones[number]
		config.Cluster = &settings.Cluster{
			Listen: clusterAddress(number), Zones: clusterZones,
			Seeds: []netip.AddrPort{clusterAddress(0), clusterAddress(1), clusterAddress(2)},
		}
		config.Control.Listen = controlAddress(number)
	}
}

var _ = Describe("Balancers in a cluster", func() {
	ctx := context.Background()

	It("apply the newest table even if one of them cannot reach the configuration service, and refuse changes", func() {
		reachable, unreachable := newFakePlatform(), newFakePlatform()
		reachable.publish(2, tableJSON(5, 10))
		var balancers []runningAPI
		for number := range clusterZones {
			source := reachable
			if number == 2 {
				source = unreachable
			}
			balancers = append(balancers, startWithAPI(source, inCluster(number)))
		}
		expectApplied := func(version int, weight uint32) {
			GinkgoHelper()
			for _, balancer := range balancers {
				Eventually(balancer.metrics, waitTimeout).Should(
					ContainSubstring(fmt.Sprintf("\nvanetiller_table_version %d\n", version)))
				Expect(balancer.firstBackend().Weight).To(Equal(weight))
			}
		}
		expectApplied(5, 10)
		Eventually(balancers[1].metrics, waitTimeout).Should(
			ContainSubstring("\nvanetiller_cluster_members{state=\"alive\"} 3\n"))

		By("refusing a change but accepting its dry run")
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
		expectApplied(5, 10)

		By("adopting newer tables and ignoring older ones")
		reachable.publish(3, tableJSON(6, 20))
		expectApplied(6, 20)
		Eventually(func() (adminapi.VersionStatusResponse, error) {
			return balancers[1].client(firstToken).VersionStatus(ctx, 6)
		}, waitTimeout).Should(Equal(adminapi.VersionStatusResponse{Version: 6, Accepted: true, Reached: 3, NotReached: []string{}}))
		unreachable.publish(1, tableJSON(4, 1))
		Eventually(balancers[2].metrics, waitTimeout).Should(
			ContainSubstring(`vanetiller_platform_polls_total{outcome="new",service="configuration"} 1`))
		expectApplied(6, 20)
		shown, err := balancers[1].client(firstToken).Members(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(shown.Members).To(HaveLen(3))
		Expect(shown.Members[1]).To(And(HaveField("Name", "balancer-1"), HaveField("Version", table.Version(6))))
	})

	It("make the rows of an agent available when it reports to one of them, and unavailable when it stops", func() {
		agentAddress := netip.AddrPortFrom(clusterAddress(99).Addr(), 6181)
		platform := newFakePlatform()
		platform.publish(1, strings.Replace(tableJSON(1, 10), "127.0.0.1:6181", agentAddress.String(), 1))
		var balancers []runningAPI
		for number := range clusterZones {
			balancers = append(balancers, startWithAPI(platform, inCluster(number)))
		}
		expectUnavailable := func(rows int) {
			GinkgoHelper()
			for _, balancer := range balancers {
				Eventually(balancer.metrics, waitTimeout).Should(And(
					ContainSubstring("\nvanetiller_table_version 1\n"),
					ContainSubstring(fmt.Sprintf("\nvanetiller_unavailable_rows %d\n", rows))))
			}
		}
		expectUnavailable(1)
		config := baseSettings()
		config.Agent = &settings.Agent{
			Listen: agentAddress, Fabric: netip.MustParseAddrPort("127.0.0.1:9"),
			Daemons: []netip.AddrPort{controlAddress(1)}, StopTimeout: 10 * time.Second, FlowLimit: 10,
			Backends: []settings.AgentBackend{{Service: "lookup", Name: "lookup-1", Address: netip.MustParseAddrPort("127.0.0.1:9")}},
		}
		agent := startDaemon(config)
		expectUnavailable(0)
		agent.stop()
		Eventually(agent.ended, waitTimeout).Should(Receive(BeNil()))
		expectUnavailable(1)
	})
})
