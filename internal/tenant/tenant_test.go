package tenant_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/table"
	"github.com/vanetiller/vanetiller/internal/tenant"
)

func TestTenant(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tenant")
}

const (
	annaToken  tenant.Token = "anna's secret"
	omarToken  tenant.Token = "omar's secret"
	adminToken tenant.Token = "the administrator's secret"
)

var tokensFile = `
[[team]]
name = "gateway"
requests_per_second = 2.0
burst = 3
request_size = 1000

[[team]]
name = "sawt"

[[token]]
name = "anna"
hash = "` + annaToken.Hash().String() + `"
role = "editor"
team = "gateway"

[[token]]
name = "omar"
hash = "` + omarToken.Hash().String() + `"
role = "viewer"
team = "sawt"
expires = 2030-01-01T00:00:00Z

[[token]]
name = "root"
hash = "` + adminToken.Hash().String() + `"
role = "administrator"
`

var testStart = time.Date(2029, 6, 1, 0, 0, 0, 0, time.UTC)

func parseCredentials(text string) *tenant.Credentials {
	parsed, err := tenant.ParseCredentials("tokens.toml", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	return parsed
}

var _ = Describe("Credentials", func() {
	It("returns the principal of a known token and rejects unknown tokens", func() {
		credentials := parseCredentials(tokensFile)
		anna, known := credentials.Authenticate(annaToken, testStart)
		Expect(known).To(BeTrue())
		Expect(anna).To(Equal(tenant.Principal{Name: "anna", Role: tenant.RoleEditor, Team: "gateway", RequestSize: 1000}))
		root, known := credentials.Authenticate(adminToken, testStart)
		Expect(known).To(BeTrue())
		Expect(root.RequestSize).To(Equal(tenant.DefaultLimits().RequestSize))
		_, known = credentials.Authenticate("nobody's secret", testStart)
		Expect(known).To(BeFalse())
		_, known = credentials.Authenticate("", testStart)
		Expect(known).To(BeFalse())
	})

	It("rejects a token from its expiry time on", func() {
		credentials := parseCredentials(tokensFile)
		end := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		_, known := credentials.Authenticate(omarToken, end.Add(-time.Nanosecond))
		Expect(known).To(BeTrue())
		_, known = credentials.Authenticate(omarToken, end)
		Expect(known).To(BeFalse())
	})

	DescribeTable("reports file, entry, key and rule of an invalid tokens file",
		func(old, replacement, expected string) {
			Expect(strings.Count(tokensFile, old)).To(Equal(1))
			_, err := tenant.ParseCredentials("t.toml", []byte(strings.Replace(tokensFile, old, replacement, 1)))
			Expect(err).To(BeAssignableToTypeOf(tenant.Error{}))
			Expect(err.Error()).To(HavePrefix(expected))
		},
		Entry("not TOML", "[[team]]\nname = \"sawt\"", "[[team]\nname = \"sawt\"", "t.toml: line "),
		Entry("unknown key", "burst", "bursts", "t.toml: team.bursts: is not a known key"),
		Entry("duplicate team", `name = "sawt"`, `name = "gateway"`, `t.toml: team "gateway": name: must be unique`),
		Entry("team without name", `name = "sawt"`, `name = ""`, `t.toml: team "": name: must have 1 to 64 bytes`),
		Entry("team with slash", `name = "sawt"`, `name = "a/b"`, `t.toml: team "a/b": name: must not contain a slash`),
		Entry("rate of 0", "2.0", "0.0", `t.toml: team "gateway": requests_per_second: must be above 0`),
		Entry("rate that is NaN", "2.0", "nan", `t.toml: team "gateway": requests_per_second: must be above 0`),
		Entry("burst of 0", "burst = 3", "burst = 0", `t.toml: team "gateway": burst: must be from 1`),
		Entry("size of 0", "= 1000", "= 0", `t.toml: team "gateway": request_size: must be from 1`),
		Entry("duplicate name of a token", `name = "omar"`, `name = "anna"`, `t.toml: token "anna": name: must be unique`),
		Entry("duplicate hash of a token", omarToken.Hash().String(), annaToken.Hash().String(), `t.toml: token "omar": hash: must be unique`),
		Entry("hash in the wrong format", omarToken.Hash().String(), "secret", `t.toml: token "omar": hash: must be "sha256:"`),
		Entry("unknown role", `"viewer"`, `"owner"`, `t.toml: token "omar": role: must be viewer, editor or administrator`),
		Entry("editor without team", "role = \"editor\"\nteam = \"gateway\"", `role = "editor"`, `t.toml: token "anna": team: is required`),
		Entry("administrator with team", `role = "administrator"`, "role = \"administrator\"\nteam = \"sawt\"",
			`t.toml: token "root": team: must not be given`),
		Entry("unknown team", `team = "sawt"`, `team = "other"`, `t.toml: token "omar": team: names no [[team]]`),
		Entry("no token", tokensFile[strings.Index(tokensFile, "[[token]]"):], "", "t.toml: must have at least one [[token]]"),
	)
})

var _ = Describe("Principal", func() {
	whole := &table.Table{
		Version: 4,
		Services: []table.Service{
			{ID: 1, Name: "lookup", Owner: "gateway"}, {ID: 2, Name: "audio", Owner: "sawt"}, {ID: 3, Name: "open"},
		},
		Backends: []table.Backend{{ID: 1, Service: 1}, {ID: 2, Service: 2}, {ID: 3, Service: 3}},
	}

	It("views only the rows of its team", func() {
		view := tenant.Principal{Role: tenant.RoleEditor, Team: "sawt"}.VisibleTable(whole)
		Expect(*view).To(Equal(table.Table{Version: 4, Services: whole.Services[1:2], Backends: whole.Backends[1:2]}))
	})

	It("views every row as an administrator and none without a team", func() {
		Expect(tenant.Principal{Role: tenant.RoleAdministrator}.VisibleTable(whole)).To(Equal(whole))
		Expect(tenant.Principal{Role: tenant.RoleViewer}.VisibleTable(whole).Services).To(BeEmpty())
	})

	It("includes the rights of lower roles only", func() {
		Expect(tenant.RoleAdministrator.Includes(tenant.RoleEditor)).To(BeTrue())
		Expect(tenant.RoleEditor.Includes(tenant.RoleEditor)).To(BeTrue())
		Expect(tenant.RoleViewer.Includes(tenant.RoleEditor)).To(BeFalse())
		Expect(tenant.Role("").Includes(tenant.RoleViewer)).To(BeFalse())
	})
})

var _ = Describe("AdmissionController", func() {
	It("limits the rate of each team separately and returns the time until the next request", func() {
		controller := tenant.NewAdmissionController(parseCredentials(tokensFile))
		for range 3 {
			Expect(controller.Admit(annaToken, testStart).Verdict).To(Equal(tenant.Admitted))
		}
		for range 10 {
			Expect(controller.Admit(annaToken, testStart)).To(Equal(
				tenant.Admission{Verdict: tenant.RateLimited, RetryAfter: 500 * time.Millisecond}))
		}
		Expect(controller.Admit(omarToken, testStart).Verdict).To(Equal(tenant.Admitted))
		Expect(controller.Admit(annaToken, testStart.Add(499*time.Millisecond)).Verdict).To(Equal(tenant.RateLimited))
		Expect(controller.Admit(annaToken, testStart.Add(500*time.Millisecond)).Verdict).To(Equal(tenant.Admitted))
	})

	It("does not count requests with unknown tokens against a team", func() {
		controller := tenant.NewAdmissionController(parseCredentials(tokensFile))
		for range 100 {
			Expect(controller.Admit("guess", testStart).Verdict).To(Equal(tenant.Unauthenticated))
		}
		Expect(controller.Admit(annaToken, testStart).Verdict).To(Equal(tenant.Admitted))
	})
})

var _ = Describe("TokenFile", func() {
	It("applies a changed file and keeps the old credentials if the new content is invalid", func() {
		path := filepath.Join(GinkgoT().TempDir(), "tokens.toml")
		write := func(text string) { Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }
		write(tokensFile)
		file, err := tenant.OpenTokenFile(path)
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			Expect(file.AdmissionController().Admit(annaToken, testStart).Verdict).To(Equal(tenant.Admitted))
		}
		changed, err := file.Reload(testStart)
		Expect(changed).To(BeFalse())
		Expect(err).NotTo(HaveOccurred())

		By("rejecting invalid content")
		write("token = 1")
		_, err = file.Reload(testStart)
		Expect(err).To(BeAssignableToTypeOf(tenant.Error{}))
		Expect(file.AdmissionController().Admit(omarToken, testStart).Verdict).To(Equal(tenant.Admitted))

		By("removing a token and a team, without granting a new burst to the others")
		withoutOmar := tokensFile[:strings.Index(tokensFile, "[[team]]\nname = \"sawt\"")] +
			tokensFile[strings.Index(tokensFile, "[[token]]\nname = \"anna\""):strings.Index(tokensFile, "[[token]]\nname = \"omar\"")]
		write(withoutOmar)
		Expect(file.Reload(testStart)).To(BeTrue())
		Expect(file.AdmissionController().Admit(omarToken, testStart).Verdict).To(Equal(tenant.Unauthenticated))
		Expect(file.AdmissionController().Admit(annaToken, testStart).Verdict).To(Equal(tenant.RateLimited))

		By("keeping the credentials if the file is deleted")
		Expect(os.Remove(path)).To(Succeed())
		_, err = file.Reload(testStart)
		Expect(err).To(MatchError(os.ErrNotExist))
		Expect(file.AdmissionController().Admit(annaToken, testStart.Add(time.Second)).Verdict).To(Equal(tenant.Admitted))
	})

	It("returns the cause if the file cannot be read", func() {
		_, err := tenant.OpenTokenFile(filepath.Join(GinkgoT().TempDir(), "absent.toml"))
		Expect(err).To(MatchError(os.ErrNotExist))
	})
})

var _ = Describe("Token", func() {
	It("is random, and its hash survives formatting and parsing", func() {
		token := tenant.NewToken()
		Expect(token).NotTo(Equal(tenant.NewToken()))
		Expect(tenant.ParseHash(token.Hash().String())).To(Equal(token.Hash()))
	})
})
