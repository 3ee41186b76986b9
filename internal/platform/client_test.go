package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/platform"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	validTable = `{"version": 4, "services": [
		{"id": 7, "name": "lookup", "address": "198.51.100.1:80", "protocol": "tcp", "owner": "gateway"}],
		"backends": [{"id": 9, "service": 7, "name": "lookup-1", "incarnation": 1, "agent": "192.0.2.1:6081",
		"weight": 10, "connection_limit": 3, "drain": false}]}`
	validMachines = `[{"name": "b1", "address": "192.0.2.9:7000", "role": "balancer", "state": "live"},
		{"name": "a1", "address": "192.0.2.1:6081", "role": "agent", "state": "leaving"}]`
)

func respond(status int, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_, _ = writer.Write([]byte(body))
	}
}

// breakOff promises more bytes than it sends.
func breakOff(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Length", "1000")
	_, _ = writer.Write([]byte(`{"revision": 3,`))
}

// hang holds the request until the client gives up.
func hang(_ http.ResponseWriter, request *http.Request) {
	<-request.Context().Done()
}

// trickle sends the header and then holds the body back.
func trickle(writer http.ResponseWriter, request *http.Request) {
	_, _ = writer.Write([]byte(`{`))
	writer.(http.Flusher).Flush()
	<-request.Context().Done()
}

func oversized(writer http.ResponseWriter, _ *http.Request) {
	_, _ = writer.Write([]byte(`{"revision": 3, "table": "`))
	block := []byte(strings.Repeat("x", 1<<20))
	for range platform.MaxResponseSize/len(block) + 1 {
		_, _ = writer.Write(block)
	}
}

func newClient(handler http.HandlerFunc, timeout time.Duration) *platform.Client {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	client, err := platform.NewClient(platform.ClientConfig{
		ConfigurationURL: server.URL + "/v1/configuration",
		MachinesURL:      server.URL + "/v1/machines",
		Timeout:          timeout,
	})
	Expect(err).NotTo(HaveOccurred())
	return client
}

// patient is a timeout that no working request reaches, and impatient one
// that only ends requests which are never answered.
const (
	patient   = time.Minute
	impatient = 50 * time.Millisecond
)

var _ = Describe("Client", func() {
	It("returns the revision beside the table and its own version", func(ctx context.Context) {
		client := newClient(func(writer http.ResponseWriter, request *http.Request) {
			Expect(request.Method).To(Equal(http.MethodGet))
			Expect(request.URL.Path).To(Equal("/v1/configuration"))
			_, _ = fmt.Fprintf(writer, `{"revision": 31, "added_later": true, "table": %s}`, validTable)
		}, patient)
		configuration, err := client.Configuration(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(configuration.Revision).To(Equal(platform.Revision(31)))
		Expect(configuration.Table.Version).To(Equal(table.Version(4)))
		Expect(configuration.Table.Backends[0].ConnectionLimit).To(BeEquivalentTo(3))
	})

	It("returns the list of machines", func(ctx context.Context) {
		client := newClient(respond(http.StatusOK, `{"revision": 2, "machines": `+validMachines+`}`), patient)
		machines, err := client.Machines(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(machines).To(Equal(platform.Machines{Revision: 2, Machines: []platform.Machine{
			{Name: "b1", Address: "192.0.2.9:7000", Role: platform.RoleBalancer, State: platform.StateLive},
			{Name: "a1", Address: "192.0.2.1:6081", Role: platform.RoleAgent, State: platform.StateLeaving},
		}}))
	})

	DescribeTable("refuses a faulty configuration",
		func(ctx context.Context, handler http.HandlerFunc, timeout time.Duration, reason platform.FetchReason, cause string) {
			_, err := newClient(handler, timeout).Configuration(ctx)
			var failed platform.FetchError
			Expect(errors.As(err, &failed)).To(BeTrue(), "%v", err)
			Expect(failed.Reason).To(Equal(reason), "%v", err)
			Expect(failed.URL).To(HaveSuffix("/v1/configuration"))
			Expect(failed.Cause.Error()).To(ContainSubstring(cause))
		},
		Entry("server error", respond(http.StatusServiceUnavailable, "{}"), patient, platform.BadStatus, "503"),
		Entry("no content", respond(http.StatusNoContent, ""), patient, platform.BadStatus, "204"),
		Entry("never answered", http.HandlerFunc(hang), impatient, platform.Unreachable, "deadline exceeded"),
		Entry("body held back", http.HandlerFunc(trickle), impatient, platform.Unreachable, "deadline exceeded"),
		Entry("body broken off", http.HandlerFunc(breakOff), patient, platform.Unreachable, "unexpected EOF"),
		Entry("body too large", http.HandlerFunc(oversized), patient, platform.BadContent, "larger than"),
		Entry("not JSON", respond(http.StatusOK, "<html>"), patient, platform.BadContent, "invalid character"),
		Entry("empty", respond(http.StatusOK, ""), patient, platform.BadContent, "unexpected end"),
		Entry("text after the answer", respond(http.StatusOK, `{"revision": 1, "table": `+validTable+`} x`),
			patient, platform.BadContent, "after top-level value"),
		Entry("no revision", respond(http.StatusOK, `{"table": `+validTable+`}`), patient, platform.BadContent, "no revision"),
		Entry("negative revision", respond(http.StatusOK, `{"revision": -1, "table": `+validTable+`}`),
			patient, platform.BadContent, "revision"),
		Entry("no table", respond(http.StatusOK, `{"revision": 1}`), patient, platform.BadContent, "no table"),
		Entry("null table", respond(http.StatusOK, `{"revision": 1, "table": null}`), patient, platform.BadContent, "version"),
		Entry("unknown column", respond(http.StatusOK, `{"revision": 1, "table": {"version": 1, "rows": []}}`),
			patient, platform.BadContent, `unknown field "rows"`),
		Entry("broken cell", respond(http.StatusOK,
			`{"revision": 1, "table": `+strings.Replace(validTable, `"weight": 10`, `"weight": 10001`, 1)+`}`),
			patient, platform.BadContent, "column weight: must be at most 10000"),
	)

	DescribeTable("refuses a faulty list of machines",
		func(ctx context.Context, body, cause string) {
			_, err := newClient(respond(http.StatusOK, body), patient).Machines(ctx)
			var failed platform.FetchError
			Expect(errors.As(err, &failed)).To(BeTrue(), "%v", err)
			Expect(failed.Reason).To(Equal(platform.BadContent))
			Expect(failed.Cause.Error()).To(ContainSubstring(cause))
		},
		Entry("no revision", `{"machines": []}`, "no revision"),
		Entry("no machines", `{"revision": 1}`, "no machines"),
		Entry("no name", `{"revision": 1, "machines": [{"address": "192.0.2.1:1", "role": "agent", "state": "live"}]}`, "without a name"),
		Entry("host name", `{"revision": 1, "machines": [{"name": "a", "address": "a:1", "role": "agent", "state": "live"}]}`, "not an IPv4 address"),
		Entry("unknown role", `{"revision": 1, "machines": [{"name": "a", "address": "192.0.2.1:1", "role": "x", "state": "live"}]}`, "unknown role"),
		Entry("unknown state", `{"revision": 1, "machines": [{"name": "a", "address": "192.0.2.1:1", "role": "agent", "state": "x"}]}`, "unknown state"),
	)

	It("reports a service that is down", func(ctx context.Context) {
		server := httptest.NewServer(respond(http.StatusOK, ""))
		server.Close()
		client, err := platform.NewClient(platform.ClientConfig{ConfigurationURL: server.URL, MachinesURL: server.URL})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Machines(ctx)
		var failed platform.FetchError
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Reason).To(Equal(platform.Unreachable))
	})

	It("refuses an answer that was read after the timeout, as by a paused process", func(ctx context.Context) {
		server := httptest.NewServer(respond(http.StatusOK, `{"revision": 2, "machines": []}`))
		DeferCleanup(server.Close)
		var clock time.Time
		client, err := platform.NewClient(platform.ClientConfig{
			ConfigurationURL: server.URL,
			MachinesURL:      server.URL,
			Timeout:          patient,
			Now: func() time.Time {
				clock = clock.Add(patient + time.Nanosecond)
				return clock
			},
		})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Machines(ctx)
		Expect(err).To(MatchError(ContainSubstring("after the timeout")))
	})

	It("refuses a URL that cannot be parsed", func() {
		_, err := platform.NewClient(platform.ClientConfig{ConfigurationURL: "http://[::1"})
		Expect(err).To(HaveOccurred())
	})
})
