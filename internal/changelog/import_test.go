package changelog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

var _ = Describe("Import of a platform revision", func() {
	var state *changelog.State

	apply := func(change changelog.Change) changelog.Outcome {
		change.BaseVersion = state.Version()
		return state.Apply(&change)
	}

	// importRevision imports a platform revision with the given rows of service 1.
	importRevision := func(number changelog.Revision, rows ...table.Backend) changelog.Outcome {
		return apply(changelog.Change{
			ID: changelog.ChangeID("revision-" + string(rune('a'+number))),
			Import: &changelog.Import{
				Revision: number, Services: []table.Service{newService(1)}, Backends: rows,
			},
		})
	}

	row := func(id table.BackendID) table.Backend {
		found, _ := state.Table().Backend(id)
		return found
	}

	BeforeEach(func() {
		state = changelog.NewState(changelog.DefaultLimits())
		Expect(importRevision(5, newBackend(1, 1), newBackend(2, 1)).Accepted).To(BeTrue())
		Expect(apply(changelog.Change{ID: "operator", Cells: weightUpdate(1, 99)}).Accepted).To(BeTrue())
	})

	It("keeps a cell set by an operator if the platform did not change it", func() {
		changed := newBackend(1, 1)
		changed.ConnectionLimit = 7
		Expect(importRevision(6, changed, newBackend(2, 1)).Accepted).To(BeTrue())
		Expect(row(1)).To(And(HaveField("Weight", uint32(99)), HaveField("ConnectionLimit", uint32(7))))
	})

	It("closes and reopens the zones that the platform closes and reopens, and keeps zones closed by operators", func() {
		placed := []table.Backend{newBackend(1, 1), newBackend(2, 1), newBackend(3, 1)}
		for index, zone := range []string{"north", "south", "west"} {
			placed[index].Zone = zone
		}
		Expect(importRevision(6, placed...).Accepted).To(BeTrue())
		operator := []changelog.ZoneUpdate{{Zone: "south", Closed: true}}
		Expect(apply(changelog.Change{ID: "zone", Zones: operator}).Accepted).To(BeTrue())
		importZones := func(number changelog.Revision, zones ...table.ClosedZone) changelog.Outcome {
			marked := table.Table{Backends: append([]table.Backend{}, placed...), ClosedZones: zones}
			marked.ApplyClosedZones()
			return apply(changelog.Change{ID: changelog.ChangeID("zones-" + string(rune('a'+number))), Import: &changelog.Import{
				Revision: number, Services: []table.Service{newService(1)}, Backends: marked.Backends, ClosedZones: zones,
			}})
		}
		Expect(importZones(7, table.ClosedZone{Zone: "north", Since: 1}).Accepted).To(BeTrue())
		Expect([]bool{row(1).Closed, row(2).Closed, row(3).Closed}).To(Equal([]bool{true, true, false}))
		Expect(importZones(8).Accepted).To(BeTrue())
		Expect([]bool{row(1).Closed, row(2).Closed, row(3).Closed}).To(Equal([]bool{false, true, false}))
	})

	It("overwrites a cell set by an operator if the platform changed it", func() {
		changed := newBackend(1, 1)
		changed.Weight = 50
		Expect(importRevision(6, changed, newBackend(2, 1)).Accepted).To(BeTrue())
		Expect(row(1).Weight).To(Equal(uint32(50)))
	})

	DescribeTable("does not import an older or equal revision",
		func(number int) {
			changed := newBackend(1, 1)
			changed.Weight = 50
			outcome := importRevision(changelog.Revision(number), changed)
			if number == 5 {
				Expect(state.ImportedRevision()).To(Equal(changelog.Revision(5)))
			} else {
				Expect(outcome.Refusal).To(HaveField("Column", "revision"))
			}
			Expect(row(1).Weight).To(Equal(uint32(99)))
		},
		Entry("equal", 5), Entry("older", 4), Entry("none", 0),
	)

	It("refuses an equal revision under another identifier", func() {
		outcome := apply(changelog.Change{ID: "again", Import: &changelog.Import{Revision: 5}})
		Expect(outcome.Refusal).To(HaveField("Column", "revision"))
	})

	It("removes a row that the platform no longer has, and adds it again under a higher incarnation", func() {
		Expect(importRevision(6, newBackend(1, 1)).Accepted).To(BeTrue())
		Expect(row(2).Removed).To(BeTrue())
		again := newBackend(2, 1)
		again.Incarnation = 2
		Expect(importRevision(7, newBackend(1, 1), again).Accepted).To(BeTrue())
		Expect(row(2)).To(Equal(again))
	})

	It("keeps a row removed by an operator if its incarnation in the platform is unchanged", func() {
		Expect(apply(changelog.Change{ID: "remove", RemoveBackends: []table.BackendID{2}}).Accepted).To(BeTrue())
		changed := newBackend(2, 1)
		changed.Weight = 50
		Expect(importRevision(6, newBackend(1, 1), changed).Accepted).To(BeTrue())
		Expect(row(2).Removed).To(BeTrue())
	})

	It("adds and removes services together with their rows", func() {
		outcome := apply(changelog.Change{ID: "services", Import: &changelog.Import{
			Revision: 6, Services: []table.Service{newService(2)}, Backends: []table.Backend{newBackend(3, 2)},
		}})
		Expect(outcome.Accepted).To(BeTrue())
		Expect(state.Table().Services).To(Equal([]table.Service{newService(2)}))
		Expect(row(1).Removed).To(BeTrue())
		Expect(row(3)).To(Equal(newBackend(3, 2)))
	})

	It("applies no part of a revision that violates a rule", func() {
		invalid := newBackend(3, 1)
		invalid.Weight = table.MaxWeight + 1
		outcome := importRevision(6, newBackend(1, 1), newBackend(2, 1), invalid)
		Expect(outcome.Refusal).To(HaveField("Column", "weight"))
		Expect(state.ImportedRevision()).To(Equal(changelog.Revision(5)))
	})
})
