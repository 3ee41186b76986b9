package slopes_test

import (
	"context"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/bench/slopes"
)

var _ = Describe("FitOf", func() {
	DescribeTable("finds known lines", func(points []slopes.Point, intercept, slope, residual float64) {
		fitted := slopes.FitOf(points)
		Expect(fitted.Intercept).To(BeNumerically("~", intercept, 1e-9))
		Expect(fitted.Slope).To(BeNumerically("~", slope, 1e-9))
		Expect(fitted.Residual).To(BeNumerically("~", residual, 1e-9))
	},
		Entry("exact", []slopes.Point{{1, 5}, {2, 7}, {4, 11}, {8, 19}}, 3.0, 2.0, 0.0),
		Entry("constant", []slopes.Point{{1, 6}, {2, 6}, {3, 6}}, 6.0, 0.0, 0.0),
		// Each point is 1 off the line 10 + n, whose mean is 12.5.
		Entry("noisy", []slopes.Point{{1, 12}, {2, 11}, {3, 12}, {4, 15}}, 10.0, 1.0, 1/12.5),
	)

	It("extends the line", func() {
		Expect(slopes.FitOf([]slopes.Point{{1, 5}, {2, 7}}).At(100)).To(BeNumerically("~", 203, 1e-9))
	})
})

var _ = Describe("Run", func() {
	measure := func(names ...string) slopes.Report {
		report, err := slopes.Run(context.Background(), slopes.Options{Only: names})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Measurements).To(HaveLen(len(names)))
		return report
	}

	It("finds that a service asks one row for each settled flow and all rows in doubt", func() {
		report := measure("questions", "questions in doubt")
		settled, _ := report.Measurement("questions")
		Expect(settled.Fit.At(8)).To(BeNumerically("~", 2, 0.1))
		inDoubt, _ := report.Measurement("questions in doubt")
		Expect(inDoubt.Fit.Slope).To(BeNumerically("~", 2, 0.1))
	})

	It("finds that memory of flows grows in proportion and has a ceiling under a flood", func() {
		report := measure("open flow", "flood")
		flows, _ := report.Measurement("open flow")
		Expect(flows.Fit.Slope).To(BeNumerically(">", 32))
		Expect(flows.Fit.Residual).To(BeNumerically("<", 0.3))
		flood, _ := report.Measurement("flood")
		Expect(flood.Fit).To(BeNil())
		last := len(flood.Points) - 1
		Expect(flood.Points[last].Value).To(BeNumerically("<", 1.1*flood.Points[last-1].Value))
	})

	It("moves no more flows than it must when a row is removed", func() {
		measured, _ := measure("row removed").Measurement("row removed")
		Expect(measured.Largest()).To(BeNumerically("<", 1.5))
	})

	It("refuses an unknown name and ends with its context", func() {
		_, err := slopes.Run(context.Background(), slopes.Options{Only: []string{"nothing"}})
		Expect(err).To(MatchError(ContainSubstring("nothing")))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = slopes.Run(ctx, slopes.Options{Only: []string{"table row"}})
		Expect(err).To(MatchError(context.Canceled))
	})

	It("computes no capacity from a part of the measurements", func() {
		_, err := measure("table row").Capacity()
		Expect(err).To(MatchError(ContainSubstring("missing")))
	})
})

var _ = Describe("Rewrite", func() {
	const page = "intro\n<!-- generated: a -->\nold\n<!-- end of generated: a -->\noutro\n"

	It("replaces a part and leaves the rest, again and again", func() {
		path := filepath.Join(GinkgoT().TempDir(), "page.md")
		Expect(os.WriteFile(path, []byte(page), 0o600)).To(Succeed())
		for range 2 {
			Expect(slopes.Rewrite(path, []slopes.Part{{Name: "a", Text: "new\n"}})).To(Succeed())
			content, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(content)).To(Equal("intro\n<!-- generated: a -->\n\nnew\n\n<!-- end of generated: a -->\noutro\n"))
		}
	})

	It("writes nothing if a marker is missing", func() {
		path := filepath.Join(GinkgoT().TempDir(), "page.md")
		Expect(os.WriteFile(path, []byte(page), 0o600)).To(Succeed())
		Expect(slopes.Rewrite(path, []slopes.Part{{Name: "a", Text: "new"}, {Name: "b", Text: "x"}})).NotTo(Succeed())
		content, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(Equal(page))
	})
})

var _ = Describe("CapacityMarkdown", func() {
	It("says which goals are not met and by how much", func() {
		text := slopes.CapacityMarkdown([]slopes.Line{
			{Role: "balancer", Quantity: "memory", Value: 10, Unit: "bytes", Goal: 20},
			{Role: "balancer", Quantity: "traffic", Value: 5000, Unit: "bytes/s", Goal: 1000},
			{Role: "agent", Quantity: "time", Value: 0.5, Unit: "ns"},
		})
		Expect(text).To(ContainSubstring("| 10 bytes | 20 bytes | met |"))
		Expect(text).To(ContainSubstring("| 5,000 bytes/s | 1,000 bytes/s | **not met**, 5 times the goal |"))
		Expect(text).To(ContainSubstring("| 0.50 ns |  |  |"))
	})
})
