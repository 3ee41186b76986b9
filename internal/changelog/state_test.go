package changelog_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

func newService(id table.ServiceID) table.Service {
	return table.Service{
		ID: id, Name: fmt.Sprintf("service-%d", id), Protocol: table.ProtocolTCP,
		Address: table.Endpoint(fmt.Sprintf("198.51.100.1:%d", 1000+id)),
	}
}

func newBackend(id table.BackendID, service table.ServiceID) table.Backend {
	return table.Backend{
		ID: id, Service: service, Name: fmt.Sprintf("row-%d", id), Incarnation: 1,
		Agent: "192.0.2.1:6081", Weight: 10, ConnectionLimit: 100,
	}
}

func pointer[T any](value T) *T { return &value }

func weightUpdate(id table.BackendID, weight uint32) []changelog.CellUpdate {
	return []changelog.CellUpdate{{Backend: id, Weight: &weight}}
}

var _ = Describe("State", func() {
	var (
		state *changelog.State
		count int
	)

	// apply sets the current base version, and an identifier if there is none, and
	// applies the change.
	apply := func(change changelog.Change) changelog.Outcome {
		count++
		if change.ID == "" {
			change.ID = changelog.ChangeID(fmt.Sprintf("change-%d", count))
		}
		change.BaseVersion = state.Version()
		change.Author, change.Reason = "operator", "test"
		return state.Apply(&change)
	}

	row := func(id table.BackendID) table.Backend {
		found, _ := state.Table().Backend(id)
		return found
	}

	BeforeEach(func() {
		state = changelog.NewState(changelog.DefaultLimits())
		Expect(apply(changelog.Change{
			AddServices: []table.Service{newService(1)},
			AddBackends: []table.Backend{newBackend(1, 1), newBackend(2, 1)},
		}).Accepted).To(BeTrue())
	})

	It("increments the table version only for accepted changes", func() {
		Expect(state.Version()).To(Equal(table.Version(1)))
		Expect(apply(changelog.Change{Cells: weightUpdate(1, 20)}).Version).To(Equal(table.Version(2)))
		Expect(apply(changelog.Change{Cells: weightUpdate(9, 20)}).Accepted).To(BeFalse())
		Expect(state.Version()).To(Equal(table.Version(2)))
	})

	It("sets only the given cells", func() {
		apply(changelog.Change{Cells: []changelog.CellUpdate{{Backend: 1, ConnectionLimit: pointer(uint32(7)), Drain: pointer(true)}}})
		Expect(row(1)).To(And(HaveField("Weight", uint32(10)), HaveField("ConnectionLimit", uint32(7)), HaveField("Drain", true)))
		Expect(row(2)).To(Equal(newBackend(2, 1)))
	})

	DescribeTable("refuses a change that violates a rule, names row and column, and applies no part of it",
		func(change changelog.Change, row, column string) {
			apply(changelog.Change{RemoveBackends: []table.BackendID{2}})
			before, err := state.Table().Encode()
			Expect(err).NotTo(HaveOccurred())
			change.Cells = append(weightUpdate(1, 77), change.Cells...)
			outcome := apply(change)
			Expect(outcome.Accepted).To(BeFalse())
			Expect(outcome.Refusal.CellError()).To(And(
				HaveField("Row", ContainSubstring(row)), HaveField("Column", column), HaveField("Rule", Not(BeEmpty()))))
			Expect(state.Table().Encode()).To(Equal(before))
		},
		Entry("weight too large", changelog.Change{Cells: weightUpdate(1, table.MaxWeight+1)}, "row-1", "weight"),
		Entry("unknown row", changelog.Change{Cells: weightUpdate(9, 1)}, "(9)", "id"),
		Entry("removed row", changelog.Change{Cells: weightUpdate(2, 1)}, "(2)", "id"),
		Entry("row of an unknown service", changelog.Change{AddBackends: []table.Backend{newBackend(3, 8)}}, "row-3", "service"),
		Entry("row with an identifier in use", changelog.Change{AddBackends: []table.Backend{newBackend(1, 1)}}, "row-1", "id"),
		Entry("removed row under its old incarnation", changelog.Change{AddBackends: []table.Backend{newBackend(2, 1)}}, "row-2", "incarnation"),
		Entry("removed row under another service", changelog.Change{AddBackends: []table.Backend{newBackend(2, 5)}}, "row-2", "service"),
		Entry("service with rows", changelog.Change{RemoveServices: []table.ServiceID{1}}, "row-1", "service"),
		Entry("unknown service", changelog.Change{RemoveServices: []table.ServiceID{5}}, "(5)", "id"),
		Entry("unexpected table version", changelog.Change{ExpectedVersion: 1}, "table", "version"),
		Entry("unexpected row version", changelog.Change{ExpectedRows: []changelog.RowPrecondition{{Backend: 2, Version: 1}}}, "row-2", "version"),
	)

	It("refuses to reuse the identifier of a removed service", func() {
		Expect(apply(changelog.Change{
			RemoveBackends: []table.BackendID{1, 2}, RemoveServices: []table.ServiceID{1},
		}).Accepted).To(BeTrue())
		outcome := apply(changelog.Change{AddServices: []table.Service{newService(1)}})
		Expect(outcome.Refusal).To(HaveField("Column", "id"))
	})

	It("adds a removed row again under a higher incarnation", func() {
		apply(changelog.Change{RemoveBackends: []table.BackendID{2}})
		again := newBackend(2, 1)
		again.Incarnation = 2
		Expect(apply(changelog.Change{AddBackends: []table.Backend{again}}).Accepted).To(BeTrue())
		Expect(row(2)).To(Equal(again))
	})

	It("checks a row precondition against the version of that row only", func() {
		seen := state.RowVersion(1)
		apply(changelog.Change{Cells: weightUpdate(2, 20)})
		expected := []changelog.RowPrecondition{{Backend: 1, Version: seen}}
		Expect(apply(changelog.Change{ExpectedRows: expected, Cells: weightUpdate(1, 30)}).Accepted).To(BeTrue())
		Expect(apply(changelog.Change{ExpectedRows: expected, Cells: weightUpdate(1, 40)}).Accepted).To(BeFalse())
		Expect(row(1).Weight).To(Equal(uint32(30)))
	})

	It("applies a retried change once and returns the same outcome", func() {
		first := apply(changelog.Change{ID: "repeated", Cells: weightUpdate(1, 20)})
		apply(changelog.Change{Cells: weightUpdate(1, 30)})
		Expect(apply(changelog.Change{ID: "repeated", Cells: weightUpdate(1, 20)})).To(Equal(first))
		Expect(row(1).Weight).To(Equal(uint32(30)))
	})

	It("refuses a retry whose outcome was dropped", func() {
		state = changelog.NewState(changelog.Limits{Outcomes: 3, History: 3})
		apply(changelog.Change{AddServices: []table.Service{newService(1)}, AddBackends: []table.Backend{newBackend(1, 1)}})
		repeated := changelog.Change{ID: "repeated", BaseVersion: state.Version(), Cells: weightUpdate(1, 20)}
		Expect(state.Apply(&repeated).Accepted).To(BeTrue())
		for weight := range uint32(5) {
			apply(changelog.Change{Cells: weightUpdate(1, 30+weight)})
		}
		_, known := state.Outcome("repeated")
		Expect(known).To(BeFalse())
		Expect(state.Apply(&repeated).Refusal).To(HaveField("Column", "version"))
		Expect(row(1).Weight).To(Equal(uint32(34)))
		Expect(state.History()).To(HaveLen(3))
	})

	It("records author, time, reason and cells of an accepted change", func() {
		apply(changelog.Change{ID: "noted", Timestamp: 5, Cells: weightUpdate(1, 20)})
		history := state.History()
		Expect(history[len(history)-1]).To(Equal(changelog.Record{
			Version: 2, ID: "noted", Author: "operator", Timestamp: 5, Reason: "test",
			Cells: []changelog.CellChange{{Row: `back end "row-1" (1)`, Column: "weight", Old: "10", New: "20"}},
		}))
	})

	It("does not modify a table that it has returned", func() {
		published := state.Table()
		before := published.Clone()
		apply(changelog.Change{Cells: weightUpdate(1, 20), RemoveBackends: []table.BackendID{2}})
		Expect(published).To(Equal(before))
	})
})
