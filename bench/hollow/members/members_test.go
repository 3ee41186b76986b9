package members_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/bench/hollow/members"
)

// small returns a fleet that runs in about a second.
func small() members.Options {
	options := members.TargetOptions()
	options.Daemons = 44
	options.Usual = 2 * time.Minute
	options.Kills = 2
	options.Cut = 2 * time.Minute
	return options
}

var _ = Describe("Run", func() {
	run := func(options members.Options) members.Report {
		report, err := members.Run(context.Background(), options, nil)
		Expect(err).NotTo(HaveOccurred())
		return report
	}

	It("repeats a run to the byte and differs with another seed", func() {
		encoded := func(options members.Options) string {
			text, err := run(options).Encode()
			Expect(err).NotTo(HaveOccurred())
			return string(text)
		}
		options := small()
		first := encoded(options)
		Expect(encoded(options)).To(Equal(first))
		options.Seed++
		Expect(encoded(options)).NotTo(Equal(first))
	})

	It("finds right views after every fault", func() {
		report := run(small())
		Expect(report.Start).To(BeNumerically(">=", 0))
		Expect(report.MeanBytes).To(BeNumerically(">", 0))
		Expect(report.LargestWindow).To(BeNumerically(">=", report.LargestMean))
		Expect(report.Kills).To(HaveLen(2))
		for _, took := range report.Kills {
			Expect(took).To(BeNumerically(">", 0))
		}
		Expect(report.ZoneBack).To(BeNumerically(">", 0))
		Expect(report.Healed).To(BeNumerically(">", 0))
		Expect(report.FalseFailures).To(BeZero())
		Expect(report.Changes).To(BeNumerically(">=", 2))
		Expect(report.Unfinished).To(BeZero())
		Expect(report.InForceMedian).To(BeNumerically(">", 0))
		Expect(report.AgentRestarts).To(BeNumerically(">=", 2))
		Expect(report.AgentsKnownMedian).To(BeNumerically(">", 0))
		Expect(report.CaughtUp).To(BeNumerically(">=", 0))
	})

	DescribeTable("refuses impossible options", func(change func(*members.Options)) {
		options := small()
		change(&options)
		_, err := members.Run(context.Background(), options, nil)
		Expect(err).To(HaveOccurred())
	},
		Entry("no zones", func(o *members.Options) { o.Zones = 0 }),
		Entry("regions without zones", func(o *members.Options) { o.Regions = 12 }),
		Entry("fewer daemons than zones need", func(o *members.Options) { o.Daemons = 5 }),
		Entry("certain loss", func(o *members.Options) { o.Loss = 1 }),
		Entry("no time to settle", func(o *members.Options) { o.Settling = 0 }),
	)
})
