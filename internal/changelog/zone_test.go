package changelog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

var _ = Describe("State with zones", func() {
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
		row := newBackend(id, 1)
		row.Zone = zone
		return row
	}
	zoneUpdate := func(zone string, closed, force bool) changelog.Change {
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
			AddServices: []table.Service{newService(1)},
			AddBackends: []table.Backend{inZone(1, "north"), inZone(2, "south")},
		}).Accepted).To(BeTrue())
	})

	It("closes a zone with a single history entry, and reopens it", func() {
		Expect(apply(zoneUpdate("north", true, false)).Accepted).To(BeTrue())
		Expect(accepts(1)).To(BeFalse())
		Expect(accepts(2)).To(BeTrue())
		Expect(state.Table().ClosedZones).To(Equal([]table.ClosedZone{{Zone: "north", Since: 2}}))
		history := state.History()
		Expect(history[len(history)-1].Cells).To(Equal([]changelog.CellChange{
			{Row: `zone "north"`, Column: "closed", Old: "false", New: "true"},
		}))
		Expect(apply(zoneUpdate("north", false, false)).Accepted).To(BeTrue())
		Expect(accepts(1)).To(BeTrue())
	})

	It("closes a row added to a closed zone, and reopens it when it moves to an open zone", func() {
		apply(zoneUpdate("north", true, false))
		Expect(apply(changelog.Change{AddBackends: []table.Backend{inZone(3, "north")}}).Accepted).To(BeTrue())
		Expect(accepts(3)).To(BeFalse())
		south := "south"
		apply(changelog.Change{Cells: []changelog.CellUpdate{{Backend: 3, Zone: &south}}})
		Expect(accepts(3)).To(BeTrue())
	})

	It("restores closed zones from a snapshot", func() {
		apply(zoneUpdate("north", true, false))
		encoded, err := state.Encode()
		Expect(err).NotTo(HaveOccurred())
		read, err := changelog.Decode(changelog.DefaultLimits(), encoded)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Table()).To(Equal(state.Table()))
	})

	DescribeTable("refuses a zone update", func(before []changelog.Change, change changelog.Change, rule string) {
		for _, each := range before {
			Expect(apply(each).Accepted).To(BeTrue())
		}
		outcome := apply(change)
		Expect(outcome.Accepted).To(BeFalse())
		Expect(outcome.Refusal.Rule).To(ContainSubstring(rule))
		Expect(outcome.Refusal.Row).To(ContainSubstring("zone"))
	},
		Entry("that closes the last zone of a service", []changelog.Change{zoneUpdate("north", true, false)}, zoneUpdate("south", true, false),
			"without a row that gets new flows"),
		Entry("that closes the last zone of a service, although another service already accepts no new flows", []changelog.Change{{
			AddServices: []table.Service{newService(9)},
			AddBackends: []table.Backend{{ID: 9, Service: 9, Name: "idle", Incarnation: 1, Agent: "192.0.2.9:6081"}},
		}, zoneUpdate("north", true, false)}, zoneUpdate("south", true, false), "without a row that gets new flows"),
		Entry("that closes a closed zone", []changelog.Change{zoneUpdate("north", true, false)}, zoneUpdate("north", true, false), "is closed already"),
		Entry("that opens an open zone", nil, zoneUpdate("north", false, false), "is open already"),
		Entry("that closes a zone without rows", nil, zoneUpdate("west", true, false), "names the zone of no row"),
	)

	It("closes the last zone of a service if forced", func() {
		apply(zoneUpdate("north", true, false))
		Expect(apply(zoneUpdate("south", true, true)).Accepted).To(BeTrue())
		Expect(accepts(2)).To(BeFalse())
	})
})
