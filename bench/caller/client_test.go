package caller_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/bench/backend"
	"github.com/vanetiller/vanetiller/bench/caller"
	"github.com/vanetiller/vanetiller/bench/exchange"
)

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	service  = caller.Service{Name: "audio", Address: netip.MustParseAddrPort("198.51.100.2:80")}
)

func newClient(chooseBackend func() netip.AddrPort) *caller.Client {
	callers, err := caller.NewStack(newTestNetwork(chooseBackend), []netip.Addr{
		netip.MustParseAddr("203.0.113.10"), netip.MustParseAddr("203.0.113.11"),
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- callers.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(done, "30s").Should(Receive(BeNil()))
	})
	return &caller.Client{Dialer: callers, ConnectTimeout: 30 * time.Second, ProgressTimeout: 30 * time.Second}
}

func startBackend(settings backend.Settings) *backend.Backend {
	settings.Listen = loopback
	created, err := backend.New(settings)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- created.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(done, "30s").Should(Receive(BeNil()))
	})
	return created
}

// startServer starts an HTTP server with the given handler in place of a back end.
func startServer(handler http.HandlerFunc) netip.AddrPort {
	listener, err := net.Listen("tcp4", loopback.String())
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func plan(kind caller.Kind) caller.Plan {
	return caller.Plan{
		ID: "flow-1", Service: service, Kind: kind,
		Pieces: 4, PieceSize: 3000, Pause: time.Millisecond,
	}
}

var _ = Describe("Client", func() {
	DescribeTable("completes every kind of flow on a single back end",
		func(kind caller.Kind, answers int) {
			recorder := backend.NewRecorder()
			server := startBackend(backend.Settings{Service: "audio", Name: "audio-1", Recorder: recorder})
			client := newClient(server.Address)
			result := client.Run(context.Background(), plan(kind))
			Expect(result.Outcome).To(Equal(caller.OutcomeCompleted), result.Detail)
			Expect(result.Backend).To(Equal("audio-1"))
			Expect(result.AnswerTimes).To(HaveLen(answers))
			Expect(recorder.BackendsOf("flow-1")).To(Equal([]string{"audio-1"}))
			Expect(recorder.HasRun(result.Request)).To(Equal(kind == caller.KindSubmit))
			Expect(recorder.Totals()).To(Equal(backend.Totals{}))
			Expect(server.Counters().Accepted).To(BeEquivalentTo(1))
		},
		Entry("upload", caller.KindUpload, 0),
		Entry("download", caller.KindDownload, 0),
		Entry("poll", caller.KindPoll, 4),
		Entry("submission", caller.KindSubmit, 1),
	)

	It("reports a refused flow when the connection is refused", func() {
		client := newClient(func() netip.AddrPort { return netip.AddrPort{} })
		result := client.Run(context.Background(), plan(caller.KindPoll))
		Expect(result.Outcome).To(Equal(caller.OutcomeRefused))
		Expect(result.Cause).To(Equal(caller.CauseConnectRefused))
	})

	It("reports a shed submission when the back end refuses it before running it", func() {
		recorder := backend.NewRecorder()
		received := make(chan struct{})
		server := startServer(func(writer http.ResponseWriter, request *http.Request) {
			close(received)
			writer.Header().Set(exchange.HeaderNotRun, "true")
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
		result := newClient(func() netip.AddrPort { return server }).Run(context.Background(), plan(caller.KindSubmit))
		Expect(received).To(BeClosed())
		Expect(result.Outcome).To(Equal(caller.OutcomeRefused))
		Expect(result.Cause).To(Equal(caller.CauseShed))
		Expect(recorder.HasRun(result.Request)).To(BeFalse())
	})

	It("reports a wrong service when a request reaches a back end of another service", func() {
		recorder := backend.NewRecorder()
		server := startBackend(backend.Settings{Service: "transcription", Name: "transcription-1", Recorder: recorder})
		result := newClient(server.Address).Run(context.Background(), plan(caller.KindSubmit))
		Expect(result.Outcome).To(Equal(caller.OutcomeBroken))
		Expect(result.Cause).To(Equal(caller.CauseWrongService))
		Expect(recorder.Totals()).To(Equal(backend.Totals{Misdelivered: 1}))
		Expect(recorder.HasRun(result.Request)).To(BeFalse())
	})

	It("records both back ends of a flow and a duplicate run when the same submission reaches two", func() {
		recorder := backend.NewRecorder()
		first := startBackend(backend.Settings{Service: "audio", Name: "audio-1", Recorder: recorder})
		second := startBackend(backend.Settings{Service: "audio", Name: "audio-2", Recorder: recorder})
		for _, server := range []*backend.Backend{first, second} {
			newClient(server.Address).Run(context.Background(), plan(caller.KindSubmit))
		}
		Expect(recorder.BackendsOf("flow-1")).To(Equal([]string{"audio-1", "audio-2"}))
		Expect(recorder.Totals()).To(Equal(backend.Totals{DuplicateRuns: 1}))
	})

	DescribeTable("reports the cause of a wrong answer",
		func(kind caller.Kind, change func(http.ResponseWriter), cause caller.Cause) {
			server := startServer(func(writer http.ResponseWriter, request *http.Request) {
				header := writer.Header()
				header.Set(exchange.HeaderRequest, request.Header.Get(exchange.HeaderRequest))
				header.Set(exchange.HeaderService, "audio")
				header.Set(exchange.HeaderBackend, "audio-1")
				header.Set(exchange.HeaderChecksum, exchange.Checksum(nil))
				change(writer)
			})
			result := newClient(func() netip.AddrPort { return server }).Run(context.Background(), plan(kind))
			Expect(result.Outcome).To(Equal(caller.OutcomeBroken))
			Expect(result.Cause).To(Equal(cause))
		},
		Entry("answer to another request", caller.KindPoll, func(writer http.ResponseWriter) {
			writer.Header().Set(exchange.HeaderRequest, "flow-2-0")
		}, caller.CauseMismatchedAnswer),
		Entry("checksum of another body", caller.KindUpload, func(http.ResponseWriter) {}, caller.CauseWrongContent),
		Entry("content of another request", caller.KindDownload, func(writer http.ResponseWriter) {
			_, _ = writer.Write(exchange.Content("flow-2-0", 12000))
		}, caller.CauseWrongContent),
		Entry("status 500", caller.KindPoll, func(writer http.ResponseWriter) {
			writer.WriteHeader(http.StatusInternalServerError)
		}, caller.CauseWrongStatus),
		Entry("truncated answer", caller.KindDownload, func(writer http.ResponseWriter) {
			writer.Header().Set("Content-Length", "12000")
			_, _ = writer.Write(exchange.Content("flow-1-0", 6000))
		}, caller.CauseTruncated),
	)
})

var _ = Describe("Backend", func() {
	It("refuses a submission without executing it when no slot is free", func() {
		recorder := backend.NewRecorder()
		server := startBackend(backend.Settings{
			Service: "audio", Name: "audio-1", Recorder: recorder, Slots: 1, WorkTime: time.Hour,
		})
		client := newClient(server.Address)
		firstContext, release := context.WithCancel(context.Background())
		firstResult := make(chan caller.Result, 1)
		go func() { firstResult <- client.Run(firstContext, plan(caller.KindSubmit)) }()
		Eventually(func() bool { return recorder.HasRun("flow-1-0") }, "30s").Should(BeTrue())
		second := plan(caller.KindSubmit)
		second.ID = "flow-2"
		result := client.Run(context.Background(), second)
		Expect(result.Outcome).To(Equal(caller.OutcomeRefused))
		Expect(recorder.HasRun(result.Request)).To(BeFalse())
		Expect(server.Counters().Shed).To(BeEquivalentTo(1))
		release()
		Eventually(firstResult, "30s").Should(Receive(HaveField("Cause", caller.CauseCancelled)))
	})
})
