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

func tokensFile(token tenant.Token) string {
	return "[[team]]\nname = \"gateway\"\nrequests_per_second = 10000.0\nburst = 100000\n" +
		"[[token]]\nname = \"anna\"\nteam = \"gateway\"\nrole = \"editor\"\nhash = \"" + token.Hash().String() + "\"\n"
}

// administered is a running balancer with the administration API.
type administered struct {
	running
	transport *http.Client
	tokens    string
}

func writeFile(path, text string) { Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }

// startAdministered starts a balancer with the API, after the given changes of
// its settings.
func startAdministered(platform *source, adjustments ...func(*settings.Settings)) administered {
	// The certificate of the test server is valid for 127.0.0.1, and its
	// client trusts it.
	issuer := httptest.NewTLSServer(http.NotFoundHandler())
	DeferCleanup(issuer.Close)
	issued := issuer.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(issued.PrivateKey)
	Expect(err).NotTo(HaveOccurred())
	directory := GinkgoT().TempDir()
	configured := settings.API{
		Listen: anyPort, Certificate: filepath.Join(directory, "certificate.pem"),
		Key: filepath.Join(directory, "key.pem"), Tokens: filepath.Join(directory, "tokens.toml"),
	}
	writeFile(configured.Certificate, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: issued.Certificate[0]})))
	writeFile(configured.Key, string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key})))
	writeFile(configured.Tokens, tokensFile(firstToken))
	checked := balancerSettings(platform)
	checked.API = &configured
	for _, adjust := range adjustments {
		adjust(&checked)
	}
	return administered{start(checked), issuer.Client(), configured.Tokens}
}

func (a administered) client(token tenant.Token) *adminapi.Client {
	client, err := adminapi.NewClient("https://"+a.daemon.Administration().String(), token, a.transport)
	Expect(err).NotTo(HaveOccurred())
	return client
}

func (a administered) row() table.Backend {
	answer, err := a.client(firstToken).Table(context.Background(), "")
	if err != nil || len(answer.Table.Backends) == 0 {
		return table.Backend{}
	}
	return answer.Table.Backends[0]
}

func (a administered) metrics() string { return a.get("/metrics") }

var _ = Describe("Administration API of a balancer", func() {
	ctx := context.Background()

	It("puts the changes of operators in force and lets no older revision undo them", func() {
		platform := newSource()
		platform.publish(2, tableOf(5, 10))
		balancer := startAdministered(platform)
		Eventually(balancer.metrics, generous).Should(ContainSubstring("\nvanetiller_table_version 1\n"))

		By("putting a change in force")
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

		By("keeping it when an older revision comes")
		platform.publish(1, tableOf(9, 1))
		Eventually(balancer.metrics, generous).Should(ContainSubstring(
			`vanetiller_platform_polls_total{outcome="stale",service="configuration"}`))
		Expect(balancer.row().Weight).To(Equal(weight))

		By("keeping it when a newer revision alters another cell")
		platform.publish(3, strings.Replace(tableOf(5, 10), `"connection_limit": 3`, `"connection_limit": 8`, 1))
		Eventually(func() uint32 { return balancer.row().ConnectionLimit }, generous).Should(Equal(uint32(8)))
		Expect(balancer.row().Weight).To(Equal(weight))

		By("following a newer revision that alters the same cell")
		platform.publish(4, strings.Replace(tableOf(5, 20), `"connection_limit": 3`, `"connection_limit": 8`, 1))
		Eventually(func() uint32 { return balancer.row().Weight }, generous).Should(Equal(uint32(20)))
		Expect(balancer.log).To(gbytes.Say("platform revision imported"))
		balancer.expectPlannedStop()
	})

	It("takes a replaced tokens file without a restart, and keeps the old one while the new is broken", func() {
		platform := newSource()
		platform.publish(1, tableOf(1, 10))
		balancer := startAdministered(platform)
		Eventually(func() uint32 { return balancer.row().Weight }, generous).Should(Equal(uint32(10)))
		writeFile(balancer.tokens, "[[token]]\n")
		Eventually(balancer.log, generous).Should(gbytes.Say("files not reloaded.*tokens"))
		Expect(balancer.row().Weight).To(Equal(uint32(10)))
		writeFile(balancer.tokens, tokensFile(secondToken))
		Eventually(func() error {
			_, err := balancer.client(secondToken).Members(ctx)
			return err
		}, generous).Should(Succeed())
		_, err := balancer.client(firstToken).Members(ctx)
		Expect(err).To(MatchError(ContainSubstring("unauthenticated")))
	})

	It("does not start with files that are broken", func() {
		checked := balancerSettings(newSource())
		checked.API = &settings.API{Listen: anyPort, Tokens: filepath.Join(GinkgoT().TempDir(), "absent.toml")}
		Expect(newDaemon(checked)).To(MatchError(os.ErrNotExist))
	})
})
