package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/placement"
)

var _ = Describe("LoadReport", func() {
	const processingTime = 50 * time.Millisecond
	report := placement.LoadReport{SlotsUsedByOthers: 4, ReceivedAt: time.Second, Received: true}

	It("is the estimate when it is received, and decays towards the mean of the group", func() {
		Expect(report.Estimate(time.Second, processingTime, 1)).To(Equal(4.0))
		Expect(report.Estimate(time.Second+processingTime, processingTime, 1)).To(BeNumerically("~", 2.1, 0.01))
		Expect(report.Estimate(2*time.Second, processingTime, 1)).To(BeNumerically("~", 1, 0.01))
	})

	It("decays more slowly if the processing time is longer", func() {
		Expect(report.Estimate(time.Second+processingTime, 4*processingTime, 1)).To(BeNumerically(">", report.Estimate(time.Second+processingTime, processingTime, 1)))
	})

	It("yields the mean of the group if nothing was reported", func() {
		Expect(placement.LoadReport{}.Estimate(time.Second, processingTime, 1.5)).To(Equal(1.5))
	})
})

var _ = Describe("GroupUtilization", func() {
	It("converges to the observations and limits the weight of a single one", func() {
		group := placement.GroupUtilization{}
		for number := range 100 {
			group.Observe(time.Duration(number)*10*time.Millisecond, 0.5)
		}
		Expect(group.At(time.Second)).To(BeNumerically("~", 0.5, 0.01))
		group.Observe(time.Second, 1.5)
		Expect(group.At(time.Second)).To(BeNumerically("<", 0.6))
	})

	It("is the new observation if the previous one is long ago", func() {
		group := placement.GroupUtilization{}
		group.Observe(time.Second, 1)
		group.Observe(time.Minute, 0.2)
		Expect(group.At(time.Minute)).To(BeNumerically("~", 0.2, 0.01))
	})

	It("caps an implausible observation", func() {
		group := placement.GroupUtilization{}
		group.Observe(time.Second, 0.5)
		group.Observe(time.Second, 1e9)
		Expect(group.At(time.Second)).To(BeNumerically("<", 0.7))
	})

	It("decays without observations, and expires after 30 s", func() {
		group := placement.GroupUtilization{}
		group.Observe(time.Minute, 1)
		Expect(group.At(time.Minute + 10*time.Second)).To(BeNumerically("<", 0.01))
		Expect(group.Expired(time.Minute + 10*time.Second)).To(BeFalse())
		Expect(group.Expired(2 * time.Minute)).To(BeTrue())
	})
})
