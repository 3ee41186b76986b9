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

// exchange is one scripted answer of a service with entity tags. Statuses other
// than 200 have no body.
type exchange struct {
	status   int
	tag      string
	revision platform.Revision
	body     string
}

// script answers the requests in turn and notes their conditions.
type script struct {
	exchanges  []exchange
	conditions []string
}

func (s *script) serve(writer http.ResponseWriter, request *http.Request) {
	next := s.exchanges[len(s.conditions)]
	s.conditions = append(s.conditions, request.Header.Get("If-None-Match"))
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

// fetchAll returns the revision of each fetch, failedFetch for those that were
// refused, and the reasons of the latter.
func fetchAll(ctx context.Context, service *script) ([]platform.Revision, []platform.FetchReason) {
	client := newClient(service.serve, patient)
	var revisions []platform.Revision
	reasons := []platform.FetchReason{}
	for range service.exchanges {
		configuration, err := client.Configuration(ctx)
		var failed platform.FetchError
		if errors.As(err, &failed) {
			reasons = append(reasons, failed.Reason)
		}
		revisions = append(revisions, configuration.Revision)
	}
	return revisions, reasons
}

var _ = Describe("conditional requests", func() {
	const ok, notModified = http.StatusOK, http.StatusNotModified

	DescribeTable("ask only for what has changed",
		func(ctx context.Context, exchanges []exchange, conditions []string, revisions []platform.Revision, reasons ...platform.FetchReason) {
			service := &script{exchanges: exchanges}
			answered, refused := fetchAll(ctx, service)
			Expect(service.conditions).To(Equal(conditions))
			Expect(answered).To(Equal(revisions))
			Expect(refused).To(Equal(reasons))
		},
		Entry("unchanged",
			[]exchange{{ok, `"4"`, 4, ""}, {notModified, `"4"`, 0, ""}, {notModified, "", 0, ""}, {ok, `"5"`, 5, ""}, {notModified, `"5"`, 0, ""}},
			[]string{"", `"4"`, `"4"`, `"4"`, `"5"`},
			[]platform.Revision{4, 4, 4, 5, 5}),
		Entry("a weak tag is the same as the strong one",
			[]exchange{{ok, `W/"4"`, 4, ""}, {notModified, `"4"`, 0, ""}},
			[]string{"", `W/"4"`},
			[]platform.Revision{4, 4}),
		Entry("a platform without tags",
			[]exchange{{ok, "", 4, ""}, {ok, "", 4, ""}},
			[]string{"", ""},
			[]platform.Revision{4, 4}),
		Entry("a platform that stops giving tags",
			[]exchange{{ok, `"4"`, 4, ""}, {ok, "", 5, ""}, {ok, "", 5, ""}},
			[]string{"", `"4"`, ""},
			[]platform.Revision{4, 5, 5}),
		Entry("a platform that ignores the condition",
			[]exchange{{ok, `"4"`, 4, ""}, {ok, `"4"`, 4, ""}},
			[]string{"", `"4"`},
			[]platform.Revision{4, 4}),
		Entry("another tag with an older revision, which stays old while it is confirmed",
			[]exchange{{ok, `"9"`, 9, ""}, {ok, `"8"`, 8, ""}, {notModified, `"8"`, 0, ""}, {ok, `"9"`, 9, ""}},
			[]string{"", `"9"`, `"8"`, `"8"`},
			[]platform.Revision{9, 8, 8, 9}),
		Entry("304 without a known revision",
			[]exchange{{notModified, `"4"`, 0, ""}, {ok, `"4"`, 4, ""}},
			[]string{"", ""},
			[]platform.Revision{failedFetch, 4}, platform.BadStatus),
		Entry("304 for another revision than the known one",
			[]exchange{{ok, `"4"`, 4, ""}, {notModified, `"5"`, 0, ""}, {ok, `"5"`, 5, ""}},
			[]string{"", `"4"`, ""},
			[]platform.Revision{4, failedFetch, 5}, platform.BadStatus),
		Entry("an outage keeps what is known",
			[]exchange{{ok, `"4"`, 4, ""}, {http.StatusServiceUnavailable, "", 0, ""}, {notModified, `"4"`, 0, ""}},
			[]string{"", `"4"`, `"4"`},
			[]platform.Revision{4, failedFetch, 4}, platform.BadStatus),
		Entry("an invalid answer is not taken for known",
			[]exchange{{ok, `"4"`, 4, ""}, {ok, `"5"`, 0, `{"revision": 5, "table": {}}`}, {notModified, `"4"`, 0, ""}},
			[]string{"", `"4"`, `"4"`},
			[]platform.Revision{4, failedFetch, 4}, platform.BadContent),
	)

	It("agrees with the HTTP library's own handling of conditions", func(ctx context.Context) {
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
		}, patient)
		first, err := client.Machines(ctx)
		Expect(err).NotTo(HaveOccurred())
		second, err := client.Machines(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(first))
		Expect(second.Machines).To(HaveLen(2))
		Expect(statuses).To(Equal([]int{ok, notModified}))
	})

	It("confirms with a poller and delivers once", func(ctx context.Context) {
		service := &script{}
		for range 3 {
			service.exchanges = append(service.exchanges, exchange{notModified, `"6"`, 0, ""})
		}
		service.exchanges[0] = exchange{ok, `"6"`, 6, ""}
		observed := playClient(ctx, newClient(service.serve, patient), len(service.exchanges))
		Expect(observed.delivered).To(Equal([]platform.Revision{6}))
		Expect(observed.confirmed).To(Equal(2))
	})
})
