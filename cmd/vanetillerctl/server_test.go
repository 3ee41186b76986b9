package main

import (
	"bytes"
	"context"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
	"github.com/vanetiller/vanetiller/internal/tenant"
)

// fleet is an administration API over a store of one process, and the flags
// to reach it.
type fleet struct {
	member *adminapi.SingleMember
	server *httptest.Server
	flags  []string
	// observe, unless nil, is called with each request.
	observe atomic.Pointer[func()]
}

// newFleet puts a handler in front of the API, which may be nil.
func newFleet(wrap func(http.Handler) http.Handler) *fleet {
	token := tenant.NewToken()
	entry, err := tenant.TokenEntry{Name: "anna", Hash: token.Hash().String(), Role: tenant.RoleAdministrator}.Encode()
	Expect(err).NotTo(HaveOccurred())
	directory, err := tenant.ParseCredentials("tokens.toml", []byte(entry))
	Expect(err).NotTo(HaveOccurred())
	created := &fleet{member: adminapi.NewSingleMember("balancer-1", "zone-1")}
	store := adminapi.NewSingleReplicaStore(changelog.DefaultLimits(), created.member,
		func(changed *table.Table) { created.member.SetActiveVersion(changed.Version) })
	var handler http.Handler = adminapi.NewHandler(adminapi.HandlerConfig{
		Store: store, Admission: tenant.NewAdmissionController(directory), Now: func() time.Time { return time.Unix(0, 0) },
	})
	if wrap != nil {
		handler = wrap(handler)
	}
	created.server = httptest.NewTLSServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if observe := created.observe.Load(); observe != nil {
			(*observe)()
		}
		handler.ServeHTTP(writer, request)
	}))
	DeferCleanup(created.server.Close)
	created.flags = []string{
		"-server", created.server.URL,
		"-token-file", file("token", string(token)+"\n"),
		"-authority", file("authority.pem", string(pem.EncodeToMemory(
			&pem.Block{Type: "CERTIFICATE", Bytes: created.server.Certificate().Raw}))),
	}
	return created
}

