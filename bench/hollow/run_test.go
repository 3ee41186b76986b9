package hollow_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/bench/hollow"
)

func run(options hollow.Options) hollow.Report {
	report, _, err := hollow.Run(context.Background(), options)
	Expect(err).NotTo(HaveOccurred())
	return report
}

func encoded(options hollow.Options) string {
	text, err := run(options).Encode()
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// tiny returns a fleet without faults that runs in a fraction of a second.
func tiny() hollow.Options {
	options := hollow.SmallOptions()
	options.OpenFlows = 2000
	options.NewFlows = 100
	options.Duration = 10 * time.Second
	options.Faults = false
	options.ChangeInterval = 0
	options.Loss = 0
	return options
}

var _ = Describe("Run", func() {
	It("repeats a run with faults to the byte and differs with another seed", func() {
		options := hollow.SmallOptions()
		first := encoded(options)
		Expect(encoded(options)).To(Equal(first))
		options.Seed++
		Expect(encoded(options)).NotTo(Equal(first))
	})

	It("keeps the promises of flows in a fleet with faults", func() {
		report := run(hollow.SmallOptions())
		Expect(report.Measured.Opened).To(BeNumerically(">", 20_000))
		Expect(report.Measured.LostWithAgent).To(BeNumerically(">", 0))
		Expect(report.Flows.OpenedTwice).To(BeZero())
		Expect(report.Probes.Arrived).To(BeNumerically(">", 10_000))
		for _, failure := range report.Probes.Failed {
			Expect(failure.Cause).NotTo(BeElementOf("reset", "misdelivered"))
		}
		Expect(report.Network.Cut).To(BeNumerically(">", 0))
	})

	It("opens every flow and reaches the wanted number in a quiet fleet", func() {
		report := run(tiny())
		Expect(report.Flows.NeverOpened).To(BeZero())
		Expect(report.Flows.Refused).To(BeZero())
		Expect(report.OpenAtEnd).To(BeNumerically("~", 2000, 50))
		Expect(report.Probes.Arrived).To(Equal(report.Probes.Sent))
		Expect(report.FalselyDown).To(BeZero())
	})

	It("puts changes in force on every process", func() {
		options := tiny()
		options.ChangeInterval = 3 * time.Second
		options.Loss = 0.05
		report := run(options)
		Expect(report.Force.Changes).To(BeNumerically(">=", 4))
		Expect(report.Force.Agents.Count).To(BeNumerically(">=", 3))
		Expect(report.Force.Agents.Max).To(BeNumerically("<=", 7))
	})

	It("shows that a daemon takes agents for dead that report to others", func() {
		options := tiny()
		options.Liveness = hollow.LivenessRegistry
		options.DaemonsPerAgent = 1
		report := run(options)
		Expect(report.FalselyDown).To(BeNumerically(">", 100))
		options.DaemonsPerAgent = options.Daemons
		Expect(run(options).FalselyDown).To(BeZero())
	})

	DescribeTable("refuses impossible options", func(change func(*hollow.Options)) {
		options := tiny()
		change(&options)
		_, _, err := hollow.Run(context.Background(), options)
		Expect(err).To(HaveOccurred())
	},
		Entry("no daemons", func(o *hollow.Options) { o.Daemons = 0 }),
		Entry("negative rate", func(o *hollow.Options) { o.NewFlows = -1 }),
		Entry("regions without zones", func(o *hollow.Options) { o.Regions = o.Zones + 1 }),
		Entry("too many daemons for an agent", func(o *hollow.Options) { o.DaemonsPerAgent = o.Daemons + 1 }),
		Entry("unknown liveness", func(o *hollow.Options) { o.Liveness = "guess" }),
		Entry("no filling", func(o *hollow.Options) { o.Filling = 0 }),
		Entry("certain loss", func(o *hollow.Options) { o.Loss = 1 }),
	)

	It("ends with its context", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, _, err := hollow.Run(ctx, tiny())
		Expect(err).To(MatchError(context.Canceled))
	})
})
