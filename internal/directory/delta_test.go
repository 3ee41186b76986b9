package directory_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/vanetiller/vanetiller/internal/directory"
)

var _ = Describe("StateAfter", func() {
	It("leaves out what the other knows, but not what has gone", func() {
		informed := directory.NewReplica()
		informed.ApplyChanges(0, []directory.Item{
			configurationItem(4, 2), endpointItem("old", 3, endpoint("s", false)),
			endpointItem("left", 4, endpoint("s", false)), endpointItem("new", 8, endpoint("s", false)),
		}, 8)
		informed.ApplyChanges(0, []directory.Item{endpointItem("left", 5, nil)}, 9)
		state := informed.StateAfter(0, directory.Digest{ConfigurationVersion: 4, Revision: 7})
		Expect(state.Configuration).To(BeNil())
		Expect(state.Through).To(Equal(directory.Revision(9)))
		var told []directory.EndpointID
		for _, each := range state.Endpoints {
			told = append(told, each.ID)
		}
		Expect(told).To(ConsistOf(directory.NameOnlyID("left"), directory.NameOnlyID("new")))
	})

	It("does not make a process ready that has no configuration", func() {
		informed := directory.NewReplica()
		informed.ApplyChanges(0, []directory.Item{configurationItem(4, 2)}, 8)
		starting := directory.NewReplica()
		starting.ApplyState(0, informed.StateAfter(0, directory.Digest{ConfigurationVersion: 4, Revision: 7}))
		Expect(starting.Ready()).To(BeFalse())
		Expect(starting.Digest()).To(Equal(directory.Digest{}))
	})
})

// history is what happened in a store, revision by revision.
func history(t *rapid.T) []directory.Item {
	ids := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	var items []directory.Item
	version := uint64(0)
	for number := range rapid.IntRange(1, 20).Draw(t, "length") {
		revision := directory.Revision(number + 1)
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			version++
			items = append(items, configurationItem(version, revision))
		case 1:
			items = append(items, endpointItem(ids.Draw(t, "id"), revision, nil))
		default:
			items = append(items, endpointItem(ids.Draw(t, "id"), revision, endpoint("s", rapid.Bool().Draw(t, "draining"))))
		}
	}
	return items
}

// TestDifference checks that adopting what a digest does not show leads to the same
// directory as adopting everything, whatever each has heard of the store.
func TestDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		happened := history(t)
		follow := func(name string) *directory.Replica {
			machine := directory.NewReplica()
			for _, item := range happened[:rapid.IntRange(0, len(happened)).Draw(t, name)] {
				machine.ApplyChanges(0, []directory.Item{item}, item.Revision)
			}
			return machine
		}
		informed, asking := follow("informed"), follow("asking")
		whole := directory.NewReplica()
		whole.ApplyState(0, asking.FullState(0))
		part := directory.NewReplica()
		part.ApplyState(0, asking.FullState(0))
		whole.ApplyState(time.Second, informed.FullState(time.Second))
		part.ApplyState(time.Second, informed.StateAfter(time.Second, part.Digest()))
		expected, got := whole.Snapshot(), part.Snapshot()
		if expected.Version() != got.Version() || whole.Digest() != part.Digest() {
			t.Fatalf("version and digest are %d, %v and not %d, %v", got.Version(), part.Digest(), expected.Version(), whole.Digest())
		}
		for _, candidate := range expected.All() {
			other, exists := got.Candidate(candidate.ID)
			if !exists || other.Leaving != candidate.Leaving || other.Gone != candidate.Gone {
				t.Fatalf("endpoint %s is %+v and not %+v", candidate.ID, other, candidate)
			}
		}
	})
}
