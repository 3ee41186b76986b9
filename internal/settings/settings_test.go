package settings_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/requestqueue"
	"github.com/vanetiller/vanetiller/internal/settings"
)

const balancerFile = `name = "balancer-1"
zone = "casablanca-1"
[log]
level = "debug"
[observability]
listen = "127.0.0.1:0"
[platform]
configuration_url = "http://127.0.0.1:9000/v1/configuration"
machines_url = "http://127.0.0.1:9000/v1/machines"
poll_interval = "250ms"
[control]
listen = "127.0.0.1:7000"
[balancer]
listen = "0.0.0.0:6081"
sockets = 2
baseline = "hash"
`

const agentFile = `name = "agent-1"
zone = "kolkata-2"
[observability]
listen = "127.0.0.1:9100"
[agent]
listen = "127.0.0.1:6181"
fabric = "127.0.0.1:6080"
daemons = ["127.0.0.1:7000", "127.0.0.1:7001"]
[[agent.backend]]
service = "glossary export"
name = "export-1"
address = "127.0.0.1:8081"
[[agent.backend]]
service = "glossary export"
name = "export-2"
address = "127.0.0.1:8082"
`

const apiTable = `[api]
listen = "127.0.0.1:0"
certificate = "c.pem"
key = "k.pem"
client_authority = "a.pem"
tokens = "t.toml"
`

const clusterTable = `[cluster]
listen = "192.0.2.1:7100"
seeds = ["192.0.2.1:7100", "192.0.2.2:7100"]
zones = ["casablanca-1", "casablanca-2"]
`

const relayBalancerFile = `name = "balancer-1"
zone = "zone-1"
[observability]
listen = "192.0.2.1:8167"
[relay]
peers = "192.0.2.1:7700"
flow_lifetime = "45s"
stop_timeout = "6s"
[relay.balancer]
listen = "192.0.2.1:8100"
store = "192.0.2.9:8000"
store_rate = 1500
exchange = "192.0.2.1:8166"
seeds = ["192.0.2.2:8166"]
zones = ["zone-1", "zone-2"]
apply_timeout = "5s"
drain_timeout = "4s"
`

const relayAgentFile = `name = "agent-1"
zone = "zone-1"
[observability]
listen = "192.0.2.1:8167"
[relay]
peers = "192.0.2.1:8100"
[relay.agent]
service = "lookup"
endpoint = "192.0.2.1:8081"
emitted = "192.0.2.1:8082"
first_start = true
`

func address(text string) netip.AddrPort { return netip.MustParseAddrPort(text) }

