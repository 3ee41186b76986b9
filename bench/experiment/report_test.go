package experiment_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/bench/backend"
	"github.com/vanetiller/vanetiller/bench/caller"
	"github.com/vanetiller/vanetiller/bench/exchange"
	"github.com/vanetiller/vanetiller/bench/experiment"
)

const (
	testBackend = "audio-1"
	testFlow    = "audio-0-0"
	testRequest = "audio-0-0-0"
)

// submitTo sends one submission of the flow to a new back end.
func submitTo(recorder *backend.Recorder, name, service string) {
	server, err := backend.New(backend.Settings{
		Service: "audio", Name: name, Recorder: recorder, Listen: netip.MustParseAddrPort("127.0.0.1:0"),
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	url := "http://" + server.Address().String() + exchange.PathSubmit
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(exchange.HeaderFlow, testFlow)
	request.Header.Set(exchange.HeaderRequest, testRequest)
	request.Header.Set(exchange.HeaderService, service)
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	cancel()
	Eventually(done, "30s").Should(Receive(BeNil()))
}

var _ = Describe("Report", func() {
	start := time.Unix(1000, 0)
	ended := func(outcome caller.Outcome) caller.Result {
		return caller.Result{
			Plan: caller.Plan{ID: testFlow}, Outcome: outcome, Request: testRequest,
			Started: start, Ended: start.Add(10 * time.Second),
		}
	}
	killed := func(name string, after time.Duration) []experiment.Kill {
		return []experiment.Kill{{Backend: name, At: start.Add(after)}}
	}

	DescribeTable("counts each flow once, by outcome and killed agents",
		func(outcome caller.Outcome, kills []experiment.Kill, expected experiment.Report) {
			recorder := backend.NewRecorder()
			submitTo(recorder, testBackend, "audio")
			report := experiment.NewReport(recorder, nil, []caller.Result{ended(outcome)}, kills)
			expected.Flows = 1
			expected.Causes = report.Causes
			expected.HandshakeP50, expected.HandshakeP99 = report.HandshakeP50, report.HandshakeP99
			Expect(report).To(Equal(expected))
		},
		Entry("completed", caller.OutcomeCompleted, nil, experiment.Report{Completed: 1}),
		Entry("not opened", caller.OutcomeNotOpened, nil, experiment.Report{NotOpened: 1}),
		Entry("refused although executed", caller.OutcomeRefused, nil, experiment.Report{Refused: 1, FalseRefusals: 1}),
		Entry("broken", caller.OutcomeBroken, nil, experiment.Report{BrokenFlows: 1}),
		Entry("broken by the kill of its back end's agent", caller.OutcomeBroken, killed(testBackend, time.Second), experiment.Report{BrokenByEndpointKill: 1}),
		Entry("broken while another back end's agent was killed", caller.OutcomeBroken, killed("audio-2", time.Second), experiment.Report{BrokenFlows: 1}),
		Entry("broken after an earlier kill", caller.OutcomeBroken, killed(testBackend, -time.Second), experiment.Report{BrokenFlows: 1}),
		Entry("broken before a later kill", caller.OutcomeBroken, killed(testBackend, time.Minute), experiment.Report{BrokenFlows: 1}),
	)

	callerAddress := netip.MustParseAddrPort("203.0.113.10:4000")
	accepted := func(name string, acknowledged uint32, after time.Duration) experiment.Acceptance {
		return experiment.Acceptance{
			Backend: name, Caller: callerAddress, Acknowledged: acknowledged, At: start.Add(after),
		}
	}

	DescribeTable("attributes a broken flow without a request to a kill only if the accepting agent was killed",
		func(acceptances []experiment.Acceptance, kills []experiment.Kill, byKill int) {
			result := ended(caller.OutcomeBroken)
			result.Caller = callerAddress
			report := experiment.NewReport(backend.NewRecorder(), acceptances, []caller.Result{result}, kills)
			Expect(report.BrokenByEndpointKill).To(Equal(byKill))
			Expect(report.BrokenFlows).To(Equal(1 - byKill))
		},
		Entry("the accepting agent", []experiment.Acceptance{accepted("audio-1", 1, time.Second)}, killed("audio-1", 2*time.Second), 1),
		Entry("another agent", []experiment.Acceptance{accepted("audio-1", 1, time.Second)}, killed("audio-2", 2*time.Second), 0),
		Entry("an earlier connection with the same port",
			[]experiment.Acceptance{accepted("audio-1", 1, -time.Second), accepted("audio-2", 2, time.Second)},
			killed("audio-1", 2*time.Second), 0),
	)

	DescribeTable("counts connections that two agents accepted, unless the first was killed in between",
		func(acceptances []experiment.Acceptance, kills []experiment.Kill, expected int) {
			report := experiment.NewReport(backend.NewRecorder(), acceptances, nil, kills)
			Expect(report.FlowsOnSeveralBackends).To(Equal(expected))
		},
		Entry("none", nil, nil, 0),
		Entry("one agent, retransmitted",
			[]experiment.Acceptance{accepted("audio-1", 1, 0), accepted("audio-1", 1, time.Second)}, nil, 0),
		Entry("two agents", []experiment.Acceptance{accepted("audio-1", 1, 0), accepted("audio-2", 1, time.Second)}, nil, 1),
		Entry("two connections", []experiment.Acceptance{accepted("audio-1", 1, 0), accepted("audio-2", 2, time.Second)}, nil, 0),
		Entry("the first agent killed in between",
			[]experiment.Acceptance{accepted("audio-1", 1, 0), accepted("audio-2", 1, 2*time.Second)},
			killed("audio-1", time.Second), 0),
		Entry("the first agent killed only later",
			[]experiment.Acceptance{accepted("audio-1", 1, 0), accepted("audio-2", 1, 2*time.Second)},
			killed("audio-1", 3*time.Second), 1),
	)

	type violations struct{ FlowsOnSeveralBackends, DuplicateRuns, Misdelivered int }

	DescribeTable("counts the violations that back ends recorded",
		func(prepare func(*backend.Recorder), expected violations) {
			recorder := backend.NewRecorder()
			prepare(recorder)
			report := experiment.NewReport(recorder, nil, nil, nil)
			Expect(violations{
				FlowsOnSeveralBackends: report.FlowsOnSeveralBackends, DuplicateRuns: report.DuplicateRuns, Misdelivered: report.Misdelivered,
			}).To(Equal(expected))
		},
		Entry("nothing", func(*backend.Recorder) {}, violations{}),
		Entry("one execution", func(recorder *backend.Recorder) { submitTo(recorder, "audio-1", "audio") }, violations{}),
		Entry("two executions on one back end", func(recorder *backend.Recorder) {
			submitTo(recorder, "audio-1", "audio")
			submitTo(recorder, "audio-1", "audio")
		}, violations{DuplicateRuns: 1}),
		Entry("two back ends", func(recorder *backend.Recorder) {
			submitTo(recorder, "audio-1", "audio")
			submitTo(recorder, "audio-2", "audio")
		}, violations{FlowsOnSeveralBackends: 1, DuplicateRuns: 1}),
		Entry("another service", func(recorder *backend.Recorder) { submitTo(recorder, "audio-1", "transcription") }, violations{Misdelivered: 1}),
	)

	DescribeTable("passes only without violations and with enough flows",
		func(change func(*experiment.Report), passed bool) {
			report := experiment.Report{Flows: 1000, Completed: 1000, ImbalanceFlows: experiment.MinimumOpenFlows, BrokenByEndpointKill: 5, Refused: 3}
			change(&report)
			Expect(report.Passed()).To(Equal(passed))
		},
		Entry("no violation", func(*experiment.Report) {}, true),
		Entry("broken flow", func(r *experiment.Report) { r.BrokenFlows = 1 }, false),
		Entry("flow not opened", func(r *experiment.Report) { r.NotOpened = 1 }, false),
		Entry("misdelivered request", func(r *experiment.Report) { r.Misdelivered = 1 }, false),
		Entry("flow on several back ends", func(r *experiment.Report) { r.FlowsOnSeveralBackends = 1 }, false),
		Entry("duplicate run", func(r *experiment.Report) { r.DuplicateRuns = 1 }, false),
		Entry("false refusal", func(r *experiment.Report) { r.FalseRefusals = 1 }, false),
		Entry("daemon fault", func(r *experiment.Report) { r.Faults = []string{"ended"} }, false),
		Entry("too few flows", func(r *experiment.Report) { r.ImbalanceFlows = experiment.MinimumOpenFlows - 1 }, false),
		Entry("nothing completed", func(r *experiment.Report) { r.Completed = 0 }, false),
	)

	DescribeTable("computes the ratio of the largest share to the mean",
		func(shares []float64, expected float64) {
			Expect(experiment.MaxOverMean(shares)).To(BeNumerically("~", expected, 1e-9))
		},
		Entry("no back end", nil, 0.0),
		Entry("no flow", []float64{0, 0}, 0.0),
		Entry("equal", []float64{3, 3, 3}, 1.0),
		Entry("all on one", []float64{6, 0, 0}, 3.0),
		Entry("slightly uneven", []float64{1, 1, 1, 2}, 1.6),
	)
})
