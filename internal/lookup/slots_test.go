package lookup_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/table"
)

// rowsOf returns rows of equal weight.
func rowsOf(count int) []table.Backend {
	rows := make([]table.Backend, count)
	for index := range rows {
		rows[index] = table.Backend{ID: table.BackendID(index + 1), Service: 1, Weight: 1}
	}
	return rows
}

var _ = Describe("slots", func() {
	DescribeTable("move only to a row that is added",
		func(before int) {
			smaller := lookup.AssignSlots(1, rowsOf(before), lookup.AllAlive)
			larger := lookup.AssignSlots(1, rowsOf(before+1), lookup.AllAlive)
			Expect(larger).To(HaveLen(len(smaller)))
			for slot := range smaller {
				if larger[slot] != smaller[slot] {
					Expect(larger[slot]).To(Equal(int16(before)), fmt.Sprintf("slot %d", slot))
				}
			}
		},
		Entry("to 2 rows", 2),
		Entry("to 4 rows", 4),
		Entry("to 8 rows", 8),
		Entry("to 16 rows", 16),
		Entry("to 64 rows", 64),
	)

	It("are enough for each row to have several", func() {
		for rows := range 512 {
			Expect(lookup.SlotCount(rows)).To(BeNumerically(">=", 8*rows))
		}
	})
})