var _ = Describe("Parse", func() {
	It("returns the settings of a balancer", func() {
		parsed, err := settings.Parse("b.toml", []byte(balancerFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(*parsed).To(Equal(settings.Settings{
			Name:          "balancer-1",
			Zone:          "casablanca-1",
			Log:           settings.Log{Level: log.DebugLevel},
			Observability: settings.Observability{Listen: address("127.0.0.1:0")},
			Platform: settings.Platform{
				ConfigurationURL: "http://127.0.0.1:9000/v1/configuration",
				MachinesURL:      "http://127.0.0.1:9000/v1/machines",
				PollInterval:     250 * time.Millisecond,
			},
			Control: settings.Control{Listen: address("127.0.0.1:7000")},
			Balancer: &settings.Balancer{
				Listen: address("0.0.0.0:6081"), Sockets: 2, Baseline: settings.BaselineHash,
			},
		}))
	})

	It("returns the settings of an agent with defaults for absent keys", func() {
		parsed, err := settings.Parse("a.toml", []byte(agentFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Log.Level).To(Equal(log.InfoLevel))
		Expect(parsed.Balancer).To(BeNil())
		Expect(*parsed.Agent).To(Equal(settings.Agent{
			Listen:      address("127.0.0.1:6181"),
			Fabric:      address("127.0.0.1:6080"),
			Daemons:     []netip.AddrPort{address("127.0.0.1:7000"), address("127.0.0.1:7001")},
			StopTimeout: 20 * time.Second,
			FlowLimit:   100_000,
			Backends: []settings.AgentBackend{
				{Service: "glossary export", Name: "export-1", Address: address("127.0.0.1:8081")},
				{Service: "glossary export", Name: "export-2", Address: address("127.0.0.1:8082")},
			},
		}))
	})

	It("returns the settings of the administration API, with or without a client authority", func() {
		parsed, err := settings.Parse("b.toml", []byte(balancerFile+apiTable))
		Expect(err).NotTo(HaveOccurred())
		Expect(*parsed.API).To(Equal(settings.API{
			Listen: address("127.0.0.1:0"), Certificate: "c.pem", Key: "k.pem", ClientAuthority: "a.pem", Tokens: "t.toml",
		}))
		without, err := settings.Parse("b.toml", []byte(balancerFile+strings.Replace(apiTable, "client_authority = \"a.pem\"\n", "", 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(without.API.ClientAuthority).To(BeEmpty())
	})

	It("returns the settings of a cluster", func() {
		parsed, err := settings.Parse("b.toml", []byte(balancerFile+clusterTable))
		Expect(err).NotTo(HaveOccurred())
		Expect(*parsed.Cluster).To(Equal(settings.Cluster{
			Listen: address("192.0.2.1:7100"),
			Seeds:  []netip.AddrPort{address("192.0.2.1:7100"), address("192.0.2.2:7100")},
			Zones:  []string{"casablanca-1", "casablanca-2"},
		}))
	})

	It("returns the settings of a relay balancer with defaults for absent keys", func() {
		parsed, err := settings.Parse("r.toml", []byte(relayBalancerFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(*parsed.Relay).To(Equal(settings.Relay{
			Peers: address("192.0.2.1:7700"), FlowLifetime: 45 * time.Second, StopTimeout: 6 * time.Second,
			FlowLimit: settings.DefaultFlowLimit,
			Balancer: &settings.RelayBalancer{
				Listen: address("192.0.2.1:8100"), Store: address("192.0.2.9:8000"), StoreRate: 1500, ApplyTimeout: 5 * time.Second, DrainTimeout: 4 * time.Second, CloseTimeout: 4 * time.Second, ContactTimeout: 5 * time.Second, Exchange: address("192.0.2.1:8166"),
				Updates: address("192.0.2.1:7701"),
				Seeds:   []netip.AddrPort{address("192.0.2.2:8166")}, Zones: []string{"zone-1", "zone-2"},
			},
		}))
	})

	It("accepts a close timeout that differs from the drain timeout", func() {
		parsed, err := settings.Parse("r.toml", []byte(strings.Replace(relayBalancerFile, "store = ",
			"close_timeout = \"2s\"\nstore = ", 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Relay.Balancer.CloseTimeout).To(Equal(2 * time.Second))
	})

	It("accepts integers and floats for the limits of a cold endpoint", func() {
		parsed, err := settings.Parse("r.toml", []byte(strings.Replace(relayAgentFile, "first_start",
			"cold_overrun = 1.5\ncold_slack = 5\nfirst_start", 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Relay.Agent.ColdOverrun).To(Equal(1.5))
		Expect(parsed.Relay.Agent.ColdSlack).To(Equal(5.0))
	})

	It("accepts outlier detection settings that replace the defaults", func() {
		parsed, err := settings.Parse("r.toml", []byte(strings.Replace(relayAgentFile, "first_start",
			"outlier_window = 20\noutlier_failures = 0\nfirst_ejection = \"2s\"\nlongest_ejection = \"2s\"\nfirst_start", 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Relay.Agent.OutlierDetection).To(Equal(outlier.Config{
			Window: 20, BaseEjectionTime: 2 * time.Second, MaxEjectionTime: 2 * time.Second,
		}))
	})

	It("accepts a queue discipline and a fair share for less urgent requests", func() {
		parsed, err := settings.Parse("r.toml", []byte(strings.Replace(relayAgentFile, "first_start",
			"queue_discipline = \"earliest_due\"\nfair_share = 0.2\nfirst_start", 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Relay.Agent.QueuePolicy).To(Equal(requestqueue.Policy{
			Discipline: requestqueue.DisciplineEarliestDue, FairShare: 0.2,
		}))
	})

	It("accepts first_start for a relay balancer", func() {
		parsed, err := settings.Parse("r.toml", []byte(strings.Replace(relayBalancerFile, "store = ", "first_start = true\nstore = ", 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Relay.Balancer.FirstStart).To(BeTrue())
	})

	It("accepts an updates address that replaces the default", func() {
		parsed, err := settings.Parse("r.toml", []byte(strings.Replace(relayBalancerFile, "store = ",
			"updates = \"192.0.2.1:7735\"\nstore = ", 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Relay.Balancer.Updates).To(Equal(address("192.0.2.1:7735")))
	})

	It("returns the settings of a relay agent with defaults for absent keys", func() {
		parsed, err := settings.Parse("r.toml", []byte(relayAgentFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(*parsed.Relay).To(Equal(settings.Relay{
			Peers: address("192.0.2.1:8100"), FlowLifetime: time.Minute, StopTimeout: 20 * time.Second,
			FlowLimit: settings.DefaultFlowLimit,
			Agent: &settings.RelayAgent{
				Service: "lookup", Endpoint: address("192.0.2.1:8081"), Emitted: address("192.0.2.1:8082"), FirstStart: true,
				OutlierDetection: outlier.Config{Window: 10, FailureThreshold: 3, BaseEjectionTime: time.Second, MaxEjectionTime: 8 * time.Second},
				ColdOverrun:      1,
				QueuePolicy:      requestqueue.Policy{Discipline: requestqueue.DisciplineNewestFirst},
			},
		}))
	})

	It("combines the seeds of a relay agent with the port of the balancers", func() {
		file := relayAgentFile + "seeds = [\"192.0.2.2:8166\"]\nbalancer_port = 7700\n"
		parsed, err := settings.Parse("r.toml", []byte(file))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Relay.Agent.Seeds).To(Equal([]netip.AddrPort{address("192.0.2.2:7700")}))
	})

	DescribeTable("reports an invalid relay setting with its line and key",
		func(file, old, replacement, expected string) {
			Expect(strings.Count(file, old)).To(Equal(1), "occurrences of the text to replace")
			_, err := settings.Parse("r.toml", []byte(strings.Replace(file, old, replacement, 1)))
			Expect(err).To(MatchError(expected))
		},
		Entry("an unspecified address", relayBalancerFile, `peers = "192.0.2.1:7700"`, `peers = "0.0.0.0:7700"`,
			"r.toml:6: relay.peers: must not be the unspecified address 0.0.0.0"),
		Entry("missing store", relayBalancerFile, "store = \"192.0.2.9:8000\"\n", "",
			"r.toml:9: relay.balancer.store: is required"),
		Entry("updates without a port", relayBalancerFile, "store = ", "updates = \"192.0.2.1\"\nstore = ",
			"r.toml:11: relay.balancer.updates: must be an IPv4 address and a port, such as 192.0.2.1:6081"),
		Entry("seeds that are not an array", relayBalancerFile, `seeds = ["192.0.2.2:8166"]`, `seeds = "192.0.2.2:8166"`,
			"r.toml:14: relay.balancer.seeds: must be an array of at most 64 addresses"),
		Entry("a zone of the process that is not listed", relayBalancerFile, `zones = ["zone-1", "zone-2"]`, `zones = ["zone-2"]`,
			"r.toml:15: relay.balancer.zones: must contain the zone of this process, zone-1"),
		Entry("seeds of an agent without the port of the balancers", relayAgentFile, "first_start", "seeds = [\"192.0.2.2:8166\"]\nfirst_start",
			"r.toml:7: relay.agent.balancer_port: is required"),
		Entry("a cold_overrun below 1", relayAgentFile, "first_start", "cold_overrun = 0.5\nfirst_start",
			"r.toml:11: relay.agent.cold_overrun: must be a number from 1 to 100"),
		Entry("more failures than outcomes in the window", relayAgentFile, "first_start", "outlier_failures = 11\nfirst_start",
			"r.toml:11: relay.agent.outlier_failures: must not be more than outlier_window, 10"),
		Entry("a window without outcomes", relayAgentFile, "first_start", "outlier_window = 0\nfirst_start",
			"r.toml:7: relay.agent.outlier_failures: must not be more than outlier_window, 0\n"+
				"r.toml:11: relay.agent.outlier_window: must be from 1 to 100"),
		Entry("a longest ejection shorter than the first", relayAgentFile, "first_start", "longest_ejection = \"500ms\"\nfirst_start",
			"r.toml:11: relay.agent.longest_ejection: must not be less than first_ejection, 1s"),
		Entry("an unknown queue discipline", relayAgentFile, "first_start", "queue_discipline = \"random\"\nfirst_start",
			"r.toml:11: relay.agent.queue_discipline: must be one of [newest_first earliest_due]"),
		Entry("a queue discipline that is not a string", relayAgentFile, "first_start", "queue_discipline = 1\nfirst_start",
			"r.toml:11: relay.agent.queue_discipline: must be a string"),
		Entry("a fair share above one half", relayAgentFile, "first_start", "fair_share = 0.6\nfirst_start",
			"r.toml:11: relay.agent.fair_share: must be a number from 0 to 0.5"),
		Entry("the removed key fair_network_bits", relayAgentFile, "first_start", "fair_network_bits = 24\nfirst_start",
			"r.toml:11: relay.agent.fair_network_bits: is not a known key"),
		Entry("a string for a boolean", relayAgentFile, "first_start = true", `first_start = "yes"`,
			"r.toml:11: relay.agent.first_start: must be true or false"),
		Entry("a relay table together with a cluster table", relayAgentFile, "[relay.agent]", "[cluster]\n[relay.agent]",
			"r.toml:5: relay: must not be combined with a balancer, agent, api or cluster table\n"+
				"r.toml:7: cluster.listen: is required\nr.toml:7: cluster.seeds: is required\nr.toml:7: cluster.zones: is required"),
		Entry("an unknown key", relayAgentFile, "first_start = true", "first = true",
			"r.toml:11: relay.agent.first: is not a known key"),
	)

	DescribeTable("reports an invalid setting with its line and key",
		func(file, old, replacement, expected string) {
			Expect(strings.Count(file, old)).To(Equal(1), "occurrences of the text to replace")
			changed := strings.Replace(file, old, replacement, 1)
			_, err := settings.Parse("f.toml", []byte(changed))
			Expect(err).To(BeAssignableToTypeOf(settings.Errors{}))
			Expect(err.Error()).To(Equal(expected))
		},
		Entry("invalid TOML", balancerFile, `[log]`, `[log`,
			"f.toml:3: expected ']' to close table name"),
		Entry("duplicate key", balancerFile, `sockets = 2`, "sockets = 2\nsockets = 3",
			"f.toml:16: balancer.sockets: key sockets is already defined"),
		Entry("value in place of a table", balancerFile, "[log]\nlevel = \"debug\"", "log = 5\n",
			"f.toml:3: log: must be a table, written as [log]"),
		Entry("integer in place of an array of tables", agentFile, agentFile[strings.Index(agentFile, "[[agent.backend]]"):], "backend = 5",
			"f.toml:9: agent.backend: must be an array of tables, each written as [[agent.backend]]"),
		Entry("unknown key", balancerFile, `sockets = 2`, "sockets = 2\nsocket = 2",
			"f.toml:16: balancer.socket: is not a known key"),
		Entry("unknown table", balancerFile, `[log]`, "[logs]\n[log]",
			"f.toml:3: logs: is not a known key"),
		Entry("missing name", balancerFile, `name = "balancer-1"`, ``,
			"f.toml: name: is required"),
		Entry("empty name", balancerFile, `name = "balancer-1"`, `name = ""`,
			"f.toml:1: name: must have 1 to 64 letters, digits, dots, hyphens or underscores and begin with a letter or digit"),
		Entry("name too long", balancerFile, `"balancer-1"`, `"`+strings.Repeat("a", 65)+`"`,
			"f.toml:1: name: must have 1 to 64 letters, digits, dots, hyphens or underscores and begin with a letter or digit"),
		Entry("zone that is not a string", balancerFile, `"casablanca-1"`, `7`,
			"f.toml:2: zone: must be a string"),
		Entry("unknown log level", balancerFile, `"debug"`, `"verbose"`,
			"f.toml:4: log.level: must be debug, info, warn or error"),
		Entry("missing key of a table", balancerFile, `listen = "127.0.0.1:0"`, ``,
			"f.toml:5: observability.listen: is required"),
		Entry("relative URL", balancerFile, `"http://127.0.0.1:9000/v1/machines"`, `"/v1/machines"`,
			"f.toml:9: platform.machines_url: must be an http or https URL, such as http://192.0.2.1:9000/v1/configuration"),
		Entry("duration without a unit", balancerFile, `"250ms"`, `"250"`,
			"f.toml:10: platform.poll_interval: must be a duration with a unit, such as 500ms or 20s"),
		Entry("duration out of bounds", balancerFile, `"250ms"`, `"-1s"`,
			"f.toml:10: platform.poll_interval: must be from 10ms to 1m0s"),
		Entry("host name in place of an address", balancerFile, `"127.0.0.1:7000"`, `"localhost:7000"`,
			"f.toml:12: control.listen: must be an IPv4 address and a port, such as 192.0.2.1:6081"),
		Entry("IPv6 address", balancerFile, `"127.0.0.1:7000"`, `"[::1]:7000"`,
			"f.toml:12: control.listen: must be an IPv4 address and a port, such as 192.0.2.1:6081"),
		Entry("port 0", balancerFile, `"127.0.0.1:7000"`, `"127.0.0.1:0"`,
			"f.toml:12: control.listen: must have a port other than 0"),
		Entry("string in place of an integer", balancerFile, `sockets = 2`, `sockets = "2"`,
			"f.toml:15: balancer.sockets: must be an integer"),
		Entry("integer out of bounds", balancerFile, `sockets = 2`, `sockets = 0`,
			"f.toml:15: balancer.sockets: must be from 1 to 64"),
		Entry("unknown baseline", balancerFile, `"hash"`, `"random"`,
			`f.toml:16: balancer.baseline: must be empty or "hash"`),
		Entry("balancer without a control table", balancerFile, "[control]\nlisten = \"127.0.0.1:7000\"\n", "",
			"f.toml: control: is required for a balancer"),
		Entry("API without a certificate", balancerFile+apiTable, `certificate = "c.pem"`, ``,
			"f.toml:17: api.certificate: is required"),
		Entry("API with an empty key file name", balancerFile+apiTable, `"k.pem"`, `""`,
			"f.toml:20: api.key: must be the name of a file"),
		Entry("API without tokens", balancerFile+apiTable, `tokens = "t.toml"`, ``,
			"f.toml:17: api.tokens: is required"),
		Entry("API table in the settings of an agent", agentFile, `[agent]`, apiTable+`[agent]`,
			"f.toml:5: api: requires a balancer table"),
		Entry("cluster table in the settings of an agent", agentFile, `[agent]`, strings.Replace(clusterTable, "casablanca-1", "kolkata-2", 1)+`[agent]`,
			"f.toml:5: cluster: requires a balancer table"),
		Entry("cluster on the unspecified address", balancerFile+clusterTable, `listen = "192.0.2.1:7100"`, `listen = "0.0.0.0:7100"`,
			"f.toml:18: cluster.listen: must not be the unspecified address 0.0.0.0"),
		Entry("cluster without seeds", balancerFile+clusterTable, `seeds = ["192.0.2.1:7100", "192.0.2.2:7100"]`, ``,
			"f.toml:17: cluster.seeds: is required"),
		Entry("seed whose port differs from that of the cluster", balancerFile+clusterTable, `"192.0.2.2:7100"`, `"192.0.2.2:7101"`,
			"f.toml:19: cluster.seeds: must have the same port as cluster.listen, 7100; 192.0.2.2:7101 has another"),
		Entry("cluster without zones", balancerFile+clusterTable, `zones = ["casablanca-1", "casablanca-2"]`, ``,
			"f.toml:17: cluster.zones: is required"),
		Entry("empty list of zones", balancerFile+clusterTable, `["casablanca-1", "casablanca-2"]`, `[]`,
			"f.toml:20: cluster.zones: must be an array of 1 to 32 names"),
		Entry("duplicate zone", balancerFile+clusterTable, `"casablanca-2"`, `"casablanca-1"`,
			"f.toml:20: cluster.zones: contains casablanca-1 twice"),
		Entry("cluster without the zone of the process", balancerFile+clusterTable, `["casablanca-1", "casablanca-2"]`, `["casablanca-2"]`,
			"f.toml:20: cluster.zones: must contain the zone of this process, casablanca-1"),
		Entry("the removed key voters", balancerFile+clusterTable, `zones = [`, "voters = 5\nzones = [",
			"f.toml:20: cluster.voters: is not a known key"),
		Entry("balancer and agent table together", balancerFile, "[control]", agentFile[strings.Index(agentFile, "[agent]"):]+"[control]",
			"f.toml:11: agent: must not be combined with a balancer table"),
		Entry("agent on the unspecified address", agentFile, `"127.0.0.1:6181"`, `"0.0.0.0:6181"`,
			"f.toml:6: agent.listen: must not be the unspecified address 0.0.0.0"),
		Entry("empty list of daemons", agentFile, `["127.0.0.1:7000", "127.0.0.1:7001"]`, `[]`,
			"f.toml:8: agent.daemons: must be an array of at least one address"),
		Entry("duplicate daemon", agentFile, `"127.0.0.1:7001"`, `"127.0.0.1:7000"`,
			"f.toml:8: agent.daemons: contains 127.0.0.1:7000 twice"),
		Entry("invalid key of the second back end", agentFile, `"127.0.0.1:8082"`, `8082`,
			"f.toml:16: agent.backend[1].address: must be a string"),
		Entry("duplicate back end", agentFile, `"export-2"`, `"export-1"`,
			"f.toml:15: agent.backend[1].name: must be unique within its service"),
		Entry("no back end", agentFile, agentFile[strings.Index(agentFile, "[[agent.backend]]"):], "",
			"f.toml:5: agent.backend: is required at least once"),
	)

	It("reports all errors, sorted by line", func() {
		_, err := settings.Parse("f.toml", []byte("zone = 3\nnames = 1\n[log]\nlevel = \"x\"\n[balancer]\nlisten = \"x\"\n"))
		var found settings.Errors
		Expect(errors.As(err, &found)).To(BeTrue())
		keys := make([]string, len(found))
		for index, element := range found {
			keys[index] = element.Key
		}
		Expect(keys).To(Equal([]string{
			"control", "name", "observability.listen", "platform",
			"zone", "names", "log.level", "balancer.listen",
		}))
	})

	It("replaces keys by overrides", func() {
		parsed, err := settings.Parse("b.toml", []byte(strings.Replace(balancerFile, "[log]\nlevel = \"debug\"", "", 1)),
			settings.Override{Key: settings.KeyName, Value: "other"},
			settings.Override{Key: settings.KeyZone, Value: "there"},
			settings.Override{Key: settings.KeyLogLevel, Value: "error"})
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Name).To(Equal("other"))
		Expect(parsed.Zone).To(Equal("there"))
		Expect(parsed.Log.Level).To(Equal(log.ErrorLevel))
	})

	It("attributes an invalid override to the command line", func() {
		_, err := settings.Parse("b.toml", []byte(balancerFile),
			settings.Override{Key: settings.KeyLogLevel, Value: "loud"},
			settings.Override{Key: "balancer.sockets", Value: "3"})
		Expect(err).To(MatchError("command line: balancer.sockets: cannot be overridden\n" +
			"command line: log.level: must be debug, info, warn or error"))
	})
})

var _ = Describe("Load", func() {
	It("reads a settings file", func() {
		path := filepath.Join(GinkgoT().TempDir(), "agent.toml")
		Expect(os.WriteFile(path, []byte(agentFile), 0o600)).To(Succeed())
		loaded, err := settings.Load(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Name).To(Equal("agent-1"))
	})

	It("returns an error for a file that does not exist", func() {
		_, err := settings.Load(filepath.Join(GinkgoT().TempDir(), "absent.toml"))
		Expect(errors.Is(err, os.ErrNotExist)).To(BeTrue())
	})
})
