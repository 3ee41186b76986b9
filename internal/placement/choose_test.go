package placement_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Placement")
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// best returns the index of the best candidate, and fails if there is none.
func best(candidates ...placement.Candidate) int {
	GinkgoHelper()
	index, found := placement.Best(candidates)
	Expect(found).To(BeTrue())
	return index
}

var _ = Describe("Best", func() {
	idle := placement.Candidate{Slots: 4, Slowness: 1, Local: true}
	// used returns an idle candidate with some of its slots used by others.
	used := func(slots float64) placement.Candidate {
		candidate := idle
		candidate.SlotsUsedByOthers = slots
		return candidate
	}

	It("returns false without candidates", func() {
		_, found := placement.Best(nil)
		Expect(found).To(BeFalse())
	})

	It("prefers the endpoint with less utilization, whether by the chooser or by others", func() {
		own, kept, large := idle, idle, used(3)
		own.Outstanding, kept.IdleFlowSlots, large.Slots = 3, 3, 12
		for _, busy := range []placement.Candidate{own, kept, used(3)} {
			Expect(best(busy, idle)).To(Equal(1))
			Expect(best(busy, large)).To(Equal(1))
		}
	})

	It("prefers a fast, warm and local endpoint if the utilization is equal", func() {
		slow, warming, far := idle, idle, idle
		slow.Slowness = 2
		warming.Warming = true
		far.Local = false
		for _, worse := range []placement.Candidate{slow, warming, far} {
			Expect(best(worse, idle)).To(Equal(1))
		}
	})

	It("prefers an idle slow endpoint to a fast one if the wait for the fast one is longer", func() {
		slow := idle
		slow.Slowness = 2
		Expect(best(slow, used(3.5))).To(Equal(1), "the wait for the fast endpoint is short")
		Expect(best(used(5), slow)).To(Equal(1))
	})

	It("leaves the local zone once its endpoints are fully used", func() {
		far := idle
		far.Local = false
		Expect(best(far, used(3.5))).To(Equal(1))
		Expect(best(used(4.5), far)).To(Equal(1))
	})
})

var _ = Describe("Sample", func() {
	It("draws candidates of the same zone equally often", func() {
		random := newRandom()
		local := make([]bool, 30)
		for index := range 10 {
			local[index] = true
		}
		counts := make([]int, len(local))
		for range 6000 {
			sample := placement.Sample(local, random)
			Expect(sample).To(HaveLen(5))
			for _, index := range sample {
				counts[index]++
			}
		}
		Expect(counts[:10]).To(HaveEach(BeNumerically("~", 2400, 150)))
		Expect(counts[10:]).To(HaveEach(BeNumerically("~", 300, 60)))
	})

	It("fills the sample from other zones if the local zone has too few candidates", func() {
		Expect(placement.Sample([]bool{false, true, false, false, false, false, false}, newRandom())).To(And(HaveLen(5), ContainElement(1)))
		Expect(placement.Sample([]bool{false, false, true}, newRandom())).To(ConsistOf(0, 1, 2))
		Expect(placement.Sample(nil, newRandom())).To(BeEmpty())
	})
})
