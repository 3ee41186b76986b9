package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/membership"
)

var _ = Describe("founding", func() {
	seeds := []membership.Address{10, 11, 12}
	const late = time.Hour

	// dueAfter lets a process settle and then asks.
	dueAfter := func(f *founding) bool {
		Expect(f.due(0, false)).To(BeFalse(), "before it has settled")
		return f.due(late, false)
	}

	It("is due once, for the first seed, after most seeds have said that there is no log", func() {
		first := newFounding(10, seeds)
		Expect(dueAfter(first)).To(BeFalse(), "without another seed")
		first.hear(11, false)
		Expect(first.due(late, false)).To(BeTrue())
		Expect(first.due(late, false)).To(BeFalse(), "a second time")
	})

	It("counts only seeds, each once", func() {
		first := newFounding(10, []membership.Address{10, 11, 12, 13, 14})
		first.hear(11, false)
		first.hear(11, false)
		first.hear(99, false)
		Expect(dueAfter(first)).To(BeFalse())
		first.hear(14, false)
		Expect(first.due(late, false)).To(BeTrue())
	})

	It("is never due once any daemon knows of a log", func() {
		first := newFounding(10, seeds)
		first.hear(11, false)
		first.hear(12, false)
		first.hear(99, true)
		Expect(dueAfter(first)).To(BeFalse())
	})

	It("is not due while the process catches up, and settles anew afterwards", func() {
		first := newFounding(10, seeds)
		first.hear(11, false)
		Expect(first.due(0, false)).To(BeFalse())
		Expect(first.due(late, true)).To(BeFalse())
		Expect(first.due(late, false)).To(BeFalse())
		Expect(first.due(late+settleTime-1, false)).To(BeFalse())
		Expect(first.due(late+settleTime, false)).To(BeTrue())
	})

	It("is never due for other daemons", func() {
		second := newFounding(11, seeds)
		second.hear(10, false)
		second.hear(12, false)
		Expect(dueAfter(second)).To(BeFalse())
		outside := newFounding(99, seeds)
		outside.hear(10, false)
		outside.hear(11, false)
		Expect(dueAfter(outside)).To(BeFalse())
	})
})

var _ = Describe("zones", func() {
	It("numbers zones and regions in the order of the settings", func() {
		numbered, err := newZones([]string{"casablanca-1", "kolkata-1", "casablanca-2", "lone"})
		Expect(err).NotTo(HaveOccurred())
		zone, region, listed := numbered.number("casablanca-2")
		Expect(listed).To(BeTrue())
		Expect(zone).To(Equal(membership.Zone(2)))
		Expect(region).To(Equal(membership.Region(0)))
		_, region, _ = numbered.number("lone")
		Expect(region).To(Equal(membership.Region(2)))
		Expect(numbered.name(1)).To(Equal("kolkata-1"))
		Expect(numbered.name(4)).To(BeEmpty())
		_, _, listed = numbered.number("kolkata-2")
		Expect(listed).To(BeFalse())
	})
})

var _ = Describe("identities", func() {
	It("lead back to the address", func() {
		member := membership.Identity{Address: 0xc0000201_1bbc, Incarnation: 77}
		process := processOf(member)
		Expect(process.Machine).To(Equal(uint32(0xc0000201)))
		Expect(process.Start).To(Equal(uint64(77)))
		Expect(addressOf(process, portOf(member.Address))).To(Equal(member.Address))
	})
})
