package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/placement"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("Meter", func() {
	short := segment.Address{Port: 1}
	long := segment.Address{Port: 2}

	It("knows nothing at first", func() {
		meter := placement.ProcessingTimeEstimator{}
		Expect(meter.Estimate()).To(BeZero())
	})

	It("is not moved by single requests that take far longer", func() {
		meter := placement.ProcessingTimeEstimator{}
		for number := range 100 {
			took := 40 * time.Millisecond
			if number%20 == 0 {
				took *= 7
			}
			meter.Observe(short, took)
		}
		Expect(meter.Estimate()).To(BeNumerically("~", 40*time.Millisecond, time.Microsecond))
	})

	It("notices a change of speed within a few answers", func() {
		meter := placement.ProcessingTimeEstimator{}
		for range 20 {
			meter.Observe(short, 40*time.Millisecond)
		}
		for range 5 {
			meter.Observe(short, 80*time.Millisecond)
		}
		Expect(meter.Estimate()).To(BeNumerically("~", 80*time.Millisecond, time.Microsecond))
	})

	// measured is the pace of an endpoint that takes factor times as long as another, with
	// each third request a long one, after a number of answers.
	measured := func(factor float64, answers int) float64 {
		meter := placement.ProcessingTimeEstimator{}
		for number := range answers {
			route, took := short, 10*time.Millisecond
			if number%3 == 0 {
				route, took = long, 100*time.Millisecond
			}
			meter.Observe(route, time.Duration(factor*float64(took)))
		}
		return meter.Estimate().Seconds()
	}

	It("tells speeds apart whatever was asked for last", func() {
		usual := measured(1, 200)
		for answers := 200; answers < 206; answers++ {
			Expect(measured(1, answers) / usual).To(BeNumerically("~", 1, 0.05))
			Expect(measured(2, answers) / usual).To(BeNumerically("~", 2, 0.1))
		}
	})

	It("remembers a bounded number of routes, those that are asked for", func() {
		meter := placement.ProcessingTimeEstimator{}
		for number := range 200 {
			meter.Observe(short, 40*time.Millisecond)
			if number%10 == 0 {
				meter.Observe(segment.Address{Port: uint16(100 + number)}, 40*time.Millisecond)
			}
		}
		Expect(meter.Estimate()).To(BeNumerically("~", 40*time.Millisecond, time.Microsecond))
	})
})
