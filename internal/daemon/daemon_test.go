package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/vanetiller/vanetiller/internal/daemon"
	"github.com/vanetiller/vanetiller/internal/observability"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// waitTimeout limits the wait for an effect of real sockets. It is long enough that
// no test result depends on it.
const waitTimeout = time.Minute

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func tableJSON(version int, weight int) string {
	return fmt.Sprintf(`{"version": %d, "services": [
		{"id": 7, "name": "lookup", "address": "198.51.100.1:80", "protocol": "tcp", "owner": "gateway"}],
		"backends": [{"id": 9, "service": 7, "name": "lookup-1", "incarnation": 1, "agent": "127.0.0.1:6181",
		"weight": %d, "connection_limit": 3, "drain": false}]}`, version, weight)
}

// fakePlatform serves the list of machines and the published configuration. It
// answers 503 until a configuration is published.
type fakePlatform struct {
	*httptest.Server
	configuration atomic.Pointer[string]
}

func newFakePlatform() *fakePlatform {
	created := &fakePlatform{}
	created.Server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/machines" {
			_, _ = writer.Write([]byte(`{"revision": 1, "machines": [
				{"name": "b", "address": "127.0.0.1:7000", "role": "balancer", "state": "leaving"}]}`))
			return
		}
		if answer := created.configuration.Load(); answer != nil {
			_, _ = writer.Write([]byte(*answer))
			return
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	DeferCleanup(created.Close)
	return created
}

func (p *fakePlatform) publish(revision int, table string) {
	answer := fmt.Sprintf(`{"revision": %d, "table": %s}`, revision, table)
	p.configuration.Store(&answer)
}

func baseSettings() settings.Settings {
	return settings.Settings{
		Name: "test-1", Zone: "zone-1", Log: settings.Log{Level: log.InfoLevel},
		Observability: settings.Observability{Listen: anyPort},
	}
}

func balancerSettings(platform *fakePlatform) settings.Settings {
	config := baseSettings()
	config.Platform = settings.Platform{
		ConfigurationURL: platform.URL + "/configuration",
		MachinesURL:      platform.URL + "/machines",
		PollInterval:     10 * time.Millisecond,
	}
	config.Control = settings.Control{Listen: anyPort}
	config.Balancer = &settings.Balancer{Listen: anyPort, Sockets: 1}
	return config
}

func newDaemon(config settings.Settings) error {
	_, err := daemon.New(&config, gbytes.NewBuffer())
	return err
}

type runningDaemon struct {
	daemon *daemon.Daemon
	log    *gbytes.Buffer
	stop   context.CancelFunc
	ended  <-chan error
}

func startDaemon(config settings.Settings) runningDaemon {
	output := gbytes.NewBuffer()
	created, err := daemon.New(&config, output)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ended <- created.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		Eventually(done, waitTimeout).Should(BeClosed())
	})
	return runningDaemon{created, output, cancel, ended}
}

func (r runningDaemon) get(path string) string {
	response, err := http.Get("http://" + r.daemon.ObservabilityAddress().String() + path)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return fmt.Sprintf("%d %s", response.StatusCode, body)
}

func (r runningDaemon) expectPlannedStop() {
	r.stop()
	Eventually(r.ended, waitTimeout).Should(Receive(BeNil()))
	Expect(r.daemon.Status()).To(Equal(observability.Status{
		Reasons: []observability.Reason{{Condition: "serving", Reason: "stopping"}},
	}))
	for _, line := range strings.Split(strings.TrimSpace(string(r.log.Contents())), "\n") {
		Expect(json.Valid([]byte(line))).To(BeTrue(), line)
		Expect(line).To(And(ContainSubstring(`"name":"test-1"`), ContainSubstring(`"zone":"zone-1"`)))
	}
}

const readyResponse = `200 {"ready":true,"reasons":[]}` + "\n"

var _ = Describe("Daemon", func() {
	It("runs a balancer that applies valid tables of the platform and ignores older ones", func() {
		platform := newFakePlatform()
		balancer := startDaemon(balancerSettings(platform))
		metrics := func() string { return balancer.get("/metrics") }

		By("not being ready without a table")
		Eventually(metrics, waitTimeout).Should(ContainSubstring(
			`vanetiller_platform_polls_total{outcome="failed",service="configuration"}`))
		Expect(balancer.get("/healthz")).To(Equal(
			`503 {"ready":false,"reasons":[{"condition":"table","reason":"no table from the platform yet"}]}` + "\n"))

		By("refusing an invalid table")
		platform.publish(1, tableJSON(4, 10_001))
		Eventually(metrics, waitTimeout).Should(ContainSubstring(
			`vanetiller_platform_polls_total{outcome="invalid",service="configuration"}`))
		Expect(balancer.get("/healthz")).To(HavePrefix("503 "))

		By("being ready with a valid table")
		platform.publish(2, tableJSON(5, 10))
		Eventually(func() string { return balancer.get("/healthz") }, waitTimeout).Should(Equal(readyResponse))
		Expect(metrics()).To(And(
			ContainSubstring("\nvanetiller_table_version 5\n"),
			ContainSubstring("\nvanetiller_platform_revision{service=\"configuration\"} 2\n")))

		By("ignoring an older revision, and an older table in a newer revision")
		platform.publish(1, tableJSON(6, 10))
		Eventually(metrics, waitTimeout).Should(ContainSubstring(
			`vanetiller_platform_polls_total{outcome="stale",service="configuration"}`))
		platform.publish(3, tableJSON(4, 10))
		Eventually(metrics, waitTimeout).Should(ContainSubstring(
			"\nvanetiller_platform_revision{service=\"configuration\"} 3\n"))
		Expect(metrics()).To(ContainSubstring("\nvanetiller_table_version 5\n"))

		By("exporting the machines of the platform as a metric")
		Eventually(metrics, waitTimeout).Should(ContainSubstring(
			"\nvanetiller_platform_machines{role=\"balancer\",state=\"leaving\"} 1\n"))

		balancer.expectPlannedStop()
	})

	It("runs an agent that is ready and stops as planned", func() {
		config := baseSettings()
		config.Agent = &settings.Agent{
			Listen: anyPort, Fabric: netip.MustParseAddrPort("127.0.0.1:9"),
			Daemons:     []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")},
			StopTimeout: 10 * time.Second, FlowLimit: 10,
			Backends: []settings.AgentBackend{{Service: "lookup", Name: "lookup-1", Address: netip.MustParseAddrPort("127.0.0.1:9")}},
		}
		agent := startDaemon(config)
		Eventually(func() string { return agent.get("/healthz") }, waitTimeout).Should(Equal(readyResponse))
		Eventually(func() string { return agent.get("/metrics") }, waitTimeout).Should(
			ContainSubstring("\nvanetiller_agent_open_flows 0\n"))
		agent.expectPlannedStop()
	})
})
