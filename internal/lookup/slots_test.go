package lookup_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/table"
)

// equalRows returns rows of service 1 with equal weights and the IDs from 1 to count.
func equalRows(count int) []table.Backend {
	rows := make([]table.Backend, count)
	for index := range rows {
		rows[index] = table.Backend{ID: table.BackendID(index + 1), Service: 1, Weight: 1}
	}
	return rows
}

var _ = Describe("Slots", func() {
	DescribeTable("are reassigned only to the new row when a row is added",
		func(before int) {
			smaller := lookup.AssignSlots(1, equalRows(before), lookup.AllAlive)
			larger := lookup.AssignSlots(1, equalRows(before+1), lookup.AllAlive)
			Expect(larger).To(HaveLen(len(smaller)))
			for slot := range smaller {
				if larger[slot] != smaller[slot] {
					Expect(larger[slot]).To(Equal(int16(before)), fmt.Sprintf("slot %d", slot))
				}
			}
		},
		Entry("to 2 existing rows", 2),
		Entry("to 4 existing rows", 4),
		Entry("to 8 existing rows", 8),
		Entry("to 16 existing rows", 16),
		Entry("to 64 existing rows", 64),
	)

	It("number at least eight per row for up to 511 rows", func() {
		// Above 512 rows, the maximum of 4096 slots leaves fewer than eight per row.
		for rows := range 512 {
			Expect(lookup.SlotCount(rows)).To(BeNumerically(">=", 8*rows))
		}
	})
})
