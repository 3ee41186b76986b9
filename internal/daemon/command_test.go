package daemon_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/daemon"
)

const agentSettings = `name = "agent-1"
zone = "zone-1"
[observability]
listen = "127.0.0.1:0"
[agent]
listen = "127.0.0.1:6181"
fabric = "127.0.0.1:6080"
daemons = ["127.0.0.1:7000"]
[[agent.backend]]
service = "lookup"
name = "lookup-1"
address = "127.0.0.1:8081"
`

func writeSettings(text string) string {
	path := filepath.Join(GinkgoT().TempDir(), "settings.toml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

type commandResult struct {
	Status int
	Stdout string
	Stderr string
}

func runCommand(arguments ...string) commandResult {
	var stdout, stderr bytes.Buffer
	status := daemon.RunCommand(context.Background(), arguments, &stdout, &stderr)
	return commandResult{status, stdout.String(), stderr.String()}
}

var _ = Describe("RunCommand", func() {
	It("prints every flag with its default for -help", func() {
		help := runCommand("-help")
		Expect(help.Status).To(Equal(daemon.ExitSuccess))
		Expect(help.Stderr).To(BeEmpty())
		for _, flag := range []string{"-settings FILE", "-name NAME", "-zone ZONE", "-log-level LEVEL", "-check", "-version"} {
			Expect(help.Stdout).To(MatchRegexp(`(?m)^  %s\n    \t.*default`, flag))
		}
	})

	It("prints the version for -version", func() {
		printed := runCommand("-version")
		Expect(printed.Status).To(Equal(daemon.ExitSuccess))
		Expect(printed.Stdout).To(MatchRegexp(`^vanetillerd \S+ \(go\S+\)\n$`))
	})

	DescribeTable("reports invalid usage with status 2",
		func(message string, arguments ...string) {
			refused := runCommand(arguments...)
			Expect(refused.Status).To(Equal(daemon.ExitUsage))
			Expect(refused.Stdout).To(BeEmpty())
			Expect(refused.Stderr).To(ContainSubstring(message))
		},
		Entry("missing settings file", "-settings is required"),
		Entry("unknown flag", "flag provided but not defined: -port", "-port", "1"),
		Entry("unexpected argument", "unexpected argument run", "-version", "run"),
		Entry("settings file that does not exist", "no such file", "-settings", "/nonexistent/settings.toml"),
	)

	It("accepts settings that command-line flags make valid", func() {
		path := writeSettings(strings.Replace(agentSettings, `zone = "zone-1"`, "", 1))
		checked := runCommand("-settings", path, "-check", "-zone", "zone-2", "-log-level", "warn")
		Expect(checked).To(Equal(commandResult{daemon.ExitSuccess, path + ": settings are valid\n", ""}))
	})

	DescribeTable("reports invalid settings with file, line, key and rule",
		func(arguments ...string) {
			path := writeSettings(strings.Replace(agentSettings, `"127.0.0.1:6080"`, `"fabric:6080"`, 1))
			refused := runCommand(append([]string{"-settings", path}, arguments...)...)
			Expect(refused).To(Equal(commandResult{daemon.ExitUsage, "",
				path + ":7: agent.fabric: must be an IPv4 address and a port, such as 192.0.2.1:6081\n"}))
		},
		Entry("with -check", "-check"),
		Entry("without -check"),
	)

	It("reports an invalid override", func() {
		refused := runCommand("-settings", writeSettings(agentSettings), "-name", "")
		Expect(refused.Status).To(Equal(daemon.ExitUsage))
		Expect(refused.Stderr).To(HavePrefix("command line: name: must have 1 to 64"))
	})

	It("fails with status 1 if the observability address is in use", func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		path := writeSettings(strings.Replace(agentSettings, "127.0.0.1:0", listener.Addr().String(), 1))
		failed := runCommand("-settings", path)
		Expect(failed.Status).To(Equal(daemon.ExitFailure))
		Expect(failed.Stderr).To(ContainSubstring("address already in use"))
	})
})
