package changelog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

var _ = Describe("Import", func() {
	var state *changelog.State

	apply := func(change changelog.Change) changelog.Outcome {
		change.BaseVersion = state.Version()
		return state.Apply(&change)
	}

	// revision imports rows of service 1 as a revision of the platform.
	revision := func(number changelog.Revision, rows ...table.Backend) changelog.Outcome {
		return apply(changelog.Change{
			ID: changelog.ChangeID("revision-" + string(rune('a'+number))),
			Import: &changelog.Import{
				Revision: number, Services: []table.Service{serviceOf(1)}, Backends: rows,
			},
		})
	}

	row := func(id table.BackendID) table.Backend {
		found, _ := state.Table().Backend(id)
		return found
	}

	BeforeEach(func() {
		state = changelog.NewState(changelog.DefaultLimits())
		Expect(revision(5, rowOf(1, 1), rowOf(2, 1)).Accepted).To(BeTrue())
		Expect(apply(changelog.Change{ID: "operator", Cells: weightOf(1, 99)}).Accepted).To(BeTrue())
	})

	It("keeps an operator's cell that the platform left alone", func() {
		changed := rowOf(1, 1)
		changed.ConnectionLimit = 7
		Expect(revision(6, changed, rowOf(2, 1)).Accepted).To(BeTrue())
		Expect(row(1)).To(And(HaveField("Weight", uint32(99)), HaveField("ConnectionLimit", uint32(7))))
	})

	It("closes the zones that the platform closes, and leaves those that operators have closed", func() {
		placed := []table.Backend{rowOf(1, 1), rowOf(2, 1), rowOf(3, 1)}
		for index, zone := range []string{"north", "south", "west"} {
			placed[index].Zone = zone
		}
		Expect(revision(6, placed...).Accepted).To(BeTrue())
		operator := []changelog.ZoneUpdate{{Zone: "south", Closed: true}}
		Expect(apply(changelog.Change{ID: "zone", Zones: operator}).Accepted).To(BeTrue())
		closing := func(number changelog.Revision, zones ...table.ClosedZone) changelog.Outcome {
			marked := table.Table{Backends: append([]table.Backend{}, placed...), ClosedZones: zones}
			marked.ApplyClosedZones()
			return apply(changelog.Change{ID: changelog.ChangeID("zones-" + string(rune('a'+number))), Import: &changelog.Import{
				Revision: number, Services: []table.Service{serviceOf(1)}, Backends: marked.Backends, ClosedZones: zones,
			}})
		}
		Expect(closing(7, table.ClosedZone{Zone: "north", Since: 1}).Accepted).To(BeTrue())
		Expect([]bool{row(1).Closed, row(2).Closed, row(3).Closed}).To(Equal([]bool{true, true, false}))
		Expect(closing(8).Accepted).To(BeTrue())
		Expect([]bool{row(1).Closed, row(2).Closed, row(3).Closed}).To(Equal([]bool{false, true, false}))
	})

	It("takes a cell that the platform altered", func() {
		changed := rowOf(1, 1)
		changed.Weight = 50
		Expect(revision(6, changed, rowOf(2, 1)).Accepted).To(BeTrue())
		Expect(row(1).Weight).To(Equal(uint32(50)))
	})

	DescribeTable("never imports an older or equal revision",
		func(number int) {
			changed := rowOf(1, 1)
			changed.Weight = 50
			outcome := revision(changelog.Revision(number), changed)
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

	It("removes a row that the platform no longer has, and takes it again", func() {
		Expect(revision(6, rowOf(1, 1)).Accepted).To(BeTrue())
		Expect(row(2).Removed).To(BeTrue())
		again := rowOf(2, 1)
		again.Incarnation = 2
		Expect(revision(7, rowOf(1, 1), again).Accepted).To(BeTrue())
		Expect(row(2)).To(Equal(again))
	})

	It("leaves a row removed that an operator has removed", func() {
		Expect(apply(changelog.Change{ID: "remove", RemoveBackends: []table.BackendID{2}}).Accepted).To(BeTrue())
		changed := rowOf(2, 1)
		changed.Weight = 50
		Expect(revision(6, rowOf(1, 1), changed).Accepted).To(BeTrue())
		Expect(row(2).Removed).To(BeTrue())
	})

	It("adds and removes services with their rows", func() {
		outcome := apply(changelog.Change{ID: "services", Import: &changelog.Import{
			Revision: 6, Services: []table.Service{serviceOf(2)}, Backends: []table.Backend{rowOf(3, 2)},
		}})
		Expect(outcome.Accepted).To(BeTrue())
		Expect(state.Table().Services).To(Equal([]table.Service{serviceOf(2)}))
		Expect(row(1).Removed).To(BeTrue())
		Expect(row(3)).To(Equal(rowOf(3, 2)))
	})

	It("takes nothing of a revision that breaks a rule", func() {
		broken := rowOf(3, 1)
		broken.Weight = table.MaxWeight + 1
		outcome := revision(6, rowOf(1, 1), rowOf(2, 1), broken)
		Expect(outcome.Refusal).To(HaveField("Column", "weight"))
		Expect(state.ImportedRevision()).To(Equal(changelog.Revision(5)))
	})
})
