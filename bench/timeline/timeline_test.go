package timeline_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/bench/timeline"
)

func TestTimeline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Timeline")
}

const startLog = `seen: 2 machines
  1.0 b-1 {"time":"2026-01-01T00:00:01Z","msg":"daemon started","name":"b-1"}
  1.2 b-1 {"time":"2026-01-01T00:00:01.2Z","msg":"directory changed","name":"b-1","version":3}
  1.1 a-1 {"time":"2026-01-01T00:00:01.1Z","msg":"daemon started","name":"a-1"}
  1.3 b-1 {"time":"2026-01-01T00:00:01.3Z","msg":"decision","name":"b-1","event":"placed"}
  1.4 b-1 {"time":"2026-01-01T00:00:01.4Z","msg":"decision","name":"b-1","event":"placed"}
  1.5 a-1 {"time":"2026-01-01T00:00:01.5Z","msg":"decision","name":"a-1","event":"given"}
  9.0 b-1 {"time":"2026-01-01T00:00:09Z","msg":"daemon started","name":"b-1"}
  9.1 b-1 {"time":"2026-01-01T00:00:09.1Z","msg":"directory changed","name":"b-1"}
{"time":"2026-01-01T00:00:09.2Z","msg":"decision","name":"unknown","event":"placed"}
{not JSON
`

var _ = Describe("Timeline", func() {
	read := func() []timeline.Start {
		starts, err := timeline.Read(strings.NewReader(startLog))
		Expect(err).NotTo(HaveOccurred())
		return starts
	}

	It("returns the first occurrence of each step after each start of a process", func() {
		starts := read()
		Expect(starts).To(HaveLen(3))
		Expect(starts[0].Process).To(Equal("b-1"))
		Expect(starts[0].After).To(Equal(map[timeline.Step]time.Duration{
			timeline.StepDirectory: 200 * time.Millisecond, timeline.StepPlaced: 300 * time.Millisecond,
		}))
		Expect(starts[1].After).To(Equal(map[timeline.Step]time.Duration{timeline.StepDelivered: 400 * time.Millisecond}))
		Expect(starts[2].After).To(HaveLen(1))
	})

	It("summarizes the steps of all starts or of those between two times", func() {
		Expect(timeline.Summarize(read())).To(ContainElement(timeline.Summary{
			Step: timeline.StepDirectory, Starts: 2, Median: 100, P90: 200, Longest: 200,
		}))
		late := timeline.Between(read(), 5*time.Second, time.Minute)
		Expect(timeline.Summarize(late)).To(Equal([]timeline.Summary{
			{Step: timeline.StepDirectory, Starts: 1, Median: 100, P90: 100, Longest: 100},
		}))
		Expect(timeline.Between(nil, 0, time.Minute)).To(BeEmpty())
	})

	It("plots the steps, and fails without starts", func() {
		path := filepath.Join(GinkgoT().TempDir(), "timeline.svg")
		Expect(timeline.Plot(read(), path)).To(Succeed())
		drawn, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(drawn)).To(ContainSubstring("directory changed"))
		Expect(timeline.Plot(nil, path)).NotTo(Succeed())
	})
})
