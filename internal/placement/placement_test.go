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

// chosen returns the index of the candidate that is chosen.
func chosen(candidates ...placement.Candidate) int {
	GinkgoHelper()
	index, found := placement.Choose(candidates, newRandom())
	Expect(found).To(BeTrue())
	return index
}

var _ = Describe("Choose", func() {
	idle := placement.Candidate{Slots: 4, Slowness: 1}

	It("finds nothing among no candidates", func() {
		_, found := placement.Choose(nil, newRandom())
		Expect(found).To(BeFalse())
	})

	It("prefers the endpoint with the fewer requests for its slots", func() {
		busy, large := idle, idle
		busy.Outstanding = 1
		large.Outstanding, large.Slots = 1, 12
		Expect(chosen(busy, idle)).To(Equal(1))
		Expect(chosen(idle, large)).To(Equal(1))
	})

	It("prefers the faster, the warm and the near endpoint among equals", func() {
		slow, warming, near := idle, idle, idle
		slow.Slowness = 2
		warming.Warming = true
		near.Local = true
		Expect(chosen(slow, idle)).To(Equal(1))
		Expect(chosen(warming, idle)).To(Equal(1))
		Expect(chosen(idle, near)).To(Equal(1))
	})

	It("takes each of several equals in its turn", func() {
		random := newRandom()
		counts := make([]int, 4)
		for range 400 {
			index, _ := placement.Choose([]placement.Candidate{idle, idle, idle, idle}, random)
			counts[index]++
		}
		Expect(counts).To(HaveEach(BeNumerically(">", 60)))
	})
})
