package adminapi_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/table"
)

func exampleTable() *table.Table {
	operations := exampleOperations()
	return &table.Table{Version: 1, Services: operations.AddServices, Backends: operations.AddBackends}
}

var _ = Describe("Plan", func() {
	It("returns no operations for equal tables", func() {
		operations, err := adminapi.Plan(exampleTable(), exampleTable(), adminapi.RemoveMissing)
		Expect(err).NotTo(HaveOccurred())
		Expect(operations.Empty()).To(BeTrue())
	})

	It("closes the zones that are closed in the wanted table, and reopens others only with RemoveMissing", func() {
		zoned := func(closed ...table.ClosedZone) *table.Table {
			created := exampleTable()
			created.Backends[0].Zone = "north"
			created.Backends[1].Zone = "south"
			created.ClosedZones = closed
			created.ApplyClosedZones()
			return created
		}
		north := table.ClosedZone{Zone: "north", Since: 2}
		Expect(adminapi.Plan(zoned(), zoned(north), adminapi.KeepMissing)).To(Equal(adminapi.Operations{
			SetZones: []adminapi.ZoneUpdate{{Zone: "north", Closed: true, Force: true}},
		}))
		Expect(adminapi.Plan(zoned(north), zoned(), adminapi.KeepMissing)).To(Equal(adminapi.Operations{}))
		Expect(adminapi.Plan(zoned(north), zoned(), adminapi.RemoveMissing)).To(Equal(adminapi.Operations{
			SetZones: []adminapi.ZoneUpdate{{Zone: "north"}},
		}))
	})

	It("sets only the cells that differ", func() {
		wanted := exampleTable()
		wanted.Backends[0].Weight = 0
		wanted.Backends[1].Drain = true
		weight, drain := uint32(0), true
		Expect(adminapi.Plan(exampleTable(), wanted, adminapi.KeepMissing)).To(Equal(adminapi.Operations{
			SetCells: []adminapi.CellUpdate{{Backend: 10, Weight: &weight}, {Backend: 11, Drain: &drain}},
		}))
	})

	It("removes missing rows and services only with RemoveMissing", func() {
		wanted := exampleTable()
		wanted.Services = wanted.Services[:1]
		wanted.Backends = wanted.Backends[:2]
		Expect(adminapi.Plan(exampleTable(), wanted, adminapi.KeepMissing)).To(Equal(adminapi.Operations{}))
		Expect(adminapi.Plan(exampleTable(), wanted, adminapi.RemoveMissing)).To(Equal(adminapi.Operations{
			RemoveBackends: []table.BackendID{20}, RemoveServices: []table.ServiceID{2},
		}))
	})

	It("adds a removed row again under a higher incarnation", func() {
		current := exampleTable()
		current.Backends[0].Removed = true
		current.Backends[0].Incarnation = 7
		operations, err := adminapi.Plan(current, exampleTable(), adminapi.KeepMissing)
		Expect(err).NotTo(HaveOccurred())
		Expect(operations.AddBackends).To(HaveLen(1))
		Expect(operations.AddBackends[0].Incarnation).To(Equal(table.Incarnation(8)))
	})

	It("keeps the higher incarnation of a row that was added again", func() {
		current := exampleTable()
		current.Backends[0].Incarnation = 7
		wanted := exampleTable()
		wanted.Backends[0].Weight = 9
		Expect(adminapi.Plan(current, wanted, adminapi.RemoveMissing)).To(Equal(setWeight(10, 9)))
	})

	DescribeTable("fails with the row and column of a cell that no change can modify",
		func(alter func(*table.Table), row, column string) {
			wanted := exampleTable()
			alter(wanted)
			_, err := adminapi.Plan(exampleTable(), wanted, adminapi.KeepMissing)
			Expect(err).To(And(
				BeAssignableToTypeOf(table.CellError{}),
				HaveField("Row", row), HaveField("Column", column), HaveField("Rule", ContainSubstring("cannot be altered"))))
		},
		Entry("address", func(t *table.Table) { t.Services[0].Address = "198.51.100.7:80" }, `service "lookup" (1)`, "address"),
		Entry("agent", func(t *table.Table) { t.Backends[0].Agent = "192.0.2.7:6081" }, `back end "lookup-1" (10)`, "agent"),
		Entry("name", func(t *table.Table) { t.Backends[0].Name = "other" }, `back end "other" (10)`, "name"),
		Entry("incarnation together with a weight", func(t *table.Table) {
			t.Backends[0].Weight = 1
			t.Backends[0].Incarnation = 9
		}, `back end "lookup-1" (10)`, "incarnation"),
	)
})
