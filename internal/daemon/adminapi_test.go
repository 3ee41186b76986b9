package daemon_test

import (
	"context"
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/settings"
	"github.com/vanetiller/vanetiller/internal/table"
	"github.com/vanetiller/vanetiller/internal/tenant"
)

const (
	firstToken  tenant.Token = "the first token"
	secondToken tenant.Token = "the second token"
)

func tokensContent(token tenant.Token) string {
	return "[[team]]\nname = \"gateway\"\nrequests_per_second = 10000.0\nburst = 100000\n" +
		"[[token]]\nname = \"anna\"\nteam = \"gateway\"\nrole = \"editor\"\nhash = \"" + token.Hash().String() + "\"\n"
}

// runningAPI is a running balancer with the administration API.
type runningAPI struct {
	runningDaemon
	httpClient *http.Client
	tokensFile string
}

func writeFile(path, text string) { Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }

// startWithAPI starts a balancer with the administration API. The adjustments
// change its settings before the start.
func startWithAPI(platform *fakePlatform, adjustments ...func(*settings.Settings)) runningAPI {
	// Reuse the certificate of a test server: it is valid for 127.0.0.1, and the
	// client of the test server trusts it.
	tlsServer := httptest.NewTLSServer(http.NotFoundHandler())
	DeferCleanup(tlsServer.Close)
	certificate := tlsServer.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	Expect(err).NotTo(HaveOccurred())
	directory := GinkgoT().TempDir()
	apiSettings := settings.API{
		Listen: anyPort, Certificate: filepath.Join(directory, "certificate.pem"),
		Key: filepath.Join(directory, "key.pem"), Tokens: filepath.Join(directory, "tokens.toml"),
	}
	writeFile(apiSettings.Certificate, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate.Certificate[0]})))
	writeFile(apiSettings.Key, string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key})))
	writeFile(apiSettings.Tokens, tokensContent(firstToken))
	config := balancerSettings(platform)
	config.API = &apiSettings
	for _, adjust := range adjustments {
		adjust(&config)
	}
	return runningAPI{startDaemon(config), tlsServer.Client(), apiSettings.Tokens}
}

func (a runningAPI) client(token tenant.Token) *adminapi.Client {
	client, err := adminapi.NewClient("https://"+a.daemon.AdminAPIAddress().String(), token, a.httpClient)
	Expect(err).NotTo(HaveOccurred())
	return client
}

func (a runningAPI) firstBackend() table.Backend {
	answer, err := a.client(firstToken).Table(context.Background(), "")
	if err != nil || len(answer.Table.Backends) == 0 {
		return table.Backend{}
	}
	return answer.Table.Backends[0]
}

func (a runningAPI) metrics() string { return a.get("/metrics") }

var _ = Describe("Administration API of a balancer", func() {
	ctx := context.Background()

	It("applies changes of operators and keeps them when an older platform revision arrives", func() {
		platform := newFakePlatform()
		platform.publish(2, tableJSON(5, 10))
		balancer := startWithAPI(platform)
		Eventually(balancer.metrics, waitTimeout).Should(ContainSubstring("\nvanetiller_table_version 1\n"))

		By("applying a change")
		weight, base := uint32(77), table.Version(1)
		answer, err := balancer.client(firstToken).Change(ctx, adminapi.ChangeRequest{
			ChangeMetadata: adminapi.ChangeMetadata{ID: "c1", Reason: "more", BaseVersion: &base},
			Operations:     adminapi.Operations{SetCells: []adminapi.CellUpdate{{Backend: 9, Weight: &weight}}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal(adminapi.ChangeResponse{ID: "c1", Outcome: adminapi.Accepted, Version: 2}))
		Expect(balancer.client(firstToken).VersionStatus(ctx, 2)).To(Equal(
			adminapi.VersionStatusResponse{Version: 2, Accepted: true, Reached: 1, NotReached: []string{}}))
		Expect(balancer.metrics()).To(And(
			ContainSubstring("\nvanetiller_table_version 2\n"),
			ContainSubstring(`vanetiller_api_requests_total{operation="POST /v1/changes",status="200"} 1`)))

		By("keeping the change when an older revision arrives")
		platform.publish(1, tableJSON(9, 1))
		Eventually(balancer.metrics, waitTimeout).Should(ContainSubstring(
			`vanetiller_platform_polls_total{outcome="stale",service="configuration"}`))
		Expect(balancer.firstBackend().Weight).To(Equal(weight))

		By("keeping the change when a newer revision modifies another cell")
		platform.publish(3, strings.Replace(tableJSON(5, 10), `"connection_limit": 3`, `"connection_limit": 8`, 1))
		Eventually(func() uint32 { return balancer.firstBackend().ConnectionLimit }, waitTimeout).Should(Equal(uint32(8)))
		Expect(balancer.firstBackend().Weight).To(Equal(weight))

		By("adopting the value of a newer revision that modifies the same cell")
		platform.publish(4, strings.Replace(tableJSON(5, 20), `"connection_limit": 3`, `"connection_limit": 8`, 1))
		Eventually(func() uint32 { return balancer.firstBackend().Weight }, waitTimeout).Should(Equal(uint32(20)))
		Expect(balancer.log).To(gbytes.Say("platform revision imported"))
		balancer.expectPlannedStop()
	})

	It("reloads a replaced tokens file without a restart and keeps the old tokens while the new file is invalid", func() {
		platform := newFakePlatform()
		platform.publish(1, tableJSON(1, 10))
		balancer := startWithAPI(platform)
		Eventually(func() uint32 { return balancer.firstBackend().Weight }, waitTimeout).Should(Equal(uint32(10)))
		writeFile(balancer.tokensFile, "[[token]]\n")
		Eventually(balancer.log, waitTimeout).Should(gbytes.Say("files not reloaded.*tokens"))
		Expect(balancer.firstBackend().Weight).To(Equal(uint32(10)))
		writeFile(balancer.tokensFile, tokensContent(secondToken))
		Eventually(func() error {
			_, err := balancer.client(secondToken).Members(ctx)
			return err
		}, waitTimeout).Should(Succeed())
		_, err := balancer.client(firstToken).Members(ctx)
		Expect(err).To(MatchError(ContainSubstring("unauthenticated")))
	})

	It("does not start if the tokens file does not exist", func() {
		config := balancerSettings(newFakePlatform())
		config.API = &settings.API{Listen: anyPort, Tokens: filepath.Join(GinkgoT().TempDir(), "absent.toml")}
		Expect(newDaemon(config)).To(MatchError(os.ErrNotExist))
	})
})
