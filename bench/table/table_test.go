package table

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/table"
)

func TestTable(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "table experiment")
}

func answerOf(weights ...uint32) adminapi.TableAnswer {
	answer := adminapi.TableAnswer{Table: &table.Table{}}
	for index, weight := range weights {
		answer.Table.Backends = append(answer.Table.Backends, table.Backend{ID: table.BackendID(index + 1), Weight: weight})
	}
	return answer
}

var _ = Describe("The verdict", func() {
	It("counts the rows that differ from the last accepted change by version", func() {
		kept := &ledger{accepted: []accepted{
			{row: 1, weight: 5, version: 7}, {row: 1, weight: 4, version: 3}, {row: 2, weight: 9, version: 5},
		}}
		Expect(reverted(kept, answerOf(5, 9, 1))).To(BeZero())
		Expect(reverted(kept, answerOf(4, 9, 1))).To(Equal(1))
		Expect(reverted(kept, answerOf(4, 8, 1))).To(Equal(2))
		kept.undecided = []uint32{1}
		Expect(reverted(kept, answerOf(4, 8, 1))).To(Equal(1), "a row that may have either value")
	})

	It("is broken by each fault, and by a run without changes", func() {
		sound := Result{ChangesAccepted: 1}
		Expect(sound.Kept()).To(BeTrue())
		Expect(Result{}.Kept()).To(BeFalse())
		for _, spoil := range []func(*Result){
			func(r *Result) { r.Lost = 1 }, func(r *Result) { r.Reverted = 1 },
			func(r *Result) { r.Behind = 1 }, func(r *Result) { r.PlatformReverted = 1 },
		} {
			spoilt := sound
			spoil(&spoilt)
			Expect(spoilt.Kept()).To(BeFalse())
		}
	})

	It("measures the delay of daemons that were not disturbed", func() {
		began := time.Unix(1000, 0)
		change := accepted{version: 5, began: began}
		watching := newWatcher(nil)
		watching.reaches = []reach{
			{after: 4, version: 5, at: began.Add(time.Second), upSince: began.Add(-time.Minute)},
			{after: 3, version: 8, at: began.Add(3 * time.Second), upSince: began.Add(-time.Minute)},
			{after: 5, version: 6, at: began.Add(9 * time.Second), upSince: began.Add(-time.Minute)},
			{after: 0, version: 6, at: began.Add(9 * time.Second), upSince: began.Add(time.Second)},
			{after: 0, version: 6, at: began.Add(9 * time.Second)},
		}
		Expect(watching.delays([]accepted{change})).To(Equal([]float64{1, 3}))
	})

	It("measures the longest time without a leader only while that counts", func() {
		watching := newWatcher(nil)
		began := time.Unix(1000, 0)
		watching.noteLeader(nil, began)
		watching.noteLeader(nil, began.Add(time.Minute))
		watching.countGaps(true)
		watching.noteLeader(nil, began.Add(time.Minute+2*time.Second))
		watching.noteLeader(nil, began.Add(time.Minute+3*time.Second))
		watching.countGaps(false)
		watching.noteLeader(nil, began.Add(time.Hour))
		Expect(watching.leaderGap).To(Equal(2 * time.Second))
	})

	It("gives the median and the most", func() {
		middle, most := middleAndMost([]float64{3, 1, 2})
		Expect(middle).To(Equal(2.0))
		Expect(most).To(Equal(3.0))
		middle, most = middleAndMost(nil)
		Expect(middle + most).To(BeZero())
	})
})

var _ = Describe("Options", func() {
	DescribeTable("are refused if they cannot be used",
		func(options Options, expected string) {
			Expect(options.Validate()).To(MatchError(ContainSubstring(expected)))
		},
		Entry("too few daemons", Options{Daemons: 5, Directory: "x"}, "-daemons"),
		Entry("too many daemons", Options{Daemons: 101, Directory: "x"}, "-daemons"),
		Entry("negative duration", Options{Daemons: 6, Duration: -1, Directory: "x"}, "-duration"),
		Entry("no directory", Options{Daemons: 6}, "directory"),
	)
})