func file(name, text string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func (f *fleet) execute(arguments ...string) outcome {
	return execute(append(append([]string{}, f.flags...), arguments...)...)
}

// interrupted executes a command until it asks for a version a second time,
// and so has read the first answer.
func (f *fleet) interrupted(arguments ...string) outcome {
	ctx, interrupt := context.WithCancel(context.Background())
	defer interrupt()
	var asked atomic.Int32
	observe := func() {
		if asked.Add(1) == 2 {
			interrupt()
		}
	}
	f.observe.Store(&observe)
	defer f.observe.Store(nil)
	var stdout, stderr bytes.Buffer
	status := run(ctx, append(append([]string{}, f.flags...), arguments...), &stdout, &stderr)
	return outcome{status, stdout.String(), stderr.String()}
}

// done executes a command that must succeed and returns what it prints.
func (f *fleet) done(arguments ...string) string {
	result := f.execute(arguments...)
	Expect(result.Stderr).To(BeEmpty())
	Expect(result.Status).To(Equal(exitDone))
	return result.Stdout
}

const exampleCSV = "service,id,name,incarnation,agent,weight,connection_limit,drain\n" +
	"lookup,1,lookup-1,4,192.0.2.1:6081,5,3,false\n" +
	"lookup,2,lookup-2,1,192.0.2.22:6081,100,2000,false\n" +
	"export,3,export-1,1,192.0.2.3:6081,0,0,true\n"

var _ = Describe("vanetillerctl with a server", func() {
	var fleet *fleet

	BeforeEach(func() {
		fleet = newFleet(nil)
		Expect(fleet.done("table", "import", write(example), "-reason", "setup", "-id", "setup")).
			To(Equal("accepted: version 1, change setup\n"))
	})

	It("prints the table in each format", func() {
		Expect(fleet.done("table", "show")).To(Equal(strings.Replace(shown, "version 12", "version 1", 1)))
		Expect(fleet.done("table", "export")).To(Equal(exampleCSV))
		parsed, err := table.Parse([]byte(fleet.done("table", "export", "-output", "json")))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Backends).To(HaveLen(3))
		Expect(fleet.done("-service", "export", "table", "export", "-output=csv")).To(ContainSubstring("export-1"))
		Expect(fleet.done("-service", "export", "table", "export", "-output=csv")).NotTo(ContainSubstring("lookup"))
	})

	It("sets cells, drains, and tells the history", func() {
		Expect(fleet.done("table", "set", "lookup/lookup-2", "weight=7", "connection_limit=0", "-reason", "calm", "-id", "c1")).
			To(Equal("accepted: version 2, change c1\n"))
		Expect(fleet.done("drain", "2", "-reason", "repair", "-id", "c2")).To(HavePrefix("accepted: version 3"))
		Expect(fleet.done("undrain", "2", "-reason", "repaired")).To(MatchRegexp(`^accepted: version 4, change ctl-[a-z0-9]{26}\n$`))
		Expect(fleet.done("table", "history", "-after", "1", "-output", "csv")).To(MatchRegexp(
			`^version,when,who,why,change,row,column,before,after
2,1970-01-01T00:00:00Z,anna,calm,c1,"back end ""lookup-2"" \(2\)",weight,100,7
2,1970-01-01T00:00:00Z,anna,calm,c1,"back end ""lookup-2"" \(2\)",connection_limit,2000,0
3,1970-01-01T00:00:00Z,anna,repair,c2,"back end ""lookup-2"" \(2\)",drain,false,true
4,1970-01-01T00:00:00Z,anna,repaired,ctl-[a-z0-9]+,"back end ""lookup-2"" \(2\)",drain,true,false
$`))
		Expect(fleet.done("change", "c2")).To(Equal("accepted: version 3, change c2\n"))
	})

	It("shows what a change would do and does not make it", func() {
		Expect(fleet.done("table", "set", "1", "weight=6", "-reason", "trial", "-dry-run")).To(Equal(
			"ROW                      COLUMN  BEFORE  AFTER\n" +
				"back end \"lookup-1\" (1)  weight  5       6\n" +
				"dry run: would be accepted\n"))
		Expect(fleet.done("table", "export")).To(Equal(exampleCSV))
	})

	It("compares and imports an edited spreadsheet", func() {
		edited := file("rows.csv", strings.Replace(exampleCSV, "6081,5,3", "6081,8,3", 1))
		Expect(fleet.done("table", "diff", edited, "-output", "csv")).To(Equal(
			"kind,row,column,before,after\nchanged,\"back end \"\"lookup-1\"\" (1)\",weight,5,8\n"))
		Expect(fleet.done("table", "import", edited, "-reason", "more")).To(HavePrefix("accepted: version 2"))
		Expect(fleet.done("table", "diff", edited, "-output", "json")).To(Equal("null\n"))
		Expect(fleet.done("table", "import", edited, "-reason", "more")).To(Equal("nothing to change at version 2\n"))
	})

	It("removes rows that a file lacks only if asked to", func() {
		fewer := file("rows.csv", strings.Replace(exampleCSV, "lookup,1,lookup-1,4,192.0.2.1:6081,5,3,false\n", "", 1))
		Expect(fleet.done("table", "import", fewer, "-reason", "fewer")).To(HavePrefix("nothing to change"))
		Expect(fleet.done("table", "import", fewer, "-reason", "fewer", "-remove-missing")).To(HavePrefix("accepted: version 2"))
		Expect(fleet.done("table", "export")).NotTo(ContainSubstring("lookup-1"))
	})

	It("waits for a version and names the members without it", func() {
		Expect(fleet.done("table", "wait", "1")).To(Equal("version 1 is in force on all 1 members\n"))
		Expect(fleet.done("members")).To(Equal("NAME        ZONE    STATE  VERSION\nbalancer-1  zone-1  live   1\n"))
		fleet.member.SetActiveVersion(0)
		late := fleet.interrupted("table", "wait", "1")
		Expect(late.Status).To(Equal(exitFailed))
		Expect(late.Stderr).To(ContainSubstring("version 1 is in force on 0 members and not on balancer-1"))
		Expect(fleet.interrupted("table", "wait", "9").Stderr).To(ContainSubstring("version 9 has not been accepted"))
	})

	DescribeTable("tells what became of a change by its exit status",
		func(status int, reason string, arguments ...string) {
			result := fleet.execute(arguments...)
			Expect(result.Stderr).To(ContainSubstring(reason))
			Expect(result.Status).To(Equal(status))
			Expect(fleet.done("table", "export")).To(Equal(exampleCSV))
		},
		Entry("refused", exitRefused, `refused: row back end "lookup-1" (1), column weight: must be at most 10000`,
			"table", "set", "1", "weight=10001", "-reason", "r"),
		Entry("refused in a dry run", exitRefused, "must be at most 10000", "table", "set", "1", "weight=10001", "-reason", "r", "-dry-run"),
		Entry("row that does not exist", exitRefused, "names no row of the table", "drain", "77", "-reason", "r"),
		Entry("conflict", exitConflict, "change was made at 5, is 1", "drain", "1", "-reason", "r", "-base", "5"),
		Entry("no outcome remembered", exitUnknown, "no outcome", "change", "absent"),
		Entry("no reason", exitUsage, "-reason is required", "drain", "1"),
		Entry("unknown row", exitUsage, `no row "lookup/x"`, "drain", "lookup/x", "-reason", "r"),
		Entry("unknown column", exitUsage, `column "name"`, "table", "set", "1", "name=x", "-reason", "r"),
		Entry("no number", exitUsage, "must be a whole number", "table", "set", "1", "weight=-1", "-reason", "r"),
		Entry("no flag value", exitUsage, "must be true or false", "table", "set", "1", "drain=maybe", "-reason", "r"),
		Entry("no assignment", exitUsage, "is not COLUMN=VALUE", "table", "set", "1", "weight", "-reason", "r"),
		Entry("unknown format", exitUsage, "must be table, csv or json", "members", "-output", "yaml"),
		Entry("key without certificate", exitUsage, "must be given together", "members", "-key", "k.pem"),
		Entry("too long an identifier", exitFailed, "id must have", "drain", "1", "-reason", "r", "-id", strings.Repeat("i", 257)),
		Entry("authority that is no file", exitFailed, "cannot be read", "members", "-authority", "/nonexistent/a.pem"),
	)

	It("refuses a cell that no change can alter by row, column and rule", func() {
		altered := file("rows.csv", strings.Replace(exampleCSV, "192.0.2.3:6081", "192.0.2.33:6081", 1))
		result := fleet.execute("table", "import", altered, "-reason", "r")
		Expect(result.Status).To(Equal(exitRefused))
		Expect(result.Stderr).To(ContainSubstring(`row back end "export-1" (3), column agent: cannot be altered`))
	})

	It("does not trust a server of an unknown authority", func() {
		result := execute("members", "-server", fleet.server.URL, "-token-file", file("token", "t"))
		Expect(result.Status).To(Equal(exitFailed))
		Expect(result.Stderr).To(ContainSubstring("certificate"))
	})

	It("fails if there is no server", func() {
		fleet.server.Close()
		Expect(fleet.execute("members").Status).To(Equal(exitFailed))
	})
})

