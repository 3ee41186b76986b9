package main

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// balancerLog and agentLog hold log lines of a balancer and of agents. As written by a log
// collector, the lines of agentLog start with the machine name.
const balancerLog = `{"time":"2026-06-20T07:42:30.000000Z","level":"info","msg":"directory changed","name":"edge-1","version":2}
{"time":"2026-06-20T07:42:34.500000Z","level":"warn","msg":"store lost","name":"edge-1","error":"store: unavailable"}
{"time":"2026-06-20T07:42:34.999781Z","level":"info","msg":"decision","name":"edge-1","event":"placed","client":"100.64.0.15:1068","service":"198.18.0.1:8080","peer":"10.2.0.10:8452","version":3,"elapsed_ms":1.565}
{"time":"2026-06-20T07:42:35.100000Z","level":"info","msg":"decision","name":"edge-1","event":"suspected","peer":"10.2.0.10:8452"}
{"time":"2026-06-20T07:42:36.000000Z","level":"info","msg":"decision","name":"edge-1","event":"no_route","client":"100.64.0.16:1070","service":"198.18.0.9:443","version":3,"reason":"reset"}
{"time":"2026-06-20T07:42:37.500000Z","level":"warn","msg":"entry refused","name":"edge-1","entry":"endpoints/e-9","revision":71,"reason":"wrong_type"}
{"time":"2026-06-20T07:42:40.234767Z","level":"info","msg":"decision","name":"edge-1","event":"placed","client":"100.65.0.25:1125","service":"198.18.0.1:8443","peer":"10.3.0.18:8452","version":3,"elapsed_ms":1.456}
not JSON
`

const agentLog = `side-1 {"time":"2026-06-20T07:42:35.003056Z","level":"info","msg":"decision","name":"side-1","event":"endpoint_lost_flow","client":"100.64.0.15:1068","service":"198.18.0.1:8080","request":"3294b2d0"}
side-2 {"time":"2026-06-20T07:42:40.237495Z","level":"info","msg":"decision","name":"side-2","event":"held","client":"100.65.0.25:1125","service":"198.18.0.1:8443","request":"fecfac1a"}
side-2 {"time":"2026-06-20T07:42:40.437697Z","level":"info","msg":"decision","name":"side-2","event":"admitted","client":"100.65.0.25:1125","service":"198.18.0.1:8443","request":"fecfac1a","elapsed_ms":200.2}
side-2 {"time":"2026-06-20T07:42:40.500000Z","level":"info","msg":"decision","name":"side-2","event":"ejected","failures":3,"outcomes":10,"reason":"failure","elapsed_ms":1000}
side-3 {"time":"2026-06-20T07:42:40.300000Z","level":"info","msg":"daemon started","name":"side-3"}
`

var _ = Describe("explain", func() {
	var logs []string

	BeforeEach(func() {
		directory := GinkgoT().TempDir()
		logs = nil
		for name, text := range map[string]string{"balancer.log": balancerLog, "agent.log": agentLog} {
			path := filepath.Join(directory, name)
			Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
			logs = append(logs, path)
		}
	})

	explained := func(wanted string, flags ...string) string {
		ran := execute(append(append([]string{"explain", wanted}, logs...), flags...)...)
		Expect(ran.Status).To(Equal(exitSuccess), ran.Stderr)
		return ran.Stdout
	}

	It("prints the lines of a flow that its endpoint lost, and the lines about its processes around that time", func() {
		Expect(explained("3294b2d0")).To(Equal(
			`TIME             PROCESS  WHAT                DETAILS
07:42:34.500000  edge-1   store lost          error=store: unavailable
07:42:34.999781  edge-1   placed              client=100.64.0.15:1068 elapsed_ms=1.565 peer=10.2.0.10:8452 service=198.18.0.1:8080 version=3
07:42:35.003056  side-1   endpoint_lost_flow  client=100.64.0.15:1068 request=3294b2d0 service=198.18.0.1:8080
07:42:35.100000  edge-1   suspected           peer=10.2.0.10:8452
`))
	})

	It("prints why an entry of the store was refused", func() {
		Expect(explained("e-9", "-output", "csv")).To(Equal(
			"time,process,what,details\n07:42:37.500000,edge-1,entry refused,entry=endpoints/e-9 reason=wrong_type revision=71\n"))
	})

	It("prints where and how long a delayed request waited, and that its endpoint was ejected", func() {
		Expect(explained("fecfac1a", "-output", "csv")).To(Equal(
			`time,process,what,details
07:42:40.234767,edge-1,placed,client=100.65.0.25:1125 elapsed_ms=1.456 peer=10.3.0.18:8452 service=198.18.0.1:8443 version=3
07:42:40.237495,side-2,held,client=100.65.0.25:1125 request=fecfac1a service=198.18.0.1:8443
07:42:40.437697,side-2,admitted,client=100.65.0.25:1125 elapsed_ms=200.2 request=fecfac1a service=198.18.0.1:8443
07:42:40.500000,side-2,ejected,elapsed_ms=1000 failures=3 outcomes=10 reason=failure
`))
	})

	It("finds a request that never reached an agent by the address of its client", func() {
		Expect(explained("100.64.0.16:1070", "-output", "json")).To(ContainSubstring(`"event":"no_route"`))
		Expect(explained("100.64.0.16:1070")).To(ContainSubstring("reason=reset"))
	})

	It("fails if no log has the request, a file is missing or no file is given", func() {
		ran := execute(append([]string{"explain", "nobody"}, logs...)...)
		Expect(ran.Status).To(Equal(exitFailed))
		Expect(ran.Stderr).To(ContainSubstring("no log has a line about nobody"))
		Expect(execute("explain", "x", filepath.Join(GinkgoT().TempDir(), "absent")).Status).To(Equal(exitFailed))
		Expect(execute("explain", "x").Status).To(Equal(exitUsage))
	})
})
