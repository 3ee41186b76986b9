package platform_test

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/platform"
)

// scriptedResponse is one response of a service with entity tags. Only status 200 has a body.
type scriptedResponse struct {
	status   int
	tag      string
	revision platform.Revision
	body     string
}

// scriptedService sends its responses in turn and records the tags of the requests.
type scriptedService struct {
	responses    []scriptedResponse
	receivedTags []string
}

func (s *scriptedService) serve(writer http.ResponseWriter, request *http.Request) {
	next := s.responses[len(s.receivedTags)]
	s.receivedTags = append(s.receivedTags, request.Header.Get("If-None-Match"))
	if next.tag != "" {
		writer.Header().Set("ETag", next.tag)
	}
	writer.WriteHeader(next.status)
	if next.status != http.StatusOK {
		return
	}
	if next.body != "" {
		_, _ = writer.Write([]byte(next.body))
		return
	}
	_, _ = fmt.Fprintf(writer, `{"revision": %d, "table": %s}`, next.revision, validTable)
}

const failedFetch platform.Revision = 0

// fetchAll returns the revision of each fetch, or failedFetch, and the reasons of the failures.
func fetchAll(ctx context.Context, service *scriptedService) ([]platform.Revision, []platform.FetchReason) {
	client := newClient(service.serve, longTimeout)
	var revisions []platform.Revision
	reasons := []platform.FetchReason{}
	for range service.responses {
		configuration, err := client.Configuration(ctx)
		var fetchError platform.FetchError
		if errors.As(err, &fetchError) {
			reasons = append(reasons, fetchError.Reason)
		}
		revisions = append(revisions, configuration.Revision)
	}
	return revisions, reasons
}

var _ = Describe("Conditional requests", func() {
	const ok, notModified = http.StatusOK, http.StatusNotModified

	DescribeTable("transfer only changed content",
		func(ctx context.Context, responses []scriptedResponse, receivedTags []string, revisions []platform.Revision, reasons ...platform.FetchReason) {
			service := &scriptedService{responses: responses}
			returned, failures := fetchAll(ctx, service)
			Expect(service.receivedTags).To(Equal(receivedTags))
			Expect(returned).To(Equal(revisions))
			Expect(failures).To(Equal(reasons))
		},
		Entry("unchanged",
			[]scriptedResponse{{ok, `"4"`, 4, ""}, {notModified, `"4"`, 0, ""}, {notModified, "", 0, ""}, {ok, `"5"`, 5, ""}, {notModified, `"5"`, 0, ""}},
			[]string{"", `"4"`, `"4"`, `"4"`, `"5"`},
			[]platform.Revision{4, 4, 4, 5, 5}),
		Entry("a weak tag matches the strong one",
			[]scriptedResponse{{ok, `W/"4"`, 4, ""}, {notModified, `"4"`, 0, ""}},
			[]string{"", `W/"4"`},
			[]platform.Revision{4, 4}),
		Entry("a platform without tags",
			[]scriptedResponse{{ok, "", 4, ""}, {ok, "", 4, ""}},
			[]string{"", ""},
			[]platform.Revision{4, 4}),
		Entry("a platform that stops sending tags",
			[]scriptedResponse{{ok, `"4"`, 4, ""}, {ok, "", 5, ""}, {ok, "", 5, ""}},
			[]string{"", `"4"`, ""},
			[]platform.Revision{4, 5, 5}),
		Entry("a platform that ignores the condition",
			[]scriptedResponse{{ok, `"4"`, 4, ""}, {ok, `"4"`, 4, ""}},
			[]string{"", `"4"`},
			[]platform.Revision{4, 4}),
		Entry("another tag with an older revision, which is returned while it is confirmed",
			[]scriptedResponse{{ok, `"9"`, 9, ""}, {ok, `"8"`, 8, ""}, {notModified, `"8"`, 0, ""}, {ok, `"9"`, 9, ""}},
			[]string{"", `"9"`, `"8"`, `"8"`},
			[]platform.Revision{9, 8, 8, 9}),
		Entry("304 without a cached response",
			[]scriptedResponse{{notModified, `"4"`, 0, ""}, {ok, `"4"`, 4, ""}},
			[]string{"", ""},
			[]platform.Revision{failedFetch, 4}, platform.BadStatus),
		Entry("304 with a tag other than the cached one",
			[]scriptedResponse{{ok, `"4"`, 4, ""}, {notModified, `"5"`, 0, ""}, {ok, `"5"`, 5, ""}},
			[]string{"", `"4"`, ""},
			[]platform.Revision{4, failedFetch, 5}, platform.BadStatus),
		Entry("a failure keeps the cached response",
			[]scriptedResponse{{ok, `"4"`, 4, ""}, {http.StatusServiceUnavailable, "", 0, ""}, {notModified, `"4"`, 0, ""}},
			[]string{"", `"4"`, `"4"`},
			[]platform.Revision{4, failedFetch, 4}, platform.BadStatus),
		Entry("an invalid response is not cached",
			[]scriptedResponse{{ok, `"4"`, 4, ""}, {ok, `"5"`, 0, `{"revision": 5, "table": {}}`}, {notModified, `"4"`, 0, ""}},
			[]string{"", `"4"`, `"4"`},
			[]platform.Revision{4, failedFetch, 4}, platform.BadContent),
	)

	It("interoperate with the implementation in net/http", func(ctx context.Context) {
		body := `{"revision": 3, "machines": ` + validMachines + `}`
		var statuses []int
		client := newClient(func(writer http.ResponseWriter, request *http.Request) {
			recorder := httptest.NewRecorder()
			recorder.Header().Set("ETag", `"3"`)
			http.ServeContent(recorder, request, "machines.json", time.Time{}, bytes.NewReader([]byte(body)))
			statuses = append(statuses, recorder.Code)
			maps.Copy(writer.Header(), recorder.Header())
			writer.WriteHeader(recorder.Code)
			_, _ = writer.Write(recorder.Body.Bytes())
		}, longTimeout)
		first, err := client.Machines(ctx)
		Expect(err).NotTo(HaveOccurred())
		second, err := client.Machines(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(first))
		Expect(second.Machines).To(HaveLen(2))
		Expect(statuses).To(Equal([]int{ok, notModified}))
	})

	It("let a poller deliver once and then report the revision as unchanged", func(ctx context.Context) {
		service := &scriptedService{}
		for range 3 {
			service.responses = append(service.responses, scriptedResponse{notModified, `"6"`, 0, ""})
		}
		service.responses[0] = scriptedResponse{ok, `"6"`, 6, ""}
		result := pollClient(ctx, newClient(service.serve, longTimeout), len(service.responses))
		Expect(result.delivered).To(Equal([]platform.Revision{6}))
		Expect(result.unchanged).To(Equal(2))
	})
})
