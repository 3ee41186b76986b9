package changelog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

var _ = Describe("Follow", func() {
	var state *changelog.State

	follow := func(version table.Version, rows ...table.Backend) error {
		return state.ReplaceTable(changelog.Record{Author: "platform"}, &table.Table{
			Version: version, Services: []table.Service{serviceOf(1)}, Backends: rows,
		})
	}

	BeforeEach(func() {
		state = changelog.NewState(changelog.DefaultLimits())
		Expect(follow(7, rowOf(2, 1), rowOf(1, 1))).To(Succeed())
	})

	It("takes the version of the service, also over a gap, and records the cells that differ", func() {
		changed := rowOf(1, 1)
		changed.Weight = 50
		Expect(follow(12, changed, rowOf(2, 1))).To(Succeed())
		Expect(state.Version()).To(Equal(table.Version(12)))
		Expect(state.RowVersion(1)).To(Equal(table.Version(12)))
		Expect(state.RowVersion(2)).To(Equal(table.Version(7)))
		history := state.History()
		Expect(history).To(HaveLen(2))
		Expect(history[1]).To(And(HaveField("Version", table.Version(12)), HaveField("Author", "platform")))
		Expect(history[1].Cells).To(HaveLen(1))
		Expect(history[1].Cells[0]).To(And(HaveField("Column", "weight"), HaveField("New", "50")))
	})

	It("forgets rows that are gone", func() {
		Expect(follow(8, rowOf(2, 1))).To(Succeed())
		Expect(state.RowVersion(1)).To(BeZero())
		Expect(state.Table().Backends).To(Equal([]table.Backend{rowOf(2, 1)}))
	})

	DescribeTable("keeps its table",
		func(version table.Version, spoil func(*table.Backend), column string) {
			spoiled := rowOf(1, 1)
			spoil(&spoiled)
			Expect(follow(version, spoiled)).To(MatchError(ContainSubstring(column)))
			Expect(state.Version()).To(Equal(table.Version(7)))
			Expect(state.Table().Backends).To(Equal([]table.Backend{rowOf(1, 1), rowOf(2, 1)}))
		},
		Entry("for an older one", table.Version(6), func(*table.Backend) {}, "not newer"),
		Entry("for one of the same version", table.Version(7), func(*table.Backend) {}, "not newer"),
		Entry("for one that is not valid", table.Version(8), func(row *table.Backend) { row.Service = 9 }, "service"),
	)
})
