package table_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/table"
)

func TestTable(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "table")
}

func exampleTable() *table.Table {
	return &table.Table{
		Version: 5,
		Services: []table.Service{
			{ID: 1, Name: "lookup", Address: "198.51.100.1:80", Protocol: table.ProtocolTCP, Owner: "gateway"},
			{ID: 2, Name: "audio, store", Address: "198.51.100.2:80", Protocol: table.ProtocolUDP, Owner: "sawt"},
		},
		Backends: []table.Backend{
			{ID: 10, Service: 1, Name: "lookup-1", Incarnation: 1, Agent: "192.0.2.1:6081", Weight: 5, ConnectionLimit: 2000},
			{ID: 11, Service: 1, Name: "lookup-2", Incarnation: 3, Agent: "192.0.2.2:6081", Weight: 7, Drain: true},
			{ID: 12, Service: 2, Name: "audio-1", Incarnation: 1, Agent: "192.0.2.3:6081", Weight: 1, Removed: true},
		},
	}
}

var _ = Describe("Diff", func() {
	It("returns nothing for tables that differ only in order and version", func() {
		other := exampleTable()
		other.Version = 9
		other.Backends[0], other.Backends[1] = other.Backends[1], other.Backends[0]
		Expect(table.Diff(exampleTable(), other)).To(BeEmpty())
	})

	It("returns each changed cell with both values", func() {
		after := exampleTable()
		after.Services[0].Owner = "other"
		after.Backends[0].Weight = 6
		after.Backends[1].Drain = false
		Expect(table.Diff(exampleTable(), after)).To(Equal([]table.CellDifference{
			{Kind: table.RowChanged, Service: 1, Row: `service "lookup" (1)`, Column: "owner", Before: "gateway", After: "other"},
			{Kind: table.RowChanged, Backend: 10, Row: `back end "lookup-1" (10)`, Column: "weight", Before: "5", After: "6"},
			{Kind: table.RowChanged, Backend: 11, Row: `back end "lookup-2" (11)`, Column: "drain", Before: "true", After: "false"},
		}))
	})

	It("returns every cell of rows that are added, deleted, removed or restored", func() {
		after := exampleTable()
		after.Backends[0].Removed = true
		after.Backends[2].Removed = false
		after.Backends = after.Backends[:3:3]
		after.Backends = append(after.Backends[:1], after.Backends[2])
		kinds := map[table.BackendID]table.DifferenceKind{}
		cells := table.Diff(exampleTable(), after)
		for _, cell := range cells {
			kinds[cell.Backend] = cell.Kind
			Expect(cell.Before == "").To(Equal(cell.Kind == table.RowAdded))
			Expect(cell.After == "").To(Equal(cell.Kind == table.RowDeleted))
		}
		Expect(cells).To(HaveLen(3 * 7))
		Expect(kinds).To(Equal(map[table.BackendID]table.DifferenceKind{
			10: table.RowDeleted, 11: table.RowDeleted, 12: table.RowAdded,
		}))
	})
})
