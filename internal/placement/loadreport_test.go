package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/placement"
)

var _ = Describe("News", func() {
	const pace = 50 * time.Millisecond
	news := placement.LoadReport{UsedByOthers: 4, ReceivedAt: time.Second, Known: true}

	It("counts in full when it is new, and less as it ages", func() {
		Expect(news.Estimate(time.Second, pace, 1)).To(Equal(4.0))
		Expect(news.Estimate(time.Second+pace, pace, 1)).To(BeNumerically("~", 2.1, 0.01))
		Expect(news.Estimate(2*time.Second, pace, 1)).To(BeNumerically("~", 1, 0.01))
	})

	It("counts for longer at an endpoint that takes longer", func() {
		Expect(news.Estimate(time.Second+pace, 4*pace, 1)).To(BeNumerically(">", news.Estimate(time.Second+pace, pace, 1)))
	})

	It("is what is usual without any", func() {
		Expect(placement.LoadReport{}.Estimate(time.Second, pace, 1.5)).To(Equal(1.5))
	})
})

var _ = Describe("Level", func() {
	It("follows what is told, and is not moved much by one endpoint", func() {
		level := placement.GroupUtilization{}
		for number := range 100 {
			level.Observe(time.Duration(number)*10*time.Millisecond, 0.5)
		}
		Expect(level.At(time.Second)).To(BeNumerically("~", 0.5, 0.01))
		level.Observe(time.Second, 1.5)
		Expect(level.At(time.Second)).To(BeNumerically("<", 0.6))
	})

	It("takes the first news after a long time for the whole", func() {
		level := placement.GroupUtilization{}
		level.Observe(time.Second, 1)
		level.Observe(time.Minute, 0.2)
		Expect(level.At(time.Minute)).To(BeNumerically("~", 0.2, 0.01))
	})

	It("does not believe any number that one agent tells", func() {
		level := placement.GroupUtilization{}
		level.Observe(time.Second, 0.5)
		level.Observe(time.Second, 1e9)
		Expect(level.At(time.Second)).To(BeNumerically("<", 0.7))
	})

	It("falls without news", func() {
		level := placement.GroupUtilization{}
		level.Observe(time.Minute, 1)
		Expect(level.At(time.Minute + 10*time.Second)).To(BeNumerically("<", 0.01))
		Expect(level.Expired(time.Minute + 10*time.Second)).To(BeFalse())
		Expect(level.Expired(2 * time.Minute)).To(BeTrue())
	})
})
