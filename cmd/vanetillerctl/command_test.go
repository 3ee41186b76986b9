package main

import (
	"bytes"
	"context"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "vanetillerctl")
}

const exampleTable = `{"version": 12, "services": [
	{"id": 2, "name": "export", "address": "198.51.100.2:443", "protocol": "udp", "owner": "gateway"},
	{"id": 1, "name": "lookup", "address": "198.51.100.1:80", "protocol": "tcp", "owner": "gateway"},
	{"id": 3, "name": "empty", "address": "198.51.100.3:80", "protocol": "tcp", "owner": ""}],
	"backends": [
	{"id": 3, "service": 2, "name": "export-1", "incarnation": 1, "agent": "192.0.2.3:6081", "weight": 0, "connection_limit": 0, "drain": true},
	{"id": 2, "service": 1, "name": "lookup-2", "incarnation": 1, "agent": "192.0.2.22:6081", "weight": 100, "connection_limit": 2000, "drain": false},
	{"id": 1, "service": 1, "name": "lookup-1", "incarnation": 4, "agent": "192.0.2.1:6081", "weight": 5, "connection_limit": 3, "drain": false},
	{"id": 4, "service": 1, "name": "lookup-0", "incarnation": 1, "agent": "192.0.2.4:6081", "weight": 5, "connection_limit": 3, "drain": false, "removed": true}]}`

const exampleOutput = `version 12
SERVICE  ADDRESS               OWNER    BACK END  AGENT            WEIGHT  LIMIT  DRAIN
lookup   198.51.100.1:80/tcp   gateway  lookup-1  192.0.2.1:6081   5       3      no
lookup   198.51.100.1:80/tcp   gateway  lookup-2  192.0.2.22:6081  100     2000   no
export   198.51.100.2:443/udp  gateway  export-1  192.0.2.3:6081   0       none   yes
empty    198.51.100.3:80/tcp            -         -                -       -      -
`

type result struct {
	Status int
	Stdout string
	Stderr string
}

func execute(arguments ...string) result {
	var stdout, stderr bytes.Buffer
	status := run(context.Background(), arguments, &stdout, &stderr)
	return result{status, stdout.String(), stderr.String()}
}

func writeTable(text string) string {
	path := filepath.Join(GinkgoT().TempDir(), "table.json")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func startServer(body string) string {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(body))
	}))
	DeferCleanup(server.Close)
	return server.URL
}

var _ = Describe("vanetillerctl", func() {
	It("prints the table of a file in columns", func() {
		printed := execute("table", "show", writeTable(exampleTable))
		Expect(printed.Stderr).To(BeEmpty())
		Expect(printed.Status).To(Equal(exitSuccess))
		Expect(printed.Stdout).To(Equal(exampleOutput))
	})

	It("prints the table of the configuration service with its revision", func() {
		printed := execute("table", "show", startServer(`{"revision": 44, "table": `+exampleTable+`}`))
		Expect(printed.Stderr).To(BeEmpty())
		Expect(printed.Status).To(Equal(exitSuccess))
		Expect(printed.Stdout).To(Equal("revision 44\n" + exampleOutput))
	})

	It("reports a valid table file with version and counts", func() {
		path := writeTable(exampleTable)
		Expect(execute("table", "validate", path)).To(Equal(result{exitSuccess, path + ": valid: version 12, 3 services, 4 rows\n", ""}))
	})

	DescribeTable("fails with status 1 and the reason for an invalid table file",
		func(reason, command, text string) {
			failed := execute("table", command, writeTable(text))
			Expect(failed.Status).To(Equal(exitFailed))
			Expect(failed.Stdout).To(BeEmpty())
			Expect(failed.Stderr).To(ContainSubstring(reason))
		},
		Entry("cell that violates a rule", `row back end "lookup-2" (2), column weight: must be at most 10000`, "validate",
			strings.Replace(exampleTable, `"weight": 100`, `"weight": 10001`, 1)),
		Entry("unknown column", `unknown field "wieght"`, "validate", strings.Replace(exampleTable, "weight", "wieght", 1)),
		Entry("show of an invalid table", "names no service of the table", "show", strings.Replace(exampleTable, `"service": 2`, `"service": 9`, 1)),
		Entry("no version", "version must not be 0", "validate", strings.Replace(exampleTable, `"version": 12,`, "", 1)),
		Entry("not JSON", "invalid character", "show", "version 12"),
	)

	It("fails with status 1 if a file or configuration cannot be read", func() {
		Expect(execute("table", "validate", "/nonexistent/table.json").Status).To(Equal(exitFailed))
		failed := execute("table", "show", startServer(`{"revision": 0}`))
		Expect(failed.Status).To(Equal(exitFailed))
		Expect(failed.Stderr).To(ContainSubstring("no revision"))
	})

	DescribeTable("fails with status 2 for invalid usage",
		func(message string, arguments ...string) {
			refused := execute(arguments...)
			Expect(refused.Status).To(Equal(exitUsage))
			Expect(refused.Stdout).To(BeEmpty())
			Expect(refused.Stderr).To(ContainSubstring(message))
		},
		Entry("no arguments", "no command given"),
		Entry("unknown command", `unknown command "tables"`, "tables"),
		Entry("unknown command of table", `unknown command "edit" of table`, "table", "edit", "x"),
		Entry("no source", "one FILE or URL", "table", "show"),
		Entry("two sources", "one FILE or URL", "table", "show", "a", "b"),
		Entry("unknown flag", "not defined: -verbose", "-verbose"),
	)

	It("prints help and version", func() {
		Expect(execute("-help")).To(Equal(result{exitSuccess, usage(), ""}))
		Expect(execute("-version").Stdout).To(HavePrefix("vanetillerctl "))
	})

	It("describes every flag with its default in the help text", func() {
		help := execute("-help").Stdout
		flags := newFlagSet(&options{}, io.Discard)
		flags.VisitAll(func(explained *flag.Flag) {
			Expect(help).To(MatchRegexp(`(?m)^  -%s( [A-Z]+)?\n    \t.*default`, explained.Name))
		})
	})
})
