package observability_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/observability"
)

func TestObservability(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "observability")
}

const (
	tableCondition   observability.Condition = "table"
	controlCondition observability.Condition = "control"
	waitTimeout                              = 30 * time.Second
)

type httpResponse struct {
	Status int
	Body   string
}

// runServer runs the server and returns a channel that receives its result.
func runServer(ctx context.Context, server *observability.Server) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	return ended
}

func get(address netip.AddrPort, path string) httpResponse {
	response, err := http.Get("http://" + address.String() + path)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return httpResponse{response.StatusCode, string(body)}
}

var _ = Describe("Server", func() {
	var (
		health *observability.Health
		server *observability.Server
		cancel context.CancelFunc
		ended  <-chan error
	)

	BeforeEach(func() {
		health = observability.NewHealth(tableCondition, controlCondition)
		var err error
		server, err = observability.NewServer(observability.ServerConfig{
			Listen: netip.MustParseAddrPort("127.0.0.1:0"),
			Health: health,
			Metrics: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = writer.Write([]byte("vanetiller_up 1\n"))
			}),
		})
		Expect(err).NotTo(HaveOccurred())
		var ctx context.Context
		ctx, cancel = context.WithCancel(context.Background())
		ended = runServer(ctx, server)
		DeferCleanup(cancel)
	})

	It("reports the conditions that are not met, and ready once all are met", func() {
		Expect(get(server.Address(), "/healthz")).To(Equal(httpResponse{http.StatusServiceUnavailable,
			`{"ready":false,"reasons":[{"condition":"control","reason":"not started"},{"condition":"table","reason":"not started"}]}` + "\n"}))
		health.SetReady(controlCondition)
		health.SetNotReady(tableCondition, "no answer from the platform")
		Expect(get(server.Address(), "/healthz")).To(Equal(httpResponse{http.StatusServiceUnavailable,
			`{"ready":false,"reasons":[{"condition":"table","reason":"no answer from the platform"}]}` + "\n"}))
		health.SetReady(tableCondition)
		Expect(get(server.Address(), "/healthz")).To(Equal(httpResponse{http.StatusOK, `{"ready":true,"reasons":[]}` + "\n"}))
	})

	It("serves metrics and rejects other paths and methods", func() {
		Expect(get(server.Address(), "/metrics")).To(Equal(httpResponse{http.StatusOK, "vanetiller_up 1\n"}))
		Expect(get(server.Address(), "/").Status).To(Equal(http.StatusNotFound))
		response, err := http.Post("http://"+server.Address().String()+"/healthz", "", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusMethodNotAllowed))
	})

	It("stops with its context and closes the listener", func() {
		Expect(get(server.Address(), "/metrics").Status).To(Equal(http.StatusOK))
		cancel()
		Eventually(ended, waitTimeout).Should(Receive(BeNil()))
		_, err := http.Get("http://" + server.Address().String() + "/healthz")
		Expect(err).To(HaveOccurred())
	})

	It("fails if the address is in use", func() {
		_, err := observability.NewServer(observability.ServerConfig{Listen: server.Address(), Health: health})
		Expect(err).To(MatchError(ContainSubstring("address already in use")))
	})
})
