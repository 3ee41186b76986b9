package adminapi_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
	"github.com/vanetiller/vanetiller/internal/tenant"
)

func TestAdminAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "adminapi")
}

const (
	adminToken  tenant.Token = "administrator"
	editorToken tenant.Token = "editor of gateway"
	viewerToken tenant.Token = "viewer of gateway"
	sawtToken   tenant.Token = "editor of sawt"
)

var tokensFile = strings.NewReplacer(
	"ADMIN", adminToken.Hash().String(), "EDITOR", editorToken.Hash().String(),
	"VIEWER", viewerToken.Hash().String(), "SAWT", sawtToken.Hash().String(),
).Replace(`
[[team]]
name = "gateway"
burst = 20
request_size = 4096
[[team]]
name = "sawt"
[[token]]
name = "root"
hash = "ADMIN"
role = "administrator"
[[token]]
name = "anna"
hash = "EDITOR"
role = "editor"
team = "gateway"
[[token]]
name = "vera"
hash = "VIEWER"
role = "viewer"
team = "gateway"
[[token]]
name = "omar"
hash = "SAWT"
role = "editor"
team = "sawt"
`)

var testTime = time.Date(2029, 6, 1, 12, 0, 0, 0, time.UTC)

// exampleOperations returns the operations that create the table of version 1.
func exampleOperations() adminapi.Operations {
	return adminapi.Operations{
		AddServices: []table.Service{
			{ID: 1, Name: "lookup", Address: "198.51.100.1:80", Protocol: table.ProtocolTCP, Owner: "gateway"},
			{ID: 2, Name: "audio", Address: "198.51.100.2:80", Protocol: table.ProtocolTCP, Owner: "sawt"},
		},
		AddBackends: []table.Backend{
			{ID: 10, Service: 1, Name: "lookup-1", Incarnation: 1, Agent: "192.0.2.1:6081", Weight: 5},
			{ID: 11, Service: 1, Name: "lookup-2", Incarnation: 1, Agent: "192.0.2.2:6081", Weight: 5},
			{ID: 20, Service: 2, Name: "audio-1", Incarnation: 1, Agent: "192.0.2.3:6081", Weight: 5},
		},
	}
}

// testAPI is an API server backed by a single-process store.
type testAPI struct {
	store  adminapi.Store
	member *adminapi.SingleMember
	server *httptest.Server
}

func newAdmissionController() *tenant.AdmissionController {
	credentials, err := tenant.ParseCredentials("tokens.toml", []byte(tokensFile))
	Expect(err).NotTo(HaveOccurred())
	return tenant.NewAdmissionController(credentials)
}

func startServer(store adminapi.Store) *httptest.Server {
	server := httptest.NewServer(adminapi.NewHandler(adminapi.HandlerConfig{
		Store: store, Admission: newAdmissionController(), Now: func() time.Time { return testTime },
	}))
	DeferCleanup(server.Close)
	return server
}

func newTestAPI() *testAPI {
	created := &testAPI{member: adminapi.NewSingleMember("balancer-1", "zone-1")}
	created.store = adminapi.NewSingleReplicaStore(changelog.DefaultLimits(), created.member,
		func(changed *table.Table) { created.member.SetActiveVersion(changed.Version) })
	created.server = startServer(created.store)
	response := created.submit(adminToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("setup", 0), Operations: exampleOperations()})
	Expect(response.Outcome).To(Equal(adminapi.Accepted))
	return created
}

func (a *testAPI) client(token tenant.Token) *adminapi.Client {
	client, err := adminapi.NewClient(a.server.URL, token, a.server.Client())
	Expect(err).NotTo(HaveOccurred())
	return client
}

func (a *testAPI) submit(token tenant.Token, request adminapi.ChangeRequest) adminapi.ChangeResponse {
	response, err := a.client(token).Change(context.Background(), request)
	Expect(err).NotTo(HaveOccurred())
	return response
}

func (a *testAPI) weightOf(id table.BackendID) uint32 {
	row, exists := a.store.Table().Table.Backend(id)
	Expect(exists).To(BeTrue())
	return row.Weight
}

func changeMetadata(id string, base table.Version) adminapi.ChangeMetadata {
	return adminapi.ChangeMetadata{ID: id, Reason: "reason of " + id, BaseVersion: &base}
}

func setWeight(id table.BackendID, weight uint32) adminapi.Operations {
	return adminapi.Operations{SetCells: []adminapi.CellUpdate{{Backend: id, Weight: &weight}}}
}

// httpResult holds the checked parts of an HTTP response.
type httpResult struct {
	status     int
	retryAfter string
	body       string
}

func sendRequest(server *httptest.Server, token tenant.Token, method, path, body string) httpResult {
	httpRequest, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	if token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+string(token))
	}
	response, err := server.Client().Do(httpRequest)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Valid(bytes.TrimSpace(data))).To(BeTrue(), string(data))
	return httpResult{response.StatusCode, response.Header.Get("Retry-After"), string(data)}
}

func changeBody(id string, rest string) string {
	return fmt.Sprintf(`{"id": %q, "reason": "test", "base_version": 1, %s}`, id, rest)
}
