package relay_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/vanetiller/vanetiller/bench/relay"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

func smallOptions() relay.Options {
	options := relay.DefaultOptions()
	options.Services = 3
	options.RowsPerService = 2
	options.Flows = 100
	options.Rounds = 2
	options.RoundLength = 200 * time.Millisecond
	return options
}

var _ = Describe("Compare", func() {
	BeforeEach(func() {
		ignored := goleak.IgnoreCurrent()
		DeferCleanup(func() { goleak.VerifyNone(GinkgoT(), ignored) })
	})

	It("measures the rate and delay of both relays", func(ctx SpecContext) {
		options := smallOptions()
		report, err := relay.Compare(ctx, options)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Options).To(Equal(options))
		for _, measurement := range []relay.Measurement{report.Bare, report.Balancer} {
			Expect(measurement.RoundRates).To(HaveLen(options.Rounds))
			Expect(measurement.RoundRates).To(HaveEach(BeNumerically(">", 0)))
			Expect(measurement.PacketsPerSecond).To(BeNumerically("~", (measurement.RoundRates[0]+measurement.RoundRates[1])/2, 1e-6))
			Expect(measurement.ReceivedShare).To(And(BeNumerically(">", 0), BeNumerically("<=", 1)))
			Expect(measurement.DelaySamples).To(BeNumerically(">", 0))
			Expect(measurement.DelayP50).To(And(BeNumerically(">", 0), BeNumerically("<=", measurement.DelayP99)))
		}
		Expect(report.RelativeRate()).To(Equal(report.Balancer.PacketsPerSecond / report.Bare.PacketsPerSecond))
	})

	It("returns the context error if the context has ended", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := relay.Compare(ctx, smallOptions())
		Expect(err).To(MatchError(context.Canceled))
	})

	DescribeTable("returns an error if an option is out of range",
		func(change func(*relay.Options)) {
			options := smallOptions()
			change(&options)
			_, err := relay.Compare(context.Background(), options)
			Expect(err).To(MatchError(ContainSubstring("relay: ")))
		},
		Entry("zero services", func(o *relay.Options) { o.Services = 0 }),
		Entry("zero senders", func(o *relay.Options) { o.Senders = 0 }),
		Entry("too many rows", func(o *relay.Options) { o.RowsPerService = 1_000_000 }),
		Entry("a payload smaller than a time stamp", func(o *relay.Options) { o.Payload = 8 }),
		Entry("a payload over the limit", func(o *relay.Options) { o.Payload = 9000 }),
		Entry("a round length of zero", func(o *relay.Options) { o.RoundLength = 0 }),
	)
})
