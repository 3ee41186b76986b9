package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/placement"
	"github.com/vanetiller/vanetiller/internal/segment"
)

var _ = Describe("ProcessingTimeEstimator", func() {
	shortRoute := segment.Address{Port: 1}
	longRoute := segment.Address{Port: 2}

	It("estimates 0 before the first observation", func() {
		estimator := placement.ProcessingTimeEstimator{}
		Expect(estimator.Estimate()).To(BeZero())
	})

	It("ignores single requests that take far longer", func() {
		estimator := placement.ProcessingTimeEstimator{}
		for number := range 100 {
			duration := 40 * time.Millisecond
			if number%20 == 0 {
				duration *= 7
			}
			estimator.Observe(shortRoute, duration)
		}
		Expect(estimator.Estimate()).To(BeNumerically("~", 40*time.Millisecond, time.Microsecond))
	})

	It("follows a change of speed within five answers", func() {
		estimator := placement.ProcessingTimeEstimator{}
		for range 20 {
			estimator.Observe(shortRoute, 40*time.Millisecond)
		}
		for range 5 {
			estimator.Observe(shortRoute, 80*time.Millisecond)
		}
		Expect(estimator.Estimate()).To(BeNumerically("~", 80*time.Millisecond, time.Microsecond))
	})

	// estimateAfter returns the estimate in seconds after a number of answers, of which every
	// third is of the long route. The endpoint takes factor times as long as a reference one.
	estimateAfter := func(factor float64, answers int) float64 {
		estimator := placement.ProcessingTimeEstimator{}
		for number := range answers {
			route, duration := shortRoute, 10*time.Millisecond
			if number%3 == 0 {
				route, duration = longRoute, 100*time.Millisecond
			}
			estimator.Observe(route, time.Duration(factor*float64(duration)))
		}
		return estimator.Estimate().Seconds()
	}

	It("reflects the speed of the endpoint regardless of the routes of the latest answers", func() {
		reference := estimateAfter(1, 200)
		for answers := 200; answers < 206; answers++ {
			Expect(estimateAfter(1, answers) / reference).To(BeNumerically("~", 1, 0.05))
			Expect(estimateAfter(2, answers) / reference).To(BeNumerically("~", 2, 0.1))
		}
	})

	It("keeps the most requested route if there are more routes than it tracks", func() {
		estimator := placement.ProcessingTimeEstimator{}
		for number := range 200 {
			estimator.Observe(shortRoute, 40*time.Millisecond)
			if number%10 == 0 {
				estimator.Observe(segment.Address{Port: uint16(100 + number)}, 40*time.Millisecond)
			}
		}
		Expect(estimator.Estimate()).To(BeNumerically("~", 40*time.Millisecond, time.Microsecond))
	})
})
