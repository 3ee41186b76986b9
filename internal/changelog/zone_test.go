package changelog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

var _ = Describe("State, with zones", func() {
	var state *changelog.State
	number := 0

	apply := func(change changelog.Change) changelog.Outcome {
		number++
		if change.ID == "" {
			change.ID = changelog.ChangeID(rune('A' + number))
		}
		change.BaseVersion = state.Version()
		return state.Apply(&change)
	}
	inZone := func(id table.BackendID, zone string) table.Backend {
		row := rowOf(id, 1)
		row.Zone = zone
		return row
	}
	closing := func(zone string, closed, force bool) changelog.Change {
		return changelog.Change{Zones: []changelog.ZoneUpdate{{Zone: zone, Closed: closed, Force: force}}}
	}
	accepts := func(id table.BackendID) bool {
		row, exists := state.Table().Backend(id)
		Expect(exists).To(BeTrue())
		return row.AcceptsNewFlows()
	}

	BeforeEach(func() {
		number = 0
		state = changelog.NewState(changelog.DefaultLimits())
		Expect(apply(changelog.Change{
			AddServices: []table.Service{serviceOf(1)},
			AddBackends: []table.Backend{inZone(1, "north"), inZone(2, "south")},
		}).Accepted).To(BeTrue())
	})

	It("closes a zone, tells so once in the history, and opens it again", func() {
		Expect(apply(closing("north", true, false)).Accepted).To(BeTrue())
		Expect(accepts(1)).To(BeFalse())
		Expect(accepts(2)).To(BeTrue())
		Expect(state.Table().ClosedZones).To(Equal([]table.ClosedZone{{Zone: "north", Since: 2}}))
		history := state.History()
		Expect(history[len(history)-1].Cells).To(Equal([]changelog.CellChange{
			{Row: `zone "north"`, Column: "closed", Old: "false", New: "true"},
		}))
		Expect(apply(closing("north", false, false)).Accepted).To(BeTrue())
		Expect(accepts(1)).To(BeTrue())
	})

	It("closes rows that are added to a closed zone, or moved there", func() {
		apply(closing("north", true, false))
		Expect(apply(changelog.Change{AddBackends: []table.Backend{inZone(3, "north")}}).Accepted).To(BeTrue())
		Expect(accepts(3)).To(BeFalse())
		south := "south"
		apply(changelog.Change{Cells: []changelog.CellUpdate{{Backend: 3, Zone: &south}}})
		Expect(accepts(3)).To(BeTrue())
	})

	It("survives a snapshot", func() {
		apply(closing("north", true, false))
		encoded, err := state.Encode()
		Expect(err).NotTo(HaveOccurred())
		read, err := changelog.Decode(changelog.DefaultLimits(), encoded)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Table()).To(Equal(state.Table()))
	})

	DescribeTable("refuses", func(before []changelog.Change, change changelog.Change, rule string) {
		for _, each := range before {
			Expect(apply(each).Accepted).To(BeTrue())
		}
		outcome := apply(change)
		Expect(outcome.Accepted).To(BeFalse())
		Expect(outcome.Refusal.Rule).To(ContainSubstring(rule))
		Expect(outcome.Refusal.Row).To(ContainSubstring("zone"))
	},
		Entry("the last zone of a service", []changelog.Change{closing("north", true, false)}, closing("south", true, false),
			"without a row that gets new flows"),
		Entry("the last zone, beside a service that has no such row anyway", []changelog.Change{{
			AddServices: []table.Service{serviceOf(9)},
			AddBackends: []table.Backend{{ID: 9, Service: 9, Name: "idle", Incarnation: 1, Agent: "192.0.2.9:6081"}},
		}, closing("north", true, false)}, closing("south", true, false), "without a row that gets new flows"),
		Entry("a zone that is closed", []changelog.Change{closing("north", true, false)}, closing("north", true, false), "is closed already"),
		Entry("to open one that is open", nil, closing("north", false, false), "is open already"),
		Entry("a zone without rows", nil, closing("west", true, false), "names the zone of no row"),
	)

	It("closes the last zone of a service if it is forced to", func() {
		apply(closing("north", true, false))
		Expect(apply(closing("south", true, true)).Accepted).To(BeTrue())
		Expect(accepts(2)).To(BeFalse())
	})
})
