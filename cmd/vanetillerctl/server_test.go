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

// testServer is an API server with a single-process store, and the flags to connect to
// it.
type testServer struct {
	member *adminapi.SingleMember
	server *httptest.Server
	flags  []string
	// observe, unless nil, is called before each request is served.
	observe atomic.Pointer[func()]
}

// newTestServer starts a server. The function wrap, unless nil, wraps the API handler.
func newTestServer(wrap func(http.Handler) http.Handler) *testServer {
	token := tenant.NewToken()
	entry, err := tenant.TokenEntry{Name: "anna", Hash: token.Hash().String(), Role: tenant.RoleAdministrator}.Encode()
	Expect(err).NotTo(HaveOccurred())
	credentials, err := tenant.ParseCredentials("tokens.toml", []byte(entry))
	Expect(err).NotTo(HaveOccurred())
	created := &testServer{member: adminapi.NewSingleMember("balancer-1", "zone-1")}
	store := adminapi.NewSingleReplicaStore(changelog.DefaultLimits(), created.member,
		func(changed *table.Table) { created.member.SetActiveVersion(changed.Version) })
	var handler http.Handler = adminapi.NewHandler(adminapi.HandlerConfig{
		Store: store, Admission: tenant.NewAdmissionController(credentials), Now: func() time.Time { return time.Unix(0, 0) },
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
		"-token-file", writeFile("token", string(token)+"\n"),
		"-authority", writeFile("authority.pem", string(pem.EncodeToMemory(
			&pem.Block{Type: "CERTIFICATE", Bytes: created.server.Certificate().Raw}))),
	}
	return created
}

func writeFile(name, text string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func (s *testServer) execute(arguments ...string) result {
	return execute(append(append([]string{}, s.flags...), arguments...)...)
}

// executeInterrupted executes a command and cancels it when it sends its second request,
// so that the command has read one response.
func (s *testServer) executeInterrupted(arguments ...string) result {
	ctx, interrupt := context.WithCancel(context.Background())
	defer interrupt()
	var asked atomic.Int32
	observe := func() {
		if asked.Add(1) == 2 {
			interrupt()
		}
	}
	s.observe.Store(&observe)
	defer s.observe.Store(nil)
	var stdout, stderr bytes.Buffer
	status := run(ctx, append(append([]string{}, s.flags...), arguments...), &stdout, &stderr)
	return result{status, stdout.String(), stderr.String()}
}

// mustExecute executes a command that must succeed, and returns its output.
func (s *testServer) mustExecute(arguments ...string) string {
	result := s.execute(arguments...)
	Expect(result.Stderr).To(BeEmpty())
	Expect(result.Status).To(Equal(exitSuccess))
	return result.Stdout
}

const exampleCSV = "service,id,name,incarnation,agent,weight,connection_limit,drain\n" +
	"lookup,1,lookup-1,4,192.0.2.1:6081,5,3,false\n" +
	"lookup,2,lookup-2,1,192.0.2.22:6081,100,2000,false\n" +
	"export,3,export-1,1,192.0.2.3:6081,0,0,true\n"

var _ = Describe("vanetillerctl with a server", func() {
	var api *testServer

	BeforeEach(func() {
		api = newTestServer(nil)
		Expect(api.mustExecute("table", "import", writeTable(exampleTable), "-reason", "setup", "-id", "setup")).
			To(Equal("accepted: version 1, change setup\n"))
	})

	It("prints the table in each format", func() {
		Expect(api.mustExecute("table", "show")).To(Equal(strings.Replace(exampleOutput, "version 12", "version 1", 1)))
		Expect(api.mustExecute("table", "export")).To(Equal(exampleCSV))
		parsed, err := table.Parse([]byte(api.mustExecute("table", "export", "-output", "json")))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Backends).To(HaveLen(3))
		Expect(api.mustExecute("-service", "export", "table", "export", "-output=csv")).To(ContainSubstring("export-1"))
		Expect(api.mustExecute("-service", "export", "table", "export", "-output=csv")).NotTo(ContainSubstring("lookup"))
	})

	It("sets cells, drains and undrains a row, and prints the history", func() {
		Expect(api.mustExecute("table", "set", "lookup/lookup-2", "weight=7", "connection_limit=0", "-reason", "calm", "-id", "c1")).
			To(Equal("accepted: version 2, change c1\n"))
		Expect(api.mustExecute("drain", "2", "-reason", "repair", "-id", "c2")).To(HavePrefix("accepted: version 3"))
		Expect(api.mustExecute("undrain", "2", "-reason", "repaired")).To(MatchRegexp(`^accepted: version 4, change ctl-[a-z0-9]{26}\n$`))
		Expect(api.mustExecute("table", "history", "-after", "1", "-output", "csv")).To(MatchRegexp(
			`^version,when,who,why,change,row,column,before,after
2,1970-01-01T00:00:00Z,anna,calm,c1,"back end ""lookup-2"" \(2\)",weight,100,7
2,1970-01-01T00:00:00Z,anna,calm,c1,"back end ""lookup-2"" \(2\)",connection_limit,2000,0
3,1970-01-01T00:00:00Z,anna,repair,c2,"back end ""lookup-2"" \(2\)",drain,false,true
4,1970-01-01T00:00:00Z,anna,repaired,ctl-[a-z0-9]+,"back end ""lookup-2"" \(2\)",drain,true,false
$`))
		Expect(api.mustExecute("change", "c2")).To(Equal("accepted: version 3, change c2\n"))
	})

	It("prints the effect of a dry run without applying the change", func() {
		Expect(api.mustExecute("table", "set", "1", "weight=6", "-reason", "trial", "-dry-run")).To(Equal(
			"ROW                      COLUMN  BEFORE  AFTER\n" +
				"back end \"lookup-1\" (1)  weight  5       6\n" +
				"dry run: would be accepted\n"))
		Expect(api.mustExecute("table", "export")).To(Equal(exampleCSV))
	})

	It("compares and imports an edited CSV file", func() {
		edited := writeFile("rows.csv", strings.Replace(exampleCSV, "6081,5,3", "6081,8,3", 1))
		Expect(api.mustExecute("table", "diff", edited, "-output", "csv")).To(Equal(
			"kind,row,column,before,after\nchanged,\"back end \"\"lookup-1\"\" (1)\",weight,5,8\n"))
		Expect(api.mustExecute("table", "import", edited, "-reason", "more")).To(HavePrefix("accepted: version 2"))
		Expect(api.mustExecute("table", "diff", edited, "-output", "json")).To(Equal("null\n"))
		Expect(api.mustExecute("table", "import", edited, "-reason", "more")).To(Equal("nothing to change at version 2\n"))
	})

	It("removes rows that a file lacks only with -remove-missing", func() {
		fewer := writeFile("rows.csv", strings.Replace(exampleCSV, "lookup,1,lookup-1,4,192.0.2.1:6081,5,3,false\n", "", 1))
		Expect(api.mustExecute("table", "import", fewer, "-reason", "fewer")).To(HavePrefix("nothing to change"))
		Expect(api.mustExecute("table", "import", fewer, "-reason", "fewer", "-remove-missing")).To(HavePrefix("accepted: version 2"))
		Expect(api.mustExecute("table", "export")).NotTo(ContainSubstring("lookup-1"))
	})

	It("waits for a version, and names the members that have not applied it", func() {
		Expect(api.mustExecute("table", "wait", "1")).To(Equal("version 1 is in force on all 1 members\n"))
		Expect(api.mustExecute("members")).To(Equal("NAME        ZONE    STATE  VERSION\nbalancer-1  zone-1  live   1\n"))
		api.member.SetActiveVersion(0)
		late := api.executeInterrupted("table", "wait", "1")
		Expect(late.Status).To(Equal(exitFailed))
		Expect(late.Stderr).To(ContainSubstring("version 1 is in force on 0 members and not on balancer-1"))
		Expect(api.executeInterrupted("table", "wait", "9").Stderr).To(ContainSubstring("version 9 has not been accepted"))
	})

	DescribeTable("returns an exit status for the outcome and leaves the table unchanged",
		func(status int, reason string, arguments ...string) {
			result := api.execute(arguments...)
			Expect(result.Stderr).To(ContainSubstring(reason))
			Expect(result.Status).To(Equal(status))
			Expect(api.mustExecute("table", "export")).To(Equal(exampleCSV))
		},
		Entry("refused", exitRefused, `refused: row back end "lookup-1" (1), column weight: must be at most 10000`,
			"table", "set", "1", "weight=10001", "-reason", "r"),
		Entry("refused in a dry run", exitRefused, "must be at most 10000", "table", "set", "1", "weight=10001", "-reason", "r", "-dry-run"),
		Entry("row that does not exist", exitRefused, "names no row of the table", "drain", "77", "-reason", "r"),
		Entry("conflict", exitConflict, "change was made at 5, is 1", "drain", "1", "-reason", "r", "-base", "5"),
		Entry("no recorded outcome", exitUnknown, "no outcome", "change", "absent"),
		Entry("no reason", exitUsage, "-reason is required", "drain", "1"),
		Entry("unknown row", exitUsage, `no row "lookup/x"`, "drain", "lookup/x", "-reason", "r"),
		Entry("unknown column", exitUsage, `column "name"`, "table", "set", "1", "name=x", "-reason", "r"),
		Entry("value that is not a number", exitUsage, "must be a whole number", "table", "set", "1", "weight=-1", "-reason", "r"),
		Entry("value that is not a boolean", exitUsage, "must be true or false", "table", "set", "1", "drain=maybe", "-reason", "r"),
		Entry("argument without an assignment", exitUsage, "is not COLUMN=VALUE", "table", "set", "1", "weight", "-reason", "r"),
		Entry("unknown format", exitUsage, "must be table, csv or json", "members", "-output", "yaml"),
		Entry("key without certificate", exitUsage, "must be given together", "members", "-key", "k.pem"),
		Entry("identifier that is too long", exitFailed, "id must have", "drain", "1", "-reason", "r", "-id", strings.Repeat("i", 257)),
		Entry("CA file that does not exist", exitFailed, "cannot be read", "members", "-authority", "/nonexistent/a.pem"),
	)

	It("refuses to import a cell that no change can modify, naming row, column and rule", func() {
		altered := writeFile("rows.csv", strings.Replace(exampleCSV, "192.0.2.3:6081", "192.0.2.33:6081", 1))
		result := api.execute("table", "import", altered, "-reason", "r")
		Expect(result.Status).To(Equal(exitRefused))
		Expect(result.Stderr).To(ContainSubstring(`row back end "export-1" (3), column agent: cannot be altered`))
	})

	It("rejects a server whose certificate is signed by an unknown CA", func() {
		result := execute("members", "-server", api.server.URL, "-token-file", writeFile("token", "t"))
		Expect(result.Status).To(Equal(exitFailed))
		Expect(result.Stderr).To(ContainSubstring("certificate"))
	})

	It("fails if the server is not reachable", func() {
		api.server.Close()
		Expect(api.execute("members").Status).To(Equal(exitFailed))
	})
})

// handleChanges returns middleware that passes POST /v1/changes to the given handler.
func handleChanges(handler http.HandlerFunc) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/v1/changes" {
				handler(writer, request)
				return
			}
			next.ServeHTTP(writer, request)
		})
	}
}

