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

// best returns the index of the candidate that is chosen.
func best(candidates ...placement.Candidate) int {
	GinkgoHelper()
	index, found := placement.Best(candidates)
	Expect(found).To(BeTrue())
	return index
}

var _ = Describe("Best", func() {
	idle := placement.Candidate{Slots: 4, Slowness: 1, Local: true}
	// used is a candidate some of whose slots are taken.
	used := func(slots float64) placement.Candidate {
		candidate := idle
		candidate.SlotsUsedByOthers = slots
		return candidate
	}

	It("finds nothing among no candidates", func() {
		_, found := placement.Best(nil)
		Expect(found).To(BeFalse())
	})

	It("prefers the endpoint with the fewer requests for its slots, whoever has placed them", func() {
		own, kept, large := idle, idle, used(3)
		own.Outstanding, kept.IdleFlowSlots, large.Slots = 3, 3, 12
		for _, busy := range []placement.Candidate{own, kept, used(3)} {
			Expect(best(busy, idle)).To(Equal(1))
			Expect(best(busy, large)).To(Equal(1))
		}
	})

	It("prefers the faster, the warm and the near endpoint among equals", func() {
		slow, warming, far := idle, idle, idle
		slow.Slowness = 2
		warming.Warming = true
		far.Local = false
		for _, other := range []placement.Candidate{slow, warming, far} {
			Expect(best(other, idle)).To(Equal(1))
		}
	})

	It("takes a slow endpoint with room rather than a fast one at which a request waits for longer", func() {
		slow := idle
		slow.Slowness = 2
		Expect(best(slow, used(3.5))).To(Equal(1), "a slot is free soon")
		Expect(best(used(5), slow)).To(Equal(1))
	})

	It("leaves the own zone once its endpoints have no room", func() {
		far := idle
		far.Local = false
		Expect(best(far, used(3.5))).To(Equal(1))
		Expect(best(used(4.5), far)).To(Equal(1))
	})
})

var _ = Describe("Draw", func() {
	It("draws each candidate of a zone as often, and no candidate twice", func() {
		random := newRandom()
		local := make([]bool, 30)
		for index := range 10 {
			local[index] = true
		}
		counts := make([]int, len(local))
		for range 6000 {
			drawn := placement.Sample(local, random)
			Expect(drawn).To(HaveLen(5))
			for _, index := range drawn {
				counts[index]++
			}
		}
		Expect(counts[:10]).To(HaveEach(BeNumerically("~", 2400, 150)))
		Expect(counts[10:]).To(HaveEach(BeNumerically("~", 300, 60)))
	})

	It("draws from other zones what the own has not", func() {
		Expect(placement.Sample([]bool{false, true, false, false, false, false, false}, newRandom())).To(And(HaveLen(5), ContainElement(1)))
		Expect(placement.Sample([]bool{false, false, true}, newRandom())).To(ConsistOf(0, 1, 2))
		Expect(placement.Sample(nil, newRandom())).To(BeEmpty())
	})
})
