package changelog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

var _ = Describe("State.ReplaceTable", func() {
	var state *changelog.State

	replaceTable := func(version table.Version, rows ...table.Backend) error {
		return state.ReplaceTable(changelog.Record{Author: "platform"}, &table.Table{
			Version: version, Services: []table.Service{newService(1)}, Backends: rows,
		})
	}

	BeforeEach(func() {
		state = changelog.NewState(changelog.DefaultLimits())
		Expect(replaceTable(7, newBackend(2, 1), newBackend(1, 1))).To(Succeed())
	})

	It("adopts the version of the new table, even after a gap, and records the changed cells", func() {
		changed := newBackend(1, 1)
		changed.Weight = 50
		Expect(replaceTable(12, changed, newBackend(2, 1))).To(Succeed())
		Expect(state.Version()).To(Equal(table.Version(12)))
		Expect(state.RowVersion(1)).To(Equal(table.Version(12)))
		Expect(state.RowVersion(2)).To(Equal(table.Version(7)))
		history := state.History()
		Expect(history).To(HaveLen(2))
		Expect(history[1]).To(And(HaveField("Version", table.Version(12)), HaveField("Author", "platform")))
		Expect(history[1].Cells).To(HaveLen(1))
		Expect(history[1].Cells[0]).To(And(HaveField("Column", "weight"), HaveField("New", "50")))
	})

	It("removes the row versions of rows that are not in the new table", func() {
		Expect(replaceTable(8, newBackend(2, 1))).To(Succeed())
		Expect(state.RowVersion(1)).To(BeZero())
		Expect(state.Table().Backends).To(Equal([]table.Backend{newBackend(2, 1)}))
	})

	DescribeTable("keeps the current table and rejects a new one",
		func(version table.Version, makeInvalid func(*table.Backend), message string) {
			invalid := newBackend(1, 1)
			makeInvalid(&invalid)
			Expect(replaceTable(version, invalid)).To(MatchError(ContainSubstring(message)))
			Expect(state.Version()).To(Equal(table.Version(7)))
			Expect(state.Table().Backends).To(Equal([]table.Backend{newBackend(1, 1), newBackend(2, 1)}))
		},
		Entry("with an older version", table.Version(6), func(*table.Backend) {}, "not newer"),
		Entry("with the same version", table.Version(7), func(*table.Backend) {}, "not newer"),
		Entry("with a row of an unknown service", table.Version(8), func(row *table.Backend) { row.Service = 9 }, "service"),
	)
})
