package platform_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/bench/platform"
	"github.com/vanetiller/vanetiller/internal/table"
)

func newPlatform() *platform.Platform {
	created, err := platform.New(netip.MustParseAddrPort("127.0.0.1:0"))
	Expect(err).NotTo(HaveOccurred())
	return created
}

func request(service *platform.Platform, path string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	service.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, http.NoBody))
	return recorder
}

func revisionSeen(service *platform.Platform, path string) platform.Revision {
	recorder := request(service, path)
	Expect(recorder.Code).To(Equal(http.StatusOK))
	var document struct {
		Revision platform.Revision `json:"revision"`
	}
	Expect(json.Unmarshal(recorder.Body.Bytes(), &document)).To(Succeed())
	return document.Revision
}

var _ = Describe("Platform", func() {
	first := &table.Table{Version: 10}
	second := &table.Table{Version: 11}

	It("serves the latest table with its revision after two were published", func() {
		service := newPlatform()
		service.PublishTable(first)
		Expect(service.PublishTable(second)).To(Equal(platform.Revision(2)))
		recorder := request(service, platform.PathConfiguration)
		Expect(recorder.Header().Get("ETag")).To(Equal(`"2"`))
		var document platform.Configuration
		Expect(json.NewDecoder(recorder.Body).Decode(&document)).To(Succeed())
		Expect(document).To(Equal(platform.Configuration{Revision: 2, Table: second}))
	})

	It("responds with status 304 and no body if the reader has the current revision", func() {
		service := newPlatform()
		service.PublishTable(first)
		conditional := httptest.NewRequest(http.MethodGet, platform.PathConfiguration, http.NoBody)
		conditional.Header.Set("If-None-Match", `"1"`)
		recorder := httptest.NewRecorder()
		service.Handler().ServeHTTP(recorder, conditional)
		Expect(recorder.Code).To(Equal(http.StatusNotModified))
		Expect(recorder.Body.Len()).To(BeZero())
		service.PublishTable(second)
		recorder = httptest.NewRecorder()
		service.Handler().ServeHTTP(recorder, conditional)
		Expect(recorder.Code).To(Equal(http.StatusOK))
	})

	It("serves the machine list in the JSON form that daemons read", func() {
		service := newPlatform()
		service.PublishMachines([]platform.Machine{{
			Name:    "balancer-1",
			Address: netip.MustParseAddrPort("127.0.0.1:7000"),
			Role:    platform.RoleBalancer,
			State:   platform.StateLeaving,
		}})
		body, err := io.ReadAll(request(service, platform.PathMachines).Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(MatchJSON(`{"revision":1,"machines":[
			{"name":"balancer-1","address":"127.0.0.1:7000","role":"balancer","state":"leaving"}]}`))
	})

	DescribeTable("responds with status 503 if no document is available",
		func(prepare func(*platform.Platform), path string) {
			service := newPlatform()
			prepare(service)
			Expect(request(service, path).Code).To(Equal(http.StatusServiceUnavailable))
		},
		Entry("configuration while down", func(service *platform.Platform) {
			service.PublishTable(first)
			service.SetFaults(platform.Faults{Down: true})
		}, platform.PathConfiguration),
		Entry("machines while down", func(service *platform.Platform) {
			service.PublishMachines(nil)
			service.SetFaults(platform.Faults{Down: true})
		}, platform.PathMachines),
		Entry("configuration before the first revision", func(*platform.Platform) {}, platform.PathConfiguration),
		Entry("machines before the first revision", func(*platform.Platform) {}, platform.PathMachines),
	)

	It("serves the old revision while stale and the latest one afterwards", func() {
		service := newPlatform()
		service.PublishTable(first)
		service.SetFaults(platform.Faults{Stale: true})
		service.PublishTable(second)
		Expect(revisionSeen(service, platform.PathConfiguration)).To(Equal(platform.Revision(1)))
		service.SetFaults(platform.Faults{})
		Expect(revisionSeen(service, platform.PathConfiguration)).To(Equal(platform.Revision(2)))
	})

	It("hides a new revision from readers that lag", func() {
		service := newPlatform()
		service.SetFaults(platform.Faults{MaxReaderLag: 1000 * time.Hour})
		service.PublishTable(first)
		service.PublishTable(second)
		seen := make(map[platform.Revision]bool)
		// The lag depends on the name of the reader. None of these names has lag zero.
		for _, name := range []string{"balancer-1", "balancer-2", "balancer-3"} {
			seen[revisionSeen(service, platform.PathConfiguration+"?reader="+name)] = true
		}
		Expect(seen).To(Equal(map[platform.Revision]bool{1: true}))
		service.SetFaults(platform.Faults{})
		Expect(revisionSeen(service, platform.PathConfiguration+"?reader=balancer-1")).To(Equal(platform.Revision(2)))
	})
})