// onChanges lets a handler answer the requests for changes.
func onChanges(answer http.HandlerFunc) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/v1/changes" {
				answer(writer, request)
				return
			}
			next.ServeHTTP(writer, request)
		})
	}
}

var _ = Describe("vanetillerctl without a decision", func() {
	DescribeTable("tells by its exit status whether the change may be applied",
		func(status int, reason string, answer http.HandlerFunc) {
			result := newFleet(onChanges(answer)).execute("drain", "1", "-reason", "r", "-id", "c1")
			Expect(result.Status).To(Equal(status))
			Expect(result.Stderr).To(ContainSubstring(reason))
		},
		Entry("lost answer", exitUnknown, "repeat the command with -id c1 -base 0",
			func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
		Entry("unknown outcome", exitUnknown, "repeat the command with -id c1 -base 0", respond(504, `{"id": "c1", "outcome": "unknown"}`)),
		Entry("not accepted", exitNotAccepted, "not accepted, not applied: no quorum",
			respond(503, `{"id": "c1", "outcome": "not_accepted", "message": "no quorum"}`)),
		Entry("rate exceeded", exitNotAccepted, "rate_exceeded", respond(429, `{"error": "rate_exceeded", "message": "slow"}`)),
		Entry("not allowed", exitFailed, "forbidden", respond(403, `{"error": "forbidden", "message": "no"}`)),
		Entry("answer of something else", exitUnknown, "not one of the administration API", respond(502, "Bad Gateway")),
	)
})

func respond(status int, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_, _ = writer.Write([]byte(body))
	}
}

var _ = Describe("vanetillerctl token", func() {
	It("prints a token and an entry that a tokens file takes", func() {
		printed := execute("token", "anna", "administrator")
		Expect(printed.Status).To(Equal(exitDone))
		token, entry, found := strings.Cut(printed.Stdout, "\n\n")
		Expect(found).To(BeTrue())
		directory, err := tenant.ParseCredentials("tokens.toml", []byte(entry))
		Expect(err).NotTo(HaveOccurred())
		holder, known := directory.Authenticate(tenant.Token(token), time.Now())
		Expect(known).To(BeTrue())
		Expect(holder.Name).To(Equal("anna"))
		Expect(entry).NotTo(ContainSubstring(token))
	})

	It("refuses an entry that no tokens file takes", func() {
		Expect(execute("token", "anna", "owner").Status).To(Equal(exitUsage))
		Expect(execute("token", "anna", "editor").Stderr).To(ContainSubstring("required for a viewer or editor"))
	})
})