var _ = Describe("vanetillerctl if a change is not decided", func() {
	DescribeTable("returns an exit status that indicates whether the change may be applied",
		func(status int, reason string, handler http.HandlerFunc) {
			result := newTestServer(handleChanges(handler)).execute("drain", "1", "-reason", "r", "-id", "c1")
			Expect(result.Status).To(Equal(status))
			Expect(result.Stderr).To(ContainSubstring(reason))
		},
		Entry("lost response", exitUnknown, "repeat the command with -id c1 -base 0",
			func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
		Entry("unknown outcome", exitUnknown, "repeat the command with -id c1 -base 0", respond(504, `{"id": "c1", "outcome": "unknown"}`)),
		Entry("not accepted", exitNotAccepted, "not accepted, not applied: no quorum",
			respond(503, `{"id": "c1", "outcome": "not_accepted", "message": "no quorum"}`)),
		Entry("rate exceeded", exitNotAccepted, "rate_exceeded", respond(429, `{"error": "rate_exceeded", "message": "slow"}`)),
		Entry("not allowed", exitFailed, "forbidden", respond(403, `{"error": "forbidden", "message": "no"}`)),
		Entry("response of another server", exitUnknown, "not one of the administration API", respond(502, "Bad Gateway")),
	)
})

func respond(status int, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_, _ = writer.Write([]byte(body))
	}
}

var _ = Describe("vanetillerctl token", func() {
	It("prints a token and a valid entry for a tokens file", func() {
		printed := execute("token", "anna", "administrator")
		Expect(printed.Status).To(Equal(exitSuccess))
		token, entry, found := strings.Cut(printed.Stdout, "\n\n")
		Expect(found).To(BeTrue())
		credentials, err := tenant.ParseCredentials("tokens.toml", []byte(entry))
		Expect(err).NotTo(HaveOccurred())
		holder, known := credentials.Authenticate(tenant.Token(token), time.Now())
		Expect(known).To(BeTrue())
		Expect(holder.Name).To(Equal("anna"))
		Expect(entry).NotTo(ContainSubstring(token))
	})

	It("refuses an invalid role or a missing team", func() {
		Expect(execute("token", "anna", "owner").Status).To(Equal(exitUsage))
		Expect(execute("token", "anna", "editor").Stderr).To(ContainSubstring("required for a viewer or editor"))
	})
})
