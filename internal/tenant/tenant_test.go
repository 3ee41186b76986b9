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

var start = time.Date(2029, 6, 1, 0, 0, 0, 0, time.UTC)

func parse(text string) *tenant.Credentials {
	parsed, err := tenant.ParseCredentials("tokens.toml", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	return parsed
}

var _ = Describe("Directory", func() {
	It("knows the holders of tokens", func() {
		directory := parse(tokensFile)
		anna, known := directory.Authenticate(annaToken, start)
		Expect(known).To(BeTrue())
		Expect(anna).To(Equal(tenant.Principal{Name: "anna", Role: tenant.RoleEditor, Team: "gateway", RequestSize: 1000}))
		root, known := directory.Authenticate(adminToken, start)
		Expect(known).To(BeTrue())
		Expect(root.RequestSize).To(Equal(tenant.DefaultLimits().RequestSize))
		_, known = directory.Authenticate("nobody's secret", start)
		Expect(known).To(BeFalse())
		_, known = directory.Authenticate("", start)
		Expect(known).To(BeFalse())
	})

	It("does not know an expired token", func() {
		directory := parse(tokensFile)
		end := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		_, known := directory.Authenticate(omarToken, end.Add(-time.Nanosecond))
		Expect(known).To(BeTrue())
		_, known = directory.Authenticate(omarToken, end)
		Expect(known).To(BeFalse())
	})

	DescribeTable("reports a broken rule",
		func(old, replacement, expected string) {
			Expect(strings.Count(tokensFile, old)).To(Equal(1))
			_, err := tenant.ParseCredentials("t.toml", []byte(strings.Replace(tokensFile, old, replacement, 1)))
			Expect(err).To(BeAssignableToTypeOf(tenant.Error{}))
			Expect(err.Error()).To(HavePrefix(expected))
		},
		Entry("not TOML", "[[team]]\nname = \"sawt\"", "[[team]\nname = \"sawt\"", "t.toml: line "),
		Entry("unknown key", "burst", "bursts", "t.toml: team.bursts: is not a known key"),
		Entry("team twice", `name = "sawt"`, `name = "gateway"`, `t.toml: team "gateway": name: must be unique`),
		Entry("team without name", `name = "sawt"`, `name = ""`, `t.toml: team "": name: must have 1 to 64 bytes`),
		Entry("team with slash", `name = "sawt"`, `name = "a/b"`, `t.toml: team "a/b": name: must not contain a slash`),
		Entry("rate of 0", "2.0", "0.0", `t.toml: team "gateway": requests_per_second: must be above 0`),
		Entry("rate not a number", "2.0", "nan", `t.toml: team "gateway": requests_per_second: must be above 0`),
		Entry("burst of 0", "burst = 3", "burst = 0", `t.toml: team "gateway": burst: must be from 1`),
		Entry("size of 0", "= 1000", "= 0", `t.toml: team "gateway": request_size: must be from 1`),
		Entry("holder twice", `name = "omar"`, `name = "anna"`, `t.toml: token "anna": name: must be unique`),
		Entry("token twice", omarToken.Hash().String(), annaToken.Hash().String(), `t.toml: token "omar": hash: must be unique`),
		Entry("token not hashed", omarToken.Hash().String(), "secret", `t.toml: token "omar": hash: must be "sha256:"`),
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

	It("sees the rows of its team only", func() {
		view := tenant.Principal{Role: tenant.RoleEditor, Team: "sawt"}.VisibleTable(whole)
		Expect(*view).To(Equal(table.Table{Version: 4, Services: whole.Services[1:2], Backends: whole.Backends[1:2]}))
	})

	It("sees every row as an administrator and none without a team", func() {
		Expect(tenant.Principal{Role: tenant.RoleAdministrator}.VisibleTable(whole)).To(Equal(whole))
		Expect(tenant.Principal{Role: tenant.RoleViewer}.VisibleTable(whole).Services).To(BeEmpty())
	})

	It("orders the roles", func() {
		Expect(tenant.RoleAdministrator.Includes(tenant.RoleEditor)).To(BeTrue())
		Expect(tenant.RoleEditor.Includes(tenant.RoleEditor)).To(BeTrue())
		Expect(tenant.RoleViewer.Includes(tenant.RoleEditor)).To(BeFalse())
		Expect(tenant.Role("").Includes(tenant.RoleViewer)).To(BeFalse())
	})
})

var _ = Describe("Gate", func() {
	It("holds each team to its own rate and says when to come again", func() {
		gate := tenant.NewAdmissionController(parse(tokensFile))
		for range 3 {
			Expect(gate.Admit(annaToken, start).Verdict).To(Equal(tenant.Admitted))
		}
		for range 10 {
			Expect(gate.Admit(annaToken, start)).To(Equal(
				tenant.Admission{Verdict: tenant.RateLimited, RetryAfter: 500 * time.Millisecond}))
		}
		Expect(gate.Admit(omarToken, start).Verdict).To(Equal(tenant.Admitted))
		Expect(gate.Admit(annaToken, start.Add(499*time.Millisecond)).Verdict).To(Equal(tenant.RateLimited))
		Expect(gate.Admit(annaToken, start.Add(500*time.Millisecond)).Verdict).To(Equal(tenant.Admitted))
	})

	It("does not count unknown tokens against anyone", func() {
		gate := tenant.NewAdmissionController(parse(tokensFile))
		for range 100 {
			Expect(gate.Admit("guess", start).Verdict).To(Equal(tenant.Unauthenticated))
		}
		Expect(gate.Admit(annaToken, start).Verdict).To(Equal(tenant.Admitted))
	})
})

var _ = Describe("File", func() {
	It("takes changes of the file and keeps the old content if the new is broken", func() {
		path := filepath.Join(GinkgoT().TempDir(), "tokens.toml")
		write := func(text string) { Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }
		write(tokensFile)
		file, err := tenant.OpenTokenFile(path)
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			Expect(file.AdmissionController().Admit(annaToken, start).Verdict).To(Equal(tenant.Admitted))
		}
		changed, err := file.Reload(start)
		Expect(changed).To(BeFalse())
		Expect(err).NotTo(HaveOccurred())

		By("refusing broken content")
		write("token = 1")
		_, err = file.Reload(start)
		Expect(err).To(BeAssignableToTypeOf(tenant.Error{}))
		Expect(file.AdmissionController().Admit(omarToken, start).Verdict).To(Equal(tenant.Admitted))

		By("dropping a token and a team, without giving the others a new burst")
		withoutOmar := tokensFile[:strings.Index(tokensFile, "[[team]]\nname = \"sawt\"")] +
			tokensFile[strings.Index(tokensFile, "[[token]]\nname = \"anna\""):strings.Index(tokensFile, "[[token]]\nname = \"omar\"")]
		write(withoutOmar)
		Expect(file.Reload(start)).To(BeTrue())
		Expect(file.AdmissionController().Admit(omarToken, start).Verdict).To(Equal(tenant.Unauthenticated))
		Expect(file.AdmissionController().Admit(annaToken, start).Verdict).To(Equal(tenant.RateLimited))

		By("keeping the content of a file that is gone")
		Expect(os.Remove(path)).To(Succeed())
		_, err = file.Reload(start)
		Expect(err).To(MatchError(os.ErrNotExist))
		Expect(file.AdmissionController().Admit(annaToken, start.Add(time.Second)).Verdict).To(Equal(tenant.Admitted))
	})

	It("reports a file that cannot be read", func() {
		_, err := tenant.OpenTokenFile(filepath.Join(GinkgoT().TempDir(), "absent.toml"))
		Expect(err).To(MatchError(os.ErrNotExist))
	})
})

var _ = Describe("Token", func() {
	It("is different each time and known by its hash", func() {
		token := tenant.NewToken()
		Expect(token).NotTo(Equal(tenant.NewToken()))
		Expect(tenant.ParseHash(token.Hash().String())).To(Equal(token.Hash()))
	})
})
