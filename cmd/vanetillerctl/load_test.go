package main

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// loadLogs holds load lines of two agents and a balancer, and one line of another kind.
const loadLogs = `{"time":"2026-06-20T07:42:30Z","level":"info","msg":"load","name":"side-1","service":"lookup","priority":"2","interval_ms":1000,"asked":90,"answered":60,"placed":0,"expired":3,"ownerless":0,"returned":{"busy":40,"overload":2},"refused":{},"waits":{"20":1,"50":5,"100":10,"200":4},"longest_ms":180.5}
side-2 {"time":"2026-06-20T07:42:31Z","level":"info","msg":"load","name":"side-2","service":"lookup","priority":"2","interval_ms":1000,"asked":30,"answered":31,"placed":0,"expired":0,"ownerless":0,"returned":{"busy":8,"cold":9},"refused":{},"waits":{"longer":1},"longest_ms":6100}
{"time":"2026-06-20T07:42:31Z","level":"info","msg":"load","name":"side-2","service":"lookup","priority":"0","interval_ms":1000,"asked":12,"answered":12,"placed":0,"expired":0,"ownerless":0,"returned":{},"refused":{},"waits":{},"longest_ms":0}
{"time":"2026-06-20T07:42:32Z","level":"info","msg":"load","name":"edge-1","service":"lookup","priority":"2","interval_ms":1000,"asked":0,"answered":0,"placed":70,"expired":0,"ownerless":6,"returned":{},"refused":{"all_returned":5},"waits":{},"longest_ms":0}
{"time":"2026-06-20T07:42:32Z","level":"info","msg":"load","name":"edge-1","service":"export","priority":"unknown","interval_ms":1000,"asked":0,"answered":0,"placed":1,"expired":0,"ownerless":0,"returned":{},"refused":{},"waits":{"1":7},"longest_ms":0.5}
{"time":"2026-06-20T07:42:32Z","level":"info","msg":"decision","name":"edge-1","event":"placed","service":"198.18.0.1:8080"}
`

var _ = Describe("load", func() {
	var path string

	BeforeEach(func() {
		path = filepath.Join(GinkgoT().TempDir(), "all.log")
		Expect(os.WriteFile(path, []byte(loadLogs), 0o600)).To(Succeed())
	})

	DescribeTable("adds up load lines by service and priority",
		func(flags []string, shown string) {
			ran := execute(append([]string{"load", path, "-output", "csv"}, flags...)...)
			Expect(ran.Status).To(Equal(exitSuccess), ran.Stderr)
			Expect(ran.Stdout).To(Equal(
				"service,priority,placed,asked,answered,waited,median ms,longest ms,expired,returned,refused,ownerless\n" + shown))
		},
		Entry("of all logs", nil,
			`export,unknown,1,0,0,7,<=1,0.5,0,,,0
lookup,0,0,12,12,0,,0,0,,,0
lookup,2,70,120,91,21,<=100,6100,3,busy=48 cold=9 overload=2,all_returned=5,6
`),
		Entry("of a service", []string{"-service", "export"}, "export,unknown,1,0,0,7,<=1,0.5,0,,,0\n"),
		Entry("of a priority", []string{"-priority", "0"}, "lookup,0,0,12,12,0,,0,0,,,0\n"),
		Entry("of a time range", []string{"-from", "2026-06-20T07:42:31Z", "-to", "2026-06-20T07:42:31.5Z", "-priority", "2"},
			"lookup,2,0,30,31,1,longer,6100,0,cold=9 busy=8,,0\n"),
	)

	It("prints the load in columns and as JSON", func() {
		ran := execute("load", path, "-priority", "0")
		Expect(ran.Stdout).To(HavePrefix("SERVICE  PRIORITY  PLACED  ASKED"))
		Expect(execute("load", path, "-priority", "0", "-output", "json").Stdout).To(ContainSubstring(`"asked": 12`))
	})

	DescribeTable("fails with the reason",
		func(arguments []string, status int, message string) {
			ran := execute(arguments...)
			Expect(ran.Status).To(Equal(status))
			Expect(ran.Stderr).To(ContainSubstring(message))
		},
		Entry("no file", []string{"load"}, exitUsage, "load takes one or more log FILEs"),
		Entry("a time in the wrong format", []string{"load", "x", "-from", "07:42"}, exitUsage, `-from "07:42": must be a time such as`),
		Entry("a time range that ends before it begins", []string{"load", "x", "-from", "2026-06-20T07:42:31Z", "-to", "2026-06-20T07:42:30Z"},
			exitUsage, "-to must not be before -from"),
		Entry("a missing file", []string{"load", "/absent"}, exitFailed, "read log: open /absent"),
	)

	It("is printed by explain if it is from a process of the request at that time", func() {
		const decision = `{"time":"2026-06-20T07:42:32Z","level":"info","msg":"decision","name":"side-2","event":"held","client":"100.64.0.15:1068","service":"198.18.0.1:8080","request":"3294b2d0"}`
		Expect(os.WriteFile(path, []byte(loadLogs+decision+"\n"), 0o600)).To(Succeed())
		ran := execute("explain", "3294b2d0", path, "-output", "csv")
		Expect(ran.Status).To(Equal(exitSuccess), ran.Stderr)
		Expect(ran.Stdout).To(ContainSubstring("07:42:31.000000,side-2,load,"))
		Expect(ran.Stdout).NotTo(ContainSubstring("side-1,load"))
	})

	It("fails if no load line matches the flags", func() {
		ran := execute("load", path, "-service", "other")
		Expect(ran.Status).To(Equal(exitFailed))
		Expect(ran.Stderr).To(ContainSubstring("no log has a load line that matches -service, -priority, -from and -to"))
	})
})
