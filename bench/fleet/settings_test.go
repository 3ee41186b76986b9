package fleet_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/bench/fleet"
	"github.com/vanetiller/vanetiller/internal/settings"
)

func address(text string) netip.AddrPort { return netip.MustParseAddrPort(text) }

var _ = Describe("Settings", func() {
	base := fleet.Settings{
		Name: "member-1", Zone: "zone-1", LogLevel: "info",
		Observability:    address("127.0.0.1:9100"),
		ConfigurationURL: "http://127.0.0.1:9000/v1/configuration?reader=member-1",
		MachinesURL:      "http://127.0.0.1:9000/v1/machines?reader=member-1",
		PollInterval:     500 * time.Millisecond,
	}

	parse := func(written fleet.Settings) *settings.Settings {
		text, err := written.TOML()
		Expect(err).NotTo(HaveOccurred())
		parsed, err := settings.Parse("test.toml", []byte(text))
		Expect(err).NotTo(HaveOccurred(), text)
		return parsed
	}

	DescribeTable("of a balancer are parsed by the daemon with the same values",
		func(baseline string) {
			written := base
			written.Baseline = baseline
			written.Balancer = &fleet.Balancer{Listen: address("127.0.0.1:6081"), Control: address("127.0.0.1:7000")}
			parsed := parse(written)
			Expect(parsed.Balancer.Listen).To(Equal(written.Balancer.Listen))
			Expect(parsed.Control.Listen).To(Equal(written.Balancer.Control))
			Expect(parsed.Platform.ConfigurationURL).To(Equal(written.ConfigurationURL))
			Expect(string(parsed.Balancer.Baseline)).To(Equal(baseline))
			Expect(parsed.Agent).To(BeNil())
		},
		Entry("product", ""),
		Entry("baseline", "hash"),
	)

	DescribeTable("of an agent are parsed by the daemon with the same values",
		func(baseline string) {
			written := base
			written.Baseline = baseline
			written.Agent = &fleet.Agent{
				Listen: address("127.0.0.1:6181"), Fabric: address("127.0.0.1:6080"),
				Daemons:     []netip.AddrPort{address("127.0.0.1:7000"), address("127.0.0.1:7001")},
				StopTimeout: 12 * time.Second,
				Backends:    []fleet.AgentBackend{{Service: "audio", Name: "audio-1", Address: address("127.0.0.1:8081")}},
			}
			parsed := parse(written)
			Expect(parsed.Agent.Listen).To(Equal(written.Agent.Listen))
			Expect(parsed.Agent.Daemons).To(Equal(written.Agent.Daemons))
			Expect(parsed.Agent.StopTimeout).To(Equal(written.Agent.StopTimeout))
			Expect(parsed.Agent.Backends).To(ConsistOf(HaveField("Address", address("127.0.0.1:8081"))))
			Expect(string(parsed.Agent.Baseline)).To(Equal(baseline))
			Expect(parsed.Balancer).To(BeNil())
		},
		Entry("product", ""),
		Entry("baseline", "hash"),
	)
})

var _ = Describe("FreeAddresses", func() {
	It("returns the requested number of different loopback addresses", func() {
		addresses, err := fleet.FreeAddresses(100)
		Expect(err).NotTo(HaveOccurred())
		seen := make(map[netip.AddrPort]bool)
		for _, free := range addresses {
			Expect(free.Addr().IsLoopback()).To(BeTrue())
			seen[free] = true
		}
		Expect(seen).To(HaveLen(100))
	})
})
